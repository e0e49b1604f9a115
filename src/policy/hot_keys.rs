//! Detects overloaded hosts and hot keys from this balancer's own sends.

use std::collections::BTreeSet;

use super::constants::*;
use crate::load_counts::{KeyCount, LoadCounts};
use crate::types::{HostId, Micros, RingPosition};

/// The load of hosts and keys, the overloaded hosts and the hot keys.
#[derive(Default)]
pub struct LoadStatistics {
    pub counts: LoadCounts,
    /// Indexed by [`HostId`].
    pub overloaded_since: Vec<Option<Micros>>,
    pub hot_keys: BTreeSet<RingPosition>,
}

impl LoadStatistics {
    pub fn is_overloaded(&self, host: HostId, now: Micros) -> bool {
        self.overloaded_since[host.index()].is_some_and(|since| now - since >= OVERLOADED_AFTER)
    }

    /// Updates which hosts are overloaded and which keys are hot.
    pub fn sweep(&mut self, now: Micros) {
        let mean = self.counts.mean();
        for (load, since) in self.counts.hosts.iter().zip(&mut self.overloaded_since) {
            *since = (*load > OVERLOAD_RATIO * mean).then(|| since.unwrap_or(now));
        }
        let is_hot = |key: &RingPosition, count: &KeyCount| {
            let stays_hot = self.hot_keys.contains(key) && count.sends >= HOT_KEY_LOAD_SHARE * mean;
            stays_hot || self.becomes_hot(count, mean, now)
        };
        let hot = self.counts.keys.iter().filter(|(key, count)| is_hot(key, count));
        self.hot_keys = hot.map(|(&key, _)| key).collect();
        self.counts.halve(now, LOAD_HALF_LIFE, MIN_SENDS_PER_HALF_LIFE);
    }

    fn becomes_hot(&self, count: &KeyCount, mean: f64, now: Micros) -> bool {
        let share = HOT_KEY_LOAD_SHARE * self.counts.hosts[count.home.index()];
        if count.sends < MIN_HOT_KEY_SENDS.max(share) {
            return false;
        }
        // A key that alone exceeds the overload ratio is hot at once; no time is needed to rule out
        // chance.
        count.sends > OVERLOAD_RATIO * mean || self.is_overloaded(count.home, now)
    }
}
