//! Measures how late the testbed's threads were and how late the machine wakes an idle thread, and
//! judges from both which figures of a run are valid. [`judge`] does no input or output;
//! [`ReferenceThread`] is the idle thread, whose stored figures are named `bare_*`.
//!
//! Lateness is measured against a fixed schedule, as in an open loop: a late period does not shift
//! later ones, so a stall of 20 ms is seen by every period that was due within it.

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

/// A run is void if more than this fraction of the requests is late through the testbed's own
/// fault, or if more than this fraction of the benefit is in doubt.
pub const MAX_LATE_FRACTION: f64 = 0.01;
/// The longest stall of the emulated world's thread in a valid run, in microseconds.
pub const MAX_STALL: Micros = 250 * MS;
/// The number of thread wakeups from the due time of a request to its end if a cache host serves
/// it: clock, generator, balancer, host, the host's timer, balancer, generator.
pub const WAKEUPS_PER_REQUEST: u32 = 7;
/// The number of thread wakeups until a request is sent: clock, generator.
pub const WAKEUPS_TO_SEND: u32 = 2;
/// The period of the reference thread.
const REFERENCE_PERIOD: Duration = Duration::from_millis(1);
/// The largest lateness that histograms can record, in microseconds: an hour.
const LARGEST_LATENESS: u64 = 3_600_000_000;

/// The lateness of a thread, in microseconds.
#[derive(Clone, Debug)]
pub struct LatenessHistograms {
    /// The lateness of each period.
    pub late: Histogram<u64>,
    /// The same without the time for which the thread was runnable but had no core, for which the
    /// machine is responsible.
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

/// An empty histogram of lateness, from 1 us to an hour with three significant digits.
pub fn histogram() -> Histogram<u64> {
    // hdrhistogram accepts these bounds; the fallback is the smallest histogram that it can make.
    Histogram::new_with_bounds(1, LARGEST_LATENESS, 3)
        .unwrap_or_else(|_| Histogram::new(1).expect("one digit"))
}

impl Lateness {
    fn with<T>(&self, act: impl FnOnce(&mut LatenessHistograms) -> T) -> T {
        act(&mut self.0.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// Records a lateness without a wait for a core; a negative one counts as 0.
    pub fn record(&self, late: Micros) {
        self.record_with_wait(late, 0);
    }

    /// Records a lateness of which the thread waited for a core during `waited`.
    pub fn record_with_wait(&self, late: Micros, waited: Micros) {
        self.with(|histograms| {
            histograms.late.saturating_record(late.max(0) as u64);
            histograms.own.saturating_record((late - waited).max(0) as u64);
        });
    }

    /// Discards everything recorded so far, as at the start of a run.
    pub fn clear(&self) {
        self.with(|histograms| {
            histograms.late.reset();
            histograms.own.reset();
        });
    }

    /// A copy of the histograms recorded so far.
    pub fn snapshot(&self) -> LatenessHistograms {
        self.with(|histograms| histograms.clone())
    }

    /// The largest lateness so far, in microseconds.
    pub fn max(&self) -> Micros {
        self.with(|histograms| histograms.late.max() as Micros)
    }
}

/// Reads for how long the calling thread was runnable but had no core, from the second field of
/// Linux's `schedstat`. The wait is 0 on systems without it. Create and read it on the same thread.
pub struct CpuWaits {
    file: Option<File>,
    /// Earlier readings: the time and the total wait until then.
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

    /// How long the thread waited for a core since a period was due, in microseconds. The wait
    /// counts from the last reading before that time, so a reading in every period keeps the error
    /// small.
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

/// A thread could not be started.
#[derive(Debug, Error)]
#[error("cannot start a thread: {0}")]
pub struct ThreadError(#[from] io::Error);

/// A thread that sleeps until each millisecond of its schedule and records how late it woke, which
/// is the lateness that the machine causes in any thread of the run. It ends on drop.
pub struct ReferenceThread {
    lateness: Arc<Lateness>,
    stop: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl ReferenceThread {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails if the system allows no further thread.
    pub fn start() -> Result<ReferenceThread, ThreadError> {
        let lateness = Arc::new(Lateness::default());
        let stop = Arc::new(AtomicBool::new(false));
        let (recorded, stopped) = (lateness.clone(), stop.clone());
        let thread = thread::Builder::new()
            .name("bare".to_owned())
            .spawn(move || keep_schedule(&recorded, &stopped))?;
        Ok(ReferenceThread { lateness, stop, thread: Some(thread) })
    }

    /// Ends the thread and returns its lateness.
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

/// The fraction of the recorded values above a bound.
pub fn fraction_over(histogram: &Histogram<u64>, bound: Micros) -> f64 {
    match histogram.len() {
        0 => 0.0,
        count => histogram.count_between(bound.max(0) as u64 + 1, u64::MAX) as f64 / count as f64,
    }
}

/// The fraction of sums of two values above a bound, if the values are independent: the lateness
/// after two wakeups in a row.
pub fn fraction_over_after_two(histogram: &Histogram<u64>, bound: Micros) -> f64 {
    let count = histogram.len().max(1) as f64;
    let second_over = |first: u64| match first as Micros {
        first if first > bound => 1.0,
        first => fraction_over(histogram, bound - first),
    };
    let mut sum = 0.0;
    for step in histogram.iter_recorded() {
        let fraction = step.count_since_last_iteration() as f64 / count;
        sum += fraction * second_over(step.value_iterated_to());
    }
    sum
}
