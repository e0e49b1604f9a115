//! Faults that a router can be told to commit, so that a test can show that the audit finds each.

/// What a faulty router does. The words of the command line are older than the names of the
/// variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedFault {
    /// Never answers one request in ten.
    #[value(name = "forget")]
    NeverReply,
    /// Answers one request in ten past its deadline.
    #[value(name = "late")]
    ReplyLate,
    /// Answers one request in ten twice.
    #[value(name = "twice")]
    ReplyTwice,
    /// Answers with the value of the request before.
    #[value(name = "foreign")]
    ReplyWithPreviousValue,
    /// Answers with a value of its own making.
    #[value(name = "forge")]
    ForgeValue,
    /// Closes the connection over one request in ten.
    #[value(name = "cut")]
    CloseConnection,
    /// Sends one request in ten on after its answer.
    #[value(name = "after")]
    SendAfterReply,
    /// Never calls discovery, and goes by what it knew at its start.
    #[value(name = "deaf")]
    IgnoreDiscovery,
    /// Sends at-most-once writes a second time.
    #[value(name = "again")]
    RepeatWrites,
    /// Rejects writes that ran.
    #[value(name = "deny")]
    RejectExecutedWrites,
    /// Goes on sending to hosts that drain.
    #[value(name = "drain")]
    SendToDraining,
}
