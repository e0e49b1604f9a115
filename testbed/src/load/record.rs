//! What became of each request, as its client saw it.

use crate::time::Micros;

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// With the value made for it.
    Served,
    /// With a value made for another request.
    WrongValue,
    /// With `-BUSY`.
    Rejected,
    /// With another error.
    Failed,
    /// The balancer ended the connection, and the client did not try again, or in vain.
    ConnectionLost,
    /// No reply came in time.
    TimedOut,
    /// The client went away before a reply.
    Abandoned,
    /// No balancer could be reached in time.
    Unreachable,
}

/// One request with its outcome. Times are in microseconds of the run.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// When it was due; its latency counts from here.
    pub due_at: Micros,
    /// When its first attempt was written, or when it would have been but for a connection that was
    /// not there.
    pub sent_at: Micros,
    /// When its outcome was known.
    pub ended_at: Micros,
    /// The index of its request class.
    pub category: u16,
    /// The index of its tenant, if it has one.
    pub customer: Option<u16>,
    /// The outcome of its last attempt.
    pub outcome: RequestOutcome,
    /// Attempts that the client made.
    pub attempts: u32,
    /// Attempts that the balancer rejected.
    pub rejections: u32,
    /// Attempts whose connection the balancer ended.
    pub connections_lost: u32,
}

impl RequestRecord {
    /// From when the request was due until its outcome was known.
    pub fn latency(&self) -> Micros {
        self.ended_at - self.due_at
    }
}
