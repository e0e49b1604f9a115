//! What the pools count, for an operator.

use std::fmt;

/// Counts since the start, printed as `name=count` with a space between.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolStats {
    /// Connections closed because they were idle, or awaited a late response, for too long, or
    /// because others that were idle as long turned out stale.
    pub presumed_stale: u64,
    /// Idle connections closed because fewer were needed of late.
    pub surplus_closed: u64,
    /// Connections that ended under a request, their host not at fault.
    pub connection_faults: u64,
    /// Attempts in doubt: later ones of their host were answered.
    pub attempts_in_doubt: u64,
    /// Responses that came after their attempt had timed out.
    pub late_responses: u64,
    /// Checkouts put off because too many connections were being opened.
    pub connects_throttled: u64,
    /// Checkouts put off or refused because the host lets no connection come up.
    pub connects_circuit_open: u64,
    /// Checkouts refused because the host holds its share of the descriptors.
    pub connects_exhausted: u64,
    /// Times that this process itself stood still.
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
