//! The pool's state of one connection.

use basaltwood::types::Micros;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// Being opened.
    Connecting,
    /// Established, with the first request under way, which takes longer than later ones.
    Warming,
    /// Established, without a request.
    Idle,
    /// Carries a request.
    Active,
    /// The attempt has timed out, and the connection is still read for a late response.
    AwaitingLateResponse,
    /// Not or no longer in a pool.
    Closed,
}

/// One connection of a host.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub state: ConnectionState,
    /// Start of the present idle time or of the wait for a late response.
    pub idle_since: Micros,
    /// When the request under way was sent.
    pub sent_at: Option<Micros>,
    /// How long the connection was idle before that request; `None` if it is new.
    pub idle_before_use: Option<Micros>,
    /// Whether the request under way was already reported as in doubt.
    pub in_doubt: bool,
}

impl Connection {
    /// Creates a connection that is being opened.
    pub fn connecting(now: Micros) -> Connection {
        Connection {
            state: ConnectionState::Connecting,
            idle_since: now,
            sent_at: None,
            idle_before_use: None,
            in_doubt: false,
        }
    }

    /// Whether an attempt uses the connection.
    pub fn in_use(&self) -> bool {
        use ConnectionState::{Active, Connecting, Warming};
        matches!(self.state, Connecting | Warming | Active)
    }

    /// How long the connection has been idle or has awaited a late response.
    pub fn unused_for(&self, now: Micros) -> Micros {
        now - self.idle_since
    }

    /// Records that the last byte of a request was written.
    pub fn request_sent(&mut self, now: Micros) {
        self.sent_at = Some(now);
        self.in_doubt = false;
    }

    /// Records that the connection is free for another request.
    pub fn became_idle(&mut self, now: Micros) {
        self.state = ConnectionState::Idle;
        self.idle_since = now;
        self.clear_request();
    }

    /// Forgets the request: later events on the connection are no evidence about it.
    pub fn clear_request(&mut self) {
        self.sent_at = None;
        self.idle_before_use = None;
    }
}
