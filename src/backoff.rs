//! Exponential backoff with jitter.

use crate::types::{Micros, SeededRng};

/// A pause that doubles with each failure in a row.
#[derive(Default)]
pub(crate) struct Backoff {
    /// Half of the pause after the first failure, before jitter.
    base: Micros,
    max_doublings: u32,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff without failures.
    pub(crate) fn new(base: Micros, max_doublings: u32) -> Backoff {
        Backoff { base, max_doublings, failures: 0 }
    }

    /// Records a failure; returns the pause after it.
    pub(crate) fn next_pause(&mut self, rng: &mut SeededRng) -> Micros {
        self.failures += 1;
        rng.jittered(self.base << self.failures.min(self.max_doublings))
    }

    /// Records a success.
    pub(crate) fn reset(&mut self) {
        self.failures = 0;
    }
}
