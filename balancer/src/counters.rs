//! Counts of what is received, sent and answered; printed in the log on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

use basaltwood::types::AttemptOutcome;

/// Defines [`Counters`] with these fields, which are printed in this order and by these names.
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

/// A number that only rises while the process lives.
#[derive(Default)]
pub struct Counter(Cell<u64>);

impl Counter {
    /// One more.
    pub fn add(&self) {
        self.add_many(1);
    }

    /// So many more.
    pub fn add_many(&self, more: usize) {
        self.0.set(self.0.get() + more as u64);
    }
}

counters! {
    // In: clients and what they sent.
    clients, clients_shed, clients_slow, requests, malformed,
    // Out: what requests were answered with; `abandoned` where the client had gone.
    succeeded, rejected, failed, abandoned,
    // Attempts, and how they ended.
    attempts, attempts_succeeded, attempts_missed, attempts_error, attempts_rejected, attempts_timed_out,
    attempts_unreachable, attempts_connection_lost, attempts_connection_fault, attempts_cancelled,
    attempts_not_sent,
    // Long values that their host did not give whole.
    values_truncated,
    // Connections to hosts: opened, used again, found closed.
    connections_opened, connections_reused, connections_stale,
    // The list; calls for it that were refused for now, came to nothing, or were answered with what is no list.
    endpoint_lists, discovery_unavailable, discovery_timeouts, discovery_invalid, endpoints_refused,
    hosts_released,
    // Regions: how often the ring became another one's; hosts that came into it, and that were taken out of it
    // while up; zones that no region names.
    regions_rings, regions_hosts_in, regions_hosts_out, regions_zones_unnamed,
}

impl Counters {
    /// An attempt ended in this way.
    pub fn attempt_ended(&self, outcome: AttemptOutcome) {
        let counter = match outcome {
            AttemptOutcome::Succeeded => &self.attempts_succeeded,
            AttemptOutcome::Miss => &self.attempts_missed,
            AttemptOutcome::Error => &self.attempts_error,
            AttemptOutcome::Rejected => &self.attempts_rejected,
            AttemptOutcome::TimedOut => &self.attempts_timed_out,
            AttemptOutcome::Unreachable => &self.attempts_unreachable,
            AttemptOutcome::NotSent => &self.attempts_not_sent,
            AttemptOutcome::ConnectionLost => &self.attempts_connection_lost,
            AttemptOutcome::ConnectionFault => &self.attempts_connection_fault,
            AttemptOutcome::Cancelled => &self.attempts_cancelled,
        };
        counter.add();
    }
}
