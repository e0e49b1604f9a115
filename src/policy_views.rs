//! Queries of a policy's state by its caller.

use crate::policy::Policy;
use crate::types::{Endpoint, HostChange, HostId, LearnedLimit, Lifecycle, Micros, PoolSize, SelectionWork};

impl Policy {
    /// Whether a host accepts new attempts (rule 3), for an attempt that waited for its connection
    /// after it was admitted.
    pub fn accepts_attempts(&self, host: HostId) -> bool {
        self.dispatcher.host_statuses.get(host.index()).is_some_and(|status| status.is_up())
    }

    /// Whether the host is in the endpoint list, or stays in use although the list dropped it.
    pub fn is_in_use(&self, host: HostId) -> bool {
        let endpoint =
            self.dispatcher.host_statuses.get(host.index()).and_then(|status| status.endpoint.as_ref());
        endpoint.is_some_and(|endpoint| endpoint.lifecycle != Lifecycle::Gone)
    }

    /// The hosts that the list dropped and that stay in use because they answer.
    pub fn dropped_hosts(&self) -> Vec<HostId> {
        self.hosts.iter().filter(|host| host.is_dropped).map(|host| host.id).collect()
    }

    /// Hosts that are gone and that no open request refers to; their numbers may be reused.
    pub fn released_hosts(&self) -> Vec<HostId> {
        let requests = &self.dispatcher.requests;
        let is_in_use = |host: HostId| requests.values().any(|request| request.refers_to_host(host));
        let is_gone = |endpoint: &Endpoint| endpoint.lifecycle == Lifecycle::Gone;
        let gone = self.hosts.iter().filter(|host| host.status.endpoint.as_ref().is_some_and(is_gone));
        let released = gone.filter(|host| host.in_flight.is_empty() && !is_in_use(host.id));
        released.map(|host| host.id).collect()
    }

    /// How long the client of a rejected request is told to wait; `None` where it is not told.
    pub fn retry_after(&self) -> Option<Micros> {
        self.dispatcher.retry_after
    }

    /// The concurrency limits of the hosts that are up.
    pub fn learned_limits(&self) -> Vec<LearnedLimit> {
        let up = self.dispatcher.host_statuses.iter().filter(|status| status.is_up());
        let learned = up.filter_map(|status| {
            let position = status.endpoint.as_ref()?.position;
            Some(LearnedLimit { position, limit: status.limit.limit })
        });
        learned.collect()
    }

    /// The number of hot keys, which are read from several holders.
    pub fn hot_keys(&self) -> usize {
        self.dispatcher.loads.hot_keys.len()
    }

    /// The cost of all selections since the start.
    pub fn selection_work(&self) -> SelectionWork {
        self.dispatcher.selection_work
    }

    /// The host changes since the last call.
    pub fn take_host_changes(&mut self) -> Vec<HostChange> {
        std::mem::take(&mut self.dispatcher.host_changes)
    }

    /// The number of cache hosts by state.
    pub fn pool_size(&self) -> PoolSize {
        let is_listed = |endpoint: &Endpoint| endpoint.lifecycle != Lifecycle::Gone && !endpoint.origin;
        let statuses = self.dispatcher.host_statuses.iter();
        let listed = statuses.filter(|status| status.endpoint.as_ref().is_some_and(is_listed));
        let ejected = listed.clone().filter(|status| self.dispatcher.is_avoided(status)).count();
        let warming_up = listed.clone().filter(|status| status.is_warming_up()).count();
        PoolSize { listed: listed.count(), ejected, warming_up }
    }
}
