//! What is known of each host besides the connections to it: its address, and whether it accepts attempts.

use std::cell::Cell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use basaltwood::types::HostId;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::duplicates::DuplicateDetector;
use super::Upstreams;

/// The address of a host, and whether it accepts attempts.
pub(super) struct HostEntry {
    pub(super) address: SocketAddr,
    /// When the host started, by the list, in milliseconds since 1970; 0 for long ago.
    pub(super) started_at_ms: u64,
    pub(super) is_origin: bool,
    /// Whether the host accepts new attempts, by the policy's rule on drains and the current list.
    pub(super) accepts_attempts: bool,
    /// When the host stopped accepting attempts.
    pub(super) draining_since: Option<Instant>,
    /// Detects that the host answers requests twice.
    pub(super) duplicates: DuplicateDetector,
    /// When surplus bytes of the host were last logged at level info.
    pub(super) surplus_logged_at: Cell<Option<Instant>>,
    /// Notified when a connection to the host comes free.
    pub(super) connection_freed: Rc<Notify>,
    /// Notified when the host stops accepting attempts.
    pub(super) stopped_accepting: Rc<Notify>,
}

impl HostEntry {
    fn new(address: SocketAddr, is_origin: bool) -> HostEntry {
        HostEntry {
            address,
            started_at_ms: 0,
            is_origin,
            accepts_attempts: true,
            draining_since: None,
            duplicates: DuplicateDetector::default(),
            surplus_logged_at: Cell::default(),
            connection_freed: Rc::default(),
            stopped_accepting: Rc::default(),
        }
    }

    /// Applies what the list says on whether the host accepts attempts.
    fn set_accepting(&mut self, accepts_attempts: bool) {
        self.accepts_attempts = accepts_attempts;
        self.draining_since = match accepts_attempts {
            true => None,
            false => Some(self.draining_since.unwrap_or_else(Instant::now)),
        };
    }
}

impl Upstreams {
    /// Sets the address of a host and when it started; connections to its previous address are closed.
    pub fn update_host(&self, host: HostId, address: SocketAddr, started_at_ms: u64, is_origin: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let entry = hosts.entry(host).or_insert_with(|| HostEntry::new(address, is_origin));
        entry.is_origin = is_origin;
        entry.started_at_ms = started_at_ms;
        let previous = std::mem::replace(&mut entry.address, address);
        if previous != address {
            self.pools.borrow_mut().host_moved(host);
        }
        drop(hosts);
        self.perform_pool_actions();
    }

    /// The hosts in use whose address is another one's, among those at the `changed` addresses and those that the
    /// list dropped. An address has one process: of the listed hosts there the one that started last, before
    /// any that was dropped.
    pub fn replaced_hosts(
        &self,
        mut changed: BTreeSet<SocketAddr>,
        dropped: &[HostId],
        is_in_use: impl Fn(HostId) -> bool,
    ) -> Vec<HostId> {
        let hosts = self.hosts.borrow();
        changed.extend(dropped.iter().filter_map(|host| hosts.get(host)).map(|entry| entry.address));
        let there =
            hosts.iter().filter(|(host, entry)| changed.contains(&entry.address) && is_in_use(**host));
        let claims = there.map(|(host, entry)| {
            let claim = (!dropped.contains(host), entry.started_at_ms);
            (*host, entry.address, claim)
        });
        let claims: Vec<_> = claims.collect();
        let mut strongest = BTreeMap::new();
        for &(_, address, claim) in &claims {
            let so_far = strongest.entry(address).or_insert(claim);
            *so_far = claim.max(*so_far);
        }
        let replaced = claims.into_iter().filter(|(_, address, claim)| *claim < strongest[address]);
        replaced.map(|(host, ..)| host).collect()
    }

    /// Updates which hosts accept attempts; to be called whenever the list was read. If a host does
    /// not, its idle connections are closed, and attempts that wait for a connection to it end.
    pub fn update_accepting_hosts(&self, accepts_attempts: impl Fn(HostId) -> bool) {
        for (&host, entry) in self.hosts.borrow_mut().iter_mut() {
            entry.set_accepting(accepts_attempts(host));
            if !entry.accepts_attempts {
                self.pools.borrow_mut().host_draining(host);
                entry.stopped_accepting.notify_waiters();
            }
        }
        let hosts = self.hosts.borrow().len();
        self.pools.borrow_mut().set_hosts(self.clock.now(), hosts);
        self.perform_pool_actions();
    }

    /// Waits until the host accepts no new attempts.
    pub(super) async fn stopped_accepting(&self, host: HostId) {
        loop {
            let stopped = match self.hosts.borrow().get(&host) {
                Some(entry) if entry.accepts_attempts => entry.stopped_accepting.clone(),
                _ => return,
            };
            stopped.notified().await;
        }
    }

    /// Forgets a host that is no longer listed, and closes its unused connections.
    pub fn forget_host(&self, host: HostId) {
        self.hosts.borrow_mut().remove(&host);
        self.pools.borrow_mut().forget_host(host);
        self.perform_pool_actions();
    }
}
