//! Plays the points of a scale experiment: for each a fleet, a discovery and hollow balancers in processes of
//! their own, perhaps a real balancer; a quiet stretch, then one with ops.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use serde::de::DeserializeOwned;
use serde::Serialize;
use serde_json::{json, Value};

use crate::balancers::{Balancers, Program, ResourceUsage};
use crate::figures;
use crate::lateness::{judge, Bare, Bounds, Lateness, Seen, Verdict};
use crate::ledger::Ledger;
use crate::load::plan::Plan;
use crate::load::player::{self, LoadResult};
use crate::play::{INTERRUPTED, STOP};
use crate::scale::discovery::{unix_us, DiscoveryReady, DiscoverySnapshot, DiscoverySpec};
use crate::scale::experiment::{Conditions, ScaleExperiment, RECOVERY_S};
use crate::scale::fleet::{FleetReady, FleetSnapshot, FleetSpec};
use crate::scale::regression::{fit_line, LinearFit};
use crate::scale::simulated::{SimulatedReady, SimulatedSnapshot, SimulatedSpec};
use crate::scale::worker_process::{merged, WorkerCommand, WorkerProcess, WorkerSpec};
use crate::script::{zone_name, Arm, Experiment};
use crate::settings;
use crate::settings::BalancerBootstrap;
use crate::time::{millis, Clock, MS};

/// An op of a hollow balancer that begins later than this is late, in milliseconds.
const LATE_MS: f64 = 2.0;
/// How long changes may still come into force after the last of them.
const CHANGES_SETTLE_S: f64 = 1.5;

/// One point as it was played.
#[derive(Clone, Debug, Serialize)]
pub struct MeasuredPoint {
    pub experiment: String,
    pub axis: &'static str,
    pub at: f64,
    pub seed: u64,
    /// Why it counts for nothing, where it does.
    pub void: Option<String>,
    pub warning: Option<String>,
    pub held: Conditions,
    /// By name; the unit stands in it.
    pub figures: BTreeMap<&'static str, f64>,
}

/// A figure over the axis.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    pub figure: &'static str,
    pub points: Vec<(f64, f64)>,
    /// Of points that count for nothing: drawn, and left out of the line.
    pub void: Vec<(f64, f64)>,
    /// The line, and what it gives at the plan's size.
    pub line: Option<LinearFit>,
    pub planned_at: f64,
    /// How many times the largest point that counts the plan's size is; none where none does.
    pub beyond: Option<f64>,
    pub budget: Option<f64>,
}

/// The lines through all points that count, figure by figure.
pub fn fit_figures(script: &ScaleExperiment, points: &[MeasuredPoint]) -> Vec<FittedFigure> {
    let (sound, void): (Vec<&MeasuredPoint>, Vec<&MeasuredPoint>) =
        points.iter().partition(|point| point.void.is_none());
    let names: BTreeSet<&'static str> =
        points.iter().flat_map(|point| point.figures.keys().copied()).collect();
    let largest = sound.iter().map(|point| point.at).fold(0.0, f64::max);
    let planned_at = script.planned();
    let budget = |name: &str| match name {
        "control CPU, % of a core" => Some(100.0 * script.budget.core),
        "memory a balancer, MB" => Some(script.budget.memory_mb),
        "control bytes/s a balancer, both ways" => Some(script.budget.bytes_per_s),
        _ => None,
    };
    let fit = |figure: &'static str| {
        let of = |point: &&MeasuredPoint| Some((point.at, *point.figures.get(figure)?));
        let points: Vec<(f64, f64)> = sound.iter().filter_map(of).collect();
        let void = void.iter().filter_map(of).collect();
        let line = fit_line(&points, planned_at);
        FittedFigure {
            figure,
            line,
            points,
            void,
            planned_at,
            beyond: Some(planned_at / largest).filter(|beyond| beyond.is_finite()),
            budget: budget(figure),
        }
    };
    names.into_iter().map(fit).collect()
}

/// The processes of a point.
struct World {
    fleets: Vec<WorkerProcess>,
    discovery: WorkerProcess,
    hollows: Vec<WorkerProcess>,
}

/// What all said of one moment.
struct Snapshots {
    at: Instant,
    fleets: Vec<FleetSnapshot>,
    discovery: DiscoverySnapshot,
    hollows: Vec<SimulatedSnapshot>,
}

