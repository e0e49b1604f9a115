//! A leaky bucket, which bounds a rate.

use crate::types::Micros;

/// A bucket that holds the requests of one second at its rate, and leaks at that rate.
pub(crate) struct LeakyBucket {
    /// Requests per second; 0 means unlimited.
    rate_per_s: f64,
    level: f64,
    updated_at: Micros,
}

impl LeakyBucket {
    /// Creates an empty bucket.
    pub(crate) fn new(rate_per_s: f64) -> LeakyBucket {
        LeakyBucket { rate_per_s, level: 0.0, updated_at: 0 }
    }

    /// Counts one more request if it is within the rate; returns whether it is.
    pub(crate) fn admits(&mut self, now: Micros) -> bool {
        let leaked = self.rate_per_s * (now - self.updated_at) as f64 / 1e6;
        self.level = (self.level - leaked).max(0.0);
        self.updated_at = now;
        let admits = self.rate_per_s <= 0.0 || self.level < self.rate_per_s;
        self.level += f64::from(admits);
        admits
    }
}
