//! Plays a plan against balancers as an open loop: all requests run on one thread, and a second
//! thread releases each one at its due time, whether or not earlier ones have their reply.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::sync::atomic::AtomicI64;
use std::sync::Arc;
use std::thread;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio::task::{spawn_local, JoinSet, LocalSet};
use tokio::time::sleep_until;

use super::plan::{Plan, PlannedRequest};
pub use super::record::{RequestOutcome, RequestRecord};
use super::target::Target;
use crate::experiment::Experiment;
use crate::lateness::Lateness;
use crate::ledger::Ledger;
use crate::thread_stats::{record_lateness, thread_cpu_seconds};
use crate::time::{to_duration, Clock, Micros};

/// Separates the clients' random numbers from others with the same seed ("clie").
const SEED_MASK: u64 = 0x636c_6965;

/// Why a plan can't be played.
#[derive(Debug, Error)]
pub enum LoadError {
    /// The thread's async runtime could not be built.
    #[error("cannot build the async runtime: {0}")]
    Runtime(std::io::Error),
}

/// An injected delay of the generator's thread, to test that its lateness is detected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    /// The start, in microseconds since the start of the run.
    pub from: Micros,
    /// The end, on the same clock.
    pub to: Micros,
    /// How long each request blocks the generator's thread; `None` blocks the thread for the whole
    /// time.
    pub each: Option<Micros>,
}

impl Stall {
    fn is_on(&self, now: Micros) -> bool {
        (self.from..self.to).contains(&now)
    }
}

/// The result of playing a plan.
#[derive(Debug, Default)]
pub struct PlayedLoad {
    /// All requests, in the order in which they ended.
    pub records: Vec<RequestRecord>,
    /// CPU time of the generator's thread, in seconds.
    pub cpu_s: f64,
}

/// Counters that other threads can read while the load is played.
#[derive(Debug, Default)]
pub struct Progress {
    /// Requests that were started.
    pub sent: AtomicI64,
    /// Requests that ended with their value.
    pub served: AtomicI64,
    /// Requests that ended.
    pub ended: AtomicI64,
    /// The sum of the latencies of the served requests, in microseconds.
    pub latency_sum_us: AtomicI64,
}

/// Plays a plan on the calling thread and returns when its last request has ended. `stalls` are
/// injected into the thread, and `late` records the thread's lateness.
///
/// # Errors
/// Fails if no async runtime can be built.
#[allow(clippy::too_many_arguments)] // each is shared with other parts of the run
pub fn play(
    experiment: &Experiment,
    plan: Arc<Plan>,
    seed: u64,
    balancers: &[SocketAddr],
    ledger: &Ledger,
    stalls: Vec<Stall>,
    progress: Arc<Progress>,
    late: Arc<Lateness>,
) -> Result<PlayedLoad, LoadError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(LoadError::Runtime)?;
    let target = |(nth, &address)| Rc::new(Target::new(nth, address));
    let player = Rc::new(Player {
        experiment: experiment.clone(),
        plan: plan.clone(),
        ledger: ledger.clone(),
        targets: balancers.iter().enumerate().map(target).collect(),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK)),
        records: RefCell::new(Vec::with_capacity(plan.requests.len())),
        progress,
    });
    let cpu_before_s = thread_cpu_seconds();
    LocalSet::new().block_on(&runtime, async {
        spawn_local(record_lateness(late));
        for target in &player.targets {
            spawn_local(target.clone().probe());
        }
        if experiment.load.closed_loop {
            player.clone().run_closed_loop().await;
        } else {
            player.clone().run_open_loop(stalls).await;
        }
    });
    let cpu_s = thread_cpu_seconds() - cpu_before_s;
    let records = std::mem::take(&mut *player.records.borrow_mut());
    Ok(PlayedLoad { records, cpu_s })
}

/// The clients of a run.
pub(super) struct Player {
    pub(super) experiment: Experiment,
    pub(super) plan: Arc<Plan>,
    pub(super) ledger: Ledger,
    pub(super) targets: Vec<Rc<Target>>,
    pub(super) rng: RefCell<ChaCha8Rng>,
    pub(super) records: RefCell<Vec<RequestRecord>>,
    pub(super) progress: Arc<Progress>,
}

impl Player {
    /// Starts each request when it is due, regardless of the state of earlier ones.
    async fn run_open_loop(self: Rc<Player>, stalls: Vec<Stall>) {
        let (due, mut when_due) = mpsc::unbounded_channel();
        let (plan, clock) = (self.plan.clone(), self.ledger.clock.clone());
        let pacer = thread::spawn(move || send_when_due(&plan, &clock, &due));
        let (per_request, whole): (Vec<Stall>, Vec<Stall>) =
            stalls.into_iter().partition(|stall| stall.each.is_some());
        for stall in whole {
            spawn_local(stop_thread(stall, self.ledger.clock.clone()));
        }
        let mut requests = JoinSet::new();
        loop {
            tokio::select! {
                batch = when_due.recv() => {
                    let Some(batch) = batch else { break };
                    for nth in batch {
                        self.spend_stalls(&per_request);
                        requests.spawn_local(self.clone().request(self.plan.requests[nth]));
                    }
                }
                Some(_) = requests.join_next(), if !requests.is_empty() => {}
            }
        }
        while requests.join_next().await.is_some() {}
        let _ = pacer.join();
    }

    /// Blocks the thread for the cost that the present stalls add to one request.
    fn spend_stalls(&self, per_request: &[Stall]) {
        if per_request.is_empty() {
            return;
        }
        let now = self.ledger.clock.now();
        let on = per_request.iter().filter(|stall| stall.is_on(now));
        let cost: Micros = on.filter_map(|stall| stall.each).sum();
        thread::sleep(to_duration(cost));
    }

    /// Plays a closed loop, a faulty way to measure, for comparison: each client makes its next
    /// request only after the reply to the last one, and latency counts from then.
    async fn run_closed_loop(self: Rc<Player>) {
        let next = Rc::new(Cell::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..self.experiment.load.connections {
            clients.spawn_local(self.clone().run_closed_loop_client(next.clone()));
        }
        while clients.join_next().await.is_some() {}
    }

    async fn run_closed_loop_client(self: Rc<Player>, next: Rc<Cell<usize>>) {
        while let Some(&planned) = self.plan.requests.get(next.get()) {
            next.set(next.get() + 1);
            sleep_until(self.ledger.clock.tokio_instant(planned.at)).await;
            let now = self.ledger.clock.now();
            if now > self.experiment.length() {
                break;
            }
            self.clone().request(PlannedRequest { at: now, ..planned }).await;
        }
    }
}

/// Sends the indices of requests when they are due. Runs on a thread of its own, so that no other
/// work delays it.
fn send_when_due(plan: &Plan, clock: &Clock, due: &mpsc::UnboundedSender<Range<usize>>) {
    let mut next = 0;
    while let Some(request) = plan.requests.get(next) {
        let now = clock.now();
        if request.at > now {
            thread::sleep(to_duration(request.at - now));
            continue;
        }
        let overdue = plan.requests[next..].iter().take_while(|request| request.at <= now).count();
        if due.send(next..next + overdue).is_err() {
            return;
        }
        next += overdue;
    }
}

/// Blocks the whole thread, as on a machine that stalls.
async fn stop_thread(stall: Stall, clock: Clock) {
    sleep_until(clock.tokio_instant(stall.from)).await;
    thread::sleep(to_duration(stall.to - stall.from));
}
