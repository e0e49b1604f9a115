//! Measures how long list changes took until balancers had applied them.

use std::collections::BTreeMap;

use super::snapshots::Snapshots;
use crate::scale::point::Figures;

/// The shares of the balancers for which the delay of a change is reported.
const SHARES: [f64; 3] = [0.5, 0.99, 1.0];

/// The names of the figures of one measurement.
struct FigureNames {
    /// The delay for each share of [`SHARES`].
    delays_ms: [&'static str; 3],
    changes: &'static str,
    incomplete: &'static str,
}

const DURING_RUN: FigureNames = FigureNames {
    delays_ms: ["told to 50%, ms", "told to 99%, ms", "told to all, ms"],
    changes: "changes seen",
    incomplete: "changes not told to all",
};

const AFTER_OUTAGE: FigureNames = FigureNames {
    delays_ms: ["discovery back: to 50%, ms", "discovery back: to 99%, ms", "discovery back: to all, ms"],
    changes: "discovery back: changes",
    incomplete: "discovery back: changes not told to all",
};

/// A version of the list, and when it was published or applied (Unix time in microseconds).
type VersionTime = (u64, i64);

/// The delays of all changes in these snapshots, each from its publication.
pub(super) fn during_run(snapshots: &[&Snapshots], balancers: u32) -> Figures {
    figures(&DURING_RUN, snapshots, balancers, i64::MIN)
}

/// The delays of all changes in these snapshots, each from `resumed_at`, when discovery answered
/// again (Unix time in microseconds), or from its publication, whichever is later.
pub(super) fn after_outage(snapshots: &[&Snapshots], balancers: u32, resumed_at: i64) -> Figures {
    figures(&AFTER_OUTAGE, snapshots, balancers, resumed_at)
}

/// Mean delays over the changes that all balancers applied, the number of changes, and the number
/// of changes that some balancer did not apply.
fn figures(names: &FigureNames, snapshots: &[&Snapshots], balancers: u32, not_before: i64) -> Figures {
    let applied = applied_by_balancer(snapshots);
    let changes: Vec<VersionTime> =
        snapshots.iter().flat_map(|snapshots| snapshots.discovery.changes.iter().copied()).collect();
    let mut complete = 0_usize;
    let mut delay_sums_ms = [0.0; SHARES.len()];
    for &(version, changed_at) in &changes {
        let delays = sorted_delays(&applied, version, changed_at.max(not_before));
        if delays.len() < balancers as usize {
            continue;
        }
        complete += 1;
        for (sum, share) in delay_sums_ms.iter_mut().zip(SHARES) {
            *sum += delay_of_share(&delays, share) as f64 / 1e3;
        }
    }
    let incomplete = changes.len() - complete;
    let mut figures =
        Figures::from([(names.changes, changes.len() as f64), (names.incomplete, incomplete as f64)]);
    if complete > 0 {
        let means = delay_sums_ms.map(|sum| sum / complete as f64);
        figures.extend(names.delays_ms.into_iter().zip(means));
    }
    figures
}

/// The versions that each balancer applied, in order.
fn applied_by_balancer(snapshots: &[&Snapshots]) -> BTreeMap<u32, Vec<VersionTime>> {
    let mut by_balancer: BTreeMap<u32, Vec<VersionTime>> = BTreeMap::new();
    let simulated = snapshots.iter().flat_map(|snapshots| &snapshots.simulated);
    for &(balancer, version, at) in simulated.flat_map(|snapshot| &snapshot.applied) {
        by_balancer.entry(balancer).or_default().push((version, at));
    }
    by_balancer
}

/// How long after `since` each balancer had applied a version, in microseconds, the fastest first.
/// Balancers that did not apply it are left out.
fn sorted_delays(applied: &BTreeMap<u32, Vec<VersionTime>>, version: u64, since: i64) -> Vec<i64> {
    // A list contains all changes up to its version.
    let first_delay = |versions: &Vec<VersionTime>| {
        let first = versions.iter().find(|(applied, _)| *applied >= version);
        first.map(|(_, at)| at - since)
    };
    let mut delays: Vec<i64> = applied.values().filter_map(first_delay).collect();
    delays.sort_unstable();
    delays
}

/// The delay after which this share of the balancers had applied a change. `sorted_delays` must not
/// be empty.
fn delay_of_share(sorted_delays: &[i64], share: f64) -> i64 {
    let count = sorted_delays.len();
    let rank = ((count as f64 * share).ceil() as usize).clamp(1, count);
    sorted_delays[rank - 1]
}
