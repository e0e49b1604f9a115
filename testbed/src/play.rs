//! Plays one arm of an experiment with one seed: a world, its balancers, its load; then the audit
//! and the figures.

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

/// Set when the user wants it all to end; what was started is ended, and only that.
pub static STOP: AtomicBool = AtomicBool::new(false);

/// What an error says where [`STOP`] was set.
pub const INTERRUPTED: &str = "interrupted";

/// What the protocol grants beyond each time: 20 ms for a final answer, 50 ms for sockets.
const GRANTED_BY_PROTOCOL: Micros = 70 * MS;
/// From when all is up to the first request.
const START_DELAY: Micros = 200 * MS;
/// So long after the end of the last request what a balancer still sends is seen.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// How often a run that goes on is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How long after the last request's time limit the generator must have ended.
const GENERATOR_GRACE: Micros = 20 * SECOND;

/// An arm could not be played.
#[derive(Debug, Error)]
pub enum PlayError {
    /// The user wanted it to end.
    #[error("{INTERRUPTED}")]
    Interrupted,
    /// A file or folder can't be used.
    #[error("{}: {cause}", path.display())]
    Unusable {
        /// Which one.
        path: PathBuf,
        /// What the system says.
        cause: io::Error,
    },
    /// A trace is of no use.
    #[error("{}: {cause}", path.display())]
    Trace {
        /// The trace.
        path: PathBuf,
        /// What is wrong with it.
        cause: trace::TraceError,
    },
    /// The world did not come up.
    #[error(transparent)]
    World(#[from] WorldError),
    /// A balancer did not come up.
    #[error(transparent)]
    Balancers(#[from] BalancerError),
    /// There is no further thread.
    #[error(transparent)]
    Thread(#[from] ThreadError),
    /// The load can't be played.
    #[error(transparent)]
    Load(#[from] LoadError),
    /// The generator goes on where all requests should have ended.
    #[error("the generator did not come to its end")]
    GeneratorStuck,
    /// The generator's thread panicked.
    #[error("the generator failed")]
    GeneratorPanicked,
}

/// A second of a run as it goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tick {
    /// Which one, from the start of the run.
    pub second: i64,
    /// How many there are.
    pub of: i64,
    /// Requests that left in it.
    pub left: i64,
    /// Requests that were served in it.
    pub served: i64,
    /// Requests that ended in it.
    pub ended: i64,
    /// Their mean latency, of those served.
    pub mean_ms: f64,
    /// Resident memory of all balancers.
    pub resident_kb: u64,
}

/// The arrivals of an experiment: drawn, or from its trace.
///
/// # Errors
/// Where the trace is of no use.
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

/// Plays `program` under the name of an arm, calls `on_tick` for each second, and leaves the
/// balancers' files and logs in `folder`.
///
/// # Errors
/// Where the world or a balancer does not come up, or where it was interrupted.
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

/// Plays as [`play`] does, while `disturb` runs beside it on a thread of its own and does to the
/// balancers what it likes; `extra_slack` is allowed on top of each time that the audit compares.
/// Returns what `disturb` returned too.
///
/// # Errors
/// As of [`play`].
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
    let disturbed = disturbing.join().map_err(|_| PlayError::GeneratorPanicked)?;
    Ok((run.finish("soak", seed)?, disturbed))
}

/// What a fault plants in the generator, if it does.
fn stall(window: &FaultWindow) -> Option<Stall> {
    let each = match window.kind {
        FaultKind::GeneratorStop => None,
        FaultKind::GeneratorSlow => Some(millis(window.factor)),
        _ => return None,
    };
    Some(Stall { from: window.from, to: window.to, each })
}

/// An arm while it is played. The fields are dropped in this order, also where it is interrupted:
/// balancers end before their world.
struct RunningArm<'a> {
    experiment: &'a Experiment,
    generator: JoinHandle<Result<PlayedLoad, LoadError>>,
    progress: Arc<Progress>,
    lateness: Arc<Lateness>,
    reference: ReferenceThread,
    balancers: Balancers,
    world: World,
    ledger: Ledger,
    /// The world's CPU time until the run began.
    world_us_before: u64,
    /// Allowed on top of each time that the audit compares.
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
        // What was recorded until now, the lists that balancers took in, was before the run.
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

    /// Ends it all, audits it and draws up its figures.
    fn finish(self, arm: &str, seed: u64) -> Result<Run, PlayError> {
        // Dropped in the reverse order: balancers end before their world.
        let RunningArm { experiment, ledger, world, balancers, .. } = self;
        let played = self.generator.join().map_err(|_| PlayError::GeneratorPanicked)??;
        let reference = self.reference.stop();
        let world_lateness = world.lateness.snapshot();
        let connections = world.connections_accepted.load(Ordering::Relaxed);
        let world_us = world.cpu_us.load(Ordering::Relaxed) - self.world_us_before;
        thread::sleep(SETTLE_TIME);
        let usage = balancers.sample_usage();
        let unexpected_exits = balancers.unexpected_exits();
        let counters = summed(balancers.counters());
        let events = ledger.take();
        let requests = played.records.len().max(1) as f64;
        let mut figures = figures::figures(experiment, &played.records, &events, played.cpu_s);
        figures.note_late(&reference, &world_lateness, experiment.load.late());
        figures.world_us_per_request = world_us as f64 / requests;
        figures.opened_per_s = connections as f64 / experiment.seconds;
        figures.cpu_us_per_request = usage.iter().map(|used| used.cpu_s).sum::<f64>() * 1e6 / requests;
        figures.balancers = usage;
        let mut settings = audit_settings(experiment, &world_lateness, &self.lateness);
        settings.slack += self.extra_slack;
        let mut breaches = audit(&events, &settings);
        let exits = unexpected_exits.into_iter().map(|exit| exit_breach(exit, &events));
        breaches.extend(exits);
        let late = figures::request_lateness(&played.records);
        let verdict = judge(experiment.bounds(figures.benefit), &late, &world_lateness, &reference);
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
            faults: figures::shaded(&world.fault_windows),
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
        slack: GRANTED_BY_PROTOCOL + world.late.max() as Micros + generator.max(),
    }
}

/// A balancer that ended by itself breaks rule 1.
fn exit_breach(what: String, events: &[Event]) -> Breach {
    let is_end = |event: &&Event| matches!(event.observation, Observation::BalancerProcess { up: false, .. });
    let at_us = events.iter().rev().find(is_end).map_or(0, |event| event.at);
    Breach { rule: Rule::Answered, at_us, what, around: Vec::new() }
}

/// The counters of all balancers, summed by name.
fn summed(counters: Vec<BTreeMap<String, u64>>) -> BTreeMap<String, u64> {
    let mut sums = BTreeMap::new();
    for (name, count) in counters.into_iter().flatten() {
        *sums.entry(name).or_default() += count;
    }
    sums
}

/// The progress of the generator at one time.
#[derive(Clone, Copy, Default)]
struct Counts {
    left: i64,
    served: i64,
    ended: i64,
    latency_sum_us: i64,
}

impl Counts {
    fn of(progress: &Progress) -> Counts {
        let read = |count: &AtomicI64| count.load(Ordering::Relaxed);
        Counts {
            left: read(&progress.sent),
            served: read(&progress.served),
            ended: read(&progress.ended),
            latency_sum_us: read(&progress.latency_sum_us),
        }
    }
}

/// Makes a tick from what the generator has done since the last one.
struct Ticks {
    second: i64,
    of: i64,
    before: Counts,
}

impl Ticks {
    fn new(experiment: &Experiment) -> Ticks {
        Ticks { second: 0, of: experiment.seconds.ceil() as i64, before: Counts::default() }
    }

    fn next(&mut self, second: i64, progress: &Progress, resident_kb: u64) -> Tick {
        let (now, before) = (Counts::of(progress), self.before);
        self.second = second;
        self.before = now;
        let served = now.served - before.served;
        let latency_us = (now.latency_sum_us - before.latency_sum_us) as f64;
        Tick {
            second,
            of: self.of,
            left: now.left - before.left,
            served,
            ended: now.ended - before.ended,
            mean_ms: latency_us / 1e3 / served.max(1) as f64,
            resident_kb,
        }
    }
}
