//! A command whose value is read separately, as memory for it is granted.

use basaltwood::types::Micros;
use basaltwood_wire::body::Body;
use basaltwood_wire::facts::fact;
use bytes::buf::Limit;
use bytes::{Bytes, BytesMut};

use super::command::client_wait;
use super::input::{Command, SeparateValue};
use crate::budget::{MemoryGrant, ValueGrant};
use crate::shared::Shared;
use crate::value::{WholeValue, MAX_COPIED_VALUE};

/// The longest value that each connection has memory for, in bytes.
const MAX_SMALL_VALUE: usize = 1024;
/// The position of a command's facts among its words.
const FACTS_INDEX: usize = 3;

/// A command whose value is being read.
pub struct IncomingValue {
    words: Vec<Bytes>,
    words_memory: Option<MemoryGrant>,
    body: Body,
    /// `None` for a small value.
    memory: Option<ValueGrant>,
}

impl IncomingValue {
    /// Begins to read a value of `length` bytes.
    pub fn new(
        shared: &Shared,
        words: Vec<Bytes>,
        words_memory: Option<MemoryGrant>,
        length: usize,
    ) -> IncomingValue {
        let memory = (length > MAX_SMALL_VALUE)
            .then(|| shared.budget.memory.begin_value(WholeValue::memory_needed(length)));
        IncomingValue { words, words_memory, body: Body::new(length), memory }
    }

    /// Whether memory is granted for the next bytes; asks for it if necessary.
    pub fn has_memory(&mut self) -> bool {
        let next = self.body.next_allocation();
        let Some(memory) = &self.memory else { return true };
        if next == 0 {
            return true;
        }
        let length = self.body.length();
        let needed = match length <= MAX_COPIED_VALUE {
            true => WholeValue::memory_needed(length),
            false => length - self.body.remaining() + next,
        };
        memory.try_hold(needed)
    }

    /// Copies bytes that were read already, as far as memory is granted; returns their number.
    pub fn fill(&mut self, bytes: &[u8]) -> usize {
        let mut copied = 0;
        while copied < bytes.len() && self.body.remaining() > 0 && self.has_memory() {
            copied += self.body.fill(&bytes[copied..]);
        }
        copied
    }

    /// Space for the next bytes, for which memory must be granted.
    pub fn unfilled(&mut self) -> Limit<&mut BytesMut> {
        self.body.unfilled()
    }

    /// Records that `count` bytes were read into that space.
    pub fn advance(&mut self, count: usize) {
        self.body.advance(count);
    }

    /// The number of bytes that are still to come.
    pub fn remaining(&self) -> usize {
        self.body.remaining()
    }

    /// How long the client waits for the answer, if its facts tell.
    pub fn client_wait(&self) -> Option<Micros> {
        client_wait(&String::from_utf8_lossy(self.words.get(FACTS_INDEX)?))
    }

    /// The class of the request and its id, as the client sent them.
    pub fn class_and_id(&self) -> Option<(String, Bytes)> {
        let facts = String::from_utf8_lossy(self.words.get(FACTS_INDEX)?);
        let class = fact(&facts, "c")?.to_owned();
        Some((class, self.words.get(FACTS_INDEX - 1)?.clone()))
    }

    /// The command, once the whole value was read.
    pub fn into_command(self) -> Command {
        let IncomingValue { words, words_memory, body, memory } = self;
        let value = Some(SeparateValue { segments: body.into_segments(), memory });
        Command { words, value, memory: words_memory }
    }
}
