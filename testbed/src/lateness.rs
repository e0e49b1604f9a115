//! How late the testbed's own threads were, how late the machine wakes a thread that does nothing
//! else, and what can be told of a run in spite of either. The verdict ([`judge`]) is pure;
//! [`ReferenceThread`] is the thread that does nothing else (reports call it the bare thread).
//!
//! Every lateness here is measured as in an open loop: by a schedule that goes on whatever became
//! of the period before, so a stall of 20 ms is seen by each period that was due within it.

mod verdict;

use std::collections::VecDeque;
use std::fs::File;
use std::io;
use std::os::unix::fs::FileExt;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use thiserror::Error;

pub use self::verdict::{judge, LatenessBounds, Responsible, Verdict};
use crate::time::{Micros, MS};

/// More than this part of the requests, late by the testbed's own fault, voids a run; of the
/// benefit no larger part may be in doubt, either.
pub const MAX_LATE_FRACTION: f64 = 0.01;
/// The longest that a thread of the emulated world may stand still, in microseconds.
pub const MAX_STALL: Micros = 250 * MS;
/// How often threads are woken for one request, from its being due to its end, where a cache host
/// serves it: clock, generator, balancer, host, the host's timer, balancer, generator.
pub const WAKEUPS_PER_REQUEST: u32 = 7;
/// How often threads are woken until a request has left: clock, generator.
pub const WAKEUPS_TO_LEAVE: u32 = 2;
/// The period of the reference thread.
const REFERENCE_PERIOD: Duration = Duration::from_millis(1);
/// The largest lateness that histograms tell apart from larger ones: an hour, in microseconds.
const LARGEST_LATENESS: u64 = 3_600_000_000;

/// The lateness of a thread, in microseconds.
#[derive(Clone, Debug)]
pub struct LatenessHistograms {
    /// By how much each period came late.
    pub late: Histogram<u64>,
    /// The same less the time for which the thread stood ready and had no core, which is the
    /// machine's.
    pub own: Histogram<u64>,
}

impl Default for LatenessHistograms {
    fn default() -> LatenessHistograms {
        LatenessHistograms { late: histogram(), own: histogram() }
    }
}

/// The lateness of a thread or of requests in whole microseconds, filled by one thread and read by
/// others.
#[derive(Debug, Default)]
pub struct Lateness(Mutex<LatenessHistograms>);

/// An empty histogram of lateness: 1 us to an hour, three digits.
pub fn histogram() -> Histogram<u64> {
    // hdrhistogram takes these constants; its smallest histogram stands in where it would not.
    Histogram::new_with_bounds(1, LARGEST_LATENESS, 3)
        .unwrap_or_else(|_| Histogram::new(1).expect("one digit"))
}

impl Lateness {
    fn with<T>(&self, act: impl FnOnce(&mut LatenessHistograms) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records a lateness of which no part is the machine's; a negative one counts as 0.
    pub fn record(&self, late: Micros) {
        self.record_with_wait(late, 0);
    }

    /// Records a lateness, for `waited` of which the thread had no core.
    pub fn record_with_wait(&self, late: Micros, waited: Micros) {
        self.with(|histograms| {
            histograms.late.saturating_record(late.max(0) as u64);
            histograms.own.saturating_record((late - waited).max(0) as u64);
        });
    }

    /// Forgets what was recorded until now: the run begins.
    pub fn clear(&self) {
        self.with(|histograms| {
            histograms.late.reset();
            histograms.own.reset();
        });
    }

    /// A copy of what was recorded so far.
    pub fn snapshot(&self) -> LatenessHistograms {
        self.with(|histograms| histograms.clone())
    }

    /// The largest lateness so far, in microseconds.
    pub fn max(&self) -> Micros {
        self.with(|histograms| histograms.late.max() as Micros)
    }
}

/// For how long a thread stood ready and had no core: Linux counts it in the second field of
/// `schedstat`. Where the system does not count it, nothing is excused. To be made and read on that
/// thread.
pub struct CpuWaits {
    file: Option<File>,
    /// Earlier readings: when, and the total wait by then.
    readings: VecDeque<(Instant, Micros)>,
}

impl Default for CpuWaits {
    fn default() -> CpuWaits {
        let file = File::open("/proc/thread-self/schedstat").ok();
        let mut waits = CpuWaits { file, readings: VecDeque::new() };
        let total = waits.total();
        waits.readings.push_back((Instant::now(), total));
        waits
    }
}

impl CpuWaits {
    fn total(&self) -> Micros {
        let mut text = [0; 96];
        let read = self.file.as_ref().and_then(|file| file.read_at(&mut text, 0).ok()).unwrap_or(0);
        let text = std::str::from_utf8(&text[..read]).unwrap_or_default();
        text.split(' ').nth(1).and_then(|ns| ns.parse::<Micros>().ok()).unwrap_or(0) / 1_000
    }

