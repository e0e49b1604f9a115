//! A set of hosts that is cleared in constant time, for ring walks that visit a host repeatedly.

use crate::types::HostId;

/// A set of marked hosts. A mark counts only in the round in which it was made.
#[derive(Debug, Default)]
pub(crate) struct HostMarks {
    /// The round of each host's last mark, indexed by [`HostId`]; 0 for none.
    rounds: Vec<u64>,
    round: u64,
    count: usize,
}

impl HostMarks {
    /// Removes all marks.
    pub(crate) fn clear(&mut self) {
        self.round += 1;
        self.count = 0;
    }

    /// Marks a host; returns whether it was unmarked before.
    pub(crate) fn mark(&mut self, host: HostId) -> bool {
        if host.index() >= self.rounds.len() {
            self.rounds.resize(host.index() + 1, 0);
        }
        let last = std::mem::replace(&mut self.rounds[host.index()], self.round);
        let is_new = last != self.round;
        self.count += usize::from(is_new);
        is_new
    }

    /// Whether a host is marked.
    pub(crate) fn is_marked(&self, host: HostId) -> bool {
        self.rounds.get(host.index()) == Some(&self.round)
    }

    /// How many hosts are marked.
    pub(crate) fn count(&self) -> usize {
        self.count
    }
}
