//! Where the program is between start and exit.

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Reads what it is told and begins to listen.
    Starting,
    Serving,
    /// Operators send clients away: what comes is served, connections are closed after their next answer. It is left
    /// again for `Serving`.
    LameDuck,
    /// Told to end: takes what still comes, answers it, closes connections once they were of use.
    Draining,
    /// Told to end where another process accepts_connections: each connection is closed after its next answer.
    Takeover,
    /// Nothing new is taken; connections are closed as soon as they are owed nothing.
    Closing,
    /// Whatever was open has its final answer, what still comes is nacked; connections are closed once those are written.
    Flushing,
    /// Nothing is owed any more.
    Ended,
}

impl Phase {
    /// Clients are to go elsewhere.
    pub fn drains_clients(self) -> bool {
        !matches!(self, Phase::Starting | Phase::Serving)
    }

    pub fn accepts_connections(self) -> bool {
        matches!(self, Phase::Starting | Phase::Serving | Phase::LameDuck | Phase::Draining)
    }
}
