//! Plays one arm of an experiment with one seed: a world, its balancers, its load; then the audit and the figures.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufReader;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::audit::{self, audit, Breach, Rule};
use crate::balancers::{Balancers, Program};
use crate::experiment::{Experiment, FaultKind};
use crate::figures::{self, Run};
use crate::lateness::{judge, Lateness, ReferenceThread};
use crate::ledger::{Ledger, Observation};
use crate::load::plan::Plan;
use crate::load::player::{self, Progress, Stall};
use crate::load::trace;
use crate::time::{millis, Clock, Micros, MS, SECOND};
use crate::world::faults::FaultWindow;
use crate::world::World;

/// Set when the user wants it all to end; what was started is ended, and only that.
pub static STOP: AtomicBool = AtomicBool::new(false);

pub const INTERRUPTED: &str = "interrupted";

/// A limit that the protocol grants beyond each time: 20 ms for a final answer, 50 ms for sockets.
const GRANTED: Micros = 70 * MS;
/// From when all is up to the first op.
const AHEAD: Micros = 200 * MS;
/// What a balancer still sends after the last op's end is seen for so long.
const SETTLE: Duration = Duration::from_millis(300);

/// A second of a run as it goes on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tick {
    pub second: i64,
    pub of: i64,
    pub left: i64,
    pub served: i64,
    pub ended: i64,
    pub mean_ms: f64,
    pub resident_kb: u64,
}

/// The arrivals of an experiment: drawn, or from its trace.
///
/// # Errors
/// One line where the trace is of no use.
pub fn plan(experiment: &Experiment, seed: u64) -> Result<Plan, String> {
    let mut plan = match &experiment.load.trace {
        Some(path) => {
            let file = File::open(path).map_err(|cause| format!("{}: {cause}", path.display()))?;
            trace::import(BufReader::new(file), experiment, experiment.load.speed)
                .map_err(|cause| format!("{}: {cause}", path.display()))?
        }
        None => Plan::generate(experiment, seed),
    };
    plan.requests.retain(|op| op.at < experiment.length());
    Ok(plan)
}

/// What a fault plants in the generator, if it does.
fn stall(span: &FaultWindow) -> Option<Stall> {
    let each = match span.kind {
        FaultKind::GeneratorStop => None,
        FaultKind::GeneratorSlow => Some(millis(span.factor)),
        _ => return None,
    };
    Some(Stall { from: span.from, to: span.to, each })
}

