//! Which connection of a host carries a push, when another is opened, how many are kept, and when one is dead or in doubt.
//! Pure: time comes in with every call, chance from a seed; sockets are the caller's, who tells what came of each step.
//!
//! For a push: [`ConnectionPools::grant`]; then [`ConnectionPools::opened`] or [`ConnectionPools::failed`] where that said to open; [`ConnectionPools::sent`] once
//! its last byte is written; and at its end one of [`ConnectionPools::answered`], [`ConnectionPools::silent`], [`ConnectionPools::broke`] or
//! [`ConnectionPools::abandoned`]. [`ConnectionPools::tick`] every now and then; [`ConnectionPools::actions`] after any of these.
//!
//! It never decides which host an op goes to or whether it goes again: it says of a fault whose it was ([`Fault`]), tells of
//! pushes in doubt and of hosts that are surely alive, and the module decides. It opens, closes and reads nothing itself.
//!
//! Measured against RFC 9110 9.3 (what a closed connection says of a request on it): a connection that ends over a request
//! may have carried it, whoever is at fault.

mod opening;
mod pool;

use std::collections::BTreeMap;

use basaltwood::types::{HostId, Micros, SeededRng};

use opening::TokenBucket;
pub use pool::ConnectionState;
use pool::{Connection, HostPool};

/// A connection, never used again for another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    pub seed: u64,
    /// Balancers that do as this one does: what is bounded is bounded for all of them together.
    pub balancers: u32,
    /// Hosts close a connection that has stood idle for so long, by what the settings say.
    pub idle_timeout: Micros,
    /// A connection that is not up by then will not come up.
    pub connect_timeout: Micros,
    /// Descriptors that connections to hosts may take.
    pub max_connections: usize,
}

/// What a push gets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// This connection, which is up.
    Reuse(ConnectionId),
    /// A new one: open it.
    Open(ConnectionId),
    /// Not before then, or before a connection comes free.
    RetryAt(Micros),
    /// The host does not let connections come up, and is not asked before its pause is over.
    CircuitOpen,
    /// The host holds its part of the descriptors with pushes that it does not answer.
    Exhausted,
}

/// Whose fault an end was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection's: the host is well, as far as anyone knows.
    Connection,
    /// Perhaps the host's.
    Host,
}

/// Why a connection did not come up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// Refused, or not up in time.
    Host,
    /// The push was over meanwhile, or there was no descriptor: nothing was learnt of the host.
    Local,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    Close(ConnectionId),
    /// The push on this one is in doubt: others of its host answer, and it does not.
    AttemptInDoubt(ConnectionId),
    /// This host answered on a connection from before its silence: it is alive, and the same as before.
    HostAlive(HostId),
}

/// What it counts, for an operator.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Kept connections that were not trusted any more for their age, or for a fellow's end.
    pub presumed_stale: u64,
    /// More than were needed of late.
    pub surplus_closed: u64,
    /// Kept connections that turned out dead under a push.
    pub connection_faults: u64,
    /// Pushes in doubt.
    pub attempts_in_doubt: u64,
    /// Connections that were listened to after their push had given up, and that answered then.
    pub late_responses: u64,
    /// Grants put off, and refused.
    pub connects_throttled: u64,
    pub connects_circuit_open: u64,
    pub connects_exhausted: u64,
    /// Times that this process itself stood still.
    pub process_stalls: u64,
}

/// A stretch without a tick that is taken for a stop of our own.
const STALL_THRESHOLD: Micros = 400_000;
/// Hosts that must have learnt of an age before others believe it.
const HOSTS_IN_AGREEMENT: usize = 2;
/// Kept connections of so many hosts that turn out dead within this, with none that is good: what stands between forgot
/// them all.
const OUTBREAK_HOSTS: usize = 3;
const OUTBREAK_WINDOW: Micros = 500_000;

