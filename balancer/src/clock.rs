//! The process's monotonic clock, in microseconds since the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basaltwood::types::Micros;

#[cfg(test)]
mod tests;

/// The clock of all times within the process.
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock now.
    pub fn start() -> Clock {
        Clock { start: Instant::now() }
    }

    /// The time since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time on this clock to tokio's `Instant`.
    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        (self.start + duration(time)).into()
    }

    /// The Unix time that the wall clock shows now. The wall clock may be stepped at any moment, so
    /// it must not be used to measure durations.
    pub fn unix_now(&self) -> Micros {
        SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_micros() as Micros)
    }
}

/// Converts a span of time to a `Duration`; a negative span becomes zero.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}
