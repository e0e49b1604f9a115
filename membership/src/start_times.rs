//! Converts the start times of hosts to this process's own clock.
//!
//! The list gives a start by the wall clock, which may be stepped by an hour while hosts and this
//! process run. This process's own clock bounds it: a start that is new in a list is no older than
//! the last list without it (less the time that a change may take to arrive), and no start lies in
//! the future. A start that has been converted once keeps its time, whatever the wall clock does.

use std::collections::{BTreeMap, BTreeSet};

use basaltwood::types::Micros;

/// The longest time from a change until a list with it is read. Source: the operators'
/// requirements.
const MAX_CHANGE_DELAY: Micros = 6_000_000;
/// A change of the wall clock's offset by less than this is slewing; a larger one is a step.
const STEP_THRESHOLD: Micros = 500_000;
/// The number of offsets that are kept: a start may be listed by the wall clock as it was before
/// the last steps.
const MAX_OFFSETS: usize = 8;

/// A listed host's start.
#[derive(Clone, Copy)]
enum KnownStart {
    /// The list gives no start for the host.
    NotGiven,
    /// The Unix time in the list, and `at`, the same start on this process's clock.
    Given { listed: Micros, at: Micros },
}

/// The starts of listed hosts.
#[derive(Default)]
pub struct StartTimes {
    /// Unix time minus this process's clock: one offset per step, the current one last.
    offsets: Vec<Micros>,
    starts: BTreeMap<String, KnownStart>,
    /// When the last list was read; `None` before the first.
    listed_at: Option<Micros>,
}

impl StartTimes {
    /// No offset and no start is known yet.
    pub fn new() -> StartTimes {
        StartTimes::default()
    }

    /// Records that the wall clock shows the Unix time `unix` at `now`. Has to be called before the
    /// starts of each list are read.
    pub fn read_wall_clock(&mut self, now: Micros, unix: Micros) {
        let offset = unix - now;
        match self.offsets.last_mut() {
            Some(current) if (offset - *current).abs() < STEP_THRESHOLD => *current = offset,
            _ => {
                self.offsets.push(offset);
                let excess = self.offsets.len().saturating_sub(MAX_OFFSETS);
                self.offsets.drain(..excess);
            }
        }
    }

    /// Returns the start of a host on this process's clock; `listed` is its Unix time in the list.
    pub fn start_of(&mut self, host: &str, listed: Micros, now: Micros) -> Micros {
        let known = self.starts.get(host).copied();
        if let Some(KnownStart::Given { listed: before, at }) = known {
            if before == listed {
                return at;
            }
        }
        let converted = self.convert(listed, now);
        // A host whose start differs from the last list has started since that list. An earlier
        // start means that the clock of the host's machine was set back, and can't be used.
        let is_impossible = known.is_some() && converted < self.earliest_change();
        let at = if is_impossible { now } else { converted };
        self.starts.insert(host.to_owned(), KnownStart::Given { listed, at });
        at
    }

    /// Records that a host is listed without its start.
    pub fn listed_without_start(&mut self, host: &str) {
        self.starts.insert(host.to_owned(), KnownStart::NotGiven);
    }

    /// The earliest time at which a change that is new in a list can have happened.
    fn earliest_change(&self) -> Micros {
        self.listed_at.map_or(Micros::MIN, |at| at - MAX_CHANGE_DELAY)
    }

    /// Reports that a list was read to its end. `all_hosts` are the hosts of a complete list, and
    /// all others are forgotten; it is `None` for a list of changes.
    pub fn list_read(&mut self, now: Micros, all_hosts: Option<&BTreeSet<&str>>) {
        self.listed_at = Some(now);
        if let Some(all_hosts) = all_hosts {
            self.starts.retain(|host, _| all_hosts.contains(host.as_str()));
        }
    }

    /// Forgets a host that is gone.
    pub fn forget(&mut self, host: &str) {
        self.starts.remove(host);
    }

    /// Converts a start that is new in a list. If the wall clock was never stepped, it is trusted.
    /// Otherwise the result is the latest possible time that any of the offsets gives, or `now` if
    /// none is possible: a host that is taken for colder than it is can bear the load that it gets.
    fn convert(&self, listed: Micros, now: Micros) -> Micros {
        let candidates = self.offsets.iter().map(|offset| listed - offset);
        if let [offset] = self.offsets[..] {
            return (listed - offset).min(now);
        }
        let earliest = self.earliest_change();
        let latest = now + STEP_THRESHOLD;
        let possible = candidates.filter(|at| (earliest..=latest).contains(at));
        possible.max().unwrap_or(now).min(now)
    }
}
