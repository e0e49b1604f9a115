//! The process's monotonic clock, in microseconds since the start.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basaltwood::types::Micros;

#[cfg(test)]
mod tests;

/// The clock that all times within the process refer to.
pub struct Clock {
    start: Instant,
    /// The Unix time of this clock's zero.
    unix_at_start: Micros,
}

impl Clock {
    /// Starts the clock now.
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_micros() as Micros);
        Clock { start: Instant::now(), unix_at_start: unix }
    }

    /// The time since the start.
    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// A time on this clock as the runtime's instant.
    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        (self.start + duration(time)).into()
    }

    /// A Unix time on this clock. The wall clock is read at the start only: if it were read again
    /// after it was set, an unchanged start time of a host would look like a restart.
    pub fn time_at_unix(&self, unix: Micros) -> Micros {
        unix - self.unix_at_start
    }
}

/// Converts a span of time for the runtime; a negative one becomes zero.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}
