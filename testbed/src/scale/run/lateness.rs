//! Measures how late the threads of a run and the machine were, and decides whether the figures of
//! the run are valid.

use hdrhistogram::Histogram;

use super::snapshots::LoadSnapshots;
use crate::lateness::{judge, LatenessBounds, LatenessHistograms};
use crate::scale::experiment::Conditions;
use crate::scale::point::Figures;
use crate::scale::protocol::merge_histograms;
use crate::time::millis;

/// A request of a simulated balancer that starts later than this counts as late.
const LATE_REQUEST_MS: f64 = 2.0;

/// The lateness of requests, of the fleet, and of a thread without other work.
pub(super) struct RunLateness {
    /// The lateness of requests: of simulated balancers and, once added, of the real balancer's
    /// load.
    pub(super) requests: Histogram<u64>,
    fleet: LatenessHistograms,
    reference_thread: LatenessHistograms,
}

impl RunLateness {
    /// Reads the lateness at the end of the stage with requests.
    pub(super) fn of(load: &LoadSnapshots) -> RunLateness {
        let end = &load.load_end;
        RunLateness {
            requests: merge_histograms(end.simulated.iter().map(|snapshot| &snapshot.lateness)),
            fleet: LatenessHistograms {
                late: merge_histograms(end.fleets.iter().map(|snapshot| &snapshot.lateness)),
                own: merge_histograms(end.fleets.iter().map(|snapshot| &snapshot.own_lateness)),
            },
            reference_thread: load.reference_thread.clone(),
        }
    }

    /// Inserts the figures of lateness.
    pub(super) fn insert_into(&self, figures: &mut Figures) {
        let p99_ms = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1e3;
        figures.insert("late p99 of ops, ms", p99_ms(&self.requests));
        figures.insert("late p99 of the fleet, ms", p99_ms(&self.fleet.late));
        figures.insert("late p99 of a bare thread, ms", p99_ms(&self.reference_thread.late));
    }

    /// Why the point is void, if it is, and a warning, if its figures need one.
    pub(super) fn void_and_warning(
        &self,
        conditions: &Conditions,
        figures: &Figures,
    ) -> (Option<String>, Option<String>) {
        let simulated = figures.get("in target, part").copied().unwrap_or(1.0);
        let real = figures.get("real: benefit");
        let in_target = real.map_or(simulated, |benefit| benefit.min(simulated));
        let bounds = LatenessBounds {
            late: millis(LATE_REQUEST_MS),
            target: millis(conditions.target_ms),
            missed: 1.0 - in_target,
        };
        judge(bounds, &self.requests, &self.fleet, &self.reference_thread).into_void_and_warning()
    }
}
