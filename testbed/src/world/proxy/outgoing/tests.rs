//! Pieces of responses are forwarded in their order, and copies later, in the forms that a fault has.

use std::collections::BTreeSet;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::{Outgoing, OutgoingPieces, COPY_LATENESS, MAX_OWN_LATENESS};
use crate::time::MS;

const PIECE: &[u8] = b"-BUSY MS\r\nrest";

fn original(merged_copies: &[u8], piece: &[u8]) -> Outgoing {
    Outgoing::Original { merged_copies: merged_copies.to_vec(), piece: piece.to_vec() }
}

#[test]
fn originals_are_taken_in_their_order_once_they_are_due() {
    let mut outgoing = OutgoingPieces::default();
    outgoing.add(18 * MS, b"first".to_vec());
    outgoing.add(18 * MS, b"second".to_vec());
    assert_eq!((outgoing.next_due(), outgoing.take_due(17 * MS)), (Some(18 * MS), None));
    assert_eq!(outgoing.take_due(18 * MS), Some(original(b"", b"first")));
    assert_eq!(outgoing.take_due(18 * MS), Some(original(b"", b"second")));
    assert!(outgoing.has_no_originals());
}

/// Draws many copies, each taken when it is due or, if merged, with the next original.
#[test]
fn copies_come_within_their_lateness_or_with_the_next_original() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut forms = BTreeSet::new();
    for _ in 0..200 {
        let mut outgoing = OutgoingPieces::default();
        outgoing.add_copy(0, PIECE, &mut rng);
        let taken = match outgoing.next_due() {
            Some(due) => {
                assert!(COPY_LATENESS.contains(&due), "due at {due}");
                outgoing.take_due(due)
            }
            None => {
                outgoing.add(0, b"next".to_vec());
                outgoing.take_due(0)
            }
        };
        forms.insert(match taken.expect("a piece is due") {
            Outgoing::Copy(copy) => copy,
            Outgoing::Original { merged_copies, piece } => [merged_copies, piece].concat(),
        });
    }
    let whole_and_next = [PIECE, b"next"].concat();
    let expected = [PIECE, &PIECE[..PIECE.len() / 2], b"-BUSY MS\r\n", &whole_and_next];
    assert_eq!(forms, expected.into_iter().map(<[u8]>::to_vec).collect());
}

#[test]
fn copy_that_the_world_is_late_for_is_not_sent() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut outgoing = OutgoingPieces::default();
    while outgoing.next_due().is_none() {
        outgoing.add_copy(0, PIECE, &mut rng);
    }
    let due = outgoing.next_due().expect("a copy");
    assert_eq!(outgoing.take_due(due + MAX_OWN_LATENESS + 1), None);
}
