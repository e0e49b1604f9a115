//! Plays one arm of an experiment with one seed: starts the world, the balancers and the load, then
//! audits the run and computes its figures.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, BufReader};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicI64, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::audit::{audit, AuditSettings, Breach, Rule};
use crate::balancers::{BalancerError, Balancers, Program};
use crate::experiment::{Category, Experiment, FaultKind};
use crate::figures::{self, Run};
use crate::lateness::{judge, Lateness, LatenessHistograms, ReferenceThread, ThreadError};
use crate::ledger::{Event, Ledger, Observation};
use crate::load::plan::Plan;
use crate::load::player::{self, LoadError, PlayedLoad, Progress, Stall};
use crate::load::trace;
use crate::time::{millis, to_duration, Clock, Micros, MS, SECOND};
use crate::world::faults::FaultWindow;
use crate::world::{World, WorldError};

/// Set when the user interrupts the program. Runs then end the processes they started, no others.
pub static STOP: AtomicBool = AtomicBool::new(false);

/// The message of errors that are caused by [`STOP`].
pub const INTERRUPTED: &str = "interrupted";

/// The slack that the protocol allows on each time: 20 ms for a final answer, 50 ms for sockets.
const PROTOCOL_SLACK: Micros = 70 * MS;
/// The time from the start of world and balancers to the start of the run.
const START_DELAY: Micros = 200 * MS;
/// How long after the last request ended a balancer's messages are still recorded.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How often a running arm is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after the last possible deadline the generator must have ended.
const GENERATOR_GRACE: Micros = 20 * SECOND;

/// Why an arm could not be played.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The user interrupted the run.
    #[error("{INTERRUPTED}")]
    Interrupted,
    /// A file or folder can't be used.
    #[error("{}: {cause}", path.display())]
    Unusable {
        /// The file or folder.
        path: PathBuf,
        /// The I/O error.
        cause: io::Error,
    },
    /// A trace can't be played.
    #[error("{}: {cause}", path.display())]
    Trace {
        /// The trace.
        path: PathBuf,
        /// The error in the trace.
        cause: trace::TraceError,
    },
    /// The world could not be started.
    #[error(transparent)]
    World(#[from] WorldError),
    /// A balancer could not be started.
    #[error(transparent)]
    Balancers(#[from] BalancerError),
    /// A thread could not be started.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The load can't be played.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The generator still runs although the deadlines of all requests have passed.
    #[error("the load generator still runs {} s after the last deadline", GENERATOR_GRACE / SECOND)]
    GeneratorStuck,
    /// The generator's thread, or that of `disturb` in [`play_disturbed`], panicked.
    #[error("the thread of the load generator or of the disturbance panicked")]
    ThreadPanicked,
}

/// The progress of a run since the tick before, reported about once a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tick {
    /// Seconds since the start of the run.
    pub second: i64,
    /// The length of the run, in seconds.
    pub total_seconds: i64,
    /// Requests that were sent.
    pub sent: i64,
    /// Requests that were served.
    pub served: i64,
    /// Requests that ended.
    pub ended: i64,
    /// The mean latency of the served requests.
    pub mean_ms: f64,
    /// Resident memory of all balancers.
    pub resident_kb: u64,
}

/// The requests of an experiment: generated from the seed, or read from its trace.
///
/// # Errors
/// Fails if the trace can't be read or is invalid.
pub fn plan(experiment: &Experiment, seed: u64) -> Result<Plan, PlayError> {
    let mut plan = match &experiment.load.trace {
        Some(path) => import(path, experiment)?,
        None => Plan::generate(experiment, seed),
    };
    plan.requests.retain(|request| request.at < experiment.length());
    Ok(plan)
}

fn import(path: &Path, experiment: &Experiment) -> Result<Plan, PlayError> {
    let file = File::open(path).map_err(|cause| PlayError::Unusable { path: path.to_owned(), cause })?;
    trace::import(BufReader::new(file), experiment, experiment.load.speed)
        .map_err(|cause| PlayError::Trace { path: path.to_owned(), cause })
}

/// Plays `program` as the arm with this name, calls `on_tick` about once a second, and leaves the
/// balancers' files and logs in `folder`.
///
/// # Errors
/// Fails if the world or a balancer can't be started, or if the run is interrupted.
pub fn play(
    experiment: &Experiment,
    arm: &str,
    program: &Program,
    seed: u64,
    folder: &Path,
    on_tick: &mut dyn FnMut(Tick),
) -> Result<Run, PlayError> {
    std::fs::create_dir_all(folder)
        .map_err(|cause| PlayError::Unusable { path: folder.to_owned(), cause })?;
    let run = RunningArm::start(experiment, program, seed, folder)?;
    run.wait(on_tick)?;
    run.finish(arm, seed)
}

