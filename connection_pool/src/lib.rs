//! Which connection of a host carries a push, when another is opened, how many are kept, and when one is dead or in doubt.
//! Pure: time comes in with every call, chance from a seed; sockets are the caller's, who tells what came of each step.
//!
//! For a push: [`ConnectionPools::grant`]; then [`ConnectionPools::opened`] or [`ConnectionPools::failed`] where that said to open; [`ConnectionPools::sent`] once
//! its last byte is written; and at its end one of [`ConnectionPools::answered`], [`ConnectionPools::silent`], [`ConnectionPools::broke`] or
//! [`ConnectionPools::abandoned`]. [`ConnectionPools::tick`] every now and then; [`ConnectionPools::orders`] after any of these.
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
pub use pool::State;
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
    pub distrusted: u64,
    /// More than were needed of late.
    pub surplus: u64,
    /// Kept connections that turned out dead under a push.
    pub dead_kept: u64,
    /// Pushes in doubt.
    pub doubts: u64,
    /// Connections that were listened to after their push had given up, and that answered then.
    pub late: u64,
    /// Grants put off, and refused.
    pub put_off: u64,
    pub closed: u64,
    pub full: u64,
    /// Times that this process itself stood still.
    pub stopped: u64,
}

/// A stretch without a tick that is taken for a stop of our own.
const STOPPED: Micros = 400_000;
/// Hosts that must have learnt of an age before others believe it.
const SAY_SO: usize = 2;
/// Kept connections of so many hosts that turn out dead within this, with none that is good: what stands between forgot
/// them all.
const FORGOT: usize = 3;
const FORGOT_WITHIN: Micros = 500_000;

pub struct ConnectionPools {
    terms: PoolConfig,
    chance: SeededRng,
    hosts: BTreeMap<HostId, HostPool>,
    links: BTreeMap<ConnectionId, HostId>,
    next: u64,
    pace: TokenBucket,
    orders: Vec<PoolAction>,
    counted: PoolStats,
    ticked: Option<Micros>,
    /// The age that several hosts' connections have proved good up to, as of the last tick.
    others: Micros,
    /// When kept connections of a host last turned out dead, by host.
    dead: Vec<(Micros, HostId)>,
}

impl std::fmt::Display for PoolStats {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "links_distrusted={} links_surplus={} links_dead_kept={} pushes_doubted={} links_late={} opens_put_off={} \
             opens_closed={} opens_full={} own_stops={}",
            self.distrusted,
            self.surplus,
            self.dead_kept,
            self.doubts,
            self.late,
            self.put_off,
            self.closed,
            self.full,
            self.stopped
        )
    }
}

impl ConnectionPools {
    pub fn new(terms: PoolConfig) -> ConnectionPools {
        ConnectionPools {
            chance: SeededRng::new(terms.seed),
            pace: TokenBucket::of_all(terms.balancers),
            terms,
            hosts: BTreeMap::new(),
            links: BTreeMap::new(),
            next: 0,
            orders: Vec::new(),
            counted: PoolStats::default(),
            ticked: None,
            others: pool::by_settings(terms.idle_timeout),
            dead: Vec::new(),
        }
    }

    /// So many descriptors may be taken from now on.
    pub fn set_max_connections(&mut self, max_connections: usize) {
        self.terms.max_connections = max_connections;
    }

    pub fn stats(&self) -> PoolStats {
        self.counted
    }

    /// What is to be done by now.
    pub fn take_actions(&mut self) -> Vec<PoolAction> {
        std::mem::take(&mut self.orders)
    }

    /// Where a connection stands, for traces.
    pub fn state(&self, link: ConnectionId) -> State {
        let pool = self.links.get(&link).and_then(|host| self.hosts.get(host));
        pool.and_then(|pool| pool.links.get(&link)).map_or(State::Closed, |link| link.state)
    }

    pub fn open_connections(&self) -> usize {
        self.links.len()
    }

