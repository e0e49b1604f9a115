//! Judges whether a run is valid from the lateness of the testbed's threads and of the machine. No
//! input or output.

use hdrhistogram::Histogram;

use super::{
    fraction_over, fraction_over_after_two, LatenessHistograms, MAX_LATE_FRACTION, MAX_STALL,
    WAKEUPS_PER_REQUEST,
};
use crate::time::Micros;

/// The bounds on lateness within which a run's figures are valid.
#[derive(Clone, Copy, Debug)]
pub struct LatenessBounds {
    /// A request sent later than this is late, in microseconds.
    pub late: Micros,
    /// The shortest latency objective, on which the benefit depends, in microseconds.
    pub target: Micros,
    /// The fraction of the benefit that was not earned. Lateness can only reduce the benefit, so
    /// this is an upper bound of the fraction that the machine can have cost.
    pub missed: f64,
}

/// The cause of the lateness that voids a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responsible {
    /// The testbed's own work.
    Testbed,
    /// The machine: threads woke late or waited for a core.
    Machine,
}

/// Whether a run is valid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The run is valid.
    Valid,
    /// The run is valid, with a warning.
    Warned(String),
    /// The run's figures are invalid: the cause of the lateness, and its description.
    Void(Responsible, String),
}

impl Verdict {
    /// The verdict as the fields `void` and `warning` of a run.
    pub fn into_void_and_warning(self) -> (Option<String>, Option<String>) {
        match self {
            Verdict::Valid => (None, None),
            Verdict::Warned(line) => (None, Some(line)),
            Verdict::Void(_, line) => (Some(line), None),
        }
    }
}

/// Judges a run from the lateness of its requests when sent, of the world's thread and of the
/// reference thread, all recorded in that run. The run is void if the testbed was later than the
/// machine's lateness explains, or if the machine was so late that the benefit is uncertain.
/// Otherwise it is valid, with a warning if the machine was late.
pub fn judge(
    bounds: LatenessBounds,
    requests: &Histogram<u64>,
    world: &LatenessHistograms,
    reference: &LatenessHistograms,
) -> Verdict {
    let measured = Measured { bounds, requests, world, reference };
    let void = measured
        .generator_late()
        .or_else(|| measured.world_stalled())
        .or_else(|| measured.world_late())
        .or_else(|| measured.benefit_in_doubt());
    match void {
        Some((responsible, line)) => Verdict::Void(responsible, line),
        None => measured.machine_late().map_or(Verdict::Valid, Verdict::Warned),
    }
}

/// The lateness of one run and its bounds.
struct Measured<'a> {
    bounds: LatenessBounds,
    requests: &'a Histogram<u64>,
    world: &'a LatenessHistograms,
    reference: &'a LatenessHistograms,
}

type Void = (Responsible, String);