/// Plays like [`play`] while `disturb` acts on the balancers from a thread of its own. The audit
/// adds `extra_slack` to each time that it compares. Returns the run and the result of `disturb`.
///
/// # Errors
/// As for [`play`].
pub fn play_disturbed<T: Send + 'static>(
    experiment: &Experiment,
    program: &Program,
    seed: u64,
    folder: &Path,
    extra_slack: Micros,
    disturb: impl FnOnce(Balancers, Ledger) -> T + Send + 'static,
) -> Result<(Run, T), PlayError> {
    std::fs::create_dir_all(folder)
        .map_err(|cause| PlayError::Unusable { path: folder.to_owned(), cause })?;
    let mut run = RunningArm::start(experiment, program, seed, folder)?;
    run.extra_slack = extra_slack;
    let (balancers, ledger) = (run.balancers.clone(), run.ledger.clone());
    let thread = thread::Builder::new().name("disturb".to_owned());
    let disturbing = thread.spawn(move || disturb(balancers, ledger)).map_err(ThreadError::from)?;
    run.wait(&mut |_| {})?;
    let disturbed = disturbing.join().map_err(|_| PlayError::ThreadPanicked)?;
    Ok((run.finish("soak", seed)?, disturbed))
}

/// The stall that a fault injects into the generator, if it does.
fn stall(window: &FaultWindow) -> Option<Stall> {
    let each = match window.kind {
        FaultKind::GeneratorStop => None,
        FaultKind::GeneratorSlow => Some(millis(window.factor)),
        _ => return None,
    };
    Some(Stall { from: window.from, to: window.to, each })
}

/// An arm that is being played. Fields are dropped in their order, also after an interruption, so
/// that balancers end before their world.
struct RunningArm<'a> {
    experiment: &'a Experiment,
    generator: JoinHandle<Result<PlayedLoad, LoadError>>,
    progress: Arc<Progress>,
    lateness: Arc<Lateness>,
    reference: ReferenceThread,
    balancers: Balancers,
    world: World,
    ledger: Ledger,
    /// The world's CPU time before the run began, in microseconds.
    world_us_before: u64,
    /// Slack that the audit adds to each time that it compares.
    extra_slack: Micros,
}

impl<'a> RunningArm<'a> {
    fn start(
        experiment: &'a Experiment,
        program: &Program,
        seed: u64,
        folder: &Path,
    ) -> Result<RunningArm<'a>, PlayError> {
        let plan = Arc::new(plan(experiment, seed)?);
        let ledger = Ledger::new(Clock::start());
        let mut world = World::start(experiment, seed, &ledger)?;
        let balancers =
            Balancers::start(program.clone(), experiment, &world.bootstraps, seed, &ledger, folder)?;
        // Discard events from before the run: the balancers' first endpoint lists.
        ledger.take();
        ledger.clock.start_run_in(START_DELAY);
        world.lateness.clear();
        world.connections_accepted.store(0, Ordering::Relaxed);
        let world_us_before = world.cpu_us.load(Ordering::Relaxed);
        world.run_script(Some(balancers.clone()));
        let reference = ReferenceThread::start()?;
        let progress = Arc::new(Progress::default());
        let lateness = Arc::new(Lateness::default());
        let generator = {
            let (experiment, ledger) = (experiment.clone(), ledger.clone());
            let (progress, lateness) = (progress.clone(), lateness.clone());
            let addresses = balancers.addresses();
            let stalls = world.fault_windows.iter().filter_map(stall).collect();
            let play = move || {
                player::play(&experiment, plan, seed, &addresses, &ledger, stalls, progress, lateness)
            };
            thread::Builder::new().name("load".to_owned()).spawn(play).map_err(ThreadError::from)?
        };
        Ok(RunningArm {
            experiment,
            generator,
            progress,
            lateness,
            reference,
            balancers,
            world,
            ledger,
            world_us_before,
            extra_slack: 0,
        })
    }

    /// Waits until the generator has ended.
    fn wait(&self, on_tick: &mut dyn FnMut(Tick)) -> Result<(), PlayError> {
        let longest = self.experiment.categories.iter().map(Category::ttl).max().unwrap_or(SECOND);
        let give_up = Instant::now() + to_duration(self.experiment.length() + longest + GENERATOR_GRACE);
        let mut ticks = Ticks::new(self.experiment);
        while !self.generator.is_finished() {
            thread::sleep(POLL_INTERVAL);
            if STOP.load(Ordering::Relaxed) {
                return Err(PlayError::Interrupted);
            }
            if Instant::now() > give_up {
                return Err(PlayError::GeneratorStuck);
            }
            let usage = self.balancers.sample_usage();
            let second = self.ledger.clock.now() / SECOND;
            if second > ticks.second {
                let resident_kb = usage.iter().map(|used| used.resident_kb).sum();
                on_tick(ticks.next(second, &self.progress, resident_kb));
            }
        }
        Ok(())
    }

    /// Ends the run, audits it and computes its figures.
    fn finish(self, arm: &str, seed: u64) -> Result<Run, PlayError> {
        // Locals are dropped in reverse order, so that balancers end before their world.
        let RunningArm { experiment, ledger, world, balancers, .. } = self;
        let played = self.generator.join().map_err(|_| PlayError::ThreadPanicked)??;
        let reference = self.reference.stop();
        let world_lateness = world.lateness.snapshot();
        let connections = world.connections_accepted.load(Ordering::Relaxed);
        let world_us = world.cpu_us.load(Ordering::Relaxed) - self.world_us_before;
        thread::sleep(SETTLE_TIME);
        let usage = balancers.sample_usage();
        let unexpected_exits = balancers.unexpected_exits();
        let counters = sum_counters(balancers.counters());
        let events = ledger.take();
        let requests = played.records.len().max(1) as f64;
        let mut figures = figures::figures(experiment, &played.records, &events, played.cpu_s);
        figures.add_lateness(&reference, &world_lateness, experiment.load.late());
        figures.world_us_per_request = world_us as f64 / requests;
        figures.opened_per_s = connections as f64 / experiment.seconds;
        figures.cpu_us_per_request = usage.iter().map(|used| used.cpu_s).sum::<f64>() * 1e6 / requests;
        figures.balancers = usage;
        let mut settings = audit_settings(experiment, &world_lateness, &self.lateness);
        settings.slack += self.extra_slack;
        let mut breaches = audit(&events, &settings);
        let exits = unexpected_exits.into_iter().map(|exit| exit_breach(exit, &events));
        breaches.extend(exits);
        let requests_late = figures::request_lateness(&played.records);
        let verdict = judge(experiment.bounds(figures.benefit), &requests_late, &world_lateness, &reference);
        let (void, warning) = verdict.into_void_and_warning();
        drop(balancers);
        Ok(Run {
            experiment: experiment.name.clone(),
            arm: arm.to_owned(),
            seed,
            void,
            warning,
            figures,
            breaches,
            faults: figures::shaded_faults(&world.fault_windows),
            counters,
        })
    }
}

