//! Whether a run counts, judged from the lateness of the testbed's threads and of the machine.
//! Pure.

use hdrhistogram::Histogram;

use super::{
    part_over, part_over_twice, LatenessHistograms, MAX_LATE_FRACTION, MAX_STALL, WAKEUPS_PER_REQUEST,
};
use crate::time::Micros;

/// What a run's figures need of testbed and machine.
#[derive(Clone, Copy, Debug)]
pub struct LatenessBounds {
    /// A request that leaves later than this is late, in microseconds.
    pub late: Micros,
    /// The shortest latency objective, in microseconds: what the benefit hangs on.
    pub target: Micros,
    /// The part of the benefit that was not earned. Lateness only takes: no more than this can be
    /// the machine's.
    pub missed: f64,
}

/// Whose lateness voids a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Responsible {
    /// The testbed's own.
    Testbed,
    /// The machine's.
    Machine,
}

/// Whether a run counts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It counts.
    Sound,
    /// It counts, and this is to be known of it.
    Warned(String),
    /// It counts for nothing: by whose lateness, and why.
    Void(Responsible, String),
}

impl Verdict {
    /// (void, warning), as a run's record has them.
    pub fn into_void_and_warning(self) -> (Option<String>, Option<String>) {
        match self {
            Verdict::Sound => (None, None),
            Verdict::Warned(line) => (None, Some(line)),
            Verdict::Void(_, line) => (Some(line), None),
        }
    }
}

/// Judges a run from the lateness of its requests as they left, of the world's thread, and of the
/// reference thread, all of the same run. Void is what the testbed itself was late by, beyond what
/// the machine does to a reference thread, and what the machine was late by where the figures in
/// question can't be told; all else counts, with a warning where the machine was late.
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
        None => measured.machine_late().map_or(Verdict::Sound, Verdict::Warned),
    }
}

/// The lateness of one run, and what its figures need.
struct Measured<'a> {
    bounds: LatenessBounds,
    requests: &'a Histogram<u64>,
    world: &'a LatenessHistograms,
    reference: &'a LatenessHistograms,
}

type Void = (Responsible, String);

impl Measured<'_> {
    /// The part of the requests that left late.
    fn requests_late(&self) -> f64 {
        part_over(self.requests, self.bounds.late)
    }

    /// The part of the requests that the machine made late: a request has left after two wakes.
    fn machine_part(&self) -> f64 {
        part_over_twice(&self.reference.late, self.bounds.late)
    }

    /// The part of the periods of the world's thread that came late; each comes after one wake.
    fn world_periods_late(&self) -> f64 {
        part_over(&self.world.late, self.bounds.late)
    }

    fn bound_ms(&self) -> f64 {
        as_ms(self.bounds.late as u64)
    }

    fn reference_p99_ms(&self) -> f64 {
        p99_ms(&self.reference.late)
    }

    /// The generator was late beyond what the machine explains.
    fn generator_late(&self) -> Option<Void> {
        let (late, of_machine) = (self.requests_late(), self.machine_part());
        if late - of_machine <= MAX_LATE_FRACTION {
            return None;
        }
        let line = format!(
            "the generator was late: {:.1}% of the ops by more than {} ms (p99 {:.1} ms); the \
             machine explains {:.1}% (a bare thread's p99 was {:.1} ms), the rest is the lab's own",
            100.0 * late,
            self.bound_ms(),
            p99_ms(self.requests),
            100.0 * of_machine,
            self.reference_p99_ms()
        );
        Some((Responsible::Testbed, line))
    }

    /// The emulated world stood still at one time.
    fn world_stalled(&self) -> Option<Void> {
        let (world_max, reference_max) = (self.world.late.max(), self.reference.late.max());
        if world_max as Micros <= MAX_STALL {
            return None;
        }
        let (responsible, whose) = if reference_max * 2 < world_max {
            (Responsible::Testbed, "the lab's own")
        } else {
            (Responsible::Machine, "the machine's")
        };
        let line = format!(
            "the emulated fleet stood still for {:.0} ms, a bare thread for {:.0} ms: {whose} lateness",
            as_ms(world_max),
            as_ms(reference_max)
        );
        Some((responsible, line))
    }

    /// The emulated world was late by its own work, waits for a core apart.
    fn world_late(&self) -> Option<Void> {
        let by_work = part_over(&self.world.own, self.bounds.late);
        let by_wakeups = part_over(&self.reference.own, self.bounds.late);
        if by_work - by_wakeups <= MAX_LATE_FRACTION {
            return None;
        }
        let line = format!(
            "the emulated fleet was late: {:.1}% of its turns by more than {} ms (p99 {:.1} ms), {:.1}% also \
             beside its waits for a core, a bare thread's {:.1}%: the rest is the lab's own",
            100.0 * self.world_periods_late(),
            self.bound_ms(),
            p99_ms(&self.world.late),
            100.0 * by_work,
            100.0 * by_wakeups
        );
        Some((Responsible::Testbed, line))
    }

    /// The machine was so late that the benefit can't be told.
    fn benefit_in_doubt(&self) -> Option<Void> {
        // A request has half of its target to spare at least. Seven wakes in a row use that up only
        // where one of them is late by its share of it.
        let share = self.bounds.target / 2 / Micros::from(WAKEUPS_PER_REQUEST);
        // Whatever made the world late, waits for a core among it, what hangs on its answers can't
        // be told.
        let over = part_over(&self.reference.late, share).max(part_over(&self.world.late, share));
        let in_doubt = (f64::from(WAKEUPS_PER_REQUEST) * over).min(self.bounds.missed);
        if in_doubt <= MAX_LATE_FRACTION {
            return None;
        }
        let line = format!(
            "the machine was late: a bare thread, or the fleet for want of a core, woke over {:.1} ms late \
             in {:.2}% of its turns (bare p99 {:.1}, most {:.1} ms), so up to {:.1}% of the benefit can't \
             be told",
            as_ms(share as u64),
            100.0 * over,
            self.reference_p99_ms(),
            as_ms(self.reference.late.max()),
            100.0 * in_doubt
        );
        Some((Responsible::Machine, line))
    }

    /// The run counts, though the machine was late: what is to be known of it.
    fn machine_late(&self) -> Option<String> {
        let (late, of_machine) = (self.requests_late(), self.machine_part());
        if late.max(of_machine).max(self.world_periods_late()) <= MAX_LATE_FRACTION {
            return None;
        }
        // Where every other request is late in one of its wakes, the median is the machine's too.
        let wakeups_late = f64::from(WAKEUPS_PER_REQUEST) * part_over(&self.reference.late, self.bounds.late);
        let figures = if wakeups_late > 0.5 { "all percentiles are" } else { "p99 and above are" };
        Some(format!(
            "the machine was late: a bare thread's p99 was {:.1} ms and its most {:.1} ms; {:.1}% of the ops \
             left over {} ms late, {:.1}% by the machine: benefit counts, {figures} in part the machine's",
            self.reference_p99_ms(),
            as_ms(self.reference.late.max()),
            100.0 * late,
            self.bound_ms(),
            100.0 * of_machine
        ))
    }
}

fn as_ms(micros: u64) -> f64 {
    micros as f64 / 1e3
}

fn p99_ms(histogram: &Histogram<u64>) -> f64 {
    as_ms(histogram.value_at_quantile(0.99))
}
