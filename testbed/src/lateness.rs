//! How late the lab's threads were, how late the machine wakes a thread that does nothing else, and what of a
//! run can be told in spite of either. The judging ([`judge`]) is pure; [`Bare`] is the thread that does
//! nothing else.
//!
//! Every lateness here is measured as in an open loop: by a schedule that goes on whatever became of the turn
//! before, so a stall of 20 ms is seen by each turn that was due within it.

use std::collections::VecDeque;
use std::fs::File;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::time::{Micros, MS};

/// More than this part of the ops, late by the lab's own fault, voids a run; so much of the benefit is to
/// be told, too.
pub const LATE_PART: f64 = 0.01;
/// So long a thread of the world may stand still at most, in microseconds.
pub const STOOD_STILL: Micros = 250 * MS;
/// How often threads are woken for one op, from its being due to its end, where it is served by a cache
/// host: clock, generator, balancer, host, the host's timer, balancer, generator.
pub const WAKES: u32 = 7;
/// How often until it has left: clock, generator.
pub const WAKES_TO_LEAVE: u32 = 2;
/// The bare thread's turn.
const TURN: Duration = Duration::from_millis(1);

/// What was seen of a thread: how late its turns were, and how late they were beside the time for which it stood
/// ready and had no core, which is the machine's.
#[derive(Clone, Debug)]
pub struct Seen {
    pub late: Histogram<u64>,
    pub own: Histogram<u64>,
}

impl Default for Seen {
    fn default() -> Seen {
        Seen { late: histogram(), own: histogram() }
    }
}

/// Lateness of turns or ops in whole microseconds, filled by one thread and read by others.
#[derive(Debug, Default)]
pub struct Lateness(Mutex<Seen>);

/// An empty histogram of lateness: 1 us to an hour, three digits.
pub fn histogram() -> Histogram<u64> {
    // The bounds are constants that hdrhistogram takes; its smallest one stands in where it would not.
    Histogram::new_with_bounds(1, 3_600_000_000, 3).unwrap_or_else(|_| Histogram::new(1).expect("one digit"))
}

impl Lateness {
    fn with<T>(&self, act: impl FnOnce(&mut Seen) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    pub fn record(&self, late: Micros) {
        self.record_beside(late, 0);
    }

    /// So late, and for so much of it without a core.
    pub fn record_beside(&self, late: Micros, waited: Micros) {
        self.with(|seen| {
            seen.late.saturating_record(late.max(0) as u64);
            seen.own.saturating_record((late - waited).max(0) as u64);
        });
    }

    /// What was seen until now is forgotten: the run begins.
    pub fn clear(&self) {
        self.with(|seen| {
            seen.late.reset();
            seen.own.reset();
        });
    }

    pub fn seen(&self) -> Seen {
        self.with(|seen| seen.clone())
    }

    /// The most so far, in microseconds.
    pub fn most(&self) -> Micros {
        self.with(|seen| seen.late.max() as Micros)
    }
}

/// For how long a thread stood ready and had no core: Linux counts it in the second field of `schedstat`. Where
/// it does not, nothing is excused. To be made and asked on that thread.
pub struct Waits {
    file: Option<File>,
    /// Earlier looks: when, and what had been waited by then.
    looks: VecDeque<(Instant, Micros)>,
}

impl Default for Waits {
    fn default() -> Waits {
        let mut waits =
            Waits { file: File::open("/proc/thread-self/schedstat").ok(), looks: VecDeque::new() };
        let now = waits.all();
        waits.looks.push_back((Instant::now(), now));
        waits
    }
}

impl Waits {
    fn all(&self) -> Micros {
        let mut text = [0; 96];
        let read = self.file.as_ref().and_then(|file| file.read_at(&mut text, 0).ok()).unwrap_or(0);
        let text = std::str::from_utf8(&text[..read]).unwrap_or_default();
        text.split(' ').nth(1).and_then(|ns| ns.parse::<Micros>().ok()).unwrap_or(0) / 1_000
    }

