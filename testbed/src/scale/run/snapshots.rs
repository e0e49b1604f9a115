//! What was reported at the moments between the stretches of a point.

use std::time::{Duration, Instant};

use super::real_balancer::LoadResult;
use crate::lateness::LatenessHistograms;
use crate::scale::protocol::{DiscoverySnapshot, FleetSnapshot, SimulatedSnapshot};

/// What all workers reported of one moment.
pub(super) struct Snapshots {
    /// The moment.
    pub(super) at: Instant,
    pub(super) fleets: Vec<FleetSnapshot>,
    pub(super) discovery: DiscoverySnapshot,
    pub(super) simulated: Vec<SimulatedSnapshot>,
}

impl Snapshots {
    /// The time from this moment to a later one; a millisecond at least, since figures are divided
    /// by it.
    pub(super) fn seconds_until(&self, later: &Snapshots) -> f64 {
        (later.at - self.at).max(Duration::from_millis(1)).as_secs_f64()
    }
}

/// The snapshots around the stretches without faults, and what was measured beside them.
pub(super) struct LoadSnapshots {
    /// The start and the end of the stretch without requests, in which the list changes.
    pub(super) quiet_start: Snapshots,
    pub(super) quiet_end: Snapshots,
    /// The start and the end of the stretch with requests that counts.
    pub(super) load_start: Snapshots,
    pub(super) load_end: Snapshots,
    /// Of the load of a real balancer, where there is one.
    pub(super) real: Option<LoadResult>,
    /// Of a thread that does nothing but wake up.
    pub(super) bare_thread: LatenessHistograms,
}

/// The snapshots around the time in which the last changes may come into force.
pub(super) struct SettledSnapshots {
    pub(super) stopped: Snapshots,
    pub(super) settled: Snapshots,
}