impl World {
    fn marks(&mut self, hollows: WorkerCommand, discovery: WorkerCommand) -> Result<Snapshots, String> {
        fn all<T: DeserializeOwned>(
            parts: &mut [WorkerProcess],
            asked: WorkerCommand,
        ) -> Result<Vec<T>, String> {
            parts.iter_mut().map(|part| part.ask(asked)).collect()
        }
        Ok(Snapshots {
            at: Instant::now(),
            hollows: all(&mut self.hollows, hollows)?,
            fleets: all(&mut self.fleets, WorkerCommand::Snapshot)?,
            discovery: self.discovery.ask(discovery)?,
        })
    }
}

/// So many things over so many places, as evenly as can be: from which on, and how many.
fn spread(things: u32, places: u32) -> Vec<(u32, u32)> {
    let starts = |nth: u32| (u64::from(things) * u64::from(nth) / u64::from(places)) as u32;
    let parts = (0..places).map(|nth| (starts(nth), starts(nth + 1) - starts(nth)));
    parts.filter(|part| part.1 > 0).collect()
}

fn entries(held: &Conditions, addresses: &[SocketAddr]) -> Vec<Value> {
    let entry = |(nth, address): (u32, &SocketAddr)| {
        json!({
            "instanceId": format!("h-{nth:05}"),
            "hostPort": address.to_string(),
            "zone": zone_name(nth % held.zones),
            "machineType": "host",
            "cell": nth,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0.0,
        })
    };
    (0..).zip(addresses).map(entry).collect()
}

/// Waits, and looks whether it is to end.
fn wait(seconds: f64, tell: &mut dyn FnMut(&str, f64)) -> Result<(), String> {
    let began = Instant::now();
    let mut told = 0.0;
    while began.elapsed().as_secs_f64() < seconds {
        if STOP.load(Ordering::Relaxed) {
            return Err(INTERRUPTED.to_owned());
        }
        let elapsed = began.elapsed().as_secs_f64();
        if elapsed.floor() > told {
            told = elapsed.floor();
            tell("", told);
        }
        thread::sleep(Duration::from_secs_f64((seconds - elapsed).clamp(0.0, 0.05)));
    }
    Ok(())
}

/// A real balancer with its load; the guard ends it where this process is killed.
struct Real {
    balancers: Balancers,
    experiment: Experiment,
    addresses: Vec<SocketAddr>,
    _guard: WorkerProcess,
}

fn real(experiment: &Experiment, seat: BalancerBootstrap, seed: u64, folder: &Path) -> Result<Real, String> {
    let arm = Arm { name: "real".to_owned(), program: None, baseline: None, regions: None };
    let program = Program::for_arm(&arm)?;
    let ledger = Ledger::new(Clock::start());
    let balancers = Balancers::start(program, experiment, &[seat], seed, &ledger, folder)?;
    let pid = balancers.process_ids().first().copied().ok_or("the real balancer has ended")?;
    let (guard, ()) = WorkerProcess::start(&WorkerSpec::Guard { pid })?;
    let addresses = balancers.addresses();
    Ok(Real { balancers, experiment: experiment.clone(), addresses, _guard: guard })
}

impl Real {
    /// Its load for so long, on a thread of its own.
    fn load(&self, seed: u64) -> Result<thread::JoinHandle<Result<LoadResult, String>>, String> {
        let (experiment, addresses) = (self.experiment.clone(), self.addresses.clone());
        let load = move || {
            let plan = Arc::new(Plan::generate(&experiment, seed));
            let ledger = Ledger::new(Clock::start());
            ledger.clock.start_run_in(100 * MS);
            let late = Arc::new(Lateness::default());
            player::play(&experiment, plan, seed, &addresses, &ledger, Vec::new(), Arc::default(), late)
                .map_err(|error| error.to_string())
        };
        thread::Builder::new()
            .name("load".to_owned())
            .spawn(load)
            .map_err(|cause| format!("a thread: {cause}"))
    }

    fn used(&self) -> ResourceUsage {
        self.balancers.sample_usage().first().copied().unwrap_or_default()
    }
}

