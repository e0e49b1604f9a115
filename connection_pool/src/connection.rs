//! One connection, as the pool sees it.

use basaltwood::types::Micros;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionState {
    /// It is not up yet.
    Connecting,
    /// Up, and its first request is under way: that one takes longer.
    Warming,
    /// Up, and carries nothing.
    Idle,
    /// Carries a request.
    Active,
    /// Its attempt has timed out; the connection is read on for a late response.
    AwaitingLateResponse,
    /// The pool does not know it, or no more.
    Closed,
}

/// One connection of a host.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    pub state: ConnectionState,
    /// Since when it is idle, or awaits a late response.
    pub idle_since: Micros,
    /// When the request under way was sent.
    pub sent_at: Option<Micros>,
    /// How long it was idle before that request; none where it is new.
    pub idle_before_use: Option<Micros>,
    /// The request under way was already reported as in doubt.
    pub in_doubt: bool,
}

impl Connection {
    /// A connection that is being opened.
    pub fn connecting(now: Micros) -> Connection {
        Connection {
            state: ConnectionState::Connecting,
            idle_since: now,
            sent_at: None,
            idle_before_use: None,
            in_doubt: false,
        }
    }

    /// An attempt has it.
    pub fn in_use(&self) -> bool {
        use ConnectionState::{Active, Connecting, Warming};
        matches!(self.state, Connecting | Warming | Active)
    }

    /// How long it has been idle, or has awaited a late response.
    pub fn idle_for(&self, now: Micros) -> Micros {
        now - self.idle_since
    }

    /// The last byte of a request was written.
    pub fn request_sent(&mut self, now: Micros) {
        self.sent_at = Some(now);
        self.in_doubt = false;
    }

    /// It is free for another request.
    pub fn became_idle(&mut self, now: Micros) {
        self.state = ConnectionState::Idle;
        self.idle_since = now;
        self.clear_request();
    }

    /// Nothing that happens from now on tells how its request fared.
    pub fn clear_request(&mut self) {
        self.sent_at = None;
        self.idle_before_use = None;
    }
}