    /// How long the thread waited for a core since a period was due, in microseconds. It counts
    /// from the last reading before that time, so a reading in each period keeps the result near.
    pub fn since(&mut self, due: Instant) -> Micros {
        let total = self.total();
        while self.readings.get(1).is_some_and(|reading| reading.0 <= due) {
            self.readings.pop_front();
        }
        let before = self.readings.front().map_or(total, |reading| reading.1);
        self.readings.push_back((Instant::now(), total));
        total - before
    }
}

/// A thread could not be started: the system allows no further one.
#[derive(Debug, Error)]
#[error("a thread: {0}")]
pub struct ThreadError(#[from] io::Error);

/// A thread that sleeps until the next whole millisecond of its schedule and records how late it
/// woke: what the machine does to any thread, in the same run. It ends when this is dropped.
pub struct ReferenceThread {
    lateness: Arc<Lateness>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ReferenceThread {
    /// Starts it.
    ///
    /// # Errors
    /// Where there is no further thread.
    pub fn start() -> Result<ReferenceThread, ThreadError> {
        let lateness = Arc::new(Lateness::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (recorded, stopped) = (lateness.clone(), stop.clone());
        let thread = thread::Builder::new()
            .name("bare".to_owned())
            .spawn(move || keep_schedule(&recorded, &stopped))?;
        Ok(ReferenceThread { lateness, stop, thread: Some(thread) })
    }

    /// Ends it and returns what it recorded.
    pub fn stop(mut self) -> LatenessHistograms {
        self.join();
        self.lateness.snapshot()
    }

    fn join(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ReferenceThread {
    fn drop(&mut self) {
        self.join();
    }
}

fn keep_schedule(lateness: &Lateness, stopped: &AtomicBool) {
    let mut waits = CpuWaits::default();
    let mut due = Instant::now() + REFERENCE_PERIOD;
    while !stopped.load(Ordering::Relaxed) {
        thread::sleep(due.saturating_duration_since(Instant::now()));
        let late = due.elapsed().as_micros() as Micros;
        lateness.record_with_wait(late, waits.since(due));
        due += REFERENCE_PERIOD;
    }
}

/// The part of what was recorded that is over a bound.
pub fn part_over(histogram: &Histogram<u64>, bound: Micros) -> f64 {
    match histogram.len() {
        0 => 0.0,
        count => histogram.count_between(bound.max(0) as u64 + 1, u64::MAX) as f64 / count as f64,
    }
}

/// The part that would be over a bound after two such wakes one after the other, were they
/// independent.
pub fn part_over_twice(histogram: &Histogram<u64>, bound: Micros) -> f64 {
    let count = histogram.len().max(1) as f64;
    let second_over = |first: u64| match first as Micros {
        first if first > bound => 1.0,
        first => part_over(histogram, bound - first),
    };
    let mut sum = 0.0;
    for step in histogram.iter_recorded() {
        let part = step.count_since_last_iteration() as f64 / count;
        sum += part * second_over(step.value_iterated_to());
    }
    sum
}
