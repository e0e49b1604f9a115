//! How late a run was by its own threads and by the machine, and whether its figures count.

use hdrhistogram::Histogram;

use super::snapshots::LoadSnapshots;
use crate::lateness::{judge, LatenessBounds, LatenessHistograms};
use crate::scale::experiment::Conditions;
use crate::scale::point::Figures;
use crate::scale::protocol::merge_histograms;
use crate::time::millis;

/// A request of a simulated balancer that begins later than this is late.
const LATE_REQUEST_MS: f64 = 2.0;

/// How late requests, the fleet, and a thread that does nothing else were.
pub(super) struct RunLateness {
    /// Of the requests of simulated balancers and, once added, of a real one's load.
    pub(super) requests: Histogram<u64>,
    fleet: LatenessHistograms,
    bare_thread: LatenessHistograms,
}

impl RunLateness {
    /// From the end of the stretch with requests.
    pub(super) fn of(load: &LoadSnapshots) -> RunLateness {
        let end = &load.load_end;
        RunLateness {
            requests: merge_histograms(end.simulated.iter().map(|snapshot| &snapshot.lateness)),
            fleet: LatenessHistograms {
                late: merge_histograms(end.fleets.iter().map(|snapshot| &snapshot.lateness)),
                own: merge_histograms(end.fleets.iter().map(|snapshot| &snapshot.own_lateness)),
            },
            bare_thread: load.bare_thread.clone(),
        }
    }

    /// Adds its figures.
    pub(super) fn insert_into(&self, figures: &mut Figures) {
        let p99_ms = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64 / 1e3;
        figures.insert("late p99 of ops, ms", p99_ms(&self.requests));
        figures.insert("late p99 of the fleet, ms", p99_ms(&self.fleet.late));
        figures.insert("late p99 of a bare thread, ms", p99_ms(&self.bare_thread.late));
    }

    /// Whether the point counts: (why not, what must be known of it).
    pub(super) fn judge(
        &self,
        conditions: &Conditions,
        figures: &Figures,
    ) -> (Option<String>, Option<String>) {
        let simulated = figures.get("in target, part").copied().unwrap_or(1.0);
        let real = figures.get("real: benefit");
        let earned = real.map_or(simulated, |benefit| benefit.min(simulated));
        let bounds = LatenessBounds {
            late: millis(LATE_REQUEST_MS),
            target: millis(conditions.target_ms),
            missed: 1.0 - earned,
        };
        judge(bounds, &self.requests, &self.fleet, &self.bare_thread).into_void_and_warning()
    }
}
