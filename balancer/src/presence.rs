//! Whether a client's connection is still open, as every attempt for it asks before its first byte.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

/// The presence of one client, shared by its connection and the requests that came on it.
#[derive(Clone, Default)]
pub struct ClientPresence {
    departed_at: Rc<Cell<Option<Instant>>>,
}

impl ClientPresence {
    /// Whether its connection is open, as far as was seen.
    pub fn is_present(&self) -> bool {
        self.departed_at.get().is_none()
    }

    /// When its connection was seen to end.
    pub fn departed_at(&self) -> Option<Instant> {
        self.departed_at.get()
    }
}

/// Held by a client's connection: dropped, it ends the client's presence.
#[derive(Default)]
pub struct PresenceGuard {
    presence: ClientPresence,
}

impl PresenceGuard {
    /// For a request that came on this connection.
    pub fn presence(&self) -> ClientPresence {
        self.presence.clone()
    }
}

impl Drop for PresenceGuard {
    fn drop(&mut self) {
        self.presence.departed_at.set(Some(Instant::now()));
    }
}
