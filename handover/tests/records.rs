//! Records decode to what was encoded, and any other bytes are refused.

use basaltwood::types::{LearnedLimit, RingPosition};
use basaltwood_handover::{decode, encode, RecordError, MAX_RECORD_BYTES};
use proptest::prelude::*;

proptest! {
    #[test]
    fn record_decodes_as_encoded_and_is_refused_when_truncated_or_damaged(
        hosts in proptest::collection::vec((any::<u64>(), 0_u32..300_000), 0..40),
        at in any::<prop::sample::Index>(),
        flip in 1_u8..,
    ) {
        let limits: Vec<LearnedLimit> = hosts
            .iter()
            .map(|&(position, thousandths)| LearnedLimit {
                position: RingPosition(position),
                limit: f64::from(thousandths) / 1_000.0,
            })
            .collect();

        let mut bytes = encode(&limits);
        let decoded = decode(&bytes).expect("a record");

        prop_assert!(decoded.len() == limits.len());
        for (actual, expected) in decoded.iter().zip(&limits) {
            prop_assert!(
                actual.position == expected.position && (actual.limit - expected.limit).abs() < 0.002
            );
        }
        let at = at.index(bytes.len());
        prop_assert!(decode(&bytes[..at]).is_err(), "truncated at {}", at);
        bytes[at] ^= flip;
        prop_assert!(decode(&bytes).is_err(), "damaged at {}", at);
    }
}

#[test]
fn hosts_past_the_maximum_are_left_out() {
    let limits = vec![LearnedLimit { position: RingPosition(u64::MAX), limit: 256.0 }; 5_000];

    let bytes = encode(&limits);

    assert!(bytes.len() <= MAX_RECORD_BYTES);
    assert_eq!(decode(&bytes).map(|hosts| hosts.len()), Ok(4_096));
}

#[test]
fn bytes_that_are_not_a_record_are_refused_with_the_cause() {
    let mut other_version = encode(&[]);
    other_version[0] = 2;
    let checksum = crc32fast::hash(&other_version[..2]).to_le_bytes();
    other_version[2..].copy_from_slice(&checksum);
    let too_long = vec![0; MAX_RECORD_BYTES + 1];

    let errors = [&b""[..], &other_version, &too_long].map(|bytes| decode(bytes).err());

    let expected = [RecordError::TooShort, RecordError::UnknownVersion, RecordError::TooLong];
    assert_eq!(errors, expected.map(Some));
    let texts = expected.map(|error| error.to_string());
    let expected_texts = [
        "record is shorter than its version and checksum",
        "record has another format version, expected 1",
        "record is longer than 65542 bytes",
    ];
    assert_eq!(texts, expected_texts);
}

/// Written at commit f154ff4: a balancer of that version may be the one that is replaced.
const RECORD_OF_VERSION_1: [u8; 45] = [
    0x01, 0x04, 0xae, 0xab, 0x82, 0xad, 0xcc, 0xcd, 0x8f, 0xe7, 0xb4, 0x01, 0xf0, 0x2e, 0x00, 0xac, 0x02,
    0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01, 0x80, 0xd0, 0x0f, 0xef, 0x9b, 0xaf, 0xcd,
    0xf8, 0xac, 0xd1, 0x91, 0x01, 0xb9, 0x60, 0x6e, 0x67, 0xa4, 0xee,
];

#[test]
fn record_of_version_1_decodes_and_is_encoded_identically() {
    let expected: Vec<LearnedLimit> = [
        (RingPosition::of("10.0.0.1:6379"), 6.0),
        (RingPosition(0), 0.3),
        (RingPosition(u64::MAX), 256.0),
        (RingPosition(0x0123_4567_89ab_cdef), 12.345),
    ]
    .into_iter()
    .map(|(position, limit)| LearnedLimit { position, limit })
    .collect();
    assert_eq!(decode(&RECORD_OF_VERSION_1).expect("a record"), expected);
    assert_eq!(encode(&expected), RECORD_OF_VERSION_1);
    assert_eq!(encode(&[]), [0x01, 0x00, 0xbe, 0x23, 0xc2, 0x58]);
}
