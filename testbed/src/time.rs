//! The lab's one clock: whole microseconds since the start of a run.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub type Micros = i64;

pub const MS: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;

#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at the start, in milliseconds.
    unix_ms: f64,
    /// Where the run began, counted from the start: a world comes up before its run.
    zero: Arc<AtomicI64>,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1e3, zero: Arc::default() }
    }

    fn zero(&self) -> Micros {
        self.zero.load(Ordering::Relaxed)
    }

    /// The run begins so long from now: that is 0 from now on, for all that share this clock.
    pub fn start_run_in(&self, ahead: Micros) {
        let zero = self.start.elapsed().as_micros() as Micros + ahead;
        self.zero.store(zero, Ordering::Relaxed);
    }

    /// Below 0 until the run begins.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros - self.zero()
    }

    pub fn instant(&self, at: Micros) -> Instant {
        self.start + to_duration(at + self.zero())
    }

    pub fn tokio_instant(&self, at: Micros) -> tokio::time::Instant {
        self.instant(at).into()
    }

    pub fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_ms + (at + self.zero()) as f64 / 1e3
    }
}

pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

pub fn seconds(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

pub fn millis(ms: f64) -> Micros {
    (ms * 1e3).round() as Micros
}
