//! The read buffer of a connection. It grows on demand up to a bound, and is freed once a large one
//! is empty.

use std::io;

use bytes::buf::Limit;
use bytes::{Buf, BufMut, BytesMut};

/// The memory for the first read, in bytes; it doubles as more is needed.
const READ_STEP: usize = 4 * 1024;
/// The minimum free space for a read, in bytes.
const MIN_SPARE: usize = 1024;

/// Bytes that were read from a connection and are not yet parsed.
pub struct Buffer {
    bytes: BytesMut,
    /// The size of the allocation, part of which may precede `bytes`.
    allocated: usize,
    max_length: usize,
}

impl Buffer {
    /// An empty buffer that is full once it holds `max_length` bytes.
    pub fn new(max_length: usize) -> Buffer {
        Buffer { bytes: BytesMut::new(), allocated: 0, max_length }
    }

    /// The bytes in the buffer.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether the buffer holds no bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The allocated memory, in bytes.
    pub fn capacity(&self) -> usize {
        self.allocated
    }

    /// Whether the buffer accepts no more bytes.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.max_length
    }

    /// Whether a read costs no copy of a large part of the contents: there is space behind them, or the buffer
    /// may grow, or half of it is free.
    pub fn has_cheap_space(&self) -> bool {
        let is_half_empty = 2 * self.bytes.len() <= self.max_length;
        is_half_empty
            || (!self.is_full() && (self.spare() >= MIN_SPARE || self.next_capacity() > self.allocated))
    }

    /// The memory that the buffer will have allocated for the next read, in bytes.
    pub fn next_capacity(&self) -> usize {
        if self.bytes.len() + MIN_SPARE <= self.allocated {
            return self.allocated;
        }
        (2 * self.allocated).clamp(READ_STEP, self.max_length + READ_STEP)
    }

    /// The allocated bytes behind the contents.
    fn spare(&self) -> usize {
        self.bytes.capacity() - self.bytes.len()
    }

    /// The space for the next read, which never exceeds the allocation: what is read has its memory, however
    /// much has arrived. Cancelling that read loses no bytes.
    ///
    /// # Errors
    /// `InvalidData` if the buffer is full.
    pub fn unfilled(&mut self) -> io::Result<Limit<&mut BytesMut>> {
        if self.is_full() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "read buffer is full without a complete message",
            ));
        }
        let capacity = self.next_capacity();
        if capacity > self.allocated || self.spare() < MIN_SPARE {
            let mut moved = BytesMut::with_capacity(capacity);
            moved.extend_from_slice(&self.bytes);
            self.bytes = moved;
            self.allocated = capacity;
        }
        let spare = self.spare();
        Ok((&mut self.bytes).limit(spare))
    }

    /// Drops `count` parsed bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        if self.bytes.is_empty() && self.allocated > READ_STEP {
            self.bytes = BytesMut::new();
            self.allocated = 0;
        }
    }
}
