//! A connection's one buffer: it grows as it needs up to a bound and is compacted in place.

use std::io;

use bytes::{Buf, BytesMut};

const STEP: usize = 4 * 1024;
/// A buffer that stands empty keeps no more than this.
const KEPT: usize = 16 * 1024;

pub struct Buffer {
    bytes: BytesMut,
    most: usize,
}

impl Buffer {
    pub fn new(most: usize) -> Buffer {
        Buffer { bytes: BytesMut::new(), most }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// What it takes of memory.
    pub fn capacity(&self) -> usize {
        self.bytes.capacity()
    }

    pub fn is_full(&self) -> bool {
        self.bytes.len() >= self.most
    }

    /// Where the next bytes are read to, with room for some. Nothing is lost where a read is cut off.
    ///
    /// # Errors
    /// `InvalidData` where it holds as much as may come at a time.
    pub fn unfilled(&mut self) -> io::Result<&mut BytesMut> {
        if self.is_full() {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "more than may come at a time"));
        }
        // Nothing else holds a part of these bytes, so this moves them to the front before it grows.
        self.bytes.reserve(STEP);
        Ok(&mut self.bytes)
    }

    pub fn consume(&mut self, count: usize) {
        self.bytes.advance(count);
        if self.bytes.is_empty() && self.bytes.capacity() > KEPT {
            self.bytes = BytesMut::new();
        }
    }
}