/// Plays one point with one seed. Processes are ended when it is over, however it ends. `tell` hears of the
/// stretch that is on and of its seconds.
///
/// # Errors
/// One line where a process does not come up or fails, or where it was interrupted.
pub fn run_point(
    script: &ScaleExperiment,
    at: f64,
    seed: u64,
    folder: &Path,
    tell: &mut dyn FnMut(&str, f64),
) -> Result<MeasuredPoint, String> {
    let held = script.at(at);
    let experiment = script.experiment(&held)?;
    tell("starting", 0.0);
    let (mut fleets, mut addresses) = (Vec::new(), Vec::new());
    for (first, hosts) in spread(held.hosts, script.processes.fleet) {
        let (service_ms, idle_ms, value_bytes) = (held.service_ms, held.idle_ms, held.value_bytes);
        let spec = FleetSpec { first, hosts, service_ms, value_bytes, idle_ms };
        let (part, up): (WorkerProcess, FleetReady) = WorkerProcess::start(&WorkerSpec::Fleet(spec))?;
        addresses.extend(up.addresses);
        fleets.push(part);
    }
    let entries = entries(&held, &addresses);
    let known = json!({"generation": 1, "reset": true, "instances": entries});
    let spec = DiscoverySpec { entries, changes_per_s: held.changes_per_s, seed };
    let (discovery, up): (WorkerProcess, DiscoveryReady) =
        WorkerProcess::start(&WorkerSpec::Discovery(spec))?;
    let seat = BalancerBootstrap { discovery: up.address, known: known.clone() };
    let listen = SocketAddr::from(([127, 0, 0, 1], 1));
    let told = settings::balancer_config(&experiment, "hollow", listen, &seat, seed);
    let mut hollows = Vec::new();
    for (first, balancers) in spread(held.balancers, script.hollow_processes(&held)) {
        let spec = SimulatedSpec {
            settings: told["settings"].clone(),
            known: known.clone(),
            discovery: up.address,
            first,
            balancers,
            seed,
            rate: held.rate,
            keys: held.keys,
            zipf: held.zipf,
            sockets: held.sockets,
            target_ms: held.target_ms,
            ttl_ms: held.ttl_ms,
        };
        hollows.push(WorkerProcess::start::<SimulatedReady>(&WorkerSpec::Simulated(spec))?.0);
    }
    let mut world = World { fleets, discovery, hollows };
    let real = if held.real_rate > 0.0 { Some(real(&experiment, seat, seed, folder)?) } else { None };
    tell("settling", 0.0);
    wait(script.settle_s, tell)?;
    tell("quiet", 0.0);
    let quiet = world.marks(WorkerCommand::Snapshot, WorkerCommand::Start)?;
    wait(script.quiet_s, tell)?;
    let warming = world.marks(WorkerCommand::Start, WorkerCommand::Snapshot)?;
    tell("warming up", 0.0);
    wait(script.settle_s, tell)?;
    tell("loaded", 0.0);
    let bare = Bare::start()?;
    let used = real.as_ref().map(Real::used);
    let loading = real.as_ref().map(|real| real.load(seed)).transpose()?;
    let begin = world.marks(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
    wait(script.seconds, tell)?;
    let end = world.marks(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
    let played = loading.map(|load| load.join().map_err(|_| "the generator failed".to_owned())?);
    let played = played.transpose()?;
    let bare = bare.stop();
    let hung = hang(&mut world, script.faults.hang_s, tell)?;
    let rest = world.marks(WorkerCommand::Stop, WorkerCommand::Stop)?;
    wait(CHANGES_SETTLE_S, tell)?;
    let over = world.marks(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
    let mut later = vec![&warming, &begin, &end];
    later.extend(hung.as_ref());
    later.extend([&rest, &over]);
    let mut figures = measured(&held, &Spans { quiet: &quiet, warming: &warming, begin: &begin, end: &end });
    figures.extend(in_force("told", &later, held.balancers, None));
    if let Some(hung) = &hung {
        figures.extend(lost(&begin, &end, hung));
    }
    figures.extend(discovery_down(&mut world, script.faults.discovery_down_s, held.balancers, tell)?);
    let mut ops = merged(end.hollows.iter().map(|mark| &mark.late));
    let world_late = Seen {
        late: merged(end.fleets.iter().map(|mark| &mark.late)),
        own: merged(end.fleets.iter().map(|mark| &mark.own)),
    };
    if let (Some(real), Some(played), Some(before)) = (&real, &played, used) {
        let used = real.used();
        let of = figures::figures(&real.experiment, &played.records, &[], played.cpu_s);
        figures.insert("real: benefit", of.benefit);
        figures.insert("real: p50, ms", of.latency.p50);
        figures.insert("real: p99, ms", of.latency.p99);
        figures.insert("real: CPU us an op", (used.cpu_s - before.cpu_s) * 1e6 / of.ops.max(1) as f64);
        figures.insert("real: memory, MB", used.resident_kb as f64 / 1e3);
        figures.insert("real: descriptors", used.descriptors as f64);
        ops.add(figures::late(&played.records)).map_err(|cause| cause.to_string())?;
    }
    let earned = figures.get("in target, part").copied().unwrap_or(1.0);
    let earned = figures.get("real: benefit").map_or(earned, |benefit| benefit.min(earned));
    let bounds = Bounds { late: millis(LATE_MS), target: millis(held.target_ms), missed: 1.0 - earned };
    figures.insert("late p99 of ops, ms", ops.value_at_quantile(0.99) as f64 / 1e3);
    figures.insert("late p99 of the fleet, ms", world_late.late.value_at_quantile(0.99) as f64 / 1e3);
    figures.insert("late p99 of a bare thread, ms", bare.late.value_at_quantile(0.99) as f64 / 1e3);
    let (void, warning) = match judge(bounds, &ops, &world_late, &bare) {
        Verdict::Sound => (None, None),
        verdict => verdict.told(),
    };
    let (experiment, axis) = (script.name.clone(), script.axis.name());
    Ok(MeasuredPoint { experiment, axis, at, seed, void, warning, held, figures })
}

/// The moments between which a point is measured.
struct Spans<'a> {
    quiet: &'a Snapshots,
    warming: &'a Snapshots,
    begin: &'a Snapshots,
    end: &'a Snapshots,
}

fn sum<M>(marks: &[M], read: impl Fn(&M) -> f64) -> f64 {
    marks.iter().map(read).sum()
}

/// How much more it was at the later moment.
fn more<M>(from: &[M], to: &[M], read: impl Fn(&M) -> f64) -> f64 {
    sum(to, &read) - sum(from, &read)
}

fn by_host(marks: &[FleetSnapshot], read: fn(&FleetSnapshot) -> &Vec<u64>) -> Vec<f64> {
    marks.iter().flat_map(|mark| read(mark).iter().map(|&count| count as f64)).collect()
}

fn measured(held: &Conditions, spans: &Spans) -> BTreeMap<&'static str, f64> {
    let Spans { quiet, warming, begin, end } = *spans;
    let balancers = f64::from(held.balancers);
    let hosts = f64::from(held.hosts);
    let span = |from: &Snapshots, to: &Snapshots| (to.at - from.at).as_secs_f64().max(1e-3);
    let (still, loaded) = (span(quiet, warming), span(begin, end));
    let mut figures = BTreeMap::new();
    let mut put = |name: &'static str, value: f64| {
        if value.is_finite() {
            figures.insert(name, value);
        }
    };
    // Control: the stretch without ops, with the list's changes.
    let core = more(&quiet.hollows, &warming.hollows, |mark| mark.cpu_s) / still / balancers;
    put("control CPU, % of a core", 100.0 * core);
    let out = more(&quiet.hollows, &warming.hollows, |mark| mark.control_out as f64) / still / balancers;
    let come = more(&quiet.hollows, &warming.hollows, |mark| mark.control_in as f64) / still / balancers;
    put("control bytes/s a balancer, to discovery", out);
    put("control bytes/s a balancer, from discovery", come);
    put("control bytes/s a balancer, both ways", out + come);
    let resident = |mark: &SimulatedSnapshot| mark.resident_kb as f64 - mark.base_kb as f64;
    put("memory a balancer, MB", sum(&end.hollows, resident) / 1e3 / balancers);
    let (before, after) = (&quiet.discovery, &warming.discovery);
    let all = balancers + f64::from(u8::from(held.real_rate > 0.0));
    put("discovery: calls/s a balancer", (after.calls - before.calls) as f64 / still / all);
    let bytes = |mark: &DiscoverySnapshot| (mark.bytes_in + mark.bytes_out) as f64;
    put("discovery: bytes/s a balancer", (bytes(after) - bytes(before)) / still / all);
    put("discovery: CPU, % of a core", 100.0 * (after.cpu_s - before.cpu_s) / still);
    put("discovery: CPU us/s a balancer", (after.cpu_s - before.cpu_s) * 1e6 / still / all);
    // Ops.
    let ops = more(&begin.hollows, &end.hollows, |mark| mark.ops as f64);
    let cpu = more(&begin.hollows, &end.hollows, |mark| mark.cpu_s);
    put("ops/s", ops / loaded);
    if ops > 0.0 {
        let ended = |read: fn(&SimulatedSnapshot) -> u64| {
            more(&begin.hollows, &end.hollows, |mark| read(mark) as f64)
                / more(&begin.hollows, &end.hollows, |mark| (mark.acked + mark.nacked + mark.failed) as f64)
        };
        put("CPU us an op, beside control", (cpu - core * balancers * loaded) * 1e6 / ops);
        put("in target, part", ended(|mark| mark.in_target));
        put("nacked, part", ended(|mark| mark.nacked));
        put("failed, part", ended(|mark| mark.failed));
        put("pushes an op", more(&begin.hollows, &end.hollows, |mark| mark.pushes as f64) / ops);
        let took = merged(end.hollows.iter().map(|mark| &mark.took));
        put("p50, ms", took.value_at_quantile(0.5) as f64 / 1e3);
        put("p99, ms", took.value_at_quantile(0.99) as f64 / 1e3);
        let opened = more(&begin.hollows, &end.hollows, |mark| mark.opened as f64) / loaded;
        put("new connections/s a balancer", opened / balancers);
        put("connections of a balancer", sum(&end.hollows, |mark| mark.open as f64) / balancers);
    }
    let open = by_host(&end.fleets, |mark| &mark.open);
    put("connections at a host, mean", open.iter().sum::<f64>() / hosts);
    put("connections at a host, most", open.iter().copied().fold(0.0, f64::max));
    for (mean, most, read) in [
        (
            "requests/s at a host, mean",
            "requests/s at a host, most",
            (|mark| &mark.requests) as fn(&FleetSnapshot) -> &Vec<u64>,
        ),
        ("new connections/s at a host, mean", "new connections/s at a host, most", |mark| &mark.opened),
    ] {
        let (from, to) = (by_host(&begin.fleets, read), by_host(&end.fleets, read));
        let rates: Vec<f64> = from.iter().zip(&to).map(|(from, to)| (to - from) / loaded).collect();
        put(mean, rates.iter().sum::<f64>() / hosts);
        put(most, rates.iter().copied().fold(0.0, f64::max));
    }
    figures
}