pub struct ConnectionPools {
    config: PoolConfig,
    rng: SeededRng,
    hosts: BTreeMap<HostId, HostPool>,
    connections: BTreeMap<ConnectionId, HostId>,
    next: u64,
    connect_bucket: TokenBucket,
    actions: Vec<PoolAction>,
    stats: PoolStats,
    last_tick: Option<Micros>,
    /// The age that several hosts' connections have proved good up to, as of the last tick.
    fleet_idle_limit: Micros,
    /// When kept connections of a host last turned out dead, by host.
    dead: Vec<(Micros, HostId)>,
}

impl std::fmt::Display for PoolStats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "connections_presumed_stale={} connections_surplus_closed={} connection_faults={} attempts_in_doubt={} late_responses={} connects_throttled={} \
             connects_circuit_open={} connects_exhausted={} process_stalls={}",
            self.presumed_stale,
            self.surplus_closed,
            self.connection_faults,
            self.attempts_in_doubt,
            self.late_responses,
            self.connects_throttled,
            self.connects_circuit_open,
            self.connects_exhausted,
            self.process_stalls
        )
    }
}

impl ConnectionPools {
    pub fn new(config: PoolConfig) -> ConnectionPools {
        ConnectionPools {
            rng: SeededRng::new(config.seed),
            connect_bucket: TokenBucket::for_all_hosts(config.balancers),
            config,
            hosts: BTreeMap::new(),
            connections: BTreeMap::new(),
            next: 0,
            actions: Vec::new(),
            stats: PoolStats::default(),
            last_tick: None,
            fleet_idle_limit: pool::configured_idle_limit(config.idle_timeout),
            dead: Vec::new(),
        }
    }

