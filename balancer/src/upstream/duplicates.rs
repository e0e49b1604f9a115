//! Hosts that answer a request twice. Responses carry no id: the second copy could be taken for the
//! response to the next request on its connection. So a host that sent more than it was asked for
//! gets each request on a connection of its own for a while; other hosts are not concerned.

use std::cell::Cell;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::Duration;

use tokio::time::Instant;

use crate::request::ClientRequest;

/// After a host sent more than it was asked for, it is suspected of answering twice for so long: a
/// response that is like the one before it on its connection is not taken for the next one.
const SUSPECTED_FOR: Duration = Duration::from_secs(10);
/// After each sign of it, each request has a connection of its own for so long. Copies come some
/// milliseconds late, and every new connection costs its host; with 10 s the day of spoilt answers
/// served 0.07 less (docs/incidents/hunt.md).
const FRESH_CONNECTIONS_FOR: Duration = Duration::from_secs(1);
/// Of a response so many bytes at its end are hashed: all of a long one would cost more than it
/// tells.
const FINGERPRINTED_BYTES: usize = 4 * 1024;

/// Whether one host is suspected of answering twice.
#[derive(Default)]
pub struct DuplicateDetector {
    /// When it last sent more than it was asked for.
    seen_at: Cell<Option<Instant>>,
    /// When there was last a sign of any kind.
    last_sign_at: Cell<Option<Instant>>,
}

impl DuplicateDetector {
    /// It sent more than it was asked for.
    pub fn unexpected_bytes(&self) {
        self.seen_at.set(Some(Instant::now()));
        self.repeated_response();
    }

    /// A response was like the one before it: a sign, though values may be alike by themselves.
    pub fn repeated_response(&self) {
        self.last_sign_at.set(Some(Instant::now()));
    }

    /// A connection to it is to carry one request alone.
    pub fn wants_fresh_connections(&self) -> bool {
        self.last_sign_at.get().is_some_and(|at| at.elapsed() < FRESH_CONNECTIONS_FOR)
    }

    /// A response may be a copy of the one before it.
    pub fn suspected(&self) -> bool {
        self.seen_at.get().is_some_and(|at| at.elapsed() < SUSPECTED_FOR)
    }
}

/// A response, and the key of its request. Hashes of both: an idle connection must not hold a
/// request.
#[derive(Clone, Copy)]
pub struct ResponseFingerprint {
    response: u64,
    key: u64,
}

impl ResponseFingerprint {
    /// Of a whole response and its request.
    pub fn of(response: &[u8], request: &ClientRequest) -> ResponseFingerprint {
        let end = &response[response.len().saturating_sub(FINGERPRINTED_BYTES)..];
        ResponseFingerprint { response: hash(response.len(), end), key: hash(0, &request.key) }
    }

    /// Whether the next response has the same bytes although its request has another key, or is a
    /// write, which has a receipt of its own.
    pub fn repeated_by(self, next: ResponseFingerprint, next_is_write: bool) -> bool {
        self.response == next.response && (self.key != next.key || next_is_write)
    }
}

fn hash(length: usize, bytes: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    (length, bytes).hash(&mut hasher);
    hasher.finish()
}
