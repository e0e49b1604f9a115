//! The connection pools of all hosts.

use std::collections::BTreeMap;

use basaltwood::types::{HostId, Micros, SeededRng};

use crate::circuit_breaker::CircuitState;
use crate::connection::ConnectionState;
use crate::correlated_faults::CorrelatedFaults;
use crate::host_pool::{HostPool, Loss};
use crate::idle_limit::configured_idle_limit;
use crate::stats::PoolStats;
use crate::token_bucket::TokenBucket;
use crate::{Checkout, ConnectFailure, ConnectionId, Fault, PoolAction, PoolConfig, TimeoutVerdict};

/// A longer interval between two ticks counts as a stall of this process.
const STALL_THRESHOLD: Micros = 400_000;
/// Number of hosts that must have learned an idle limit before it applies to all hosts.
const HOSTS_TO_AGREE: usize = 2;
/// Descriptors count as short once connections to hosts hold 7/8 of them, those for clients
/// included.
const SHORTAGE_NUMERATOR: usize = 7;
const SHORTAGE_DENOMINATOR: usize = 8;
/// While descriptors are short, a host may hold at most this multiple of its even share of them.
const MAX_EVEN_SHARES: usize = 2;
/// Lower bound of what a host may hold while descriptors are short, in connections.
const MIN_HOST_SHARE: usize = 4;
/// Delay before a checkout is retried while a probe is under way; the probe ends soon by itself.
const PROBE_RECHECK_DELAY: Micros = 10_000;

/// The connections to all hosts. Decides which one carries an attempt, when another is opened and
/// how many are kept.
pub struct ConnectionPools {
    config: PoolConfig,
    rng: SeededRng,
    hosts: BTreeMap<HostId, HostPool>,
    /// The host of each connection, for as long as the connection is in that host's pool.
    connections: BTreeMap<ConnectionId, HostId>,
    next_id: u64,
    /// Limits the rate of connects to all hosts together.
    connect_bucket: TokenBucket,
    actions: Vec<PoolAction>,
    stats: PoolStats,
    last_tick: Option<Micros>,
    /// The idle limit that several hosts have learned, as of the last tick.
    fleet_idle_limit: Micros,
    correlated_faults: CorrelatedFaults,
}

impl ConnectionPools {
    /// Creates pools without hosts and connections.
    pub fn new(config: PoolConfig) -> ConnectionPools {
        ConnectionPools {
            rng: SeededRng::new(config.seed),
            connect_bucket: TokenBucket::for_all_hosts(config.balancers),
            config,
            hosts: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_id: 0,
            actions: Vec::new(),
            stats: PoolStats::default(),
            last_tick: None,
            fleet_idle_limit: configured_idle_limit(config.idle_timeout),
            correlated_faults: CorrelatedFaults::default(),
        }
    }

