//! Counters of events, printed to the log on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

use basaltwood::types::AttemptOutcome;

/// Defines [`Counters`] with these fields, which are printed in this order and under these names.
macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        /// The process's counters.
        #[derive(Default)]
        pub struct Counters {
            $(pub $name: Counter,)*
        }

        impl fmt::Display for Counters {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("counters:")?;
                $(write!(f, concat!(" ", stringify!($name), "={}"), self.$name.0.get())?;)*
                Ok(())
            }
        }
    };
}

/// A number that only grows while the process runs.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// Adds one.
    pub fn add(&self) {
        self.add_many(1);
    }

    /// The current count.
    pub fn count(&self) -> u64 {
        self.0.get()
    }

    /// Adds `count`.
    pub fn add_many(&self, count: usize) {
        self.0.set(self.0.get() + count as u64);
    }
}

counters! {
    // Clients accepted, closed to free a descriptor for others, and closed for being slow;
    // requests; malformed commands.
    clients, clients_shed, clients_slow, requests, malformed,
    // Requests that had to wait for replies before their own, and those of them that were rejected
    // because their time was over or the process ended.
    requests_held, requests_held_rejected,
    // How requests ended; `abandoned` if the client had left.
    succeeded, rejected, failed, abandoned,
    // Attempts started, and how they ended.
    attempts, attempts_succeeded, attempts_missed, attempts_error, attempts_rejected, attempts_timed_out,
    attempts_unreachable, attempts_connection_lost, attempts_connection_fault, attempts_cancelled,
    attempts_not_sent, attempts_connects_at_limit,
    // Keyed attempts cancelled while they were out, since they could take effect a second time.
    attempts_overdue,
    // Requests rejected because their value had waited for memory as long as their client waits.
    values_rejected,
    // Responses for which no memory was free in the time of their attempt.
    responses_without_memory,
    // Long values that a host did not send in full, and those whose head states a wrong length.
    values_truncated, values_length_wrong,
    // Connections to hosts: opened, reused, found closed when about to be reused.
    connections_opened, connections_reused, connections_stale,
    // Endpoint lists applied; calls to discovery refused for now, timed out or lost, and answered
    // with an invalid response; list entries left out as invalid; departed hosts whose state was
    // released.
    endpoint_lists, discovery_unavailable, discovery_timeouts, discovery_invalid, endpoints_refused,
    hosts_released,
    // Regions: changes of the ring to another region; hosts added to the ring, and removed from it
    // while up; zones that belong to no region.
    regions_rings, regions_hosts_in, regions_hosts_out, regions_zones_unnamed,
}

impl Counters {
    /// Counts an attempt that ended with this outcome.
    pub fn attempt_ended(&self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Succeeded => &self.attempts_succeeded,
            AttemptOutcome::Miss => &self.attempts_missed,
            AttemptOutcome::Error => &self.attempts_error,
            AttemptOutcome::Rejected => &self.attempts_rejected,
            AttemptOutcome::TimedOut => &self.attempts_timed_out,
            AttemptOutcome::Unreachable => &self.attempts_unreachable,
            AttemptOutcome::NotSent => &self.attempts_not_sent,
            AttemptOutcome::ConnectsAtLimit => &self.attempts_connects_at_limit,
            AttemptOutcome::ConnectionLost => &self.attempts_connection_lost,
            AttemptOutcome::ConnectionFault => &self.attempts_connection_fault,
            AttemptOutcome::Cancelled => &self.attempts_cancelled,
        };
        counter.add();
    }
}
