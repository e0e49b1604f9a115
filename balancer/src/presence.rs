//! Tracks whether a client's connection is still open; each attempt checks it before it writes its
//! first byte.

use std::cell::Cell;
use std::rc::Rc;

use tokio::time::Instant;

/// The presence of one client, shared by its connection and the requests that came on it.
#[derive(Clone, Default)]
pub struct ClientPresence {
    departed_at: Rc<Cell<Option<Instant>>>,
}

impl ClientPresence {
    /// Whether the client's connection is open, as far as known.
    pub fn is_present(&self) -> bool {
        self.departed_at.get().is_none()
    }

    /// When the client's connection ended; `None` while it is open.
    pub fn departed_at(&self) -> Option<Instant> {
        self.departed_at.get()
    }
}

/// Held by a client's connection; its drop marks the client as departed.
#[derive(Default)]
pub struct PresenceGuard {
    presence: ClientPresence,
}

impl PresenceGuard {
    /// The client's presence, for a request received on this connection.
    pub fn presence(&self) -> ClientPresence {
        self.presence.clone()
    }
}

impl Drop for PresenceGuard {
    fn drop(&mut self) {
        self.presence.departed_at.set(Some(Instant::now()));
    }
}
