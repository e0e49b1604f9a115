//! A connection's one buffer: it grows as it needs to, up to a bound, and is compacted in place.

use std::io;

use bytes::{Buf, BytesMut};

/// The minimum space that a read gets, in bytes.
const READ_STEP: usize = 4 * 1024;

/// An empty buffer keeps no more memory than this, in bytes.
const MAX_IDLE_CAPACITY: usize = 16 * 1024;

/// Bytes that were read from a connection and are not parsed yet.
pub struct Buffer {
    bytes: BytesMut,
    max_length: usize,
}

impl Buffer {
    /// An empty buffer that takes no more once it holds so many bytes.
    pub fn new(max_length: usize) -> Buffer {
        Buffer { bytes: BytesMut::new(), max_length }
    }

    /// The bytes that it holds.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The memory that it takes, in bytes.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether it takes no more.
    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.max_length
    }

    /// Where the next bytes are read to. Nothing is lost where a read is cancelled.
    ///
    /// # Errors
    /// `InvalidData` where it is full.
    pub fn unfilled(&mut self) -> io::Result<&mut BytesMut> {
        if self.is_full() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "more than may come at a time"));
        }
        // Nothing else holds a part of these bytes, so this moves them to the front before it
        // grows.
        self.bytes.reserve(READ_STEP);
        Ok(&mut self.bytes)
    }

    /// Drops so many bytes from the front: they are parsed.
    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        if self.bytes.is_empty() && self.bytes.capacity() > MAX_IDLE_CAPACITY {
            self.bytes = BytesMut::new();
        }
    }
}
