//! The pieces of responses that a proxy has yet to forward on one connection: the machine's own, in
//! their order, and copies of them that come later. Does no I/O.

use std::collections::VecDeque;

use rand::Rng;

use crate::time::{Micros, MS};

#[cfg(test)]
mod tests;

/// How much later than its original a copy comes.
const COPY_LATENESS: std::ops::Range<Micros> = MS..41 * MS;

/// A copy that the world itself is late for by more than this is not sent: it would be a later copy
/// than the fault says.
const MAX_OWN_LATENESS: Micros = 10 * MS;

/// What a copy contains, and how it is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CopyKind {
    /// The whole piece.
    Whole,
    /// The first half of the piece.
    Half,
    /// The first line of the piece.
    FirstLine,
    /// The whole piece, in one write with the machine's next piece.
    MergedWithNext,
}

/// In this order of frequency: a whole copy is the likeliest to be taken for a response.
const COPY_KINDS: [CopyKind; 6] = [
    CopyKind::Whole,
    CopyKind::Whole,
    CopyKind::Whole,
    CopyKind::MergedWithNext,
    CopyKind::Half,
    CopyKind::FirstLine,
];

/// A piece to forward.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Outgoing {
    /// A piece from the machine, behind any copies that are merged with it.
    Original { merged_copies: Vec<u8>, piece: Vec<u8> },
    /// A copy by itself.
    Copy(Vec<u8>),
}

/// The pieces that are on their way.
#[derive(Default)]
pub(super) struct OutgoingPieces {
    originals: VecDeque<(Micros, Vec<u8>)>,
    copies: Vec<(Micros, Vec<u8>)>,
    /// Copies that wait for the next original.
    merged_copies: Vec<u8>,
}

impl OutgoingPieces {
    /// Adds a piece from the machine, to be forwarded at `due`.
    pub(super) fn add(&mut self, due: Micros, piece: Vec<u8>) {
        self.originals.push_back((due, piece));
    }

    /// Adds a copy of a piece that was forwarded at `now`.
    pub(super) fn add_copy(&mut self, now: Micros, piece: &[u8], rng: &mut impl Rng) {
        let kind = COPY_KINDS[rng.random_range(0..COPY_KINDS.len())];
        let due = now + rng.random_range(COPY_LATENESS);
        match kind {
            CopyKind::Whole => self.copies.push((due, piece.to_vec())),
            CopyKind::Half => self.copies.push((due, piece[..piece.len() / 2].to_vec())),
            CopyKind::FirstLine => self.copies.push((due, first_line(piece).to_vec())),
            CopyKind::MergedWithNext => self.merged_copies.extend(piece),
        }
    }

    /// When the next piece is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        let original = self.originals.front().map(|(due, _)| *due);
        let copy = self.copies.iter().map(|(due, _)| *due).min();
        original.into_iter().chain(copy).min()
    }

    /// Takes a piece that is due.
    pub(super) fn take_due(&mut self, now: Micros) -> Option<Outgoing> {
        self.copies.retain(|(due, _)| now <= *due + MAX_OWN_LATENESS);
        if let Some(nth) = self.copies.iter().position(|(due, _)| *due <= now) {
            return Some(Outgoing::Copy(self.copies.swap_remove(nth).1));
        }
        let (_, piece) = self.originals.pop_front_if(|(due, _)| *due <= now)?;
        Some(Outgoing::Original { merged_copies: std::mem::take(&mut self.merged_copies), piece })
    }

    /// Whether the machine's pieces have all been taken.
    pub(super) fn has_no_originals(&self) -> bool {
        self.originals.is_empty()
    }
}

fn first_line(piece: &[u8]) -> &[u8] {
    let end = piece.iter().position(|&byte| byte == b'\n').map_or(piece.len(), |at| at + 1);
    &piece[..end]
}