/// One host hangs under the ops; what was by the end of it, and of some time after.
fn hang(
    world: &mut World,
    seconds: f64,
    tell: &mut dyn FnMut(&str, f64),
) -> Result<Option<Snapshots>, String> {
    let Some(first) = world.fleets.first_mut().filter(|_| seconds > 0.0) else { return Ok(None) };
    tell("a host hangs", 0.0);
    let _: FleetSnapshot = first.ask(WorkerCommand::StopResponding)?;
    wait(seconds, tell)?;
    if let Some(first) = world.fleets.first_mut() {
        let _: FleetSnapshot = first.ask(WorkerCommand::ResumeResponding)?;
    }
    wait(RECOVERY_S, tell)?;
    world.marks(WorkerCommand::Snapshot, WorkerCommand::Snapshot).map(Some)
}

/// Ops that a hang cost: those that were not answered in target, beyond as many as before it.
fn lost(begin: &Snapshots, end: &Snapshots, hung: &Snapshots) -> BTreeMap<&'static str, f64> {
    let missed = |mark: &SimulatedSnapshot| (mark.acked - mark.in_target + mark.nacked + mark.failed) as f64;
    let failed = |mark: &SimulatedSnapshot| (mark.nacked + mark.failed) as f64;
    let span = |from: &Snapshots, to: &Snapshots| (to.at - from.at).as_secs_f64().max(1e-3);
    let times = span(end, hung) / span(begin, end);
    let beyond = |read: &dyn Fn(&SimulatedSnapshot) -> f64| {
        more(&end.hollows, &hung.hollows, read) - times * more(&begin.hollows, &end.hollows, read)
    };
    BTreeMap::from([
        ("hang: ops not in target", beyond(&missed)),
        ("hang: ops nacked or failed", beyond(&failed)),
        ("hang: ops", more(&end.hollows, &hung.hollows, |mark| mark.ops as f64)),
    ])
}

