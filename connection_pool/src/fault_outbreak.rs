//! Connections of several hosts that fail at about one time: a device between (a NAT, a firewall)
//! lost its state.

use basaltwood::types::{HostId, Micros};

/// Connections of so many hosts that turn out dead,
const HOSTS: usize = 3;
/// within this time, and with none between that is good, are an outbreak.
const WINDOW: Micros = 500_000;

#[derive(Clone, Copy, Debug)]
struct HostFault {
    at: Micros,
    host: HostId,
}

/// Finds outbreaks from the faults of single connections.
#[derive(Debug, Default)]
pub struct FaultOutbreak {
    /// The last fault of each host within the window, in the order of their times.
    recent: Vec<HostFault>,
}

impl FaultOutbreak {
    /// A connection of this host failed, the host not at fault. In an outbreak: its start; no
    /// connection that was idle then is good.
    pub fn record(&mut self, now: Micros, host: HostId) -> Option<Micros> {
        self.recent.retain(|fault| now - fault.at < WINDOW && fault.host != host);
        self.recent.push(HostFault { at: now, host });
        if self.recent.len() < HOSTS {
            return None;
        }
        self.recent.iter().map(|fault| fault.at).min()
    }

    /// A connection that had been idle was used, and is good. One that was idle before the first
    /// fault and used after it shows that there is no outbreak.
    pub fn reuse_succeeded(&mut self, sent_at: Micros, idle_for: Micros) {
        let idle_since = sent_at - idle_for;
        if self.recent.first().is_some_and(|first| idle_since < first.at && first.at < sent_at) {
            self.recent.clear();
        }
    }

    /// The host is gone.
    pub fn forget_host(&mut self, host: HostId) {
        self.recent.retain(|fault| fault.host != host);
    }
}
