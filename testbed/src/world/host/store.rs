//! The keys that a host holds: the newest ones, and from the start a share of all keys. Values are
//! made anew for each request, so that only keys are kept.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ledger::HostNo;

/// The store of one host.
pub(super) struct KeyStore {
    host: HostNo,
    capacity: usize,
    /// The share of all keys that it holds from the start; 0 once that is lost.
    initial_fill: f64,
    /// Each key with the number of the last write to any key before it was stored.
    stored: HashMap<Bytes, u64>,
    /// The keys in the order in which they were stored first.
    order: VecDeque<Bytes>,
}

impl KeyStore {
    pub(super) fn new(host: HostNo, capacity: usize, initial_fill: f64) -> KeyStore {
        KeyStore { host, capacity, initial_fill, stored: HashMap::new(), order: VecDeque::new() }
    }

    /// Whether it holds the present value of a key, whose last write, if any, had this number.
    pub(super) fn holds(&self, key: &Bytes, last_write: Option<u64>) -> bool {
        if let Some(&stored_after) = self.stored.get(key) {
            if last_write.is_none_or(|write| stored_after >= write) {
                return true;
            }
        }
        last_write.is_none() && self.held_initially(key)
    }

    /// Drawn from the key and the host, so that it needs no memory.
    fn held_initially(&self, key: &Bytes) -> bool {
        let draw = xxh3_64_with_seed(key, u64::from(self.host.0)) as f64 / u64::MAX as f64;
        draw < self.initial_fill
    }

    /// Stores a key after the write of this number; the oldest key goes where there is no capacity
    /// for it.
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

    /// Loses everything.
    pub(super) fn clear(&mut self) {
        self.initial_fill = 0.0;
        self.stored.clear();
        self.order.clear();
    }
}