    /// Sets the number of descriptors that connections to hosts are compared with from now on.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.config.max_connections = max_connections;
    }

    /// Counts since process start.
    pub fn stats(&self) -> PoolStats {
        self.stats
    }

    /// Takes the pending actions; the caller performs them in this order.
    pub fn take_actions(&mut self) -> Vec<PoolAction> {
        std::mem::take(&mut self.actions)
    }

    /// The state of a connection, for traces.
    pub fn state(&self, id: ConnectionId) -> ConnectionState {
        let pool = self.connections.get(&id).and_then(|host| self.hosts.get(host));
        let connection = pool.and_then(|pool| pool.connections.get(&id));
        connection.map_or(ConnectionState::Closed, |connection| connection.state)
    }

    /// Number of connections that are open or being opened.
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// The host has another address, or its address belongs to another machine now: closes unused
    /// connections and forgets the others.
    pub fn host_moved(&mut self, host: HostId) {
        let Some(pool) = self.hosts.remove(&host) else { return };
        self.actions.extend(pool.unused().into_iter().map(PoolAction::Close));
        // A connection in use completes its request and is then closed, because the pools do not
        // know it any more.
        for id in pool.connections.keys() {
            self.connections.remove(id);
        }
    }

    /// The host accepts no new attempts: closes its unused connections.
    pub fn host_draining(&mut self, host: HostId) {
        self.close_unused(host);
    }

    /// The host may send responses twice, so that bytes on its connections may not belong to the
    /// next request: closes its unused connections.
    pub fn duplicates_suspected(&mut self, host: HostId) {
        self.close_unused(host);
    }

    fn close_unused(&mut self, host: HostId) {
        let Some(pool) = self.hosts.get(&host) else { return };
        let unused = pool.unused();
        self.close_all(unused);
    }

    /// Sets the number of hosts in the fleet, which the limit for all hosts depends on.
    pub fn set_hosts(&mut self, now: Micros, hosts: usize) {
        self.connect_bucket.set_hosts(now, self.config.balancers, hosts);
    }

    /// Reserves the next connect under the limit for all hosts and returns when it is due; `None`
    /// if that is later than `latest`. [`ConnectionPools::checkout_with_reservation`] uses the
    /// reservation up if it returns [`Checkout::Open`]; otherwise the caller has to cancel it.
    pub fn reserve_connect(&mut self, now: Micros, latest: Micros) -> Option<Micros> {
        let due_at = self.connect_bucket.next_token_at(now);
        if due_at > latest {
            return None;
        }
        self.connect_bucket.take(now);
        Some(due_at)
    }

    /// Cancels a reservation that was not used.
    pub fn cancel_reservation(&mut self) {
        self.connect_bucket.return_token();
    }

    /// Gets a connection for an attempt at this host.
    pub fn checkout(&mut self, now: Micros, host: HostId) -> Checkout {
        self.checkout_with_reservation(now, host, false)
    }

    /// Like [`ConnectionPools::checkout`], for an attempt that may hold a reservation that is due.
    pub fn checkout_with_reservation(
        &mut self,
        now: Micros,
        host: HostId,
        has_reservation: bool,
    ) -> Checkout {
        // Computed before this call adds a host or removes connections.
        let idle_limit = self.idle_limit(host);
        let descriptors_short = self.descriptors_short();
        let max_host_share = self.max_host_share();
        let idle_timeout = self.config.idle_timeout;
        self.hosts.entry(host).or_insert_with(|| HostPool::new(idle_timeout));
        let held = self.hosts.get(&host).map_or(0, |pool| pool.connections.len());
        let has_descriptors = !descriptors_short || held < max_host_share;
        if has_descriptors && self.tests_silent_host(now, host, has_reservation) {
            return self.open(now, host, has_reservation);
        }
        if let Some(id) = self.reuse_idle(now, host, idle_limit) {
            return Checkout::Reuse(id);
        }
        if !has_descriptors {
            self.stats.connects_exhausted += 1;
            return Checkout::Exhausted;
        }
        self.open(now, host, has_reservation)
    }

    /// Whether a new connection is opened although others are idle: the host is silent, and those
    /// may all have died with the one that shows it. A new one tells dead connections from a host that
    /// hangs.
    fn tests_silent_host(&mut self, now: Micros, host: HostId, has_reservation: bool) -> bool {
        let Some(pool) = self.hosts.get_mut(&host) else { return false };
        let may_open = pool.circuit_breaker.state(now) == CircuitState::Closed
            && pool.connect_bucket.next_token_at(now) <= now
            && (has_reservation || self.connect_bucket.next_token_at(now) <= now);
        may_open && pool.is_silent_on_reused_connections(now)
    }

    fn descriptors_short(&self) -> bool {
        self.connections.len() * SHORTAGE_DENOMINATOR >= self.config.max_connections * SHORTAGE_NUMERATOR
    }

    fn max_host_share(&self) -> usize {
        let hosts = self.hosts.len().max(1);
        (MAX_EVEN_SHARES * self.config.max_connections / hosts).max(MIN_HOST_SHARE)
    }

    /// Reuses the most recently used of the connections that have rested since their response, so
    /// that those not needed age and are closed.
    fn reuse_idle(&mut self, now: Micros, host: HostId, idle_limit: Micros) -> Option<ConnectionId> {
        let pool = self.hosts.get_mut(&host)?;
        let rested_since = now - self.config.rest_after_response;
        while let Some(id) = pool.most_recently_used(rested_since) {
            if pool.reuse(now, id, idle_limit) {
                return Some(id);
            }
            // Idle for longer than is known to be safe: rather than risk an attempt on it, a new
            // connection is opened.
            self.stats.presumed_stale += 1;
            pool.connections.remove(&id);
            self.connections.remove(&id);
            self.actions.push(PoolAction::Close(id));
        }
        None
    }

    /// Opens a new connection if the circuit breaker and both rate limits allow it.
    fn open(&mut self, now: Micros, host: HostId, has_reservation: bool) -> Checkout {
        let Some(pool) = self.hosts.get_mut(&host) else { return Checkout::CircuitOpen };
        let reusable_at = pool.longest_idle_since().map(|since| since + self.config.rest_after_response);
        match pool.circuit_breaker.state(now) {
            CircuitState::Closed => {}
            CircuitState::Open => {
                self.stats.connects_circuit_open += 1;
                return Checkout::CircuitOpen;
            }
            CircuitState::Probing => {
                self.stats.connects_circuit_open += 1;
                return Checkout::RetryAt(now + PROBE_RECHECK_DELAY);
            }
        }
        let host_token_at = pool.connect_bucket.next_token_at(now);
        if host_token_at > now {
            self.stats.connects_throttled += 1;
            return Checkout::RetryAt(reusable_at.map_or(host_token_at, |at| at.min(host_token_at)));
        }
        if !has_reservation {
            let token_at = self.connect_bucket.next_token_at(now);
            if token_at > now {
                self.stats.connects_throttled += 1;
                if let Some(at) = reusable_at {
                    return Checkout::RetryAt(at);
                }
                return Checkout::Throttled(token_at);
            }
            self.connect_bucket.take(now);
        }
        pool.connect_bucket.take(now);
        pool.circuit_breaker.connect_started();
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(id, host);
        pool.connecting(now, id);
        Checkout::Open(id)
    }

    /// How long a connection to this host may be idle: the shorter of the host's own limit and the
    /// one that several hosts have learned.
    fn idle_limit(&self, host: HostId) -> Micros {
        let own = self.hosts.get(&host).map_or(Micros::MAX, |pool| pool.idle_limit.limit());
        own.min(self.fleet_idle_limit)
    }

    /// The idle limit that [`HOSTS_TO_AGREE`] hosts have learned, at most the configured one.
    fn agreed_idle_limit(&self) -> Micros {
        let learned = self.hosts.values().filter_map(|pool| pool.idle_limit.learned());
        let mut learned: Vec<Micros> = learned.collect();
        learned.sort_unstable();
        let agreed = learned.get(HOSTS_TO_AGREE - 1).copied().unwrap_or(Micros::MAX);
        agreed.min(configured_idle_limit(self.config.idle_timeout))
    }

    /// The pool that holds this connection.
    fn pool_of(&mut self, id: ConnectionId) -> Option<&mut HostPool> {
        let host = self.connections.get(&id)?;
        self.hosts.get_mut(host).filter(|pool| pool.connections.contains_key(&id))
    }

    /// Forgets a connection that the caller closes; returns whether it was known.
    fn forget(&mut self, id: ConnectionId) -> bool {
        let Some(host) = self.connections.remove(&id) else { return false };
        if let Some(pool) = self.hosts.get_mut(&host) {
            pool.connections.remove(&id);
        }
        true
    }

    /// Forgets connections and requests that the caller close them.
    fn close_all(&mut self, ids: Vec<ConnectionId>) {
        for id in ids {
            if self.forget(id) {
                self.actions.push(PoolAction::Close(id));
            }
        }
    }

    /// Reports that a connection is established.
    pub fn connected(&mut self, id: ConnectionId) {
        if let Some(pool) = self.pool_of(id) {
            pool.connected(id);
        }
    }

    /// Reports that a connection could not be established.
    pub fn connect_failed(&mut self, now: Micros, id: ConnectionId, failure: ConnectFailure) {
        // Drawn on every path, so that later draws do not depend on the kind of failure.
        let (balancers, draw) = (self.config.balancers, self.rng.draw());
        if let Some(pool) = self.pool_of(id) {
            match failure {
                ConnectFailure::Host => {
                    pool.circuit_breaker.connect_failed(now, draw);
                    pool.connect_bucket.throttle_recovery(now, balancers);
                }
                ConnectFailure::Local => pool.circuit_breaker.connect_abandoned(),
            }
        }
        self.forget(id);
    }

    /// Reports that the last byte of a request was written to the connection.
    pub fn request_sent(&mut self, now: Micros, id: ConnectionId) {
        let connection = self.pool_of(id).and_then(|pool| pool.connections.get_mut(&id));
        if let Some(connection) = connection {
            connection.request_sent(now);
        }
    }

    /// Reports that an idle connection was found closed before its use. The host closed it in time:
    /// no request was lost, and nothing is learned from it.
    pub fn found_closed(&mut self, id: ConnectionId) {
        self.forget(id);
    }

    /// Reports a whole response, whatever its content. `keep` tells whether the connection can
    /// carry another request; returns whether it is kept.
    pub fn answered(&mut self, now: Micros, id: ConnectionId, keep: bool) -> bool {
        let Some(pool) = self.pool_of(id) else { return false };
        let reused = pool.reuse_under_way(id);
        pool.answered(now, id);
        if keep {
            pool.became_idle(now, id);
        }
        if let Some(reused) = reused {
            self.correlated_faults.reuse_succeeded(reused.sent_at, reused.idle_for);
        }
        if !keep {
            self.forget(id);
        }
        keep
    }

    /// Reports the head of a long response, which counts as the host's response time. The end of
    /// the response is reported with [`ConnectionPools::answered`] or
    /// [`ConnectionPools::abandoned`]; how long it takes is no evidence about the host.
    pub fn response_begun(&mut self, now: Micros, id: ConnectionId) {
        let Some(pool) = self.pool_of(id) else { return };
        pool.answered(now, id);
        if let Some(connection) = pool.connections.get_mut(&id) {
            connection.clear_request();
        }
    }

    /// Reports that the connection is closed because its attempt was cancelled or its response
    /// could not be parsed. Nothing is learned about the host.
    pub fn abandoned(&mut self, id: ConnectionId) {
        if self.state(id) == ConnectionState::Connecting {
            if let Some(pool) = self.pool_of(id) {
                pool.circuit_breaker.connect_abandoned();
            }
        }
        self.forget(id);
    }

    /// Reports that the attempt on the connection timed out. If a late response is awaited, the
    /// caller keeps reading and reports the result with [`ConnectionPools::late_response`]; a
    /// [`PoolAction::Close`] ends the wait. Otherwise the caller closes the connection.
    pub fn attempt_timed_out(&mut self, now: Micros, id: ConnectionId) -> TimeoutVerdict {
        let verdict = match self.pool_of(id) {
            Some(pool) => pool.timed_out(now, id),
            None => TimeoutVerdict { fault: Fault::Host, await_late_response: false },
        };
        if !verdict.await_late_response {
            self.forget(id);
        }
        verdict
    }

    /// Reports the end of the wait for a late response. `whole` means a whole response after which
    /// the connection can carry requests again; otherwise it ended or sent bytes that could not be
    /// parsed. Returns whether the connection is kept.
    pub fn late_response(&mut self, now: Micros, id: ConnectionId, whole: bool) -> bool {
        let Some(&host) = self.connections.get(&id) else { return false };
        if !whole {
            self.forget(id);
            return false;
        }
        self.stats.late_responses += 1;
        let Some(pool) = self.pool_of(id) else { return true };
        let was_silent = pool.silent_since_sent(id);
        pool.answered(now, id);
        pool.became_idle(now, id);
        // A host that answered other requests meanwhile was never silent.
        if was_silent {
            self.actions.push(PoolAction::HostAlive(host));
        }
        true
    }

    /// Reports that the connection ended during a request; returns whose fault that was.
    pub fn connection_lost(&mut self, now: Micros, id: ConnectionId) -> Fault {
        let Some(&host) = self.connections.get(&id) else { return Fault::Host };
        let balancers = self.config.balancers;
        let Some(pool) = self.pool_of(id) else { return Fault::Host };
        let Loss { fault, presumed_stale } = pool.lost(now, id);
        if fault == Fault::Host {
            pool.connect_bucket.throttle_recovery(now, balancers);
        }
        self.forget(id);
        if fault == Fault::Connection {
            self.stats.connection_faults += 1;
            self.close_presumed_stale(presumed_stale);
            self.note_connection_fault(now, host);
        }
        fault
    }

    fn close_presumed_stale(&mut self, ids: Vec<ConnectionId>) {
        self.stats.presumed_stale += ids.len() as u64;
        self.close_all(ids);
    }

    /// Counts a connection fault. If faults of several hosts coincide, closes all connections that
    /// were idle when they began.
    fn note_connection_fault(&mut self, now: Micros, host: HostId) {
        let Some(since) = self.correlated_faults.record(now, host) else { return };
        let stale = self.hosts.values().flat_map(|pool| pool.idle_since_before(since)).collect();
        self.close_presumed_stale(stale);
    }

    /// Frees a descriptor: forgets a connection for the caller to close, first one that awaits a
    /// late response, then the one that was idle longest.
    pub fn evict_idle(&mut self) -> Option<ConnectionId> {
        let all = self.hosts.values().flat_map(|pool| pool.connections.iter());
        let unused = all.filter(|(_, connection)| !connection.in_use());
        let oldest = unused
            .min_by_key(|(_, connection)| (connection.state == ConnectionState::Idle, connection.idle_since));
        let id = oldest.map(|(id, _)| *id)?;
        self.forget(id);
        Some(id)
    }

    /// Expires connections and finds attempts in doubt. To be called several times a second: a
    /// longer gap means that this process itself stalled, and then no host's silence counts.
    /// Returns the length of the stall, 0 if there was none.
    pub fn tick(&mut self, now: Micros) -> Micros {
        let stalled_for = self.note_stall(now);
        self.fleet_idle_limit = self.agreed_idle_limit();
        let mut to_close = Vec::new();
        for pool in self.hosts.values_mut() {
            let idle_limit = self.fleet_idle_limit.min(pool.idle_limit.limit());
            let expired = pool.expired(now, idle_limit);
            let surplus = pool.surplus(now);
            let in_doubt = pool.newly_in_doubt(now);
            pool.tick(now);
            self.stats.presumed_stale += expired.len() as u64;
            self.stats.surplus_closed += surplus.len() as u64;
            self.stats.attempts_in_doubt += in_doubt.len() as u64;
            self.actions.extend(in_doubt.into_iter().map(PoolAction::AttemptInDoubt));
            to_close.extend(expired);
            to_close.extend(surplus);
        }
        self.close_all(to_close);
        stalled_for
    }

    /// The length of a stall of this process since the last tick, 0 if there was none. Requests
    /// under way count as sent that much later.
    fn note_stall(&mut self, now: Micros) -> Micros {
        let since_last_tick = self.last_tick.replace(now).map_or(0, |last_tick| now - last_tick);
        if since_last_tick <= STALL_THRESHOLD {
            return 0;
        }
        self.stats.process_stalls += 1;
        for connection in self.hosts.values_mut().flat_map(|pool| pool.connections.values_mut()) {
            connection.sent_at = connection.sent_at.map(|sent_at| sent_at + since_last_tick);
        }
        since_last_tick
    }

    /// Forgets a host that is no longer listed, and closes its unused connections.
    pub fn forget_host(&mut self, host: HostId) {
        self.host_moved(host);
        self.correlated_faults.forget_host(host);
    }
}
