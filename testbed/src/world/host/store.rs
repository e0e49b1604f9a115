//! The keys that a host holds: those stored last, and initially a share of all keys. Only keys are
//! kept, since values are made for each request.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ledger::HostNo;

/// The store of one host.
pub(super) struct KeyStore {
    host: HostNo,
    capacity: usize,
    /// The share of all keys that it holds initially; 0 after [`KeyStore::clear`].
    initial_fill: f64,
    /// Stored keys, each with the number of the last write to any key before it was stored.
    stored: HashMap<Bytes, u64>,
    /// The keys in the order in which they were first stored.
    order: VecDeque<Bytes>,
}

impl KeyStore {
    pub(super) fn new(host: HostNo, capacity: usize, initial_fill: f64) -> KeyStore {
        KeyStore { host, capacity, initial_fill, stored: HashMap::new(), order: VecDeque::new() }
    }

    /// Whether it holds the current value of a key. `last_write` is the number of the last write to
    /// the key, if any.
    pub(super) fn holds(&self, key: &Bytes, last_write: Option<u64>) -> bool {
        if let Some(&stored_after) = self.stored.get(key) {
            if last_write.is_none_or(|write| stored_after >= write) {
                return true;
            }
        }
        last_write.is_none() && self.held_initially(key)
    }

    /// Whether the key is in the initial fill, decided by a hash of key and host and not stored.
    fn held_initially(&self, key: &Bytes) -> bool {
        let draw = xxh3_64_with_seed(key, u64::from(self.host.0)) as f64 / u64::MAX as f64;
        draw < self.initial_fill
    }

    /// Stores a key as of the write with this number; beyond the capacity the oldest keys are
    /// dropped.
    pub(super) fn put(&mut self, key: Bytes, last_write: u64) {
        if self.stored.insert(key.clone(), last_write).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > self.capacity {
            if let Some(oldest) = self.order.pop_front() {
                self.stored.remove(&oldest);
            }
        }
    }

    /// Removes all keys, also those of the initial fill.
    pub(super) fn clear(&mut self) {
        self.initial_fill = 0.0;
        self.stored.clear();
        self.order.clear();
    }
}