    /// Another machine stands at the host's address now, or another address is the host's: nothing open goes there.
    pub fn host_moved(&mut self, host: HostId) {
        let Some(pool) = self.hosts.remove(&host) else { return };
        let idle = pool.links.iter().filter(|(_, link)| !link.busy()).map(|(id, _)| *id);
        self.orders.extend(idle.map(PoolAction::Close));
        // What carries a push goes on, and is closed at its end: nobody knows it here any more.
        for id in pool.links.keys() {
            self.links.remove(id);
        }
    }

    /// Takes nothing new: it needs no idle connections.
    pub fn host_draining(&mut self, host: HostId) {
        let Some(pool) = self.hosts.get(&host) else { return };
        let idle: Vec<ConnectionId> =
            pool.links.iter().filter(|(_, link)| !link.busy()).map(|(id, _)| *id).collect();
        idle.into_iter().for_each(|id| self.close(id));
    }

    /// What a push to this host gets now.
    pub fn checkout(&mut self, now: Micros, host: HostId) -> Checkout {
        let trust = self.trust(host);
        let short = self.links.len() * 8 >= self.terms.max_connections * 7;
        let fair = (2 * self.terms.max_connections / self.hosts.len().max(1)).max(4);
        let pool = self.hosts.entry(host).or_insert_with(|| HostPool::new(self.terms.idle_timeout));
        // The one used last is used first, so that those not needed grow old.
        while let Some(id) = pool.youngest() {
            let link = pool.links.get_mut(&id).expect("it is there");
            if now - link.idle_since < trust {
                link.reused_at_age = Some(now - link.idle_since);
                link.state = State::Carrying;
                pool.carrying_peaks(now);
                return Checkout::Reuse(id);
            }
            // Older than is known to be good: one is opened beside it rather than that it is trusted with a push.
            self.counted.distrusted += 1;
            pool.links.remove(&id);
            self.links.remove(&id);
            self.orders.push(PoolAction::Close(id));
        }
        let busy = pool.links.len();
        if short && busy >= fair {
            self.counted.full += 1;
            return Checkout::Exhausted;
        }
        if let Some(until) = pool.circuit.until(now) {
            self.counted.closed += 1;
            // One at a time goes out to see, once the pause is over.
            return if until > now { Checkout::CircuitOpen } else { Checkout::RetryAt(now + 10_000) };
        }
        let free_at = pool.pace.free_at(now).max(self.pace.free_at(now));
        if free_at > now {
            self.counted.put_off += 1;
            return Checkout::RetryAt(free_at);
        }
        pool.pace.take(now);
        self.pace.take(now);
        pool.circuit.asks();
        let id = ConnectionId(self.next);
        self.next += 1;
        pool.links.insert(id, Connection::new(now));
        self.links.insert(id, host);
        pool.carrying_peaks(now);
        Checkout::Open(id)
    }

    /// How old an idle connection of this host may be: what was learnt there, or what several others have learnt.
    fn trust(&self, host: HostId) -> Micros {
        let own = self.hosts.get(&host).map_or(Micros::MAX, |pool| pool.age.trusted());
        own.min(self.others)
    }

    /// What several hosts have learnt of ages.
    fn say_so(&self) -> Micros {
        let mut learnt: Vec<Micros> = self.hosts.values().filter_map(|pool| pool.age.learnt()).collect();
        learnt.sort_unstable();
        learnt.get(SAY_SO - 1).copied().unwrap_or(Micros::MAX).min(pool::by_settings(self.terms.idle_timeout))
    }

    fn with<T>(
        &mut self,
        link: ConnectionId,
        act: impl FnOnce(&mut HostPool, ConnectionId) -> T,
    ) -> Option<T> {
        let host = self.links.get(&link)?;
        let pool = self.hosts.get_mut(host).filter(|pool| pool.links.contains_key(&link))?;
        Some(act(pool, link))
    }

    fn close(&mut self, link: ConnectionId) {
        if let Some(host) = self.links.remove(&link) {
            if let Some(pool) = self.hosts.get_mut(&host) {
                pool.links.remove(&link);
            }
            self.orders.push(PoolAction::Close(link));
        }
    }

