//! Until when an attempt that was begun may still reach its host (rule 2).
//!
//! Hosts drop the repeats of a keyed request for one deduplication window after it first ran. An
//! attempt whose last byte comes later runs again. So once a request may run by another attempt, or
//! by its client's own repeat, an attempt that is still out has to be cancelled before the window
//! which that other run may begin has passed.

use super::retry_safety::window_end;
use crate::types::{AttemptNumber, Micros, RetrySafety};

/// An attempt of which at least one byte was written.
#[derive(Clone, Copy, Debug)]
struct BegunAttempt {
    number: AttemptNumber,
    began_at: Micros,
    proven_not_run: bool,
}

/// The attempts of one request that were begun, and when its client may repeat it.
#[derive(Clone, Debug)]
pub struct BegunAttempts {
    window: Option<Micros>,
    attempts: Vec<BegunAttempt>,
    client_may_repeat_at: Micros,
}

impl BegunAttempts {
    /// Creates the record of a request without attempts. Its client may repeat it after `deadline`
    /// at the earliest, or once it has ended.
    pub fn new(safety: RetrySafety, deadline: Micros) -> BegunAttempts {
        let window = match safety {
            RetrySafety::IdempotencyKey { window, .. } => Some(window),
            RetrySafety::Idempotent | RetrySafety::AtMostOnce => None,
        };
        BegunAttempts { window, attempts: Vec::new(), client_may_repeat_at: deadline }
    }

    /// Whether attempts of this request ever have to be cancelled.
    pub fn has_window(&self) -> bool {
        self.window.is_some()
    }

    /// Records that the first byte of an attempt is written now.
    pub fn begin(&mut self, number: AttemptNumber, now: Micros) {
        self.attempts.push(BegunAttempt { number, began_at: now, proven_not_run: false });
    }

    /// Records that an attempt ended and never ran.
    pub fn prove_not_run(&mut self, number: AttemptNumber) {
        let ended = self.attempts.iter_mut().filter(|attempt| attempt.number == number);
        ended.for_each(|attempt| attempt.proven_not_run = true);
    }

    /// Records that the request has its final answer or that its client has left.
    pub fn end_request(&mut self, now: Micros) {
        self.client_may_repeat_at = self.client_may_repeat_at.min(now);
    }

    /// When the first byte of an attempt was written.
    pub fn began_at(&self, number: AttemptNumber) -> Option<Micros> {
        self.attempts.iter().find(|attempt| attempt.number == number).map(|attempt| attempt.began_at)
    }

    /// When an attempt has to be cancelled if it is still out: before the end of the window that
    /// begins with the first other run there may be. `None` if the request has no such window.
    pub fn cancel_at(&self, number: AttemptNumber) -> Option<Micros> {
        let others = self.attempts.iter().filter(|other| other.number != number && !other.proven_not_run);
        let first_other = others.map(|other| other.began_at).min();
        let first_other =
            first_other.map_or(self.client_may_repeat_at, |at| at.min(self.client_may_repeat_at));
        self.window.map(|window| window_end(first_other, window))
    }
}
