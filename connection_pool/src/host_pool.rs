//! The connections of one host.

use std::collections::BTreeMap;

use basaltwood::types::Micros;

use crate::circuit_breaker::CircuitBreaker;
use crate::connection::{Connection, ConnectionState};
use crate::idle_limit::{IdleLimit, Reuse};
use crate::response_history::ResponseHistory;
use crate::token_bucket::TokenBucket;
use crate::{ConnectionId, Fault, TimeoutVerdict};

/// Reused connections that turn out stale one after the other, with none that is good between:
/// others that were idle as long are in doubt.
const STALE_IN_A_ROW: u32 = 2;
/// Connections of a hung host that await a late response at a time.
const MAX_LATE_WAITS: usize = 1;
/// And for how long.
const LATE_WAIT: Micros = 20_000_000;
/// How long a peak of use is remembered.
const PEAK_MEMORY: Micros = 5_000_000;
/// How long a connection past that peak and one spare stays idle before it is closed.
const SURPLUS_AFTER: Micros = 1_000_000;
/// Idle connections that are kept past the peak of use.
const SPARE: usize = 1;

/// The most connections in use at a time of late.
#[derive(Clone, Copy, Debug, Default)]
struct PeakUse {
    in_use: usize,
    at: Micros,
}

impl PeakUse {
    fn expired(&self, now: Micros) -> bool {
        now - self.at > PEAK_MEMORY
    }
}

/// A connection that ended under a request.
pub struct Loss {
    pub fault: Fault,
    /// Idle connections that are presumed to be stale with it.
    pub presumed_stale: Vec<ConnectionId>,
}

impl Loss {
    fn alone(fault: Fault) -> Loss {
        Loss { fault, presumed_stale: Vec::new() }
    }
}

/// The request under way on a connection that had been idle.
#[derive(Clone, Copy)]
pub struct ReusedFor {
    pub sent_at: Micros,
    pub idle_for: Micros,
}

/// The connections of one host, and what is known of it from them.
pub struct HostPool {
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub idle_limit: IdleLimit,
    pub circuit_breaker: CircuitBreaker,
    pub connect_bucket: TokenBucket,
    history: ResponseHistory,
    peak: PeakUse,
    /// Reused connections that were stale, since one was good.
    stale_in_a_row: u32,
}

impl HostPool {
    /// No connection yet; hosts close one that was idle for so long.
    pub fn new(idle_timeout: Micros) -> HostPool {
        HostPool {
            connections: BTreeMap::new(),
            idle_limit: IdleLimit::new(idle_timeout),
            circuit_breaker: CircuitBreaker::default(),
            connect_bucket: TokenBucket::for_host(),
            history: ResponseHistory::default(),
            peak: PeakUse::default(),
            stale_in_a_row: 0,
        }
    }

    /// Connections for which this holds, in the order of their ids.
    fn select(&self, holds: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let selected = self.connections.iter().filter(|(_, connection)| holds(connection));
        selected.map(|(id, _)| *id).collect()
    }

    /// Connections that no attempt has.
    pub fn not_in_use(&self) -> Vec<ConnectionId> {
        self.select(|connection| !connection.in_use())
    }

    /// Connections that are idle since before then.
    pub fn idle_since_before(&self, at: Micros) -> Vec<ConnectionId> {
        self.select(|connection| connection.state == ConnectionState::Idle && connection.idle_since < at)
    }

    /// The idle connection that was used last.
    pub fn most_recently_used(&self) -> Option<ConnectionId> {
        let idle =
            self.connections.iter().filter(|(_, connection)| connection.state == ConnectionState::Idle);
        idle.max_by_key(|(id, connection)| (connection.idle_since, **id)).map(|(id, _)| *id)
    }

    fn in_use(&self) -> usize {
        self.connections.values().filter(|connection| connection.in_use()).count()
    }

    fn note_peak_use(&mut self, now: Micros) {
        let in_use = self.in_use();
        if in_use >= self.peak.in_use || self.peak.expired(now) {
            self.peak = PeakUse { in_use, at: now };
        }
    }

