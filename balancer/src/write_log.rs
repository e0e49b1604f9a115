//! Records which attempts of a request were written in full, to detect a repeat that could take
//! effect twice.

use std::cell::RefCell;

use basaltwood::types::{AttemptNumber, AttemptOutcome, RetrySafety};
use tokio::time::Instant;

use crate::clock::duration;

/// An attempt whose last byte was written.
#[derive(Clone, Copy, Debug)]
struct WrittenAttempt {
    number: AttemptNumber,
    written_at: Instant,
    proven_not_run: bool,
}

/// The attempts of one request that were written in full.
#[derive(Default)]
pub struct WriteLog {
    written: RefCell<Vec<WrittenAttempt>>,
}

impl WriteLog {
    /// Records that the last byte of an attempt was written. Returns whether this is unsafe: an
    /// earlier attempt may have run, and the request may not run twice or its window has passed.
    pub fn record(&self, number: AttemptNumber, written_at: Instant, safety: RetrySafety) -> bool {
        let mut written = self.written.borrow_mut();
        let may_have_run = written.iter().filter(|earlier| !earlier.proven_not_run);
        let first = may_have_run.map(|earlier| earlier.written_at).min();
        written.push(WrittenAttempt { number, written_at, proven_not_run: false });
        match (first, safety) {
            (None, _) | (_, RetrySafety::Idempotent) => false,
            (Some(_), RetrySafety::AtMostOnce) => true,
            (Some(first), RetrySafety::IdempotencyKey { window, .. }) => {
                written_at > first + duration(window)
            }
        }
    }

    /// Whether an attempt was written in full and is not known not to have run.
    pub fn may_have_run(&self) -> bool {
        self.written.borrow().iter().any(|attempt| !attempt.proven_not_run)
    }

    /// Records an attempt's outcome, which may prove that it did not run.
    pub fn ended(&self, number: AttemptNumber, outcome: AttemptOutcome) {
        let mut written = self.written.borrow_mut();
        let ended = written.iter_mut().find(|attempt| attempt.number == number);
        ended.into_iter().for_each(|attempt| attempt.proven_not_run = outcome.proves_not_run());
    }
}
