//! Records of requests decode to what was encoded, in their order, and anything else is left out.

use basaltwood_handover::request_journal::{
    decode_all, offset, request_number, JournalEvent, JournalRecord, MAX_RECORDS, RECORD_BYTES,
};
use proptest::prelude::*;

fn record(sequence: u64, request: u64) -> JournalRecord {
    let event = if sequence.is_multiple_of(2) { JournalEvent::Settled } else { JournalEvent::Begun };
    JournalRecord { sequence, request, event }
}

proptest! {
    #[test]
    fn records_decode_as_encoded_without_those_that_are_damaged(
        requests in proptest::collection::vec(any::<u64>(), 1..40),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let records: Vec<JournalRecord> =
            (1..).zip(&requests).map(|(sequence, &request)| record(sequence, request)).collect();
        let mut bytes: Vec<u8> = records.iter().rev().flat_map(JournalRecord::encode).collect();
        prop_assert_eq!(decode_all(&bytes), records.clone());

        let damaged = at.index(bytes.len());
        bytes[damaged] ^= flip;
        prop_assert_eq!(decode_all(&bytes).len(), records.len() - 1);
        bytes.truncate(RECORD_BYTES - 1);
        prop_assert_eq!(decode_all(&bytes), Vec::new());
    }
}

#[test]
fn journal_is_a_ring_whose_unwritten_part_holds_no_records() {
    assert_eq!(offset(1), RECORD_BYTES as u64);
    assert_eq!(offset(MAX_RECORDS + 1), offset(1));
    assert_eq!(decode_all(&[0; 4 * RECORD_BYTES]), Vec::new());
}

/// Guards against two versions of the program that number a request differently. The number is XXH3's published
/// test vector for no bytes.
#[test]
fn request_number_is_the_same_in_every_version() {
    assert_eq!(request_number(b""), 0x2D06_8005_38D3_94C2);
}