impl Measured<'_> {
    /// The fraction of the requests that were sent late.
    fn late_requests(&self) -> f64 {
        fraction_over(self.requests, self.bounds.late)
    }

    /// The fraction of the requests that the machine made late; each is sent after two wakeups.
    fn late_by_machine(&self) -> f64 {
        fraction_over_after_two(&self.reference.late, self.bounds.late)
    }

    /// The fraction of the world thread's periods that were late; each begins with one wakeup.
    fn world_periods_late(&self) -> f64 {
        fraction_over(&self.world.late, self.bounds.late)
    }

    fn bound_ms(&self) -> f64 {
        as_ms(self.bounds.late as u64)
    }

    fn reference_p99_ms(&self) -> f64 {
        p99_ms(&self.reference.late)
    }

    /// Voids the run if the generator was later than the machine's lateness explains.
    fn generator_late(&self) -> Option<Void> {
        let (late, by_machine) = (self.late_requests(), self.late_by_machine());
        if late - by_machine <= MAX_LATE_FRACTION {
            return None;
        }
        let line = format!(
            "the generator was late: {:.1}% of the requests by more than {} ms (p99 {:.1} ms); the \
             machine explains {:.1}% (the reference thread's p99 was {:.1} ms), the rest is the \
             testbed's own",
            100.0 * late,
            self.bound_ms(),
            p99_ms(self.requests),
            100.0 * by_machine,
            self.reference_p99_ms()
        );
        Some((Responsible::Testbed, line))
    }

    /// Voids the run if the emulated world stalled for too long.
    fn world_stalled(&self) -> Option<Void> {
        let (world_max, reference_max) = (self.world.late.max(), self.reference.late.max());
        if world_max as Micros <= MAX_STALL {
            return None;
        }
        let (responsible, whose) = if reference_max * 2 < world_max {
            (Responsible::Testbed, "the testbed's own")
        } else {
            (Responsible::Machine, "the machine's")
        };
        let line = format!(
            "the emulated fleet stalled for {:.0} ms, the reference thread for {:.0} ms: {whose} lateness",
            as_ms(world_max),
            as_ms(reference_max)
        );
        Some((responsible, line))
    }

    /// Voids the run if the emulated world was late through its own work, without waits for a core.
    fn world_late(&self) -> Option<Void> {
        let by_work = fraction_over(&self.world.own, self.bounds.late);
        let by_wakeups = fraction_over(&self.reference.own, self.bounds.late);
        if by_work - by_wakeups <= MAX_LATE_FRACTION {
            return None;
        }
        let line = format!(
            "the emulated fleet was late: {:.1}% of its periods by more than {} ms (p99 {:.1} ms), {:.1}% \
             without waits for a core, the reference thread's {:.1}%: the rest is the testbed's own",
            100.0 * self.world_periods_late(),
            self.bound_ms(),
            p99_ms(&self.world.late),
            100.0 * by_work,
            100.0 * by_wakeups
        );
        Some((Responsible::Testbed, line))
    }

    /// Voids the run if the machine was so late that the benefit is uncertain.
    fn benefit_in_doubt(&self) -> Option<Void> {
        // A request has at least half of its latency objective to spare. Seven wakeups in a row use
        // that up only if one of them is late by at least a seventh of it.
        let share = self.bounds.target / 2 / Micros::from(WAKEUPS_PER_REQUEST);
        // The world's whole lateness counts, waits for a core included: whatever its cause, it
        // delays the hosts' replies.
        let over = fraction_over(&self.reference.late, share).max(fraction_over(&self.world.late, share));
        let in_doubt = (f64::from(WAKEUPS_PER_REQUEST) * over).min(self.bounds.missed);
        if in_doubt <= MAX_LATE_FRACTION {
            return None;
        }
        let line = format!(
            "the machine was late: the reference thread, or the fleet with its waits for a core, woke over \
             {:.1} ms late in {:.2}% of its periods (reference p99 {:.1}, max {:.1} ms), so up to {:.1}% of \
             the benefit is uncertain",
            as_ms(share as u64),
            100.0 * over,
            self.reference_p99_ms(),
            as_ms(self.reference.late.max()),
            100.0 * in_doubt
        );
        Some((Responsible::Machine, line))
    }

    /// Warns of a late machine in a run that is valid.
    fn machine_late(&self) -> Option<String> {
        let (late, by_machine) = (self.late_requests(), self.late_by_machine());
        if late.max(by_machine).max(self.world_periods_late()) <= MAX_LATE_FRACTION {
            return None;
        }
        // If more than half of the requests have a late wakeup, even the median is affected.
        let wakeups_late =
            f64::from(WAKEUPS_PER_REQUEST) * fraction_over(&self.reference.late, self.bounds.late);
        let figures = if wakeups_late > 0.5 { "all percentiles are" } else { "p99 and above are" };
        Some(format!(
            "the machine was late: the reference thread's p99 was {:.1} ms and its max {:.1} ms; {:.1}% of \
             the requests were sent over {} ms late, {:.1}% because of the machine: benefit is valid, \
             {figures} affected by the machine",
            self.reference_p99_ms(),
            as_ms(self.reference.late.max()),
            100.0 * late,
            self.bound_ms(),
            100.0 * by_machine
        ))
    }
}

fn as_ms(micros: u64) -> f64 {
    micros as f64 / 1e3
}

fn p99_ms(histogram: &Histogram<u64>) -> f64 {
    as_ms(histogram.value_at_quantile(0.99))
}