/// Discovery falls silent and comes back, while the list changes and ops rest: how long after its return all
/// that it then had to tell is in force.
fn discovery_down(
    world: &mut World,
    seconds: f64,
    balancers: u32,
    tell: &mut dyn FnMut(&str, f64),
) -> Result<BTreeMap<&'static str, f64>, String> {
    if seconds <= 0.0 {
        return Ok(BTreeMap::new());
    }
    tell("discovery is down", 0.0);
    let down = world.marks(WorkerCommand::Snapshot, WorkerCommand::StopResponding)?;
    let _: DiscoverySnapshot = world.discovery.ask(WorkerCommand::Start)?;
    wait(seconds, tell)?;
    let up = world.marks(WorkerCommand::Snapshot, WorkerCommand::Stop)?;
    let back = unix_us();
    let _: DiscoverySnapshot = world.discovery.ask(WorkerCommand::ResumeResponding)?;
    wait(RECOVERY_S, tell)?;
    let after = world.marks(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
    let mut figures = in_force("back", &[&up, &after], balancers, Some(back));
    let calls = after.discovery.calls - up.discovery.calls;
    figures.insert("discovery back: calls/s a balancer", calls as f64 / RECOVERY_S / f64::from(balancers));
    let calls = up.discovery.calls - down.discovery.calls;
    figures.insert("discovery down: calls/s a balancer", calls as f64 / seconds / f64::from(balancers));
    Ok(figures)
}

