//! Decides which connection to a host carries an attempt, when another is opened, how many are
//! kept, and when a connection is dead or its attempt in doubt. Does no I/O: the time is passed in
//! with every call, randomness comes from a seed, and the caller owns the sockets and reports how
//! each step ended.
//!
//! The calls for an attempt: [`ConnectionPools::checkout`]; after [`Checkout::Open`] either
//! [`ConnectionPools::connected`] or [`ConnectionPools::connect_failed`];
//! [`ConnectionPools::request_sent`] once the request's last byte is written; and at the end one of
//! [`ConnectionPools::answered`], [`ConnectionPools::attempt_timed_out`],
//! [`ConnectionPools::connection_lost`] or [`ConnectionPools::abandoned`].
//! [`ConnectionPools::tick`] is called several times a second, and
//! [`ConnectionPools::take_actions`] after each of these calls.
//!
//! The policy, not this crate, decides which host a request goes to and whether it is retried. This
//! crate says whose fault a failure was ([`Fault`]), and reports attempts in doubt and hosts that
//! are known to be alive.
//!
//! In line with RFC 9110 section 9.3, a connection that ends during a request may have delivered
//! the request, whoever is at fault.

#![warn(missing_docs)]

mod circuit_breaker;
mod connection;
mod correlated_faults;
mod host_pool;
mod idle_limit;
mod pools;
mod response_history;
mod stats;
mod token_bucket;

use basaltwood::types::{HostId, Micros};

pub use connection::ConnectionState;
pub use pools::ConnectionPools;
pub use stats::PoolStats;

/// Identifies a connection; ids are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(pub u64);

/// The rest of a connection after each response, see [`PoolConfig::rest_after_response`]. Copies are
/// expected some milliseconds late.
pub const REST_AFTER_RESPONSE: Micros = 60_000;

/// Configuration of the connection pools.
#[derive(Clone, Copy, Debug)]
pub struct PoolConfig {
    /// Seed of the random numbers that jitter backoffs.
    pub seed: u64,
    /// Number of balancers in the fleet; limits on connects hold for all of them together.
    pub balancers: u32,
    /// The configured idle time after which hosts close a connection.
    pub idle_timeout: Micros,
    /// How long a connection stays idle after a response before it carries the next request.
    /// Responses carry no id: a copy of one that comes within this time is found on the idle
    /// connection, and can't be taken for the next response.
    pub rest_after_response: Micros,
    /// Number of file descriptors that connections to hosts are compared with, for clients and
    /// hosts together: it decides when descriptors are short and what a host's share is.
    pub max_connections: usize,
}

/// The result of asking for a connection for an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// Use this established connection.
    Reuse(ConnectionId),
    /// Open a new connection with this id.
    Open(ConnectionId),
    /// No connection yet: ask again at this time, or when a connection comes free.
    RetryAt(Micros),
    /// Like [`Checkout::RetryAt`], because of the rate limit on connects to all hosts together. To
    /// wait for it, reserve a connect with [`ConnectionPools::reserve_connect`].
    Throttled(Micros),
    /// No connection: connects to the host keep failing, and its backoff is not over.
    CircuitOpen,
    /// No connection: descriptors are short, and the host holds its share of them with requests
    /// that it does not answer.
    Exhausted,
}

/// Whose fault a failure was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The connection's; the host is healthy as far as is known.
    Connection,
    /// Possibly the host's.
    Host,
}

/// What a timeout means for the connection of the attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeoutVerdict {
    /// Whose fault the timeout was.
    pub fault: Fault,
    /// Whether to keep reading the connection for a late response; otherwise it is to be closed.
    pub await_late_response: bool,
}

/// Why a connection could not be established.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectFailure {
    /// The host refused it or did not accept it in time.
    Host,
    /// The attempt ended first, or there was no descriptor; no evidence about the host.
    Local,
}

/// An action that the pools request from the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PoolAction {
    /// Close this connection if it is still open.
    Close(ConnectionId),
    /// Report the attempt on this connection as in doubt: requests that were sent later to the same
    /// host have been answered.
    AttemptInDoubt(ConnectionId),
    /// Report that this host answered after a silence, on a connection from before it: the host is
    /// alive and was not restarted.
    HostAlive(HostId),
}
