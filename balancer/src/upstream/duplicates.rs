//! Detects hosts that answer a request twice. Responses carry no id, so the second copy could be
//! taken for the response to the next request on its connection. After a host sent more than it was
//! asked for, each request to it gets a new connection for [`FRESH_CONNECTIONS_FOR`]; other hosts
//! are not affected.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tokio::time::Instant;

use crate::request::ClientRequest;

/// How long a host may send copies of responses after it sent more than it was asked for. During
/// this time a response that [repeats](ResponseFingerprint::repeated_by) the previous one on its
/// connection is treated as a copy.
const COPIES_POSSIBLE_FOR: Duration = Duration::from_secs(10);
/// How long each request gets a connection of its own after a sign of duplicates. Copies arrive
/// only milliseconds late, and every new connection costs its host: with 10 s, the share of the
/// achievable value that was served fell by 0.07 in a run with corrupted responses (fault `spoil`).
const FRESH_CONNECTIONS_FOR: Duration = Duration::from_secs(1);
/// Number of bytes at the end of a response that are hashed; hashing all of a long response would
/// cost more than it is worth.
const MAX_HASHED_BYTES: usize = 4 * 1024;

/// Signs that one host answers requests twice.
#[derive(Default)]
pub struct DuplicateDetector {
    /// When the host last sent more than it was asked for.
    unexpected_bytes_at: Cell<Option<Instant>>,
    /// When there was last any sign of duplicates.
    last_sign_at: Cell<Option<Instant>>,
}

impl DuplicateDetector {
    /// Records that the host sent more than it was asked for.
    pub fn record_unexpected_bytes(&self) {
        self.unexpected_bytes_at.set(Some(Instant::now()));
        self.note_sign();
    }

    /// Records that a response equals the previous one: a sign only, as values may be equal by
    /// chance.
    pub fn record_repeated_response(&self) {
        self.note_sign();
    }

    fn note_sign(&self) {
        self.last_sign_at.set(Some(Instant::now()));
    }

    /// Whether each connection to the host is to carry one request only.
    pub fn wants_fresh_connections(&self) -> bool {
        self.last_sign_at.get().is_some_and(|at| at.elapsed() < FRESH_CONNECTIONS_FOR)
    }

    /// Whether a response may be a copy of the previous one on its connection.
    pub fn may_send_copies(&self) -> bool {
        self.unexpected_bytes_at.get().is_some_and(|at| at.elapsed() < COPIES_POSSIBLE_FOR)
    }
}

/// Hashes of a response and of its request's key; an idle connection must not hold the request
/// itself.
#[derive(Clone, Copy)]
pub struct ResponseFingerprint {
    response: u64,
    key: u64,
}

impl ResponseFingerprint {
    /// The fingerprint of a whole response and its request.
    pub fn of(response: &[u8], request: &ClientRequest) -> ResponseFingerprint {
        let end = &response[response.len().saturating_sub(MAX_HASHED_BYTES)..];
        ResponseFingerprint { response: hash(response.len(), end), key: hash(0, &request.key) }
    }

    /// Whether the next response has the same bytes although its request has another key or is a
    /// write, each of which has a receipt of its own.
    pub fn repeated_by(self, next: ResponseFingerprint, next_is_write: bool) -> bool {
        self.response == next.response && (self.key != next.key || next_is_write)
    }
}

fn hash(length: usize, bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (length, bytes).hash(&mut hasher);
    hasher.finish()
}