/// How long changes took until they were in force, from when they came or from `since`: means over changes, by
/// the share of the balancers that had them.
fn in_force(
    what: &str,
    marks: &[&Snapshots],
    balancers: u32,
    since: Option<i64>,
) -> BTreeMap<&'static str, f64> {
    let mut applied: BTreeMap<u32, Vec<(u64, i64)>> = BTreeMap::new();
    for &(balancer, version, at) in
        marks.iter().flat_map(|marks| &marks.hollows).flat_map(|mark| &mark.applied)
    {
        applied.entry(balancer).or_default().push((version, at));
    }
    let changes: Vec<(u64, i64)> = marks.iter().flat_map(|marks| marks.discovery.changes.clone()).collect();
    let (mut lacking, mut whole, mut sums) = (0.0, 0.0, [0.0; 3]);
    for &(version, at) in &changes {
        let from = since.map_or(at, |since| since.max(at));
        // A page tells all changes up to its version.
        let first =
            |news: &Vec<(u64, i64)>| news.iter().find(|news| news.0 >= version).map(|news| news.1 - from);
        let mut took: Vec<i64> = applied.values().filter_map(first).collect();
        took.sort_unstable();
        if took.len() < balancers as usize {
            lacking += 1.0;
            continue;
        }
        whole += 1.0;
        for (sum, part) in sums.iter_mut().zip([0.5, 0.99, 1.0]) {
            let nth = ((took.len() as f64 * part).ceil() as usize).clamp(1, took.len()) - 1;
            *sum += took[nth] as f64 / 1e3;
        }
    }
    let names = match what {
        "back" => [
            "discovery back: to 50%, ms",
            "discovery back: to 99%, ms",
            "discovery back: to all, ms",
            "discovery back: changes",
            "discovery back: changes not told to all",
        ],
        _ => [
            "told to 50%, ms",
            "told to 99%, ms",
            "told to all, ms",
            "changes seen",
            "changes not told to all",
        ],
    };
    let [half, most, all, seen, never] = names;
    let mut figures = BTreeMap::from([(seen, changes.len() as f64), (never, lacking)]);
    if whole > 0.0 {
        figures.extend([half, most, all].into_iter().zip(sums.map(|sum| sum / whole)));
    }
    figures
}
