//! The connections of one host.

use std::collections::BTreeMap;

use basaltwood::types::Micros;

use crate::opening::{CircuitBreaker, TokenBucket};
use crate::{ConnectionId, Fault};

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    Connecting,
    /// Up, and its first push under way: that one takes longer.
    Warming,
    /// Up, and carries nothing.
    Idle,
    Active,
    /// Its push has given up waiting; it is listened to.
    AwaitingLateResponse,
    Closed,
}

/// The part of the hosts' idle time after which a connection is not used again.
const FRESH: f64 = 0.8;
/// Ages are told apart from this on, in steps that double; below, a connection was just used and is as good as any.
const FIRST_STEP: Micros = 100_000;
const STEPS: usize = 9;
/// Dead ones of an age that are more than chance, and the part of its uses that is too many: a push that is lost costs
/// several times what a new connection does.
const SEVERAL: f64 = 1.5;
const TOO_MANY: f64 = 0.15;
/// What is left of what an age's uses told after each further one, and of all after each ten seconds.
const FADES_AGE: f64 = 0.95;
const FADES_TIME: f64 = 0.5;
const FADES_EVERY: Micros = 10_000_000;
/// Kept connections that turn out dead one after the other, with none that is good between: their fellows are in doubt.
const IN_A_ROW: u32 = 2;
/// A host that has answered so short a time ago is well.
const LIVELY: Micros = 150_000;
/// Pushes that gave up one after the other, the host answering nothing meanwhile: it hangs, and is not just slow.
const SILENT: u32 = 3;
/// Connections of a host that are listened to at a time.
const LISTEN: usize = 1;
/// And for how long.
const LISTEN_FOR: Micros = 20_000_000;
/// How long a peak of use is remembered, and how long one more than that stands.
const REMEMBER: Micros = 5_000_000;
const SURPLUS_AFTER: Micros = 1_000_000;
/// A push is in doubt once so many that were sent after it have their answers,
const OVERTAKEN: usize = 3;
/// and it has waited so many times as long as any answer of late.
const SLOWEST: f64 = 2.0;
const LEAST_DOUBT: Micros = 20_000;
/// What is left of the slowest answer after each further one.
const FADES: f64 = 0.995;

pub fn configured_idle_limit(idle_timeout: Micros) -> Micros {
    (idle_timeout as f64 * FRESH) as Micros
}

#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub state: ConnectionState,
    pub opened_at: Micros,
    pub idle_since: Micros,
    /// Its push under way was sent then.
    pub sent_at: Option<Micros>,
    /// How long it had stood idle before that; none where it is new.
    pub reused_at_age: Option<Micros>,
    pub doubted: bool,
}

impl Connection {
    pub fn new(now: Micros) -> Connection {
        Connection {
            state: ConnectionState::Connecting,
            opened_at: now,
            idle_since: now,
            sent_at: None,
            reused_at_age: None,
            doubted: false,
        }
    }

    /// A push has it.
    pub fn busy(&self) -> bool {
        matches!(self.state, ConnectionState::Connecting | ConnectionState::Warming | ConnectionState::Active)
    }
}

/// How kept connections of each age fared of late: the age from which on too many were dead is not trusted. One that dies by
/// itself at any age, as a reset that comes by chance, teaches next to nothing: a new connection has its price too.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    /// By age, each step twice the one before: good, and dead.
    fared: [(f64, f64); STEPS],
    most: Micros,
}

impl IdleLimit {
    fn new(most: Micros) -> IdleLimit {
        IdleLimit { fared: [(0.0, 0.0); STEPS], most }
    }

    fn step(age: Micros) -> usize {
        ((age / FIRST_STEP + 1).ilog2() as usize).min(STEPS - 1)
    }

    fn begins(step: usize) -> Micros {
        FIRST_STEP * ((1 << step) - 1)
    }

    pub fn limit(&self) -> Micros {
        let bad = |&(good, dead): &(f64, f64)| dead >= SEVERAL && dead > TOO_MANY * (good + dead);
        let first = self.fared.iter().position(bad);
        first.map_or(self.most, |step| IdleLimit::begins(step).max(FIRST_STEP).min(self.most))
    }

    /// Shorter than the settings say, where it is.
    pub fn learned(&self) -> Option<Micros> {
        Some(self.limit()).filter(|&trusted| trusted < self.most)
    }

