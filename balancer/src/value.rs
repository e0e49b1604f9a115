//! Values that attempts returned, with the memory that holds them.

use basaltwood_memory_ledger::Purpose;
use bytes::Bytes;
use tokio::sync::mpsc;

use crate::budget::MemoryGrant;

/// The maximum length of a value that is copied into the message which it is a part of, in bytes:
/// one write costs less than three. A longer one is written by itself.
pub const MAX_COPIED_VALUE: usize = 16 * 1024;
/// The maximum length of a value that the memory of its request and connection covers, in bytes: it
/// fits into the read buffer that each connection to a host has.
pub const MAX_UNGRANTED_VALUE: usize = 4 * 1024;
/// The bytes of a message beside the value that is copied into it.
const MESSAGE_BYTES: usize = 64;

/// A value that an attempt returned.
pub enum Value {
    /// The complete value.
    Whole(WholeValue),
    /// A value that is too long to be held in memory as a whole.
    Streamed(StreamedValue),
}

/// A complete value. One longer than [`MAX_UNGRANTED_VALUE`] can't be made without its memory.
pub struct WholeValue {
    bytes: Bytes,
    memory: Option<MemoryGrant>,
}

/// The memory granted for a value is less than it needs.
#[derive(Debug, thiserror::Error)]
#[error("a value of {length} bytes without memory for it")]
pub struct ValueWithoutMemory {
    length: usize,
}

impl WholeValue {
    /// Creates a value that `memory` was granted for. What it doesn't need of that is returned.
    ///
    /// # Errors
    /// The value needs more memory than was granted, and no more is free.
    pub fn new(bytes: Bytes, memory: Option<MemoryGrant>) -> Result<WholeValue, ValueWithoutMemory> {
        let length = bytes.len();
        let is_covered = length <= MAX_UNGRANTED_VALUE;
        match memory {
            None if is_covered => Ok(WholeValue { bytes, memory: None }),
            None => Err(ValueWithoutMemory { length }),
            Some(mut memory) => match memory.try_resize(WholeValue::memory_needed(length)) {
                true => Ok(WholeValue { bytes, memory: Some(memory) }),
                false => Err(ValueWithoutMemory { length }),
            },
        }
    }

    /// An empty value.
    pub fn empty() -> WholeValue {
        WholeValue { bytes: Bytes::new(), memory: None }
    }

    /// The memory that a value of this length needs until it is written.
    pub fn memory_needed(length: usize) -> usize {
        if length > MAX_COPIED_VALUE {
            length
        } else {
            // The value, and its copy in the message.
            2 * length + MESSAGE_BYTES
        }
    }

    /// The value, and its memory as that of a reply; `None` for a value that needs no grant.
    pub fn into_reply(self) -> (Bytes, Option<MemoryGrant>) {
        (self.bytes, self.memory.map(|memory| memory.held_for(Purpose::Replies)))
    }
}

/// A piece of a streamed value.
pub struct Piece {
    /// The bytes of the piece.
    pub bytes: Bytes,
    /// The memory granted beyond what each stream has for a piece.
    pub memory: Option<MemoryGrant>,
}

/// A part of a streamed value.
pub enum StreamPart {
    /// The next bytes.
    Piece(Piece),
    /// The value is whole: what its host sent behind it shows that it ended where its head said.
    End,
}

/// A value that is received in parts, as fast as they are taken. If the parts end without
/// [`StreamPart::End`], the host did not send the rest, or the length in its head is wrong.
pub struct StreamedValue {
    /// The length of the value, in bytes.
    pub length: usize,
    /// The parts, in order.
    pub parts: mpsc::Receiver<StreamPart>,
}

#[cfg(test)]
mod tests;