/// Plays `program` under the name of an arm, tells of each second, and leaves the balancers' files and logs in `folder`.
///
/// # Errors
/// One line where the world or a balancer does not come up, or where it was interrupted.
pub fn play(
    experiment: &Experiment,
    arm: &str,
    program: &Program,
    seed: u64,
    folder: &Path,
    tell: &mut dyn FnMut(Tick),
) -> Result<Run, String> {
    std::fs::create_dir_all(folder).map_err(|cause| format!("{}: {cause}", folder.display()))?;
    let plan = Arc::new(plan(experiment, seed)?);
    let ledger = Ledger::new(Clock::start());
    let mut world = World::start(experiment, seed, &ledger).map_err(|error| error.to_string())?;
    let balancers = Balancers::start(program.clone(), experiment, &world.bootstraps, seed, &ledger, folder)
        .map_err(|error| error.to_string())?;
    // What was noted until now, the lists that balancers took in, was before the run.
    ledger.take();
    ledger.clock.start_run_in(AHEAD);
    world.lateness.clear();
    world.connections_accepted.store(0, Ordering::Relaxed);
    let world_us = world.cpu_us.load(Ordering::Relaxed);
    world.run_script(Some(balancers.clone()));
    let bare = ReferenceThread::start().map_err(|cause| cause.to_string())?;
    let progress = Arc::new(Progress::default());
    let late = Arc::new(Lateness::default());
    let playing = {
        let (experiment, plan, ledger) = (experiment.clone(), plan.clone(), ledger.clone());
        let (addresses, progress, late) = (balancers.addresses(), progress.clone(), late.clone());
        let stalls = world.fault_windows.iter().filter_map(stall).collect();
        let play = move || player::play(&experiment, plan, seed, &addresses, &ledger, stalls, progress, late);
        thread::Builder::new().name("load".to_owned()).spawn(play)
    };
    let playing = playing.map_err(|cause| format!("a thread: {cause}"))?;
    let mut before = Tick { of: experiment.seconds.ceil() as i64, ..Tick::default() };
    let mut took_before = 0;
    let longest = experiment.categories.iter().map(|category| category.ttl()).max().unwrap_or(SECOND);
    let give_up = Instant::now() + crate::time::to_duration(experiment.length() + longest + 20 * SECOND);
    while !playing.is_finished() {
        thread::sleep(Duration::from_millis(50));
        if STOP.load(Ordering::Relaxed) {
            return Err(INTERRUPTED.to_owned());
        }
        if Instant::now() > give_up {
            return Err("the generator did not come to its end".to_owned());
        }
        let used = balancers.sample_usage();
        let second = ledger.clock.now() / SECOND;
        if second > before.second {
            let count = |count: &std::sync::atomic::AtomicI64| count.load(Ordering::Relaxed);
            let (left, served, ended) =
                (count(&progress.sent), count(&progress.served), count(&progress.ended));
            let took = count(&progress.latency_sum_us);
            tell(Tick {
                second,
                of: before.of,
                left: left - before.left,
                served: served - before.served,
                ended: ended - before.ended,
                mean_ms: (took - took_before) as f64 / 1e3 / (served - before.served).max(1) as f64,
                resident_kb: used.iter().map(|used| used.resident_kb).sum(),
            });
            before = Tick { second, left, served, ended, ..before };
            took_before = took;
        }
    }
    let played =
        playing.join().map_err(|_| "the generator failed".to_owned())?.map_err(|error| error.to_string())?;
    let (bare, world_late) = (bare.stop(), world.lateness.snapshot());
    let opened = world.connections_accepted.load(Ordering::Relaxed);
    let world_us = world.cpu_us.load(Ordering::Relaxed) - world_us;
    thread::sleep(SETTLE);
    let used = balancers.sample_usage();
    let died = balancers.unexpected_exits();
    let mut counters = BTreeMap::new();
    for (name, count) in balancers.counters().into_iter().flatten() {
        *counters.entry(name).or_default() += count;
    }
    let events = ledger.take();
    let mut figures = figures::figures(experiment, &played.records, &events, played.cpu_s);
    figures.note_late(&bare, &world_late, experiment.load.late());
    figures.world_us_per_request = world_us as f64 / played.records.len().max(1) as f64;
    figures.opened_per_s = opened as f64 / experiment.seconds;
    figures.cpu_us_per_request =
        used.iter().map(|used| used.cpu_s).sum::<f64>() * 1e6 / played.records.len().max(1) as f64;
    figures.balancers = used;
    let audit_settings = audit::AuditSettings {
        categories: &experiment.categories,
        zones: experiment.fleet.zones as u32,
        grace: millis(experiment.discovery.grace_ms),
        slack: GRANTED + world_late.late.max() as Micros + late.max(),
    };
    let mut breaches = audit(&events, &audit_settings);
    for died in died {
        let at = events
            .iter()
            .rev()
            .find(|event| matches!(event.observation, Observation::BalancerProcess { up: false, .. }));
        let at_us = at.map_or(0, |event| event.at);
        breaches.push(Breach { rule: Rule::Answered, at_us, what: died, around: Vec::new() });
    }
    let ops = figures::late(&played.records);
    let (void, warning) =
        judge(experiment.bounds(figures.benefit), &ops, &world_late, &bare).into_void_and_warning();
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
