//! Cache hosts and the origin: their addresses, the connections to them, and attempts on these
//! connections. The connection pools decide which connection carries an attempt and when another is
//! opened; this module does so on sockets.
//!
//! Each connection carries one request at a time, so that cancelling a request affects no other. No
//! borrow of a `RefCell` is held over an await.

mod cache;
mod checkout;
mod connecting;
mod connection;
mod duplicates;
mod exchange;
mod late;
mod messages;
mod origin;
mod response;
mod send_audit;
mod streaming;
mod surplus;
mod value;
mod value_response;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

use basaltwood::router::Router;
use basaltwood::types::{AttemptKey, HostId, Micros};
use basaltwood_connection_pool::{ConnectionId, ConnectionPools, PoolAction, PoolStats};
use basaltwood_settings::RuntimeLimits;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::budget::ResourceBudget;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::invariants::Invariants;
use crate::metrics::Metrics;
use crate::request::{AttemptResult, ClientRequest};
use duplicates::DuplicateDetector;
use exchange::Exchange;

pub use connection::{connect, UpstreamConnection};
pub use surplus::SurplusPlace;

/// An event on a connection that the router has to know of.
pub enum UpstreamEvent {
    /// Requests that were sent later to the same host were answered, and this attempt was not.
    AttemptInDoubt(AttemptKey),
    /// The attempt waits until this balancer may open a connection.
    AttemptWaits(AttemptKey),
    /// The attempt no longer waits: it got an idle connection or opens a new one.
    AttemptProceeds(AttemptKey),
    /// The attempt opens a new connection.
    NewConnection(AttemptKey),
    /// The host answered again after a silence, and was not restarted.
    HostAlive(HostId),
    /// The host sent a value whose length is wrong, in a response that was taken for a success.
    ValueInvalid(HostId),
    /// This process stalled for this long.
    ProcessStalled(Micros),
}

/// The address of a host, and whether it accepts attempts.
struct HostEntry {
    address: SocketAddr,
    /// When the host started, by the list, in milliseconds since 1970; 0 for long ago.
    started_at_ms: u64,
    is_origin: bool,
    /// Whether the host accepts new attempts, by the policy's rule on drains and the current list.
    accepts_attempts: bool,
    /// When the host stopped accepting attempts.
    draining_since: Option<Instant>,
    /// Detects that the host answers requests twice.
    duplicates: DuplicateDetector,
    /// When surplus bytes of the host were last logged at level info.
    surplus_logged_at: Cell<Option<Instant>>,
    /// Notified when a connection to the host comes free.
    connection_freed: Rc<Notify>,
    /// Notified when the host stops accepting attempts.
    stopped_accepting: Rc<Notify>,
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
}

impl HostEntry {
    /// Applies what the list says on whether the host accepts attempts.
    fn set_accepting(&mut self, accepts_attempts: bool) {
        self.accepts_attempts = accepts_attempts;
        self.draining_since = match accepts_attempts {
            true => None,
            false => Some(self.draining_since.unwrap_or_else(Instant::now)),
        };
    }
}

/// The host of an attempt and its time limits.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The host.
    pub host: HostId,
    /// When the attempt times out.
    pub deadline: Micros,
    /// By when the request's last byte must be written; otherwise the attempt ends unsent.
    pub send_by: Micros,
}

/// All cache hosts and the origin, and the connections to them.
pub struct Upstreams {
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
    pools: RefCell<ConnectionPools>,
    /// Connections without a request.
    idle: RefCell<BTreeMap<ConnectionId, UpstreamConnection>>,
    /// Tasks that keep reading after their attempt timed out.
    late_readers: RefCell<BTreeMap<ConnectionId, AbortHandle>>,
    /// Attempts whose request was sent, by the connection that carries them.
    in_flight: RefCell<BTreeMap<ConnectionId, AttemptKey>>,
    events: RefCell<Vec<UpstreamEvent>>,
    /// Notified when there are events to take.
    pub events_ready: Notify,
    limits: RuntimeLimits,
    budget: Rc<ResourceBudget>,
    counters: Rc<Counters>,
    pub metrics: Rc<Metrics>,
    pub invariants: Rc<Invariants>,
    pub clock: Rc<Clock>,
}

