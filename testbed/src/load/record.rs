//! The outcome of each request, as observed by its client.

use crate::time::Micros;

/// The outcome of a request for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The reply was the value made for the request.
    Served,
    /// The reply was a value made for another request.
    WrongValue,
    /// The reply was `-BUSY`.
    Rejected,
    /// The reply was another error.
    Failed,
    /// The balancer closed the connection before a reply.
    ConnectionLost,
    /// No reply arrived in time.
    TimedOut,
    /// The client disconnected before a reply was due.
    Abandoned,
    /// No balancer could be reached in time.
    Unreachable,
}

/// A request with its outcome. Times are in microseconds since the start of the run.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// When the request was due; its latency counts from here.
    pub due_at: Micros,
    /// When the first attempt was written, or began to wait for a connection.
    pub sent_at: Micros,
    /// When the outcome was known.
    pub ended_at: Micros,
    /// The index of the request class.
    pub category: u16,
    /// The index of the tenant, if any.
    pub customer: Option<u16>,
    /// The outcome of the last attempt.
    pub outcome: RequestOutcome,
    /// Attempts that the client made.
    pub attempts: u32,
    /// Attempts that the balancer rejected.
    pub rejections: u32,
    /// Attempts whose connection the balancer closed.
    pub connections_lost: u32,
}

impl RequestRecord {
    /// The time from when the request was due until its outcome was known.
    pub fn latency(&self) -> Micros {
        self.ended_at - self.due_at
    }
}
