//! The phases of the process between start and exit. `downstream::idle_close` has the conditions
//! and time limits under which idle connections are closed in each phase.

/// A phase of the process. Signals and admin requests change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process reads its configuration and begins to listen.
    Starting,
    /// Requests are accepted and answered.
    Serving,
    /// Entered and left by operators' admin requests, without a time limit. `PING` is answered with
    /// an error. Connections are still accepted and requests served; each connection is closed once
    /// it has had a command and no answer is pending.
    LameDuck,
    /// Entered on SIGTERM or SIGINT if the listening socket is the process's own. Connections are
    /// still accepted for a limited time, and each is closed once it has had a command and no
    /// answer is pending.
    Draining,
    /// Entered on SIGTERM or SIGINT if the listening socket is inherited: another process accepts
    /// new connections, and this one does not. Each open connection is closed after its next
    /// answer, or after a limited time if it has had a command and no answer is pending.
    Takeover,
    /// No connection is accepted; an open one is closed once all its requests are answered.
    Closing,
    /// All open requests have got their final answers, and new ones are rejected. Connections are
    /// closed once these answers are written.
    Flushing,
    /// No connection is left.
    Ended,
}

impl Phase {
    /// Whether connections are closed after an answer, so that clients go to other balancers.
    pub fn drains_clients(self) -> bool {
        !matches!(self, Phase::Starting | Phase::Serving)
    }

    /// Whether clients' connections are accepted.
    pub fn accepts_connections(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving | Phase::LameDuck | Phase::Draining)
    }
}