impl Upstreams {
    /// Creates the upstreams without hosts.
    pub fn new(
        limits: RuntimeLimits,
        pools: ConnectionPools,
        budget: Rc<ResourceBudget>,
        counters: Rc<Counters>,
        metrics: Rc<Metrics>,
        clock: Rc<Clock>,
    ) -> Rc<Upstreams> {
        Rc::new(Upstreams {
            hosts: RefCell::default(),
            pools: RefCell::new(pools),
            idle: RefCell::default(),
            late_readers: RefCell::default(),
            in_flight: RefCell::default(),
            events: RefCell::default(),
            events_ready: Notify::new(),
            limits,
            budget,
            counters,
            invariants: metrics.invariants(),
            metrics,
            clock,
        })
    }

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
    async fn stopped_accepting(&self, host: HostId) {
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

    /// Makes one attempt of a request at a host, in the host's protocol. The router has to permit
    /// it before the first byte is written.
    pub async fn attempt(
        self: &Rc<Upstreams>,
        router: &RefCell<Router>,
        attempt: AttemptKey,
        request: &ClientRequest,
        target: AttemptTarget,
    ) -> AttemptResult {
        let origin = self.origin_address(target.host);
        let parse_response = match origin {
            Some(_) => origin::parse_response,
            None => cache::parse_response,
        };
        let exchange = Exchange { upstreams: self, router, attempt, request, target, parse_response };
        let encode = |time_left| match origin {
            Some(address) => origin::encode(address, request, time_left),
            None => cache::encode(request, time_left),
        };
        exchange.run(encode).await
    }

    fn origin_address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).filter(|entry| entry.is_origin).map(|entry| entry.address)
    }

    /// Sets the number of descriptors that connections to hosts are compared with from now on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pools.borrow_mut().set_max_connections(max_connections);
    }

    /// Number of connections to hosts that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.pools.borrow().open_connections()
    }

    /// Number of cache hosts and origins that are not forgotten.
    pub fn known_hosts(&self) -> usize {
        self.hosts.borrow().len()
    }

    /// Counters of the connection pools since process start.
    pub fn pool_stats(&self) -> PoolStats {
        self.pools.borrow().stats()
    }

    /// Takes the events recorded since the last call.
    pub fn take_events(&self) -> Vec<UpstreamEvent> {
        self.events.take()
    }

    /// Runs the periodic work of the connection pools; to be called several times a second.
    pub fn tick(&self) {
        let stalled_for = self.pools.borrow_mut().tick(self.clock.now());
        if stalled_for > 0 {
            log::warn!(
                "this process stalled for {} ms; no host's silence counts for that time",
                stalled_for / 1000
            );
            self.record_event(UpstreamEvent::ProcessStalled(stalled_for));
        }
        self.perform_pool_actions();
    }

    /// Records that a host sent more than it was asked for: its idle connections may bring another
    /// copy of a response.
    fn record_unexpected_bytes(&self, host: HostId) {
        self.record_duplicate_sign(host, DuplicateDetector::record_unexpected_bytes);
    }

    /// Whether connections to this host are to carry one request each.
    fn wants_fresh_connections(&self, host: HostId) -> bool {
        self.hosts.borrow().get(&host).is_some_and(|entry| entry.duplicates.wants_fresh_connections())
    }

    /// Records that a response of this host equals the previous one on its connection.
    fn record_repeated_response(&self, host: HostId) {
        self.record_duplicate_sign(host, DuplicateDetector::record_repeated_response);
    }

    /// Records a sign that a host answers twice, and closes its idle connections.
    fn record_duplicate_sign(&self, host: HostId, note_sign: impl FnOnce(&DuplicateDetector)) {
        if let Some(entry) = self.hosts.borrow().get(&host) {
            note_sign(&entry.duplicates);
        }
        self.pools.borrow_mut().duplicates_suspected(host);
        self.perform_pool_actions();
    }

    /// Whether a response of this host may be a copy of the previous one on its connection.
    fn may_send_copies(&self, host: HostId) -> bool {
        self.hosts.borrow().get(&host).is_some_and(|entry| entry.duplicates.may_send_copies())
    }

    /// When a host stopped accepting attempts, if it did.
    fn draining_since(&self, host: HostId) -> Option<Instant> {
        self.hosts.borrow().get(&host).and_then(|entry| entry.draining_since)
    }

    fn record_event(&self, event: UpstreamEvent) {
        self.events.borrow_mut().push(event);
        self.events_ready.notify_one();
    }

    /// Performs the actions that the pools request; to be called after each call that may add some.
    fn perform_pool_actions(&self) {
        let actions = self.pools.borrow_mut().take_actions();
        for action in actions {
            match action {
                PoolAction::Close(id) => self.close(id),
                PoolAction::AttemptInDoubt(id) => self.report_attempt_in_doubt(id),
                PoolAction::HostAlive(host) => {
                    log::debug!("host {} answers again on a connection from before its silence", host.0);
                    self.record_event(UpstreamEvent::HostAlive(host));
                }
            }
        }
    }

    fn report_attempt_in_doubt(&self, id: ConnectionId) {
        let in_flight = self.in_flight.borrow().get(&id).copied();
        let Some(key) = in_flight else { return };
        log::debug!(
            "attempt {} of request {} is in doubt: requests sent later to its host were answered",
            key.number.0,
            key.request.0
        );
        self.record_event(UpstreamEvent::AttemptInDoubt(key));
    }

    /// Closes a connection that no attempt uses.
    fn close(&self, id: ConnectionId) {
        self.idle.borrow_mut().remove(&id);
        if let Some(late_reader) = self.late_readers.borrow_mut().remove(&id) {
            late_reader.abort();
        }
    }

    /// Closes the connection that is needed least; returns whether there was one.
    pub fn close_idle_connection(&self) -> bool {
        let evicted = self.pools.borrow_mut().evict_idle();
        let Some(id) = evicted else { return false };
        self.close(id);
        true
    }
}