    /// How long it waited since a turn was due: from the last look before that on, so a look each turn keeps this
    /// near.
    pub fn since(&mut self, due: Instant) -> Micros {
        let now = self.all();
        while self.looks.get(1).is_some_and(|look| look.0 <= due) {
            self.looks.pop_front();
        }
        let before = self.looks.front().map_or(now, |look| look.1);
        self.looks.push_back((Instant::now(), now));
        now - before
    }
}

/// A thread that sleeps until the next whole millisecond of its schedule and notes how late it
/// woke: what the machine does to any thread, in the same run. It ends when this is dropped.
pub struct Bare {
    late: Arc<Lateness>,
    end: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Bare {
    /// # Errors
    /// Where there is no further thread.
    pub fn start() -> Result<Bare, String> {
        let (late, end) = (Arc::new(Lateness::default()), Arc::new(AtomicBool::new(false)));
        let (heard, over) = (late.clone(), end.clone());
        let turns = move || {
            let mut waits = Waits::default();
            let mut due = Instant::now() + TURN;
            while !over.load(Ordering::Relaxed) {
                thread::sleep(due.saturating_duration_since(Instant::now()));
                let late = due.elapsed().as_micros() as Micros;
                heard.record_beside(late, waits.since(due));
                due += TURN;
            }
        };
        let thread = thread::Builder::new().name("bare".to_owned()).spawn(turns);
        let thread = thread.map_err(|cause| format!("a thread: {cause}"))?;
        Ok(Bare { late, end, thread: Some(thread) })
    }

    /// Ends it and gives what it saw.
    pub fn stop(mut self) -> Seen {
        self.join();
        self.late.seen()
    }

    fn join(&mut self) {
        self.end.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for Bare {
    fn drop(&mut self) {
        self.join();
    }
}

/// What a run's figures ask for.
#[derive(Clone, Copy, Debug)]
pub struct Bounds {
    /// An op that leaves later than this is late.
    pub late: Micros,
    /// The shortest target latency: what the benefit hangs on.
    pub target: Micros,
    /// The part of the benefit that was not earned. Lateness only takes: no more than this can be the machine's.
    pub missed: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Lab,
    Machine,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict {
    Sound,
    /// It counts, and this is to be known of it.
    Warned(String),
    /// It counts for nothing, by whose fault and why.
    Void(Cause, String),
}

impl Verdict {
    /// (void, warning), as a run's record has them.
    pub fn told(self) -> (Option<String>, Option<String>) {
        match self {
            Verdict::Sound => (None, None),
            Verdict::Warned(line) => (None, Some(line)),
            Verdict::Void(_, line) => (Some(line), None),
        }
    }
}

/// The part of what was seen that is over a bound.
pub fn part_over(seen: &Histogram<u64>, bound: Micros) -> f64 {
    match seen.len() {
        0 => 0.0,
        all => seen.count_between(bound.max(0) as u64 + 1, u64::MAX) as f64 / all as f64,
    }
}

/// The part that would be over a bound after two such wakes one after the other, were they independent.
pub fn part_over_twice(seen: &Histogram<u64>, bound: Micros) -> f64 {
    let all = seen.len().max(1) as f64;
    let after = |first: u64| if first as i64 > bound { 1.0 } else { part_over(seen, bound - first as i64) };
    seen.iter_recorded()
        .map(|step| step.count_since_last_iteration() as f64 / all * after(step.value_iterated_to()))
        .fold(0.0, |sum: f64, part| sum + part)
}

fn ms(of: u64) -> f64 {
    of as f64 / 1e3
}

/// Judges a run from the lateness of its ops as they left, of the world's thread, and of the bare thread, all
/// of the same run. Void is what the lab itself was late by, beyond what the machine does to a bare thread, and
/// what the machine was late by where the figures asked for can't be told; all else counts, with a warning
/// where the machine was late.
pub fn judge(bounds: Bounds, ops: &Histogram<u64>, world: &Seen, bare: &Seen) -> Verdict {
    let (Seen { late: world, own: world_own }, Seen { late: bare, own: bare_own }) = (world, bare);
    let late = part_over(ops, bounds.late);
    // An op has left after two wakes, a turn of the world's thread comes after one.
    let of_machine = part_over_twice(bare, bounds.late);
    let (bound, bare_p99) = (ms(bounds.late as u64), ms(bare.value_at_quantile(0.99)));
    if late - of_machine > LATE_PART {
        return Verdict::Void(
            Cause::Lab,
            format!(
                "the generator was late: {:.1}% of the ops by more than {bound} ms (p99 {:.1} ms); the \
                 machine explains {:.1}% (a bare thread's p99 was {bare_p99:.1} ms), the rest is the lab's own",
                100.0 * late,
                ms(ops.value_at_quantile(0.99)),
                100.0 * of_machine
            ),
        );
    }
    let (stood, bare_stood) = (world.max() as Micros, bare.max() as Micros);
    if stood > STOOD_STILL {
        let cause = if bare_stood * 2 < stood { Cause::Lab } else { Cause::Machine };
        let whose = if cause == Cause::Lab { "the lab's own" } else { "the machine's" };
        return Verdict::Void(
            cause,
            format!(
                "the emulated fleet stood still for {:.0} ms, a bare thread for {:.0} ms: {whose} lateness",
                ms(stood as u64),
                ms(bare_stood as u64)
            ),
        );
    }
    let (world_late, of_work) = (part_over(world, bounds.late), part_over(world_own, bounds.late));
    let of_wakes = part_over(bare_own, bounds.late);
    if of_work - of_wakes > LATE_PART {
        return Verdict::Void(
            Cause::Lab,
            format!(
                "the emulated fleet was late: {:.1}% of its turns by more than {bound} ms (p99 {:.1} ms), \
                 {:.1}% also beside its waits for a core, a bare thread's {:.1}%: the rest is the lab's own",
                100.0 * world_late,
                ms(world.value_at_quantile(0.99)),
                100.0 * of_work,
                100.0 * of_wakes
            ),
        );
    }
    // Seven wakes in a row: half of the target is what an op has to spare at the least; it is late by that only where one of its
    // wakes is by its share of it.
    let share = bounds.target / 2 / i64::from(WAKES);
    // Whatever made the fleet late, waits for a core among it, what hangs on its answers can't be told.
    let over = part_over(bare, share).max(part_over(world, share));
    let blurred = (f64::from(WAKES) * over).min(bounds.missed);
    if blurred > LATE_PART {
        return Verdict::Void(
            Cause::Machine,
            format!(
                "the machine was late: a bare thread, or the fleet for want of a core, woke over {:.1} ms late in \
                 {:.2}% of its turns (bare p99 {bare_p99:.1}, most {:.1} ms), so up to {:.1}% of the benefit can't \
                 be told",
                ms(share as u64),
                100.0 * over,
                ms(bare.max()),
                100.0 * blurred
            ),
        );
    }
    if late.max(of_machine).max(world_late) > LATE_PART {
        // Late in one of its wakes is every other op: then the median is the machine's too.
        let typical = f64::from(WAKES) * part_over(bare, bounds.late) > 0.5;
        let rest = if typical { "all percentiles are" } else { "p99 and above are" };
        return Verdict::Warned(format!(
            "the machine was late: a bare thread's p99 was {bare_p99:.1} ms and its most {:.1} ms; {:.1}% of \
             the ops left over {bound} ms late, {:.1}% by the machine: benefit counts, {rest} in part the \
             machine's",
            ms(bare.max()),
            100.0 * late,
            100.0 * of_machine
        ));
    }
    Verdict::Sound
}
