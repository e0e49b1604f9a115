//! Cache hosts and the origin: their addresses, the connections to them, and an attempt over one of
//! those. The pools decide which connection carries it and when another is opened; this carries
//! that out on sockets.
//!
//! One request at a time on each connection, so that cancelling one closes nothing else. No borrow
//! of a `RefCell` is held over an await.

mod cache;
mod checkout;
mod connecting;
mod connection;
mod duplicates;
mod exchange;
mod late;
mod messages;
mod origin;
mod send_audit;
mod streaming;

use std::cell::RefCell;
use std::collections::BTreeMap;
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

/// What connections tell of attempts and hosts.
pub enum UpstreamEvent {
    /// Later attempts of its host are answered, and this one is not.
    AttemptInDoubt(AttemptKey),
    /// It waits until this balancer may open a connection.
    AttemptWaits(AttemptKey),
    /// It waits no more.
    AttemptProceeds(AttemptKey),
    /// It goes on a new connection.
    NewConnection(AttemptKey),
    /// The host answered again after a silence, and was not restarted.
    HostAlive(HostId),
    /// This process stood still for so long.
    ProcessStalled(Micros),
}

/// Where a host is, and whether it takes anything.
struct HostEntry {
    address: SocketAddr,
    is_origin: bool,
    /// Whether it takes anything new, by the policy's rule on drains as the list was last read.
    accepts_attempts: bool,
    /// Since when it does not.
    draining_since: Option<Instant>,
    /// Whether it answers requests twice.
    duplicates: DuplicateDetector,
    /// Notified when a connection came free there.
    connection_freed: Rc<Notify>,
    /// Notified when it takes nothing new any more.
    stopped_accepting: Rc<Notify>,
}

impl HostEntry {
    fn new(address: SocketAddr, is_origin: bool) -> HostEntry {
        HostEntry {
            address,
            is_origin,
            accepts_attempts: true,
            draining_since: None,
            duplicates: DuplicateDetector::default(),
            connection_freed: Rc::default(),
            stopped_accepting: Rc::default(),
        }
    }
}

impl HostEntry {
    /// The list says whether it takes anything new.
    fn set_accepting(&mut self, accepts_attempts: bool) {
        self.accepts_attempts = accepts_attempts;
        self.draining_since = match accepts_attempts {
            true => None,
            false => Some(self.draining_since.unwrap_or_else(Instant::now)),
        };
    }
}

/// Where an attempt goes, and by when.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTarget {
    /// The host.
    pub host: HostId,
    /// The attempt is over then.
    pub deadline: Micros,
    /// Its last byte is written by then, or it was not sent.
    pub send_by: Micros,
}

/// All cache hosts and the origin, and the connections to them.
pub struct Upstreams {
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
    pools: RefCell<ConnectionPools>,
    /// Connections that carry nothing.
    idle: RefCell<BTreeMap<ConnectionId, UpstreamConnection>>,
    /// Tasks that read on after their attempt timed out.
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
    /// No hosts yet.
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

    /// Where a host is now; connections to another address are closed.
    pub fn update_host(&self, host: HostId, address: SocketAddr, is_origin: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let entry = hosts.entry(host).or_insert_with(|| HostEntry::new(address, is_origin));
        entry.is_origin = is_origin;
        let previous = std::mem::replace(&mut entry.address, address);
        if previous != address {
            self.pools.borrow_mut().host_moved(host);
        }
        drop(hosts);
        self.perform_pool_actions();
    }

    /// Which hosts take anything new; to be called whenever the list was read. One that does not
    /// needs no idle connections, and attempts that wait for one of its connections are let go.
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

    /// Ends once the host takes nothing new.
    async fn stopped_accepting(&self, host: HostId) {
        loop {
            let stopped = match self.hosts.borrow().get(&host) {
                Some(entry) if entry.accepts_attempts => entry.stopped_accepting.clone(),
                _ => return,
            };
            stopped.notified().await;
        }
    }

    /// A host that is gone, with nothing open there.
    pub fn forget_host(&self, host: HostId) {
        self.hosts.borrow_mut().remove(&host);
        self.pools.borrow_mut().forget_host(host);
        self.perform_pool_actions();
    }

    /// One attempt of a request at a host, by the protocol that the host speaks. The router is
    /// asked for the permission before its first byte.
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

    /// Sets how many descriptors connections to hosts may take from now on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pools.borrow_mut().set_max_connections(max_connections);
    }

    /// Connections to hosts that stand or are being opened.
    pub fn open_connections(&self) -> usize {
        self.pools.borrow().open_connections()
    }

    /// What the pools counted since the start.
    pub fn pool_stats(&self) -> PoolStats {
        self.pools.borrow().stats()
    }

    /// What was recorded since this was last called.
    pub fn take_events(&self) -> Vec<UpstreamEvent> {
        self.events.take()
    }

    /// Has the pools look after all connections; to be called several times a second.
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

    /// A host sent more than it was asked for: its idle connections may bring another copy.
    fn suspect_duplicates(&self, host: HostId) {
        log::debug!(host = host.0; "host sent more than it was asked for");
        self.record_duplicate_sign(host, DuplicateDetector::unexpected_bytes);
    }

    /// Whether connections to this host are to carry one request each.
    fn wants_fresh_connections(&self, host: HostId) -> bool {
        self.hosts.borrow().get(&host).is_some_and(|entry| entry.duplicates.wants_fresh_connections())
    }

    /// A response of this host was like the one before it on its connection.
    fn note_repeated_response(&self, host: HostId) {
        self.record_duplicate_sign(host, DuplicateDetector::repeated_response);
    }

    /// There is a sign that a host answers twice: none of its idle connections is used again.
    fn record_duplicate_sign(&self, host: HostId, note_sign: impl FnOnce(&DuplicateDetector)) {
        if let Some(entry) = self.hosts.borrow().get(&host) {
            note_sign(&entry.duplicates);
        }
        self.pools.borrow_mut().duplicates_suspected(host);
        self.perform_pool_actions();
    }

    /// Whether a response of this host may be a copy of the one before it on its connection.
    fn suspects_duplicates(&self, host: HostId) -> bool {
        self.hosts.borrow().get(&host).is_some_and(|entry| entry.duplicates.suspected())
    }

    /// Since when a host takes nothing new.
    fn draining_since(&self, host: HostId) -> Option<Instant> {
        self.hosts.borrow().get(&host).and_then(|entry| entry.draining_since)
    }

    fn record_event(&self, event: UpstreamEvent) {
        self.events.borrow_mut().push(event);
        self.events_ready.notify_one();
    }

    /// Does what the pools ask for; after each call that may have them ask for something.
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
            "attempt {} of request {} is in doubt: later ones are answered",
            key.number.0,
            key.request.0
        );
        self.record_event(UpstreamEvent::AttemptInDoubt(key));
    }

    /// Closes a connection that no attempt has.
    fn close(&self, id: ConnectionId) {
        self.idle.borrow_mut().remove(&id);
        if let Some(late_reader) = self.late_readers.borrow_mut().remove(&id) {
            late_reader.abort();
        }
    }

    /// Closes the connection that is needed least; whether there was one.
    pub fn close_idle_connection(&self) -> bool {
        let evicted = self.pools.borrow_mut().evict_idle();
        let Some(id) = evicted else { return false };
        self.close(id);
        true
    }
}
