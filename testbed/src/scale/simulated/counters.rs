//! The counters that all simulated balancers of a process share.

use std::cell::RefCell;

use super::super::protocol::{value_counts, SimulatedSnapshot};
use crate::lateness::Lateness;

/// The counters of a process.
#[derive(Default)]
pub(super) struct Counters {
    snapshot: RefCell<SimulatedSnapshot>,
    /// By how much requests started after they were due.
    pub(super) lateness: Lateness,
    /// The time from when a request was due to its success.
    pub(super) latency: Lateness,
}

impl Counters {
    pub(super) fn count(&self, add: impl FnOnce(&mut SimulatedSnapshot)) {
        add(&mut self.snapshot.borrow_mut());
    }

    /// Returns the counters, and clears lists and histograms.
    pub(super) fn take_snapshot(&self) -> SimulatedSnapshot {
        let mut counters = self.snapshot.borrow_mut();
        let applied = std::mem::take(&mut counters.applied);
        let snapshot = SimulatedSnapshot {
            applied,
            lateness: value_counts(&self.lateness.snapshot().late),
            latency: value_counts(&self.latency.snapshot().late),
            ..counters.clone()
        };
        self.lateness.clear();
        self.latency.clear();
        snapshot
    }
}
