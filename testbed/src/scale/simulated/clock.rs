//! The clock that the balancers of a process share.

use std::time::Instant as SystemInstant;

use basaltwood::types::Micros;
use tokio::time::Instant;

use crate::scale::system::unix_micros;
use crate::time::to_duration;

/// Counts microseconds since [`ProcessClock::start`].
pub(super) struct ProcessClock {
    start: SystemInstant,
    unix_start: Micros,
}

impl ProcessClock {
    pub(super) fn start() -> ProcessClock {
        let unix_start = unix_micros();
        ProcessClock { start: SystemInstant::now(), unix_start }
    }

    /// Unix time at the start of the clock.
    pub(super) fn unix_start(&self) -> Micros {
        self.unix_start
    }

    pub(super) fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant for the runtime's timers.
    pub(super) fn at(&self, time: Micros) -> Instant {
        (self.start + to_duration(time)).into()
    }
}
