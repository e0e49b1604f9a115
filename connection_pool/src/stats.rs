//! Counters of the connection pools, as printed for operators.

use std::fmt;

/// Counts since process start; displayed as `name=count` pairs separated by spaces.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Connections closed because they reached the limit on idle time or on the wait for a late
    /// response, or because others that had been idle as long turned out stale.
    pub presumed_stale: u64,
    /// Idle connections closed because the recent peak of use did not need them.
    pub surplus_closed: u64,
    /// Connections that ended during a request through no fault of their host.
    pub connection_faults: u64,
    /// Attempts in doubt because requests sent later to the same host were answered.
    pub attempts_in_doubt: u64,
    /// Responses that arrived after their attempt had timed out.
    pub late_responses: u64,
    /// Checkouts delayed by a rate limit on opening connections.
    pub connects_throttled: u64,
    /// Checkouts delayed or refused because connects to the host keep failing.
    pub connects_circuit_open: u64,
    /// Checkouts refused because the host holds its share of the file descriptors.
    pub connects_exhausted: u64,
    /// Stalls of this process itself.
    pub process_stalls: u64,
}

impl fmt::Display for PoolStats {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "connections_presumed_stale={} connections_surplus_closed={} connection_faults={} \
             attempts_in_doubt={} late_responses={} connects_throttled={} connects_circuit_open={} \
             connects_exhausted={} process_stalls={}",
            self.presumed_stale,
            self.surplus_closed,
            self.connection_faults,
            self.attempts_in_doubt,
            self.late_responses,
            self.connects_throttled,
            self.connects_circuit_open,
            self.connects_exhausted,
            self.process_stalls
        )
    }
}
