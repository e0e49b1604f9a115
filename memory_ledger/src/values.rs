//! Values that arrive in parts and share one limit.
//!
//! Memory is granted as a value arrives, not for all of it at its head: a client that takes long to
//! send holds only what it has sent. So that values can't wait for each other in a circle, memory is
//! granted only if all values can still be completed one after the other (the banker's algorithm).

use std::collections::BTreeMap;

/// Values up to this length may lie whole in the system's buffers, where their time runs; longer ones
/// leave some memory free for them.
const SHORT_VALUE: usize = 128 * 1024;
/// Longer values leave as much free as they need themselves, one part in this many of the limit at the
/// most.
const MAX_HEADROOM_PART: usize = 6;

/// A value that is registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ValueId(u64);

/// The memory that a value needs and holds, in bytes.
#[derive(Clone, Copy, Debug)]
struct Progress {
    needed: usize,
    held: usize,
}

impl Progress {
    fn missing(&self) -> usize {
        self.needed - self.held
    }

    /// The memory that has to be free for the value to be completed.
    fn free_needed(&self, capacity: usize) -> usize {
        match self.missing() {
            0 => 0,
            missing => missing + headroom(self.needed, capacity),
        }
    }
}

/// What a value of this size leaves free for shorter ones. A value that fits at all can be completed.
fn headroom(needed: usize, capacity: usize) -> usize {
    if needed <= SHORT_VALUE {
        return 0;
    }
    needed.min(capacity / MAX_HEADROOM_PART).min(capacity.saturating_sub(needed))
}

/// The values that are being read or wait for their answer.
#[derive(Clone, Debug, Default)]
pub struct IncomingValues {
    values: BTreeMap<ValueId, Progress>,
    next_id: u64,
    held: usize,
}

impl IncomingValues {
    /// Registers a value that needs this memory and holds none yet.
    pub fn begin(&mut self, needed: usize) -> ValueId {
        let id = ValueId(self.next_id);
        self.next_id += 1;
        self.values.insert(id, Progress { needed, held: 0 });
        id
    }

    /// Removes a value and returns the memory that it held.
    pub fn end(&mut self, id: ValueId) -> usize {
        let held = self.values.remove(&id).map_or(0, |value| value.held);
        self.held -= held;
        held
    }

    /// Lets a value hold `total` bytes of the memory that it needs, if no value can be stuck then;
    /// returns whether they are granted.
    pub fn try_hold(&mut self, id: ValueId, total: usize, capacity: usize) -> bool {
        let Some(value) = self.values.get(&id).copied() else { return false };
        let bytes = total.min(value.needed).saturating_sub(value.held);
        if bytes == 0 {
            return true;
        }
        let free = capacity.saturating_sub(self.held);
        if bytes + headroom(value.needed, capacity) > free {
            return false;
        }
        self.set_held(id, value.held + bytes);
        let is_granted = self.can_all_complete(capacity);
        if !is_granted {
            self.set_held(id, value.held);
        }
        is_granted
    }

    fn set_held(&mut self, id: ValueId, held: usize) {
        if let Some(value) = self.values.get_mut(&id) {
            self.held = self.held - value.held + held;
            value.held = held;
        }
    }

    /// The memory that all values hold, in bytes.
    pub fn held(&self) -> usize {
        self.held
    }

    /// Whether the values can be completed one after the other, each releasing what it holds.
    pub fn can_all_complete(&self, capacity: usize) -> bool {
        let mut values: Vec<&Progress> = self.values.values().collect();
        values.sort_unstable_by_key(|value| value.free_needed(capacity));
        let mut free = capacity.saturating_sub(self.held);
        for value in values {
            if value.free_needed(capacity) > free {
                return false;
            }
            free += value.held;
        }
        true
    }
}
