//! The testbed's one clock: whole microseconds since the start of a run.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds: a time of a run, or a span of time.
pub type Micros = i64;

/// A millisecond.
pub const MS: Micros = 1_000;
/// A second.
pub const SECOND: Micros = 1_000_000;

/// A clock that starts with a world and counts from the start of its run. Clones share that start.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, in milliseconds.
    unix_ms: f64,
    /// When the run starts, counted from `start`: a world comes up before its run.
    run_start: Arc<AtomicI64>,
}

impl Clock {
    /// A clock whose run starts now, until [`Clock::start_run_in`] says otherwise.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1e3, run_start: Arc::default() }
    }

    fn run_start(&self) -> Micros {
        self.run_start.load(Ordering::Relaxed)
    }

    /// The run starts so long from now: that is time 0 from now on, for all that share this clock.
    pub fn start_run_in(&self, ahead: Micros) {
        let run_start = self.start.elapsed().as_micros() as Micros + ahead;
        self.run_start.store(run_start, Ordering::Relaxed);
    }

    /// The time now; below 0 until the run starts.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros - self.run_start()
    }

    /// A time of the run as the standard library has it.
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + to_duration(at + self.run_start())
    }

    /// A time of the run as timers of the runtime take it.
    pub fn tokio_instant(&self, at: Micros) -> tokio::time::Instant {
        self.instant(at).into()
    }

    /// A time of the run as Unix time, in milliseconds.
    pub fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_ms + (at + self.run_start()) as f64 / 1e3
    }
}

/// A span of time; 0 where it is negative.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// Rounds seconds to microseconds.
pub fn seconds(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Rounds milliseconds to microseconds.
pub fn millis(ms: f64) -> Micros {
    (ms * 1e3).round() as Micros
}
