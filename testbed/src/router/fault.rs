//! Faults that can be injected into a router, so that tests can show that the audit detects each.

/// A fault of a router. The values on the command line are kept for compatibility.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedFault {
    /// Never answers one request in ten.
    #[value(name = "forget")]
    NeverReply,
    /// Answers one request in ten after its deadline.
    #[value(name = "late")]
    ReplyLate,
    /// Answers one request in ten twice.
    #[value(name = "twice")]
    ReplyTwice,
    /// Answers with the value of the previous request.
    #[value(name = "foreign")]
    ReplyWithPreviousValue,
    /// Answers with a made-up value.
    #[value(name = "forge")]
    ForgeValue,
    /// Closes the connection instead of answering one request in ten.
    #[value(name = "cut")]
    CloseConnection,
    /// Sends one request in ten again after answering it.
    #[value(name = "after")]
    SendAfterReply,
    /// Never calls discovery and keeps the list from its start.
    #[value(name = "deaf")]
    IgnoreDiscovery,
    /// Sends each write twice, also at-most-once writes.
    #[value(name = "again")]
    RepeatWrites,
    /// Rejects writes that the origin has executed.
    #[value(name = "deny")]
    RejectExecutedWrites,
    /// Keeps sending to draining hosts.
    #[value(name = "drain")]
    SendToDraining,
}
