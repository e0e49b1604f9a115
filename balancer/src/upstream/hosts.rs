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

    /// Those of the dropped hosts whose address is now that of a host that was not dropped.
    pub fn replaced_hosts(&self, dropped: &[HostId]) -> Vec<HostId> {
        let hosts = self.hosts.borrow();
        let listed = hosts.iter().filter(|(host, _)| !dropped.contains(host));
        let listed: BTreeSet<SocketAddr> = listed.map(|(_, entry)| entry.address).collect();
        let is_replaced =
            |host: &&HostId| hosts.get(host).is_some_and(|entry| listed.contains(&entry.address));
        dropped.iter().filter(is_replaced).copied().collect()
    }

    /// Those of the listed hosts at one of these addresses that started before another one there: an
    /// address has one process, the one that started last.
    pub fn superseded_hosts(
        &self,
        addresses: &BTreeSet<SocketAddr>,
        is_listed: impl Fn(HostId) -> bool,
    ) -> Vec<HostId> {
        let hosts = self.hosts.borrow();
        let there: Vec<(HostId, &HostEntry)> = hosts
            .iter()
            .filter(|(host, entry)| addresses.contains(&entry.address) && is_listed(**host))
            .map(|(host, entry)| (*host, entry))
            .collect();
        let mut last_starts: BTreeMap<SocketAddr, u64> = BTreeMap::new();
        for (_, entry) in &there {
            let last = last_starts.entry(entry.address).or_default();
            *last = entry.started_at_ms.max(*last);
        }
        let is_superseded = |entry: &HostEntry| entry.started_at_ms < last_starts[&entry.address];
        there.into_iter().filter(|(_, entry)| is_superseded(entry)).map(|(host, _)| host).collect()
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
