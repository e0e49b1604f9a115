//! Counts of this balancer's sends by host and by key, halved periodically so that old sends fade.

use std::collections::BTreeMap;

use crate::ring::Ring;
use crate::types::{HostId, Micros, RingPosition};

/// The counted sends of a key.
pub(crate) struct KeyCount {
    pub(crate) sends: f64,
    /// The home of the key when it was last sent.
    pub(crate) home: HostId,
}

/// Sends by host and by key.
#[derive(Default)]
pub(crate) struct LoadCounts {
    /// Counted sends, indexed by [`HostId`].
    pub(crate) hosts: Vec<f64>,
    pub(crate) keys: BTreeMap<RingPosition, KeyCount>,
    /// Sends since the last halving.
    sends: f64,
    /// The time that the counts covered at the last halving, in microseconds.
    span_before: f64,
    halved_at: Micros,
}

impl LoadCounts {
    /// The mean load of the hosts that were used.
    pub(crate) fn mean(&self) -> f64 {
        let used = self.hosts.iter().filter(|&&load| load >= 0.5);
        used.clone().sum::<f64>() / used.count().max(1) as f64
    }

    /// The mean load of the hosts on the ring, including those that a new or quiet balancer has not
    /// used.
    pub(crate) fn mean_on(&self, ring: &Ring) -> f64 {
        let loads = (0..).map(HostId).zip(&self.hosts).filter(|(host, _)| ring.contains(*host));
        let (sum, count) = loads.fold((0.0, 0), |(sum, count), (_, load)| (sum + load, count + 1));
        sum / f64::from(count.max(1))
    }

    /// Resizes to `count` hosts. New hosts start at the mean, even if their numbers were in use
    /// before.
    pub(crate) fn add_hosts(&mut self, count: usize, new: impl Iterator<Item = HostId>) {
        let mean = self.mean();
        self.hosts.resize(count, 0.0);
        new.for_each(|host| self.hosts[host.index()] = mean);
    }

    /// Counts a send. Keys beyond `max_keys` are not counted individually.
    pub(crate) fn count(&mut self, host: HostId, key: Option<RingPosition>, home: HostId, max_keys: usize) {
        self.hosts[host.index()] += 1.0;
        self.sends += 1.0;
        let Some(key) = key else { return };
        if self.keys.len() < max_keys || self.keys.contains_key(&key) {
            let count = self.keys.entry(key).or_insert(KeyCount { sends: 0.0, home });
            *count = KeyCount { sends: count.sends + 1.0, home };
        }
    }

    /// The time that the counts cover, in microseconds.
    pub(crate) fn span(&self, now: Micros) -> f64 {
        self.span_before + (now - self.halved_at) as f64
    }

    /// The share of a key among all sends.
    pub(crate) fn share_of(&self, key: RingPosition) -> f64 {
        let all = self.hosts.iter().sum::<f64>().max(1.0);
        self.keys.get(&key).map_or(0.0, |count| count.sends / all)
    }

    /// Halves the counts once both the time `after` and the given sends per host are reached.
    pub(crate) fn halve(&mut self, now: Micros, after: Micros, sends_per_host: f64) {
        let is_due = now - self.halved_at >= after;
        if !is_due || self.sends < sends_per_host * self.hosts.len() as f64 {
            return;
        }
        self.span_before = self.span(now) / 2.0;
        (self.halved_at, self.sends) = (now, 0.0);
        self.hosts.iter_mut().for_each(|load| *load /= 2.0);
        self.keys.retain(|_, count| {
            count.sends /= 2.0;
            count.sends >= 0.5
        });
    }
}
