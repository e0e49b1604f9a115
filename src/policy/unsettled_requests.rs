//! Which requests must not begin again because they may have run and nobody knows how they ended (rule 2).
//!
//! A client that left and comes again with the same id can't know whether its request ran. Hosts tell
//! repeats apart only where a key says so.

use std::collections::{BTreeSet, HashMap};

use crate::types::{Micros, RetrySafety};

/// How long a request is remembered: a multiple of the time that clients wait.
const RETENTION: Micros = 60_000_000;
/// How many requests are remembered; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 8_192;

/// Whether a request that ended without its client hearing the answer must be remembered. One with a key is
/// told apart by its hosts, and one that is harmless to repeat needs no telling apart.
pub fn must_not_begin_again(safety: RetrySafety, may_have_run: bool) -> bool {
    may_have_run && safety == RetrySafety::AtMostOnce
}

/// At-most-once requests, by numbers of their ids, that may have run and whose clients did not hear how they
/// ended; or that another process of this balancer has begun.
#[derive(Debug, Default)]
pub struct UnsettledRequests {
    /// When each was recorded.
    recorded_at: HashMap<u64, Micros>,
    /// The same by time.
    by_time: BTreeSet<(Micros, u64)>,
}

impl UnsettledRequests {
    /// Remembers a request that must not begin again.
    pub fn record(&mut self, now: Micros, id: u64) {
        while self.by_time.first().is_some_and(|&(at, _)| now - at >= RETENTION) {
            self.forget_oldest();
        }
        if self.recorded_at.contains_key(&id) {
            return;
        }
        if self.by_time.len() >= MAX_REMEMBERED {
            self.forget_oldest();
        }
        self.recorded_at.insert(id, now);
        self.by_time.insert((now, id));
    }

    /// Forgets a request: it never ran, or its client was sent the whole answer.
    pub fn settle(&mut self, id: u64) {
        if let Some(at) = self.recorded_at.remove(&id) {
            self.by_time.remove(&(at, id));
        }
    }

    /// Whether the request with this id must not begin.
    pub fn contains(&self, now: Micros, id: u64) -> bool {
        self.recorded_at.get(&id).is_some_and(|at| now - at < RETENTION)
    }

    fn forget_oldest(&mut self) {
        if let Some((_, id)) = self.by_time.pop_first() {
            self.recorded_at.remove(&id);
        }
    }
}
