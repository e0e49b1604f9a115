//! A set of keys with a bound on its size.

use std::collections::BTreeSet;

use crate::types::RingPosition;

/// Holds so many keys; one more takes the place of the first in the order of positions.
#[derive(Default)]
pub(crate) struct BoundedKeySet {
    keys: BTreeSet<RingPosition>,
    max_keys: usize,
}

impl BoundedKeySet {
    /// An empty set.
    pub(crate) fn new(max_keys: usize) -> BoundedKeySet {
        BoundedKeySet { keys: BTreeSet::new(), max_keys }
    }

    /// Puts a key in.
    pub(crate) fn insert(&mut self, key: RingPosition) {
        if self.keys.len() >= self.max_keys {
            self.keys.pop_first();
        }
        self.keys.insert(key);
    }

    /// Takes a key out, if it is there.
    pub(crate) fn remove(&mut self, key: RingPosition) {
        self.keys.remove(&key);
    }

    /// Whether a key is there.
    pub(crate) fn contains(&self, key: RingPosition) -> bool {
        self.keys.contains(&key)
    }
}