    fn fared(&mut self, age: Micros, well: bool) {
        let step = &mut self.fared[IdleLimit::step(age)];
        *step = (step.0 * FADES_AGE, step.1 * FADES_AGE);
        *(if well { &mut step.0 } else { &mut step.1 }) += 1.0;
    }

    /// What was learnt is forgotten by and by: an age that is not trusted is not tried either.
    fn decay(&mut self, by: f64) {
        self.fared.iter_mut().for_each(|step| *step = (step.0 * by, step.1 * by));
    }
}

pub struct HostPool {
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub idle_limit: IdleLimit,
    pub circuit_breaker: CircuitBreaker,
    pub connect_bucket: TokenBucket,
    /// Most in use at a time of late, and when that was.
    peak: (usize, Micros),
    /// When the last answers' pushes were sent, newest last.
    answered: Vec<Micros>,
    /// The longest that an answer took of late.
    slowest: f64,
    /// Kept connections that were dead, since one was good.
    dead: u32,
    decayed_at: Micros,
    /// When the last answer came.
    answered_at: Option<Micros>,
    /// Pushes that gave up since then.
    silent: u32,
}

impl HostPool {
    pub fn new(idle_timeout: Micros) -> HostPool {
        let most = configured_idle_limit(idle_timeout);
        HostPool {
            connections: BTreeMap::new(),
            idle_limit: IdleLimit::new(most),
            circuit_breaker: CircuitBreaker::default(),
            connect_bucket: TokenBucket::for_host(),
            peak: (0, 0),
            answered: Vec::new(),
            slowest: 0.0,
            dead: 0,
            decayed_at: 0,
            silent: 0,
            answered_at: None,
        }
    }

    pub fn most_recently_used(&self) -> Option<ConnectionId> {
        let ready =
            self.connections.iter().filter(|(_, connection)| connection.state == ConnectionState::Idle);
        ready.max_by_key(|(id, connection)| (connection.idle_since, **id)).map(|(id, _)| *id)
    }

    fn busy(&self) -> usize {
        self.connections.values().filter(|connection| connection.busy()).count()
    }

    pub fn note_peak_use(&mut self, now: Micros) {
        let busy = self.busy();
        if busy >= self.peak.0 || now - self.peak.1 > REMEMBER {
            self.peak = (busy, now);
        }
    }

