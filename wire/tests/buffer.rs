//! The read buffer: what it offers to a read is what it has allocated.

use basaltwood_wire::buffer::Buffer;
use bytes::BufMut;

/// Guards against a read that brings more bytes than the memory that was reserved for it.
#[test]
fn space_for_a_read_never_exceeds_the_announced_allocation() {
    let mut buffer = Buffer::new(64 * 1024);
    while !buffer.is_full() {
        let announced = buffer.next_capacity();
        let before = buffer.bytes().len();
        let mut space = buffer.unfilled().expect("the buffer is not full");
        assert_eq!(space.remaining_mut(), announced - before);
        let count = space.remaining_mut().min(1_000);
        space.put_bytes(b'x', count);
        assert_eq!(buffer.capacity(), announced);
    }
}