    /// So many descriptors may be taken from now on.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.config.max_connections = max_connections;
    }

    pub fn stats(&self) -> PoolStats {
        self.stats
    }

    /// What is to be done by now.
    pub fn take_actions(&mut self) -> Vec<PoolAction> {
        std::mem::take(&mut self.actions)
    }

    /// Where a connection stands, for traces.
    pub fn state(&self, connection: ConnectionId) -> ConnectionState {
        let pool = self.connections.get(&connection).and_then(|host| self.hosts.get(host));
        pool.and_then(|pool| pool.connections.get(&connection))
            .map_or(ConnectionState::Closed, |connection| connection.state)
    }

    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Another machine stands at the host's address now, or another address is the host's: nothing open goes there.
    pub fn host_moved(&mut self, host: HostId) {
        let Some(pool) = self.hosts.remove(&host) else { return };
        let idle = pool.connections.iter().filter(|(_, connection)| !connection.busy()).map(|(id, _)| *id);
        self.actions.extend(idle.map(PoolAction::Close));
        // What carries a push goes on, and is closed at its end: nobody knows it here any more.
        for id in pool.connections.keys() {
            self.connections.remove(id);
        }
    }

    /// Takes nothing new: it needs no idle connections.
    pub fn host_draining(&mut self, host: HostId) {
        let Some(pool) = self.hosts.get(&host) else { return };
        let idle: Vec<ConnectionId> =
            pool.connections.iter().filter(|(_, connection)| !connection.busy()).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.close(id));
    }

    /// What a push to this host gets now.
    pub fn checkout(&mut self, now: Micros, host: HostId) -> Checkout {
        let trust = self.idle_limit(host);
        let short = self.connections.len() * 8 >= self.config.max_connections * 7;
        let fair = (2 * self.config.max_connections / self.hosts.len().max(1)).max(4);
        let pool = self.hosts.entry(host).or_insert_with(|| HostPool::new(self.config.idle_timeout));
        // The one used last is used first, so that those not needed grow old.
        while let Some(id) = pool.most_recently_used() {
            let connection = pool.connections.get_mut(&id).expect("it is there");
            if now - connection.idle_since < trust {
                connection.reused_at_age = Some(now - connection.idle_since);
                connection.state = ConnectionState::Active;
                pool.note_peak_use(now);
                return Checkout::Reuse(id);
            }
            // Older than is known to be good: one is opened beside it rather than that it is trusted with a push.
            self.stats.presumed_stale += 1;
            pool.connections.remove(&id);
            self.connections.remove(&id);
            self.actions.push(PoolAction::Close(id));
        }
        let busy = pool.connections.len();
        if short && busy >= fair {
            self.stats.connects_exhausted += 1;
            return Checkout::Exhausted;
        }
        if let Some(until) = pool.circuit_breaker.until(now) {
            self.stats.connects_circuit_open += 1;
            // One at a time goes out to see, once the pause is over.
            return if until > now { Checkout::CircuitOpen } else { Checkout::RetryAt(now + 10_000) };
        }
        let next_token_at =
            pool.connect_bucket.next_token_at(now).max(self.connect_bucket.next_token_at(now));
        if next_token_at > now {
            self.stats.connects_throttled += 1;
            return Checkout::RetryAt(next_token_at);
        }
        pool.connect_bucket.take(now);
        self.connect_bucket.take(now);
        pool.circuit_breaker.connect_started();
        let id = ConnectionId(self.next);
        self.next += 1;
        pool.connections.insert(id, Connection::new(now));
        self.connections.insert(id, host);
        pool.note_peak_use(now);
        Checkout::Open(id)
    }

    /// How old an idle connection of this host may be: what was learnt there, or what several others have learnt.
    fn idle_limit(&self, host: HostId) -> Micros {
        let own = self.hosts.get(&host).map_or(Micros::MAX, |pool| pool.idle_limit.limit());
        own.min(self.fleet_idle_limit)
    }

    /// What several hosts have learnt of ages.
    fn agreed_idle_limit(&self) -> Micros {
        let mut learnt: Vec<Micros> =
            self.hosts.values().filter_map(|pool| pool.idle_limit.learned()).collect();
        learnt.sort_unstable();
        learnt
            .get(HOSTS_IN_AGREEMENT - 1)
            .copied()
            .unwrap_or(Micros::MAX)
            .min(pool::configured_idle_limit(self.config.idle_timeout))
    }

    fn with_pool_of<T>(
        &mut self,
        connection: ConnectionId,
        act: impl FnOnce(&mut HostPool, ConnectionId) -> T,
    ) -> Option<T> {
        let host = self.connections.get(&connection)?;
        let pool = self.hosts.get_mut(host).filter(|pool| pool.connections.contains_key(&connection))?;
        Some(act(pool, connection))
    }

    fn close(&mut self, connection: ConnectionId) {
        if let Some(host) = self.connections.remove(&connection) {
            if let Some(pool) = self.hosts.get_mut(&host) {
                pool.connections.remove(&connection);
            }
            self.actions.push(PoolAction::Close(connection));
        }
    }

    fn forget_connection(&mut self, connection: ConnectionId) {
        if let Some(host) = self.connections.remove(&connection) {
            if let Some(pool) = self.hosts.get_mut(&host) {
                pool.connections.remove(&connection);
            }
        }
    }

    /// A connection is up.
    pub fn connected(&mut self, now: Micros, connection: ConnectionId) {
        self.with_pool_of(connection, |pool, id| {
            pool.circuit_breaker.reset();
            if let Some(connection) = pool.connections.get_mut(&id) {
                connection.opened_at = now;
                connection.state = ConnectionState::Warming;
            }
        });
    }

    /// It did not come up.
    pub fn connect_failed(&mut self, now: Micros, connection: ConnectionId, why: ConnectFailure) {
        let (balancers, draw) = (self.config.balancers, self.rng.draw());
        self.with_pool_of(connection, |pool, _| match why {
            ConnectFailure::Host => {
                pool.circuit_breaker.connect_failed(now, draw);
                pool.connect_bucket.throttle_recovery(now, balancers);
            }
            ConnectFailure::Local => pool.circuit_breaker.connect_abandoned(),
        });
        self.forget_connection(connection);
    }

    /// A push's last byte is written on it.
    pub fn request_sent(&mut self, now: Micros, connection: ConnectionId) {
        self.with_pool_of(connection, |pool, id| {
            if let Some(connection) = pool.connections.get_mut(&id) {
                connection.sent_at = Some(now);
                connection.doubted = false;
            }
        });
    }

    /// A kept connection was found ended before its use. Its host said so in time: nothing is lost, and nothing learnt.
    pub fn found_closed(&mut self, connection: ConnectionId) {
        self.forget_connection(connection);
    }

    /// An answer came, whatever it said; `keep` where the connection can carry another push. Whether it is kept.
    pub fn answered(&mut self, now: Micros, connection: ConnectionId, keep: bool) -> bool {
        let known = self.with_pool_of(connection, |pool, id| {
            let stood = pool
                .connections
                .get(&id)
                .and_then(|connection| Some((connection.sent_at?, connection.reused_at_age?)));
            pool.answered(id, now);
            if keep {
                pool.became_idle(id, now);
            }
            stood
        });
        // One from before the first that was dead, and used after it, is good: there was no forgetting at large.
        let before = |at: Micros| known.flatten().is_some_and(|(sent, age)| sent > at && sent - age < at);
        if self.dead.first().is_some_and(|dead| before(dead.0)) {
            self.dead.clear();
        }
        if !keep {
            self.forget_connection(connection);
        }
        keep && known.is_some()
    }

    /// The head of a long answer came: its host is well and has answered in this time. Pools hear of its end with
    /// [`ConnectionPools::answered`] or [`ConnectionPools::abandoned`], and however long that takes it tells nothing of the host.
    pub fn response_begun(&mut self, now: Micros, connection: ConnectionId) {
        self.with_pool_of(connection, |pool, id| {
            pool.answered(id, now);
            if let Some(connection) = pool.connections.get_mut(&id) {
                (connection.sent_at, connection.reused_at_age) = (None, None);
            }
        });
    }

    /// Its push was called off, or what came on it made no sense: it is closed, and nothing was learnt of its host.
    pub fn abandoned(&mut self, connection: ConnectionId) {
        self.with_pool_of(connection, |pool, id| {
            if pool
                .connections
                .get(&id)
                .is_some_and(|connection| connection.state == ConnectionState::Connecting)
            {
                pool.circuit_breaker.connect_abandoned();
            }
        });
        self.forget_connection(connection);
    }

    /// The push on it waits no longer. The connection is listened to from now on where that may tell something: keep it,
    /// and tell of what comes with [`ConnectionPools::late`]; an order closes it. Whose fault it was, and whether to listen.
    pub fn attempt_timed_out(&mut self, now: Micros, connection: ConnectionId) -> (Fault, bool) {
        let found = self.with_pool_of(connection, |pool, id| {
            let fault = pool.timeout_fault(id);
            (fault, pool.awaits_late_response(id, now))
        });
        let (fault, listens) = found.unwrap_or((Fault::Host, false));
        if !listens {
            self.forget_connection(connection);
        }
        (fault, listens)
    }

    /// Something came on a connection that is listened to: a whole answer after which it can carry pushes again, or its
    /// end, or bytes of no sense. Whether it is kept.
    pub fn late_response(&mut self, now: Micros, connection: ConnectionId, whole: bool) -> bool {
        let Some(&host) = self.connections.get(&connection) else { return false };
        if whole {
            self.stats.late_responses += 1;
            let silent = self.with_pool_of(connection, |pool, id| {
                let silent = pool.silent_since_sent(id);
                pool.answered(id, now);
                pool.became_idle(id, now);
                silent
            });
            // One that answers others all along is not told to be back.
            if silent == Some(true) {
                self.actions.push(PoolAction::HostAlive(host));
            }
            return true;
        }
        self.forget_connection(connection);
        false
    }

    /// It ended over a push: whose fault that was.
    pub fn connection_lost(&mut self, now: Micros, connection: ConnectionId) -> Fault {
        let Some(&host) = self.connections.get(&connection) else { return Fault::Host };
        let balancers = self.config.balancers;
        let found = self.with_pool_of(connection, |pool, id| {
            let (fault, fellows) = pool.lost(id, now);
            if fault == Fault::Host {
                pool.connect_bucket.throttle_recovery(now, balancers);
            }
            (fault, fellows)
        });
        let (fault, fellows) = found.unwrap_or((Fault::Host, Vec::new()));
        self.forget_connection(connection);
        if fault == Fault::Connection {
            self.stats.connection_faults += 1;
            self.stats.presumed_stale += fellows.len() as u64;
            fellows.into_iter().for_each(|fellow| self.close(fellow));
            self.note_connection_fault(now, host);
        }
        fault
    }

    /// Kept connections of several hosts that turn out dead at about one time: what stands between has forgotten them all,
    /// and no other is trusted that was idle then.
    fn note_connection_fault(&mut self, now: Micros, host: HostId) {
        self.dead.retain(|&(at, other)| now - at < OUTBREAK_WINDOW && other != host);
        self.dead.push((now, host));
        if self.dead.len() < OUTBREAK_HOSTS {
            return;
        }
        let since = self.dead.iter().map(|dead| dead.0).min().unwrap_or(now);
        let idle = |connection: &Connection| {
            connection.state == ConnectionState::Idle && connection.idle_since < since
        };
        let all = self.hosts.values().flat_map(|pool| pool.connections.iter());
        let stale: Vec<ConnectionId> =
            all.filter(|(_, connection)| idle(connection)).map(|(id, _)| *id).collect();
        self.stats.presumed_stale += stale.len() as u64;
        stale.into_iter().for_each(|id| self.close(id));
    }

    /// Descriptors are short: the connection that stood idle longest, or was only listened to, is to be closed.
    pub fn evict_idle(&mut self) -> Option<ConnectionId> {
        let all = self.hosts.values().flat_map(|pool| pool.connections.iter());
        let idle = all.filter(|(_, connection)| !connection.busy());
        let oldest = idle
            .min_by_key(|(_, connection)| (connection.state == ConnectionState::Idle, connection.idle_since))
            .map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.forget_connection(id);
        }
        oldest
    }

    /// Looks after all that stands or waits. To be called several times a second; a gap says that this process itself
    /// stood still, and then nobody's silence counts. How long it did, if so.
    pub fn tick(&mut self, now: Micros) -> Micros {
        let gap = self.last_tick.replace(now).map_or(0, |before| now - before);
        let stopped = if gap > STALL_THRESHOLD { gap } else { 0 };
        if stopped > 0 {
            self.stats.process_stalls += 1;
            for connection in self.hosts.values_mut().flat_map(|pool| pool.connections.values_mut()) {
                connection.sent_at = connection.sent_at.map(|sent| sent + stopped);
            }
        }
        self.fleet_idle_limit = self.agreed_idle_limit();
        let mut closed = Vec::new();
        for pool in self.hosts.values_mut() {
            let trust = self.fleet_idle_limit.min(pool.idle_limit.limit());
            let (old, surplus, doubted) =
                (pool.expired(now, trust), pool.surplus(now), pool.attempts_in_doubt(now));
            pool.decay(now);
            self.stats.presumed_stale += old.len() as u64;
            self.stats.surplus_closed += surplus.len() as u64;
            self.stats.attempts_in_doubt += doubted.len() as u64;
            self.actions.extend(doubted.into_iter().map(PoolAction::AttemptInDoubt));
            closed.extend(old.into_iter().chain(surplus));
        }
        closed.into_iter().for_each(|id| self.close(id));
        stopped
    }

    /// A host that is not known any more, with nothing open there that is of use.
    pub fn forget_host(&mut self, host: HostId) {
        self.host_moved(host);
        self.dead.retain(|dead| dead.1 != host);
    }
}
