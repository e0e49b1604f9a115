//! Snapshots of all workers between the stages of a point.

use std::time::{Duration, Instant};

use super::real_balancer::LoadResult;
use crate::lateness::LatenessHistograms;
use crate::scale::protocol::{DiscoverySnapshot, FleetSnapshot, SimulatedSnapshot};

/// The snapshots of all workers at one moment.
pub(super) struct Snapshots {
    /// When the snapshots were requested.
    pub(super) at: Instant,
    pub(super) fleets: Vec<FleetSnapshot>,
    pub(super) discovery: DiscoverySnapshot,
    pub(super) simulated: Vec<SimulatedSnapshot>,
}

impl Snapshots {
    /// The time to later snapshots, at least a millisecond, since figures are divided by it.
    pub(super) fn seconds_until(&self, later: &Snapshots) -> f64 {
        (later.at - self.at).max(Duration::from_millis(1)).as_secs_f64()
    }
}

/// The snapshots around the stages without faults, and other measurements during them.
pub(super) struct LoadSnapshots {
    /// The start and the end of the stage without requests, in which the list changes.
    pub(super) quiet_start: Snapshots,
    pub(super) quiet_end: Snapshots,
    /// The start and the end of the measured stage with requests.
    pub(super) load_start: Snapshots,
    pub(super) load_end: Snapshots,
    /// The result of the real balancer's load, if there is a real balancer.
    pub(super) real: Option<LoadResult>,
    /// The lateness of a thread that only wakes up.
    pub(super) reference_thread: LatenessHistograms,
}

/// The snapshots before and after the wait for balancers to apply the last changes.
pub(super) struct SettledSnapshots {
    pub(super) stopped: Snapshots,
    pub(super) settled: Snapshots,
}