    fn drop_link(&mut self, link: ConnectionId) {
        if let Some(host) = self.links.remove(&link) {
            if let Some(pool) = self.hosts.get_mut(&host) {
                pool.links.remove(&link);
            }
        }
    }

    /// A connection is up.
    pub fn connected(&mut self, now: Micros, link: ConnectionId) {
        self.with(link, |pool, id| {
            pool.circuit.came_up();
            if let Some(link) = pool.links.get_mut(&id) {
                link.opened_at = now;
                link.state = State::Warming;
            }
        });
    }

    /// It did not come up.
    pub fn connect_failed(&mut self, now: Micros, link: ConnectionId, why: ConnectFailure) {
        let (balancers, draw) = (self.terms.balancers, self.chance.draw());
        self.with(link, |pool, _| match why {
            ConnectFailure::Host => {
                pool.circuit.failed(now, draw);
                pool.pace.recover(now, balancers);
            }
            ConnectFailure::Local => pool.circuit.unknown(),
        });
        self.drop_link(link);
    }

    /// A push's last byte is written on it.
    pub fn request_sent(&mut self, now: Micros, link: ConnectionId) {
        self.with(link, |pool, id| {
            if let Some(link) = pool.links.get_mut(&id) {
                link.sent_at = Some(now);
                link.doubted = false;
            }
        });
    }

    /// A kept connection was found ended before its use. Its host said so in time: nothing is lost, and nothing learnt.
    pub fn found_closed(&mut self, link: ConnectionId) {
        self.drop_link(link);
    }

    /// An answer came, whatever it said; `keep` where the connection can carry another push. Whether it is kept.
    pub fn answered(&mut self, now: Micros, link: ConnectionId, keep: bool) -> bool {
        let known = self.with(link, |pool, id| {
            let stood = pool.links.get(&id).and_then(|link| Some((link.sent_at?, link.reused_at_age?)));
            pool.answered(id, now);
            if keep {
                pool.rests(id, now);
            }
            stood
        });
        // One from before the first that was dead, and used after it, is good: there was no forgetting at large.
        let before = |at: Micros| known.flatten().is_some_and(|(sent, age)| sent > at && sent - age < at);
        if self.dead.first().is_some_and(|dead| before(dead.0)) {
            self.dead.clear();
        }
        if !keep {
            self.drop_link(link);
        }
        keep && known.is_some()
    }

    /// The head of a long answer came: its host is well and has answered in this time. Pools hear of its end with
    /// [`ConnectionPools::answered`] or [`ConnectionPools::abandoned`], and however long that takes it tells nothing of the host.
    pub fn response_begun(&mut self, now: Micros, link: ConnectionId) {
        self.with(link, |pool, id| {
            pool.answered(id, now);
            if let Some(link) = pool.links.get_mut(&id) {
                (link.sent_at, link.reused_at_age) = (None, None);
            }
        });
    }

    /// Its push was called off, or what came on it made no sense: it is closed, and nothing was learnt of its host.
    pub fn abandoned(&mut self, link: ConnectionId) {
        self.with(link, |pool, id| {
            if pool.links.get(&id).is_some_and(|link| link.state == State::Opening) {
                pool.circuit.unknown();
            }
        });
        self.drop_link(link);
    }

    /// The push on it waits no longer. The connection is listened to from now on where that may tell something: keep it,
    /// and tell of what comes with [`ConnectionPools::late`]; an order closes it. Whose fault it was, and whether to listen.
    pub fn attempt_timed_out(&mut self, now: Micros, link: ConnectionId) -> (Fault, bool) {
        let found = self.with(link, |pool, id| {
            let fault = pool.silence(id);
            (fault, pool.listens(id, now))
        });
        let (fault, listens) = found.unwrap_or((Fault::Host, false));
        if !listens {
            self.drop_link(link);
        }
        (fault, listens)
    }

