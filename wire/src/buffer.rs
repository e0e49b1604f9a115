//! The read buffer of a connection. It grows on demand up to a bound, and is compacted in place.

use std::io;

use bytes::{Buf, BytesMut};

/// The minimum free space for a read, in bytes.
const READ_STEP: usize = 4 * 1024;

/// The maximum capacity that an empty buffer keeps, in bytes.
const MAX_IDLE_CAPACITY: usize = 16 * 1024;

/// Bytes that were read from a connection and are not yet parsed.
pub struct Buffer {
    bytes: BytesMut,
    max_length: usize,
}

impl Buffer {
    /// An empty buffer that is full once it holds `max_length` bytes.
    pub fn new(max_length: usize) -> Buffer {
        Buffer { bytes: BytesMut::new(), max_length }
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
        self.bytes.capacity()
    }

    /// Whether the buffer accepts no more bytes.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.max_length
    }

    /// The buffer with space for the next read. Cancelling that read loses no bytes.
    ///
    /// # Errors
    /// `InvalidData` if the buffer is full.
    pub fn unfilled(&mut self) -> io::Result<&mut BytesMut> {
        if self.is_full() {
            return Err(io::Error::new(
                io::ErrorKind::InvalidData,
                "read buffer is full without a complete message",
            ));
        }
        // No other handle shares these bytes, so `reserve` moves them to the front before it
        // allocates.
        self.bytes.reserve(READ_STEP);
        Ok(&mut self.bytes)
    }

    /// Drops `count` parsed bytes from the front.
    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = BytesMut::new();
        }
    }
}