fn audit_settings<'a>(
    experiment: &'a Experiment,
    world: &LatenessHistograms,
    generator: &Lateness,
) -> AuditSettings<'a> {
    AuditSettings {
        categories: &experiment.categories,
        zones: experiment.fleet.zones as u32,
        grace: millis(experiment.discovery.grace_ms),
        slack: PROTOCOL_SLACK + world.late.max() as Micros + generator.max(),
    }
}

/// The breach of rule 1 by a balancer process that ended without being told to.
fn exit_breach(what: String, events: &[Event]) -> Breach {
    let is_end = |event: &&Event| matches!(event.observation, Observation::BalancerProcess { up: false, .. });
    let at_us = events.iter().rev().find(is_end).map_or(0, |event| event.at);
    Breach { rule: Rule::Answered, at_us, what, around: Vec::new() }
}

/// Sums the counters of all balancers by name.
fn sum_counters(counters: Vec<BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (name, count) in counters.into_iter().flatten() {
        *sums.entry(name).or_default() += count;
    }
    sums
}

/// A reading of the generator's progress counters.
#[derive(Clone, Copy, Default)]
struct Counts {
    sent: i64,
    served: i64,
    ended: i64,
    latency_sum_us: i64,
}

impl Counts {
    fn of(progress: &Progress) -> Counts {
        let read = |count: &AtomicI64| count.load(Ordering::Relaxed);
        Counts {
            sent: read(&progress.sent),
            served: read(&progress.served),
            ended: read(&progress.ended),
            latency_sum_us: read(&progress.latency_sum_us),
        }
    }
}

/// Makes each tick from the generator's progress since the last one.
struct Ticks {
    second: i64,
    total_seconds: i64,
    before: Counts,
}

impl Ticks {
    fn new(experiment: &Experiment) -> Ticks {
        let total_seconds = experiment.seconds.ceil() as i64;
        Ticks { second: 0, total_seconds, before: Counts::default() }
    }

    fn next(&mut self, second: i64, progress: &Progress, resident_kb: u64) -> Tick {
        let (now, before) = (Counts::of(progress), self.before);
        self.second = second;
        self.before = now;
        let served = now.served - before.served;
        let latency_us = (now.latency_sum_us - before.latency_sum_us) as f64;
        Tick {
            second,
            total_seconds: self.total_seconds,
            sent: now.sent - before.sent,
            served,
            ended: now.ended - before.ended,
            mean_ms: latency_us / 1e3 / served.max(1) as f64,
            resident_kb,
        }
    }
}
