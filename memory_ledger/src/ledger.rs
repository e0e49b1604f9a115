//! What is held for each purpose, within the limits of the pools.

use crate::{IncomingValues, MemoryLimits, Pool, Purpose, ValueId};

/// The bytes held for each purpose.
#[derive(Clone, Debug)]
pub struct MemoryLedger {
    limits: MemoryLimits,
    held: [usize; Purpose::EACH.len()],
    values: IncomingValues,
}

impl MemoryLedger {
    /// Creates a ledger that grants within these limits.
    pub fn new(limits: MemoryLimits) -> MemoryLedger {
        MemoryLedger { limits, held: [0; Purpose::EACH.len()], values: IncomingValues::default() }
    }

    /// Changes the limits. What is held past a lowered limit stays held until it is released.
    pub fn set_limits(&mut self, limits: MemoryLimits) {
        self.limits = limits;
    }

    /// The limits in force.
    pub fn limits(&self) -> &MemoryLimits {
        &self.limits
    }

    /// The bytes held for a purpose.
    pub fn held(&self, purpose: Purpose) -> usize {
        self.held[purpose as usize]
    }

    /// The bytes held in a pool.
    pub fn held_in(&self, pool: Pool) -> usize {
        let purposes = Purpose::EACH.into_iter().filter(|purpose| purpose.pool() == pool);
        purposes.map(|purpose| self.held(purpose)).sum()
    }

    /// The bytes that may still be granted from a pool.
    pub fn free(&self, pool: Pool) -> usize {
        self.limits.of(pool).saturating_sub(self.held_in(pool))
    }

    /// Grants bytes if `headroom` bytes of their pool stay free; returns whether they are granted.
    pub fn try_hold(&mut self, purpose: Purpose, bytes: usize, headroom: usize) -> bool {
        let is_granted = bytes == 0 || bytes.saturating_add(headroom) <= self.free(purpose.pool());
        if is_granted {
            self.held[purpose as usize] += bytes;
        }
        is_granted
    }

    /// Registers a value of a request, which is granted its memory as it arrives.
    pub fn begin_value(&mut self, needed: usize) -> ValueId {
        self.values.begin(needed)
    }

    /// Lets a value hold `total` bytes of the memory that it needs; returns whether they are granted.
    pub fn try_hold_value(&mut self, id: ValueId, total: usize) -> bool {
        let is_granted = self.values.try_hold(id, total, self.limits.of(Pool::RequestValues));
        self.held[Purpose::RequestValues as usize] = self.values.held();
        is_granted
    }

    /// Takes back all memory of a value.
    pub fn end_value(&mut self, id: ValueId) {
        self.values.end(id);
        self.held[Purpose::RequestValues as usize] = self.values.held();
    }

    /// Takes granted bytes back.
    pub fn release(&mut self, purpose: Purpose, bytes: usize) {
        self.held[purpose as usize] -= bytes;
    }

    /// Moves granted bytes to another purpose of the same pool.
    pub fn move_to(&mut self, from: Purpose, to: Purpose, bytes: usize) {
        debug_assert_eq!(from.pool(), to.pool());
        self.held[from as usize] -= bytes;
        self.held[to as usize] += bytes;
    }
}
