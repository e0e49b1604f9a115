//! The testbed's clock, in whole microseconds since the start of a run.

use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds: a time of a run, or a span of time.
pub type Micros = i64;

/// A millisecond, in microseconds.
pub const MS: Micros = 1_000;
/// A second, in microseconds.
pub const SECOND: Micros = 1_000_000;

/// A clock that starts with a world and counts from the start of its run. Clones share the start of
/// the run.
#[derive(Clone, Debug)]
pub struct Clock {
    start: Instant,
    /// Unix time at `start`, in milliseconds.
    unix_ms: f64,
    /// The start of the run, in microseconds from `start`: a world is started before its run.
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

    /// Sets the start of the run, time 0 of all clones of this clock, to `ahead` from now.
    pub fn start_run_in(&self, ahead: Micros) {
        let run_start = self.start.elapsed().as_micros() as Micros + ahead;
        self.run_start.store(run_start, Ordering::Relaxed);
    }

    /// The current time of the run; negative before the run starts.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros - self.run_start()
    }

    /// Converts a time of the run to an [`Instant`].
    pub fn instant(&self, at: Micros) -> Instant {
        self.start + to_duration(at + self.run_start())
    }

    /// Converts a time of the run to the type that the runtime's timers take.
    pub fn tokio_instant(&self, at: Micros) -> tokio::time::Instant {
        self.instant(at).into()
    }

    /// Converts a time of the run to Unix time, in milliseconds.
    pub fn unix_ms(&self, at: Micros) -> f64 {
        self.unix_ms + (at + self.run_start()) as f64 / 1e3
    }
}

/// Converts a span of time; a negative one becomes 0.
pub fn to_duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

/// Converts seconds to microseconds, rounded.
pub fn seconds(seconds: f64) -> Micros {
    (seconds * 1e6).round() as Micros
}

/// Converts milliseconds to microseconds, rounded.
pub fn millis(ms: f64) -> Micros {
    (ms * 1e3).round() as Micros
}
