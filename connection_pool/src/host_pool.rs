//! The connections of one host.

use std::collections::BTreeMap;

use basaltwood::types::Micros;

use crate::circuit_breaker::CircuitBreaker;
use crate::connection::{Connection, ConnectionState};
use crate::idle_limit::{IdleLimit, Reuse};
use crate::response_history::ResponseHistory;
use crate::token_bucket::TokenBucket;
use crate::{ConnectionId, Fault, TimeoutVerdict};

/// Consecutive reused connections that must turn out stale before others that were idle as long are
/// presumed stale too.
const STALE_TO_SUSPECT_OTHERS: u32 = 2;
/// Most connections of a hung host that await a late response at the same time.
const MAX_LATE_WAITS: usize = 1;
/// How long a connection awaits a late response.
const LATE_WAIT: Micros = 20_000_000;
/// How long the peak of use stays in force.
const PEAK_MEMORY: Micros = 5_000_000;
/// How long a connection beyond the peak and the spare ones stays idle before it is closed.
const SURPLUS_AFTER: Micros = 1_000_000;
/// Idle connections that are kept beyond the peak of use.
const SPARE_IDLE: usize = 1;

/// The largest number of connections in use at the same time, within [`PEAK_MEMORY`].
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

/// What follows from a connection that ended during a request.
pub struct Loss {
    pub fault: Fault,
    /// Idle connections that are presumed stale because this one was.
    pub presumed_stale: Vec<ConnectionId>,
}

impl Loss {
    fn single(fault: Fault) -> Loss {
        Loss { fault, presumed_stale: Vec::new() }
    }
}

/// The request under way on a reused connection.
#[derive(Clone, Copy)]
pub struct ReuseUnderWay {
    pub sent_at: Micros,
    pub idle_for: Micros,
}

/// The connections of one host, and what their results tell about it.
pub struct HostPool {
    pub connections: BTreeMap<ConnectionId, Connection>,
    pub idle_limit: IdleLimit,
    pub circuit_breaker: CircuitBreaker,
    pub connect_bucket: TokenBucket,
    history: ResponseHistory,
    peak: PeakUse,
    /// Reused connections that were stale since the last successful reuse.
    consecutive_stale: u32,
}

impl HostPool {
    /// Creates an empty pool; the host closes connections that were idle for `idle_timeout`.
    pub fn new(idle_timeout: Micros) -> HostPool {
        HostPool {
            connections: BTreeMap::new(),
            idle_limit: IdleLimit::new(idle_timeout),
            circuit_breaker: CircuitBreaker::default(),
            connect_bucket: TokenBucket::for_host(),
            history: ResponseHistory::default(),
            peak: PeakUse::default(),
            consecutive_stale: 0,
        }
    }

    /// The connections that satisfy a predicate, in the order of their ids.
    fn select(&self, holds: impl Fn(&Connection) -> bool) -> Vec<ConnectionId> {
        let selected = self.connections.iter().filter(|(_, connection)| holds(connection));
        selected.map(|(id, _)| *id).collect()
    }

    /// Connections that no attempt uses.
    pub fn unused(&self) -> Vec<ConnectionId> {
        self.select(|connection| !connection.in_use())
    }

    /// Connections that have been idle since before `at`.
    pub fn idle_since_before(&self, at: Micros) -> Vec<ConnectionId> {
        self.select(|connection| connection.state == ConnectionState::Idle && connection.idle_since < at)
    }

    /// The idle connections.
    fn idle(&self) -> impl Iterator<Item = (&ConnectionId, &Connection)> {
        self.connections.iter().filter(|(_, connection)| connection.state == ConnectionState::Idle)
    }

    /// Since when the connection that has been idle longest is idle.
    pub fn longest_idle_since(&self) -> Option<Micros> {
        self.idle().map(|(_, connection)| connection.idle_since).min()
    }

