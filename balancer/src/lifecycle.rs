//! Where the program is between start and exit.

/// A phase of the program. Operators' calls and signals lead from one to the next; connections close by it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads its configuration and begins to listen.
    Starting,
    /// Takes and answers requests.
    Serving,
    /// Operators send clients away: what comes is served, and connections are closed after their next answer. It is
    /// left again for `Serving`.
    LameDuck,
    /// After a signal to end: takes what still comes, answers it, and closes connections once they were of use.
    Draining,
    /// After a signal to end where another process accepts: each connection is closed after its next answer.
    Takeover,
    /// Nothing new is taken; connections are closed as soon as they are owed nothing.
    Closing,
    /// Whatever was open has its final answer, what still comes is rejected; connections are closed once those answers
    /// are written.
    Flushing,
    /// Nothing is owed any more.
    Ended,
}

impl Phase {
    /// Whether clients are to go elsewhere.
    pub fn drains_clients(self) -> bool {
        !matches!(self, Phase::Starting | Phase::Serving)
    }

    /// Whether connections of clients are accepted.
    pub fn accepts_connections(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving | Phase::LameDuck | Phase::Draining)
    }
}
