//! What a shell may look at beside the orders; nothing is decided here.

use super::{Balancer, Host, Standing};
use crate::types::*;

impl Balancer {
    /// Rule 3, for a push that waited for its connection after the gate.
    pub fn takes(&self, host: HostId) -> bool {
        self.desk.board.get(host.0 as usize).is_some_and(Standing::up)
    }

    /// Hosts that are gone and that nothing open names: their numbers may stand for others from now on.
    pub fn free(&self) -> Vec<HostId> {
        let gone = |listed: &Listed| listed.lifecycle == Lifecycle::Gone;
        let named = |host: HostId| self.desk.ops.values().any(|op| op.tried.contains(&host));
        let open = |host: &Host| !host.out.is_empty() || named(host.id);
        let free = |host: &&Host| host.standing.listed.as_ref().is_some_and(gone) && !open(host);
        self.hosts.iter().filter(free).map(|host| host.id).collect()
    }

    pub fn learnt(&self) -> Vec<Learnt> {
        let up = self.desk.board.iter().filter(|host| host.up());
        up.filter_map(|host| Some(Learnt { place: host.listed.as_ref()?.place, room: host.limit.most }))
            .collect()
    }

    /// How many cache hosts are listed, and how many of them get nothing now but what feels for their return.
    pub fn pool(&self) -> (usize, usize) {
        let here = |listed: &Listed| listed.lifecycle != Lifecycle::Gone && !listed.origin;
        let listed = self.desk.board.iter().filter(|host| host.listed.as_ref().is_some_and(here));
        (listed.clone().count(), listed.filter(|host| self.desk.avoids(host)).count())
    }
}
