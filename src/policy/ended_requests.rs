//! Which requests must not begin again because they may have run and nobody heard how they ended (rule 2).
//!
//! A client that left and comes again with the same id can't know whether its request ran. Hosts tell
//! repeats apart only where a key says so.

use std::collections::{HashSet, VecDeque};

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
