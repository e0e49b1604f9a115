//! The phases of the process between start and exit.

/// A phase of the process. Signals and admin requests lead from one to the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads its configuration and begins to listen.
    Starting,
    /// Takes and answers requests.
    Serving,
    /// Operators drain this balancer: requests are still served, and each connection is closed
    /// after its next answer. It can be left for `Serving` again.
    LameDuck,
    /// After a signal to end: accepts and answers for a while, and closes connections once they
    /// have been served.
    Draining,
    /// After a signal to end, if another process accepts: each connection is closed after its next
    /// answer.
    Takeover,
    /// Nothing new is accepted; connections are closed as soon as no answer is owed on them.
    Closing,
    /// All open requests have got their final answers and new ones are rejected; connections are
    /// closed once those answers are written.
    Flushing,
    /// No connection is left.
    Ended,
}

impl Phase {
    /// Whether clients are to be sent to other balancers.
    pub fn drains_clients(self) -> bool {
        !matches!(self, Phase::Starting | Phase::Serving)
    }

    /// Whether clients' connections are accepted.
    pub fn accepts_connections(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving | Phase::LameDuck | Phase::Draining)
    }
}
