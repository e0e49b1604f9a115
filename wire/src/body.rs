//! A value as it comes in, in pieces of any size. It is held once, in segments, so that no long
//! stretch of memory is wanted.

use bytes::{BufMut, Bytes, BytesMut};

/// The largest segment, in bytes.
const MAX_SEGMENT: usize = 64 * 1024;

/// A value that is being read.
#[derive(Debug)]
pub struct Body {
    segments: Vec<Bytes>,
    /// The last segment, while it is being filled.
    current: BytesMut,
    length: usize,
    remaining: usize,
}

impl Body {
    /// An empty body that is to be of so many bytes.
    pub fn new(length: usize) -> Body {
        Body { segments: Vec::new(), current: BytesMut::new(), length, remaining: length }
    }

    /// The length that the body is to have, in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// Bytes that are still to come.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// Copies what belongs to the body from the front of bytes that were read already. Returns how
    /// many.
    pub fn copy_from(&mut self, bytes: &[u8]) -> usize {
        let mut copied = 0;
        while copied < bytes.len() && self.remaining > 0 {
            let mut unfilled = self.unfilled();
            let count = unfilled.remaining_mut().min(bytes.len() - copied);
            unfilled.put_slice(&bytes[copied..copied + count]);
            self.advance(count);
            copied += count;
        }
        copied
    }

    /// Where the next bytes may be read to, no more than are to come. [`Body::advance`] follows.
    pub fn unfilled(&mut self) -> bytes::buf::Limit<&mut BytesMut> {
        if self.current.capacity() == self.current.len() {
            self.seal();
            self.current.reserve(self.remaining.min(MAX_SEGMENT));
        }
        let spare = self.current.capacity() - self.current.len();
        (&mut self.current).limit(spare.min(self.remaining))
    }

    /// So many bytes were read to where [`Body::unfilled`] pointed.
    pub fn advance(&mut self, count: usize) {
        self.remaining -= count;
        if self.remaining == 0 {
            self.seal();
        }
    }

    fn seal(&mut self) {
        if !self.current.is_empty() {
            self.segments.push(std::mem::take(&mut self.current).freeze());
        }
    }

    /// The value, once nothing remains to come.
    pub fn into_segments(self) -> Vec<Bytes> {
        self.segments
    }
}
