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
mod hosts;
mod late;
mod messages;
mod origin;
mod response;
mod send_audit;
mod streaming;
mod surplus;
mod value;
mod value_response;

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
use hosts::HostEntry;

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
