//! The phases of the process between start and exit.

/// A phase of the process. Signals and admin requests change it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process reads its configuration and begins to listen.
    Starting,
    /// Requests are accepted and answered.
    Serving,
    /// Operators drain this balancer: requests are still served, and each connection is closed
    /// after its next answer. Operators can return to `Serving`.
    LameDuck,
    /// After SIGTERM or SIGINT: connections are still accepted for a limited time, and each is
    /// closed after its next answer.
    Draining,
    /// After SIGTERM or SIGINT, if another process accepts: each connection is closed after its
    /// next answer.
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