    /// Something came on a connection that is listened to: a whole answer after which it can carry pushes again, or its
    /// end, or bytes of no sense. Whether it is kept.
    pub fn late_response(&mut self, now: Micros, link: ConnectionId, whole: bool) -> bool {
        let Some(&host) = self.links.get(&link) else { return false };
        if whole {
            self.counted.late += 1;
            let silent = self.with(link, |pool, id| {
                let silent = pool.silent_since(id);
                pool.answered(id, now);
                pool.rests(id, now);
                silent
            });
            // One that answers others all along is not told to be back.
            if silent == Some(true) {
                self.orders.push(PoolAction::HostAlive(host));
            }
            return true;
        }
        self.drop_link(link);
        false
    }

    /// It ended over a push: whose fault that was.
    pub fn connection_lost(&mut self, now: Micros, link: ConnectionId) -> Fault {
        let Some(&host) = self.links.get(&link) else { return Fault::Host };
        let balancers = self.terms.balancers;
        let found = self.with(link, |pool, id| {
            let (fault, fellows) = pool.broke(id, now);
            if fault == Fault::Host {
                pool.pace.recover(now, balancers);
            }
            (fault, fellows)
        });
        let (fault, fellows) = found.unwrap_or((Fault::Host, Vec::new()));
        self.drop_link(link);
        if fault == Fault::Connection {
            self.counted.dead_kept += 1;
            self.counted.distrusted += fellows.len() as u64;
            fellows.into_iter().for_each(|fellow| self.close(fellow));
            self.forgotten(now, host);
        }
        fault
    }

    /// Kept connections of several hosts that turn out dead at about one time: what stands between has forgotten them all,
    /// and no other is trusted that was idle then.
    fn forgotten(&mut self, now: Micros, host: HostId) {
        self.dead.retain(|&(at, other)| now - at < FORGOT_WITHIN && other != host);
        self.dead.push((now, host));
        if self.dead.len() < FORGOT {
            return;
        }
        let since = self.dead.iter().map(|dead| dead.0).min().unwrap_or(now);
        let idle = |link: &Connection| link.state == State::Ready && link.idle_since < since;
        let all = self.hosts.values().flat_map(|pool| pool.links.iter());
        let stale: Vec<ConnectionId> = all.filter(|(_, link)| idle(link)).map(|(id, _)| *id).collect();
        self.counted.distrusted += stale.len() as u64;
        stale.into_iter().for_each(|id| self.close(id));
    }

    /// Descriptors are short: the connection that stood idle longest, or was only listened to, is to be closed.
    pub fn evict_idle(&mut self) -> Option<ConnectionId> {
        let all = self.hosts.values().flat_map(|pool| pool.links.iter());
        let idle = all.filter(|(_, link)| !link.busy());
        let oldest =
            idle.min_by_key(|(_, link)| (link.state == State::Ready, link.idle_since)).map(|(id, _)| *id);
        if let Some(id) = oldest {
            self.drop_link(id);
        }
        oldest
    }

    /// Looks after all that stands or waits. To be called several times a second; a gap says that this process itself
    /// stood still, and then nobody's silence counts. How long it did, if so.
    pub fn tick(&mut self, now: Micros) -> Micros {
        let gap = self.ticked.replace(now).map_or(0, |before| now - before);
        let stopped = if gap > STOPPED { gap } else { 0 };
        if stopped > 0 {
            self.counted.stopped += 1;
            for link in self.hosts.values_mut().flat_map(|pool| pool.links.values_mut()) {
                link.sent_at = link.sent_at.map(|sent| sent + stopped);
            }
        }
        self.others = self.say_so();
        let mut closed = Vec::new();
        for pool in self.hosts.values_mut() {
            let trust = self.others.min(pool.age.trusted());
            let (old, surplus, doubted) = (pool.old(now, trust), pool.surplus(now), pool.doubts(now));
            pool.fade(now);
            self.counted.distrusted += old.len() as u64;
            self.counted.surplus += surplus.len() as u64;
            self.counted.doubts += doubted.len() as u64;
            self.orders.extend(doubted.into_iter().map(PoolAction::AttemptInDoubt));
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