    pub fn became_idle(&mut self, id: ConnectionId, now: Micros) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = ConnectionState::Idle;
            (connection.idle_since, connection.sent_at, connection.reused_at_age) = (now, None, None);
        }
    }

    pub fn answered(&mut self, id: ConnectionId, now: Micros) {
        let Some(connection) = self.connections.get(&id) else { return };
        self.answered_at = Some(now);
        self.silent = 0;
        self.circuit_breaker.reset();
        if let Some(age) = connection.reused_at_age {
            self.idle_limit.fared(age, true);
            self.dead = 0;
        }
        if let Some(sent) = connection.sent_at {
            // One that was only listened to says how long its host was silent, not how long answers take.
            if connection.state != ConnectionState::AwaitingLateResponse {
                self.slowest = (self.slowest * FADES).max((now - sent) as f64);
            }
            self.answered.push(sent);
            if self.answered.len() > 2 * OVERTAKEN {
                self.answered.remove(0);
            }
        }
    }

    /// Pushes that were sent after this one and have their answers.
    fn later_requests_answered(&self, sent: Micros) -> usize {
        self.answered.iter().filter(|&&other| other > sent).count()
    }

    /// A push gave up: the connection's fault where others that went after it were answered.
    pub fn timeout_fault(&self, id: ConnectionId) -> Fault {
        let sent = self.connections.get(&id).and_then(|connection| connection.sent_at);
        match sent {
            Some(sent) if self.later_requests_answered(sent) > 0 => Fault::Connection,
            _ => Fault::Host,
        }
    }

    /// Nothing was answered since the push on this one was sent.
    pub fn silent_since_sent(&self, id: ConnectionId) -> bool {
        let sent = self.connections.get(&id).and_then(|connection| connection.sent_at);
        sent.is_some_and(|sent| self.answered_at.is_none_or(|at| at < sent))
    }

    /// Whether a connection is listened to after its push gave up: where the whole host is silent it tells of its return.
    pub fn awaits_late_response(&mut self, id: ConnectionId, now: Micros) -> bool {
        // A slow host that still answers is not listened to: it would work on what nobody waits for.
        let nothing = self.silent_since_sent(id);
        self.silent = if nothing { self.silent + 1 } else { 0 };
        let silent = self.silent >= SILENT;
        let silent_too = |(id, connection): &(&ConnectionId, &Connection)| {
            connection.state == ConnectionState::AwaitingLateResponse && self.silent_since_sent(**id)
        };
        let listening = self.connections.iter().filter(silent_too).count();
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        // A new one whose first push gave up is warm once it answers: in its place another would be opened, and be late alike.
        let warm = connection.state == ConnectionState::Warming && !nothing;
        if !warm && (!silent || listening >= LISTEN) {
            return false;
        }
        (connection.state, connection.idle_since) = (ConnectionState::AwaitingLateResponse, now);
        true
    }

    /// One ended over its push. A kept one may have been dead before; then its fellows that stood idle as long are in doubt.
    pub fn lost(&mut self, id: ConnectionId, now: Micros) -> (Fault, Vec<ConnectionId>) {
        let Some(connection) = self.connections.get(&id).copied() else { return (Fault::Host, Vec::new()) };
        let Some(age) = connection.reused_at_age else {
            // A new one says something of its host, unless that answers on others at the same time.
            let lively = self.answered_at.is_some_and(|at| now - at < LIVELY);
            return (if lively { Fault::Connection } else { Fault::Host }, Vec::new());
        };
        self.idle_limit.fared(age, false);
        self.dead += 1;
        if self.dead < IN_A_ROW {
            return (Fault::Connection, Vec::new());
        }
        let stood_since = connection.sent_at.unwrap_or(connection.idle_since) - age;
        let as_long =
            |other: &Connection| other.state == ConnectionState::Idle && other.idle_since <= stood_since;
        let fellows =
            self.connections.iter().filter(|(other, connection)| **other != id && as_long(connection));
        (Fault::Connection, fellows.map(|(id, _)| *id).collect())
    }

    /// Idle for longer than is trusted, or listened to for long enough.
    pub fn expired(&self, now: Micros, trust: Micros) -> Vec<ConnectionId> {
        let old = |connection: &Connection| match connection.state {
            ConnectionState::Idle => now - connection.idle_since >= trust,
            ConnectionState::AwaitingLateResponse => now - connection.idle_since >= LISTEN_FOR,
            _ => false,
        };
        self.connections.iter().filter(|(_, connection)| old(connection)).map(|(id, _)| *id).collect()
    }

    pub fn decay(&mut self, now: Micros) {
        if now - self.decayed_at >= FADES_EVERY {
            self.decayed_at = now;
            self.idle_limit.decay(FADES_TIME);
        }
    }

    /// More than were in use at a time of late, and not needed for a while.
    pub fn surplus(&mut self, now: Micros) -> Vec<ConnectionId> {
        if now - self.peak.1 > REMEMBER {
            self.peak = (self.busy(), now);
        }
        let mut idle: Vec<(Micros, ConnectionId)> = self
            .connections
            .iter()
            .filter(|(_, connection)| connection.state == ConnectionState::Idle)
            .map(|(id, connection)| (connection.idle_since, *id))
            .collect();
        idle.sort_unstable();
        let spare = (self.busy() + idle.len()).saturating_sub(self.peak.0 + 1);
        let long = idle.into_iter().take_while(|(since, _)| now - since >= SURPLUS_AFTER);
        long.take(spare).map(|(_, id)| id).collect()
    }

    /// Connections whose push is in doubt from now on.
    pub fn attempts_in_doubt(&mut self, now: Micros) -> Vec<ConnectionId> {
        let bound = ((self.slowest * SLOWEST) as Micros).max(LEAST_DOUBT);
        let waits = |connection: &Connection| {
            connection.sent_at.filter(|&sent| connection.busy() && !connection.doubted && now - sent > bound)
        };
        let late: Vec<(ConnectionId, Micros)> =
            self.connections.iter().filter_map(|(id, connection)| Some((*id, waits(connection)?))).collect();
        let mut doubted = Vec::new();
        for (id, sent) in late {
            if self.later_requests_answered(sent) >= OVERTAKEN {
                if let Some(connection) = self.connections.get_mut(&id) {
                    connection.doubted = true;
                }
                doubted.push(id);
            }
        }
        doubted
    }
}
