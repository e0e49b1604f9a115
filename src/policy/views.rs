//! What a shell may look at beside the actions; nothing is decided here.

use super::{HostStatus, HostTracker, Policy};
use crate::types::*;

impl Policy {
    /// Rule 3, for an attempt that waited for its connection after the gate.
    pub fn accepts_attempts(&self, host: HostId) -> bool {
        self.dispatcher.host_statuses.get(host.0 as usize).is_some_and(HostStatus::is_up)
    }

    /// Hosts that are gone and that nothing open names: their numbers may stand for others from now on.
    pub fn released_hosts(&self) -> Vec<HostId> {
        let gone = |endpoint: &Endpoint| endpoint.lifecycle == Lifecycle::Gone;
        let named =
            |host: HostId| self.dispatcher.requests.values().any(|request| request.tried.contains(&host));
        let open = |host: &HostTracker| !host.in_flight.is_empty() || named(host.id);
        let released = |host: &&HostTracker| host.status.endpoint.as_ref().is_some_and(gone) && !open(host);
        self.hosts.iter().filter(released).map(|host| host.id).collect()
    }

    /// What was learned of the hosts that are up.
    pub fn learned_limits(&self) -> Vec<LearnedLimit> {
        let up = self.dispatcher.host_statuses.iter().filter(|host| host.is_up());
        up.filter_map(|host| {
            Some(LearnedLimit { position: host.endpoint.as_ref()?.position, limit: host.limit.limit })
        })
        .collect()
    }

    /// How many cache hosts are listed, and how many of them get nothing now but what probes for their return.
    pub fn pool_size(&self) -> PoolSize {
        let here = |endpoint: &Endpoint| endpoint.lifecycle != Lifecycle::Gone && !endpoint.origin;
        let listed =
            self.dispatcher.host_statuses.iter().filter(|host| host.endpoint.as_ref().is_some_and(here));
        let ejected = listed.clone().filter(|host| self.dispatcher.is_avoided(host)).count();
        PoolSize { listed: listed.count(), ejected }
    }
}
