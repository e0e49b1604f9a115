//! Profiles the event loop second by second: how late it was, how long its costly stages took, and
//! how requests ended. The process has a single thread, so the counts need no synchronisation.
//!
//! Each second is logged: at `info` if the loop was late or requests were refused or failed,
//! otherwise at `debug`. A single run of a stage that takes long is logged in a line of its own.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use basaltwood::types::EndReason;
use tokio::time::Instant;

/// The time that one line of the profile covers.
const PERIOD: Duration = Duration::from_secs(1);
/// A period in which the loop was at least this late is logged at `info`.
const NOTABLE_LAG: Duration = Duration::from_millis(50);
/// A single run of a stage that takes at least this long is logged at `info`.
const NOTABLE_STAGE: Duration = Duration::from_millis(50);

/// The parts of the loop's work whose cost may grow with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The policy decides on a request, or processes the end of an attempt.
    Decision,
    /// An endpoint list is parsed.
    ListParsed,
    /// An endpoint list is applied.
    ListApplied,
    /// The policy's periodic pass.
    Sweep,
    /// The connection pools' periodic pass.
    Pools,
}

const STAGES: [Stage; 5] =
    [Stage::Decision, Stage::ListParsed, Stage::ListApplied, Stage::Sweep, Stage::Pools];

/// The number and the duration of a stage's runs in a period.
#[derive(Clone, Copy, Debug, Default)]
struct StageCost {
    runs: u64,
    total: Duration,
    longest: Duration,
}

/// The measurements of one period.
#[derive(Default)]
struct Window {
    stages: [StageCost; STAGES.len()],
    max_lag: Duration,
    /// The number of requests refused or failed, by reason.
    ended: BTreeMap<&'static str, u64>,
}

impl Window {
    fn is_notable(&self) -> bool {
        self.max_lag >= NOTABLE_LAG || !self.ended.is_empty()
    }

    fn cost(&self, stage: Stage) -> StageCost {
        self.stages[stage as usize]
    }
}

/// The state of the process that is logged with each period.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadSnapshot {
    /// Requests without a final answer, or with attempts in flight.
    pub open_requests: usize,
    /// Listed hosts.
    pub hosts_listed: usize,
    /// Listed hosts that are ejected.
    pub hosts_ejected: usize,
    /// Listed hosts in slow start.
    pub hosts_warming_up: usize,
    /// Keys read from several holders.
    pub hot_keys: usize,
    /// Hosts that were considered in selections since the start.
    pub hosts_assessed: u64,
    /// Attempts begun since the start.
    pub attempts: u64,
    /// Connections to hosts, open or being opened.
    pub connections: usize,
    /// Connections opened since the start.
    pub connections_opened: u64,
    /// Checkouts delayed since the start because too many connections were being opened.
    pub connects_throttled: u64,
    /// Checkouts since the start that were refused because the host holds its share of the
    /// descriptors, or refused or delayed because its circuit is open.
    pub connects_refused: u64,
}

/// The profile of this process's event loop.
pub struct LoopProfile {
    window: RefCell<Window>,
    began_at: Cell<Instant>,
    /// When the loop's next timer is due.
    due_at: Cell<Instant>,
}

impl Default for LoopProfile {
    fn default() -> LoopProfile {
        let now = Instant::now();
        LoopProfile { window: RefCell::default(), began_at: Cell::new(now), due_at: Cell::new(now) }
    }
}

impl LoopProfile {
    /// Runs a stage and records its duration.
    pub fn timed<T>(&self, stage: Stage, run: impl FnOnce() -> T) -> T {
        let began = Instant::now();
        let result = run();
        let took = began.elapsed();
        let cost = &mut self.window.borrow_mut().stages[stage as usize];
        cost.runs += 1;
        cost.total += took;
        cost.longest = cost.longest.max(took);
        if took >= NOTABLE_STAGE {
            log::info!(stage:?, took_us = took.as_micros() as u64; "long stage");
        }
        result
    }

    /// Records the loop's lag. Has to be called when the loop's timer fires.
    pub fn record_lag(&self) {
        let lag = self.lag();
        let mut window = self.window.borrow_mut();
        window.max_lag = window.max_lag.max(lag);
    }

    /// Sets the time at which the loop's next timer is due.
    pub fn set_due(&self, due_at: Instant) {
        self.due_at.set(due_at);
    }

    /// How late the loop's timer is now. Data that is read now may have waited unread for this
    /// time.
    pub fn lag(&self) -> Duration {
        self.due_at.get().elapsed()
    }

    /// Counts a request whose final answer is not a success.
    pub fn note_end(&self, reason: EndReason) {
        *self.window.borrow_mut().ended.entry(reason.name()).or_default() += 1;
    }

    /// If the period is over, logs it and returns the loop's largest lag in it. `snapshot` is
    /// called only if the line is logged.
    pub fn end_period(&self, snapshot: impl FnOnce() -> LoadSnapshot) -> Option<Duration> {
        let now = Instant::now();
        if now < self.began_at.get() + PERIOD {
            return None;
        }
        self.began_at.set(now);
        let window = self.window.take();
        let level = if window.is_notable() { log::Level::Info } else { log::Level::Debug };
        if log::log_enabled!(level) {
            write_line(level, &window, &snapshot());
        }
        Some(window.max_lag)
    }
}

fn write_line(level: log::Level, window: &Window, load: &LoadSnapshot) {
    let us = |duration: Duration| duration.as_micros() as u64;
    let [decision, parsed, applied, sweep, pools] = STAGES.map(|stage| window.cost(stage));
    log::log!(
        level,
        lag_us = us(window.max_lag),
        decisions = decision.runs, decision_us = us(decision.total), decision_max_us = us(decision.longest),
        lists = applied.runs, parse_us = us(parsed.total), list_us = us(applied.total),
        list_max_us = us(applied.longest),
        sweep_us = us(sweep.total), sweep_max_us = us(sweep.longest),
        pools_us = us(pools.total), pools_max_us = us(pools.longest),
        open = load.open_requests, listed = load.hosts_listed, ejected = load.hosts_ejected,
        warming_up = load.hosts_warming_up, hot_keys = load.hot_keys, assessed = load.hosts_assessed,
        attempts = load.attempts, connections = load.connections, opened = load.connections_opened,
        throttled = load.connects_throttled, refused = load.connects_refused,
        ended:? = window.ended;
        "event loop"
    );
}
