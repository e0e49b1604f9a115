//! Which requests must not begin again because they may have run and nobody heard how they ended (rule 2).
//!
//! A client that left and comes again with the same id can't know whether its request ran. Hosts tell
//! repeats apart only where a key says so.

use std::collections::{HashMap, HashSet, VecDeque};

use crate::types::{Micros, RetrySafety};

/// How long an ended request is remembered: a multiple of the time that clients wait.
const RETENTION: Micros = 60_000_000;
/// How many ended requests are remembered; the oldest are forgotten first.
const MAX_REMEMBERED: usize = 8_192;

/// Whether a request that ended without its client hearing the answer must be remembered. One with a key is
/// told apart by its hosts, and one that is harmless to repeat needs no telling apart.
pub fn must_not_begin_again(safety: RetrySafety, may_have_run: bool) -> bool {
    may_have_run && safety == RetrySafety::AtMostOnce
}

/// The requests that ended without their client hearing the answer, by a hash of their ids.
#[derive(Debug, Default)]
pub struct EndedRequests {
    /// When each ended, the earliest first.
    by_time: VecDeque<(Micros, u64)>,
    ids: HashSet<u64>,
}

impl EndedRequests {
    /// Remembers a request that must not begin again.
    pub fn record(&mut self, now: Micros, id: u64) {
        self.forget_old(now);
        if self.ids.insert(id) {
            self.by_time.push_back((now, id));
        }
    }

    /// Whether the request with this id must not begin.
    pub fn contains(&mut self, now: Micros, id: u64) -> bool {
        self.forget_old(now);
        self.ids.contains(&id)
    }

    fn forget_old(&mut self, now: Micros) {
        while let Some(&(ended_at, id)) = self.by_time.front() {
            if now - ended_at < RETENTION && self.by_time.len() < MAX_REMEMBERED {
                return;
            }
            self.by_time.pop_front();
            self.ids.remove(&id);
        }
    }
}

/// The at-most-once requests that another process of this balancer has begun and not settled, by numbers of
/// their ids: they may run there, or have run with nobody hearing how they ended.
#[derive(Debug, Default)]
pub struct UnsettledRequests {
    /// When each was learned of.
    begun: HashMap<u64, Micros>,
}

impl UnsettledRequests {
    /// Takes in that the other process has begun a request.
    pub fn begun(&mut self, now: Micros, id: u64) {
        if self.begun.len() >= MAX_REMEMBERED {
            self.forget_old(now);
        }
        self.begun.insert(id, now);
    }

    /// Takes in that the request never ran there, or that its client was sent the whole answer.
    pub fn settled(&mut self, id: u64) {
        self.begun.remove(&id);
    }

    /// Whether the request with this id must not begin here.
    pub fn contains(&self, now: Micros, id: u64) -> bool {
        self.begun.get(&id).is_some_and(|at| now - at < RETENTION)
    }

    /// Forgets what is old; where all of it is recent, the oldest half.
    fn forget_old(&mut self, now: Micros) {
        self.begun.retain(|_, at| now - *at < RETENTION);
        if self.begun.len() < MAX_REMEMBERED {
            return;
        }
        let mut times: Vec<Micros> = self.begun.values().copied().collect();
        let (_, median, _) = times.select_nth_unstable(MAX_REMEMBERED / 2);
        let median = *median;
        self.begun.retain(|_, at| *at > median);
    }
}
