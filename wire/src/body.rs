//! A value as it comes in, in pieces of any size: held once, in segments, so that no long stretch of memory is wanted.

use bytes::{BufMut, Bytes, BytesMut};

const SEGMENT: usize = 64 * 1024;

/// A value that is being read.
#[derive(Debug)]
pub struct Body {
    whole: Vec<Bytes>,
    filling: BytesMut,
    length: usize,
    left: usize,
}

impl Body {
    pub fn new(length: usize) -> Body {
        Body { whole: Vec::new(), filling: BytesMut::new(), length, left: length }
    }

    pub fn length(&self) -> usize {
        self.length
    }

    /// Bytes that are still to come.
    pub fn remaining(&self) -> usize {
        self.left
    }

    /// Takes from the front of what was read already; how much.
    pub fn copy_from(&mut self, bytes: &[u8]) -> usize {
        let mut taken = 0;
        while taken < bytes.len() && self.left > 0 {
            let mut room = self.unfilled();
            let count = room.remaining_mut().min(bytes.len() - taken);
            room.put_slice(&bytes[taken..taken + count]);
            self.advance(count);
            taken += count;
        }
        taken
    }

    /// Where the next bytes may be read to, no more than are to come; [`Body::advance`] tells how many came.
    pub fn unfilled(&mut self) -> bytes::buf::Limit<&mut BytesMut> {
        if self.filling.capacity() == self.filling.len() {
            self.seal();
            self.filling.reserve(self.left.min(SEGMENT));
        }
        let room = (self.filling.capacity() - self.filling.len()).min(self.left);
        (&mut self.filling).limit(room)
    }

    pub fn advance(&mut self, count: usize) {
        self.left -= count;
        if self.left == 0 {
            self.seal();
        }
    }

    fn seal(&mut self) {
        if !self.filling.is_empty() {
            self.whole.push(std::mem::take(&mut self.filling).freeze());
        }
    }

    /// The value, once nothing is left to come.
    pub fn into_segments(self) -> Vec<Bytes> {
        self.whole
    }
}
