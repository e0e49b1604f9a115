//! The one clock: whole microseconds since the start, monotonic. Unix times are mapped to it once.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use basaltwood::types::Micros;

pub struct Clock {
    start: Instant,
    unix_at_start: Micros,
}

impl Clock {
    pub fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_micros() as Micros);
        Clock { start: Instant::now(), unix_at_start: unix }
    }

    pub fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    pub fn at(&self, time: Micros) -> tokio::time::Instant {
        (self.start + duration(time)).into()
    }

    /// A Unix time on this clock. The wall clock is read at the start only: were it read again after it was
    /// set, the same start of a host would look like a new one.
    pub fn from_unix(&self, unix: Micros) -> Micros {
        unix - self.unix_at_start
    }
}

pub fn duration(micros: Micros) -> Duration {
    Duration::from_micros(u64::try_from(micros).unwrap_or(0))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_unix_time_stands_where_the_clock_stood_then() {
        let clock = Clock::start();
        let unix =
            SystemTime::now().duration_since(UNIX_EPOCH).expect("it is past 1970").as_micros() as Micros;
        let apart = |ahead: Micros| (clock.from_unix(unix + ahead) - clock.now() - ahead).abs();
        assert!(apart(0) < 1_000_000 && apart(-3_600_000_000) < 1_000_000);
    }
}
