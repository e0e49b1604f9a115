//! Detects connections of several hosts that fail at about the same time, as when a device on the
//! path (a NAT, a firewall) loses its state.

use basaltwood::types::{HostId, Micros};

/// Number of hosts whose connections must fail within [`WINDOW`] for the faults to be correlated.
const HOSTS_TO_CORRELATE: usize = 3;
/// Faults are correlated if they are this close together, with no successful reuse between them.
const WINDOW: Micros = 500_000;

#[derive(Clone, Copy, Debug)]
struct HostFault {
    at: Micros,
    host: HostId,
}

/// Finds correlated faults among the faults of single connections.
#[derive(Debug, Default)]
pub struct CorrelatedFaults {
    /// The last fault of each host within the window, in the order of their times.
    recent: Vec<HostFault>,
}

impl CorrelatedFaults {
    /// Records that a connection failed through no fault of its host. If faults are correlated,
    /// returns the time of the first: connections that were idle then are presumed dead.
    pub fn record(&mut self, now: Micros, host: HostId) -> Option<Micros> {
        self.recent.retain(|fault| now - fault.at < WINDOW && fault.host != host);
        self.recent.push(HostFault { at: now, host });
        if self.recent.len() < HOSTS_TO_CORRELATE {
            return None;
        }
        self.recent.iter().map(|fault| fault.at).min()
    }

    /// Records that an idle connection was reused successfully. If it was idle at the first fault
    /// and used after it, the faults were not correlated.
    pub fn reuse_succeeded(&mut self, sent_at: Micros, idle_for: Micros) {
        let idle_since = sent_at - idle_for;
        if self.recent.first().is_some_and(|first| idle_since < first.at && first.at < sent_at) {
            self.recent.clear();
        }
    }

    /// Forgets the faults of a host that is no longer listed.
    pub fn forget_host(&mut self, host: HostId) {
        self.recent.retain(|fault| fault.host != host);
    }
}