    /// The most recently used of the connections that have been idle since `latest` or longer.
    pub fn most_recently_used(&self, latest: Micros) -> Option<ConnectionId> {
        let rested = self.idle().filter(|(_, connection)| connection.idle_since <= latest);
        rested.max_by_key(|(id, connection)| (connection.idle_since, **id)).map(|(id, _)| *id)
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

    /// Reuses an idle connection; false if it has been idle for `idle_limit` or longer.
    pub fn reuse(&mut self, now: Micros, id: ConnectionId, idle_limit: Micros) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let idle_for = connection.unused_for(now);
        if idle_for >= idle_limit {
            return false;
        }
        connection.idle_before_use = Some(idle_for);
        connection.state = ConnectionState::Active;
        self.note_peak_use(now);
        true
    }

    /// Records that a new connection is being opened.
    pub fn connecting(&mut self, now: Micros, id: ConnectionId) {
        self.connections.insert(id, Connection::connecting(now));
        self.note_peak_use(now);
    }

    /// Records that a connection is established.
    pub fn connected(&mut self, id: ConnectionId) {
        self.circuit_breaker.reset();
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.state = ConnectionState::Warming;
        }
    }

    /// The request under way on a connection, if the connection was reused.
    pub fn reuse_under_way(&self, id: ConnectionId) -> Option<ReuseUnderWay> {
        let connection = self.connections.get(&id)?;
        Some(ReuseUnderWay { sent_at: connection.sent_at?, idle_for: connection.idle_before_use? })
    }

    /// Records a response on this connection.
    pub fn answered(&mut self, now: Micros, id: ConnectionId) {
        let Some(connection) = self.connections.get(&id) else { return };
        self.history.responded(now);
        self.circuit_breaker.reset();
        if let Some(idle_for) = connection.idle_before_use {
            self.idle_limit.record(idle_for, Reuse::Good);
            self.consecutive_stale = 0;
        }
        if let Some(sent_at) = connection.sent_at {
            let in_time = connection.state != ConnectionState::AwaitingLateResponse;
            self.history.record(now, sent_at, in_time);
        }
    }

    /// Records that the connection is free for another request.
    pub fn became_idle(&mut self, now: Micros, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.became_idle(now);
        }
    }

    /// Judges the timeout of the attempt on this connection: whose fault it was, and whether to
    /// await a late response.
    pub fn timed_out(&mut self, now: Micros, id: ConnectionId) -> TimeoutVerdict {
        let sent_at = self.connections.get(&id).and_then(|connection| connection.sent_at);
        // The connection is at fault if requests that were sent later were answered.
        let overtaken = sent_at.is_some_and(|sent_at| self.history.overtaken(sent_at));
        let fault = if overtaken { Fault::Connection } else { Fault::Host };
        TimeoutVerdict { fault, await_late_response: self.await_late_response(now, id) }
    }

    /// Whether the host has answered nothing since the request on this connection was sent.
    pub fn silent_since_sent(&self, id: ConnectionId) -> bool {
        let connection = self.connections.get(&id);
        connection.is_some_and(|connection| self.silent_since_request(connection))
    }

    fn silent_since_request(&self, connection: &Connection) -> bool {
        connection.sent_at.is_some_and(|sent_at| self.history.silent_since(sent_at))
    }

    /// Whether a request on a reused connection is overdue, the host has answered nothing since it was
    /// sent, and no new connection is in use that would show whether the host answers.
    pub fn is_silent_on_reused_connections(&self, now: Micros) -> bool {
        let min_wait = self.history.min_wait_for_doubt();
        let in_use = || self.connections.values().filter(|connection| connection.in_use());
        let has_new = in_use().any(|connection| connection.idle_before_use.is_none());
        let is_overdue = |connection: &Connection| {
            connection.sent_at.is_some_and(|sent_at| now - sent_at > min_wait)
                && self.silent_since_request(connection)
        };
        !has_new && in_use().any(is_overdue)
    }

    /// Decides whether to await a late response on a connection whose attempt timed out. If the
    /// whole host is silent, a late response shows that it has returned.
    fn await_late_response(&mut self, now: Micros, id: ConnectionId) -> bool {
        let silent = self.silent_since_sent(id);
        self.history.timed_out(silent);
        let late_waits = self.select(|connection| {
            connection.state == ConnectionState::AwaitingLateResponse && self.silent_since_request(connection)
        });
        // A slow host that still answers is not waited for: it would do work that nobody needs.
        let detects_return = self.history.host_hangs() && late_waits.len() < MAX_LATE_WAITS;
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        // A new connection whose first attempt timed out is warm once its response comes; another
        // one opened in its place would be just as late.
        let warms_up = connection.state == ConnectionState::Warming && !silent;
        if !warms_up && !detects_return {
            return false;
        }
        connection.state = ConnectionState::AwaitingLateResponse;
        connection.idle_since = now;
        true
    }

    /// Records that a connection ended during its request. A reused connection may have been stale
    /// already; then others that were idle as long may be stale too.
    pub fn lost(&mut self, now: Micros, id: ConnectionId) -> Loss {
        let Some(connection) = self.connections.get(&id).copied() else { return Loss::single(Fault::Host) };
        let Some(idle_for) = connection.idle_before_use else {
            // The loss of a new connection is evidence against its host, unless the host answers on
            // other connections at the same time.
            let fault = if self.history.alive(now) { Fault::Connection } else { Fault::Host };
            return Loss::single(fault);
        };
        self.idle_limit.record(idle_for, Reuse::Stale);
        self.consecutive_stale += 1;
        if self.consecutive_stale < STALE_TO_SUSPECT_OTHERS {
            return Loss::single(Fault::Connection);
        }
        let idle_since = connection.sent_at.unwrap_or(connection.idle_since) - idle_for;
        // The lost connection is in use, so it is not selected itself.
        let presumed_stale =
            self.select(|other| other.state == ConnectionState::Idle && other.idle_since <= idle_since);
        Loss { fault: Fault::Connection, presumed_stale }
    }

    /// Connections that were idle for `idle_limit`, or awaited a late response for [`LATE_WAIT`].
    pub fn expired(&self, now: Micros, idle_limit: Micros) -> Vec<ConnectionId> {
        self.select(|connection| match connection.state {
            ConnectionState::Idle => connection.unused_for(now) >= idle_limit,
            ConnectionState::AwaitingLateResponse => connection.unused_for(now) >= LATE_WAIT,
            _ => false,
        })
    }

    /// Connections beyond the recent peak of use that were idle for [`SURPLUS_AFTER`], those idle
    /// for longest first.
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
        let surplus = (in_use + idle.len()).saturating_sub(self.peak.in_use + SPARE_IDLE);
        let unneeded = idle.into_iter().take_while(|(idle_since, _)| now - idle_since >= SURPLUS_AFTER);
        unneeded.take(surplus).map(|(_, id)| id).collect()
    }

    /// Marks and returns the connections whose attempt has become in doubt.
    pub fn newly_in_doubt(&mut self, now: Micros) -> Vec<ConnectionId> {
        let min_wait = self.history.min_wait_for_doubt();
        let mut newly_in_doubt = Vec::new();
        for (&id, connection) in &mut self.connections {
            let Some(sent_at) = connection.sent_at else { continue };
            let can_be_in_doubt = connection.in_use() && !connection.in_doubt && now - sent_at > min_wait;
            if can_be_in_doubt && self.history.overtaken_repeatedly(sent_at) {
                connection.in_doubt = true;
                newly_in_doubt.push(id);
            }
        }
        newly_in_doubt
    }

    /// Decays what was learned about the idle limit.
    pub fn tick(&mut self, now: Micros) {
        self.idle_limit.tick(now);
    }
}