    /// Uses an idle connection again; false where it was idle for longer than it may be.
    pub fn reuse(&mut self, now: Micros, id: ConnectionId, idle_limit: Micros) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let idle_for = connection.idle_for(now);
        if idle_for >= idle_limit {
            return false;
        }
        connection.idle_before_use = Some(idle_for);
        connection.state = ConnectionState::Active;
        self.note_peak_use(now);
        true
    }

    /// A new connection is being opened.
    pub fn connecting(&mut self, now: Micros, id: ConnectionId) {
        self.connections.insert(id, Connection::connecting(now));
        self.note_peak_use(now);
    }

    /// It is up.
    pub fn connected(&mut self, id: ConnectionId) {
        self.circuit_breaker.reset();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = ConnectionState::Warming;
        }
    }

    /// The request under way where its connection had been idle.
    pub fn reused_for(&self, id: ConnectionId) -> Option<ReusedFor> {
        let connection = self.connections.get(&id)?;
        Some(ReusedFor { sent_at: connection.sent_at?, idle_for: connection.idle_before_use? })
    }

    /// A response came on this connection.
    pub fn answered(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        self.history.responded(now);
        self.circuit_breaker.reset();
        if let Some(idle_for) = connection.idle_before_use {
            self.idle_limit.record(idle_for, Reuse::Good);
            self.stale_in_a_row = 0;
        }
        if let Some(sent_at) = connection.sent_at {
            let in_time = connection.state != ConnectionState::AwaitingLateResponse;
            self.history.record(now, sent_at, in_time);
        }
    }

    /// The connection is free for another request.
    pub fn became_idle(&mut self, now: Micros, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.became_idle(now);
        }
    }

    /// The attempt on this connection timed out: whose fault that was, and whether to await a late
    /// response.
    pub fn timed_out(&mut self, now: Micros, id: ConnectionId) -> TimeoutVerdict {
        let sent_at = self.connections.get(&id).and_then(|connection| connection.sent_at);
        // The connection's fault where others that were sent after it were answered.
        let overtaken = sent_at.is_some_and(|sent_at| self.history.overtaken(sent_at));
        let fault = if overtaken { Fault::Connection } else { Fault::Host };
        TimeoutVerdict { fault, await_late_response: self.await_late_response(now, id) }
    }

    /// Nothing was answered since the request on this connection was sent.
    pub fn silent_since_sent(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| self.silent_for(connection))
    }

    fn silent_for(&self, connection: &Connection) -> bool {
        connection.sent_at.is_some_and(|sent_at| self.history.silent_since(sent_at))
    }

    /// Whether a late response is awaited on a connection whose attempt timed out: where the whole
    /// host is silent, that tells of its return.
    fn await_late_response(&mut self, now: Micros, id: ConnectionId) -> bool {
        let silent = self.silent_since_sent(id);
        self.history.timed_out(silent);
        let late_waits = self.select(|connection| {
            connection.state == ConnectionState::AwaitingLateResponse && self.silent_for(connection)
        });
        // A slow host that still answers is not waited for: it would work on what nobody waits for.
        let watch_for_return = self.history.host_hangs() && late_waits.len() < MAX_LATE_WAITS;
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        // A new connection whose first attempt timed out is warm once it answers; in its place
        // another would be opened, and be late alike.
        let warms_up = connection.state == ConnectionState::Warming && !silent;
        if !warms_up && !watch_for_return {
            return false;
        }
        connection.state = ConnectionState::AwaitingLateResponse;
        connection.idle_since = now;
        true
    }

    /// A connection ended under its request. A reused one may have been stale before; then others
    /// that were idle as long are in doubt.
    pub fn lost(&mut self, now: Micros, id: ConnectionId) -> Loss {
        let Some(connection) = self.connections.get(&id).copied() else { return Loss::alone(Fault::Host) };
        let Some(idle_for) = connection.idle_before_use else {
            // A new one tells something of its host, unless that answers on others at the same
            // time.
            let fault = if self.history.alive(now) { Fault::Connection } else { Fault::Host };
            return Loss::alone(fault);
        };
        self.idle_limit.record(idle_for, Reuse::Stale);
        self.stale_in_a_row += 1;
        if self.stale_in_a_row < STALE_IN_A_ROW {
            return Loss::alone(Fault::Connection);
        }
        let idle_since = connection.sent_at.unwrap_or(connection.idle_since) - idle_for;
        // The lost one itself is in use, so it is not among them.
        let presumed_stale =
            self.select(|other| other.state == ConnectionState::Idle && other.idle_since <= idle_since);
        Loss { fault: Fault::Connection, presumed_stale }
    }

    /// Connections that were idle for longer than they may be, or awaited a late response for long
    /// enough.
    pub fn expired(&self, now: Micros, idle_limit: Micros) -> Vec<ConnectionId> {
        self.select(|connection| match connection.state {
            ConnectionState::Idle => connection.idle_for(now) >= idle_limit,
            ConnectionState::AwaitingLateResponse => connection.idle_for(now) >= LATE_WAIT,
            _ => false,
        })
    }

    /// Connections past those in use at a time of late, not needed for a while; those idle for
    /// longest first.
    pub fn surplus(&mut self, now: Micros) -> Vec<ConnectionId> {
        let in_use = self.in_use();
        if self.peak.expired(now) {
            self.peak = PeakUse { in_use, at: now };
        }
        let mut idle: Vec<(Micros, ConnectionId)> = Vec::new();
        for (&id, connection) in &self.connections {
            if connection.state == ConnectionState::Idle {
                idle.push((connection.idle_since, id));
            }
        }
        idle.sort_unstable();
        let surplus = (in_use + idle.len()).saturating_sub(self.peak.in_use + SPARE);
        let unneeded = idle.into_iter().take_while(|(idle_since, _)| now - idle_since >= SURPLUS_AFTER);
        unneeded.take(surplus).map(|(_, id)| id).collect()
    }

    /// Connections whose attempt is in doubt from now on.
    pub fn newly_in_doubt(&mut self, now: Micros) -> Vec<ConnectionId> {
        let min_wait = self.history.wait_for_doubt();
        let mut newly = Vec::new();
        for (&id, connection) in &mut self.connections {
            let Some(sent_at) = connection.sent_at else { continue };
            let may_be = connection.in_use() && !connection.in_doubt && now - sent_at > min_wait;
            if may_be && self.history.overtaken_often(sent_at) {
                connection.in_doubt = true;
                newly.push(id);
            }
        }
        newly
    }

    /// Forgets what is too old to be of use.
    pub fn tick(&mut self, now: Micros) {
        self.idle_limit.tick(now);
    }
}
