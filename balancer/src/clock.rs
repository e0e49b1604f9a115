//! The process's one clock: whole microseconds since its start, monotonic. Unix times are mapped to it once.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basaltwood::types::Micros;

#[cfg(test)]
mod tests;

/// A clock that begins at 0 when the process starts.
pub struct Clock {
    start: Instant,
    /// The Unix time at which this clock stood at 0.
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

    /// The runtime's instant of a time on this clock.
    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        (self.start + duration(time)).into()
    }

    /// A Unix time on this clock. The wall clock is read at the start only: were it read again after somebody set it,
    /// the same start of a host would look like a new one.
    pub fn time_at_unix(&self, unix: Micros) -> Micros {
        unix - self.unix_at_start
    }
}

/// A span of time as the runtime wants it; a negative one is none.
pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}
