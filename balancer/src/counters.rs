//! Counts of what is taken in, sent and answered; printed on SIGUSR1 and at exit.

use std::cell::Cell;
use std::fmt;

use basaltwood::types::AttemptOutcome;

macro_rules! counters {
    ($($name:ident),* $(,)?) => {
        #[derive(Default)]
        pub struct Counters {
            $(pub $name: Count,)*
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

#[derive(Default)]
pub struct Count(Cell<u64>);

impl Count {
    pub fn add(&self) {
        self.add_many(1);
    }

    pub fn add_many(&self, more: usize) {
        self.0.set(self.0.get() + more as u64);
    }
}

counters! {
    // In: clients and what they sent.
    clients, clients_shed, clients_slow, ops, malformed,
    // Out: what ops were answered with; `dropped` where the client had gone.
    acked, nacked, dead_lettered, dropped,
    // Pushes, and how they ended.
    pushes, push_acked, push_missed, push_error, push_turned_away, push_timed_out, push_unreachable,
    push_broken, push_severed, push_called_off, push_never_sent,
    // Long values that their host did not give whole.
    values_torn,
    // Connections to hosts: opened, used again, found closed.
    connections_opened, connections_reused, connections_stale,
    // The list; calls for it that were refused for now, came to nothing, or were answered with nonsense.
    lists, list_refused, list_silent, list_senseless, list_entries_refused, hosts_forgotten,
    // Regions: how often the ring became another one's; hosts that came into it, and that were taken out of it
    // while up; zones that no region names.
    regions_rings, regions_hosts_in, regions_hosts_out, regions_zones_unnamed,
}

impl Counters {
    pub fn ended(&self, end: AttemptOutcome) {
        let count = match end {
            AttemptOutcome::Succeeded => &self.push_acked,
            AttemptOutcome::Miss => &self.push_missed,
            AttemptOutcome::Error => &self.push_error,
            AttemptOutcome::Rejected => &self.push_turned_away,
            AttemptOutcome::TimedOut => &self.push_timed_out,
            AttemptOutcome::Unreachable => &self.push_unreachable,
            AttemptOutcome::NotSent => &self.push_never_sent,
            AttemptOutcome::ConnectionLost => &self.push_broken,
            AttemptOutcome::ConnectionFault => &self.push_severed,
            AttemptOutcome::Cancelled => &self.push_called_off,
        };
        count.add();
    }
}
