//! Receives a value in pieces of any size. The value is stored once, in segments, so that a long
//! one needs no large contiguous allocation.

use bytes::{BufMut, Bytes, BytesMut};

/// The maximum length of the first segment, in bytes: a value that comes slowly takes little at first.
const MAX_FIRST_SEGMENT: usize = 16 * 1024;
/// The maximum length of each further segment, in bytes.
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
    /// An empty body that expects `length` bytes.
    pub fn new(length: usize) -> Body {
        Body { segments: Vec::new(), current: BytesMut::new(), length, remaining: length }
    }

    /// The length of the complete body, in bytes.
    pub fn length(&self) -> usize {
        self.length
    }

    /// The number of bytes that are not received yet.
    pub fn remaining(&self) -> usize {
        self.remaining
    }

    /// The memory that [`Body::unfilled`] would allocate now, in bytes; 0 if there is space left.
    pub fn next_allocation(&self) -> usize {
        if self.is_current_full() {
            self.next_segment()
        } else {
            0
        }
    }

    fn is_current_full(&self) -> bool {
        self.current.capacity() == self.current.len()
    }

    fn next_segment(&self) -> usize {
        let is_first = self.remaining == self.length;
        self.remaining.min(if is_first { MAX_FIRST_SEGMENT } else { MAX_SEGMENT })
    }

    /// Copies bytes from the front of `bytes` into the space that [`Body::unfilled`] returns, and
    /// returns their number.
    pub fn fill(&mut self, bytes: &[u8]) -> usize {
        let mut unfilled = self.unfilled();
        let count = unfilled.remaining_mut().min(bytes.len());
        unfilled.put_slice(&bytes[..count]);
        self.advance(count);
        count
    }

    /// Space for the next bytes, no more than remain to be received. Call [`Body::advance`] after
    /// writing to it.
    pub fn unfilled(&mut self) -> bytes::buf::Limit<&mut BytesMut> {
        if self.is_current_full() {
            self.seal();
            self.current = BytesMut::with_capacity(self.next_segment());
        }
        let spare = self.current.capacity() - self.current.len();
        (&mut self.current).limit(spare.min(self.remaining))
    }

    /// Records that `count` bytes were written to the space that [`Body::unfilled`] returned.
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

    /// The segments of the value; complete once [`Body::remaining`] is 0.
    pub fn into_segments(self) -> Vec<Bytes> {
        self.segments
    }
}
