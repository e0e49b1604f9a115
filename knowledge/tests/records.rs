//! Records read as they were written, and nothing else is taken for one.

use basaltwood::types::{Learnt, Place};
use basaltwood_knowledge::{read, written, LONGEST};
use proptest::prelude::*;

proptest! {
    #[test]
    fn a_record_reads_as_it_was_written_and_no_other_does(
        hosts in proptest::collection::vec((any::<u64>(), 0_u32..300_000), 0..40),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let learnt: Vec<Learnt> = hosts
            .iter()
            .map(|&(place, parts)| Learnt { place: Place(place), room: f64::from(parts) / 1_000.0 })
            .collect();
        let mut bytes = written(&learnt);
        let back = read(&bytes).expect("a record");
        prop_assert!(back.len() == learnt.len());
        for (one, other) in back.iter().zip(&learnt) {
            prop_assert!(one.place == other.place && (one.room - other.room).abs() < 0.002);
        }
        let at = at.index(bytes.len());
        prop_assert!(read(&bytes[..at]).is_err(), "cut off at {}", at);
        bytes[at] ^= flip;
        prop_assert!(read(&bytes).is_err(), "spoilt at {}", at);
    }
}

#[test]
fn what_is_no_record_is_named() {
    let mut other = written(&[]);
    other[0] = 2;
    let check = crc32fast::hash(&other[..2]).to_le_bytes();
    other[2..].copy_from_slice(&check);
    let hosts = vec![Learnt { place: Place(u64::MAX), room: 256.0 }; 5_000];
    assert_eq!(read(&written(&hosts)).map(|hosts| hosts.len()), Ok(4_096));
    assert!(written(&hosts).len() <= LONGEST);
    let errors = [read(b""), read(&other), read(&vec![0; LONGEST + 1])].map(|read| read.err());
    assert_eq!(errors, [Some("no record"), Some("a record of another version"), Some("too long a record")]);
}
