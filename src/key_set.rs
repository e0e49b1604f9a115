//! A set of keys with a bound on its size.

use std::collections::BTreeSet;

use crate::types::RingPosition;

/// A set of at most `max_keys` keys. A key beyond that replaces the one with the lowest position.
#[derive(Default)]
pub(crate) struct BoundedKeySet {
    keys: BTreeSet<RingPosition>,
    max_keys: usize,
}

impl BoundedKeySet {
    /// Creates an empty set.
    pub(crate) fn new(max_keys: usize) -> BoundedKeySet {
        BoundedKeySet { keys: BTreeSet::new(), max_keys }
    }

    /// Adds a key.
    pub(crate) fn insert(&mut self, key: RingPosition) {
        if self.keys.len() >= self.max_keys {
            self.keys.pop_first();
        }
        self.keys.insert(key);
    }

    /// Removes a key, if present.
    pub(crate) fn remove(&mut self, key: RingPosition) {
        self.keys.remove(&key);
    }

    /// Whether the set contains a key.
    pub(crate) fn contains(&self, key: RingPosition) -> bool {
        self.keys.contains(&key)
    }
}
