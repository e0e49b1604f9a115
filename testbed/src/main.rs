//! The lab as a program. Exit codes: 0 all is well, 1 it could not be done, 2 bad input, 3 a rule was broken, 4 a run was
//! void, 130 interrupted.

use std::fs::File;
use std::io::{BufReader, BufWriter, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use basaltwood_testbed::balancers::Program;
use basaltwood_testbed::compare;
use basaltwood_testbed::figures::{self, Run};
use basaltwood_testbed::lateness::{self, Bare};
use basaltwood_testbed::ledger::Ledger;
use basaltwood_testbed::load::{plan::Plan, player, trace};
use basaltwood_testbed::measure;
use basaltwood_testbed::play::{self, play, Tick, INTERRUPTED, STOP};
use basaltwood_testbed::report;
use basaltwood_testbed::router::{self, InjectedFault};
use basaltwood_testbed::scale;
use basaltwood_testbed::script::{Arm, Baseline, Experiment};
use basaltwood_testbed::settings;
use basaltwood_testbed::time::{Clock, MS};
use basaltwood_testbed::world::World;
use clap::{Parser, Subcommand};

const DEMO: &str = include_str!("../experiments/demo.toml");
const FAILED: u8 = 1;
const BAD_INPUT: u8 = 2;
const BROKEN: u8 = 3;
const VOID: u8 = 4;
const ENDED: u8 = 130;

/// A world for balancers: emulated hosts, open-loop load, faults, and an audit of what crossed the sockets.
///
/// Start with `basaltwood-testbed demo`. Exit codes: 0 well, 1 could not be done, 2 bad input, 3 rules broken, 4 void
/// (the lab itself or the machine was too late; the line says which), 130 interrupted.
#[derive(Parser)]
#[command(
    version,
    after_help = "Example: basaltwood-testbed run testbed/experiments/hang.toml --arm today --arm random"
)]
struct Line {
    #[command(subcommand)]
    verb: Verb,
}

#[derive(Subcommand)]
enum Verb {
    /// A small fleet, two balancers and load; one host hangs in the middle. Needs nothing but the built programs.
    Demo {
        /// Where results go.
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
    },
    /// Plays an experiment: every arm with every seed, in turn.
    #[command(after_help = "Example: basaltwood-testbed run testbed/experiments/surge.toml --seeds 1,2,3")]
    Run {
        file: PathBuf,
        /// Only these arms of the file; `random`, `least-in-flight` and `plain-ring` are always there.
        #[arg(long)]
        arm: Vec<String>,
        /// A further arm: NAME=PROGRAM, such as an older build.
        #[arg(long, value_name = "NAME=PROGRAM")]
        program: Vec<String>,
        /// Seeds instead of the file's.
        #[arg(long, value_delimiter = ',')]
        seeds: Vec<u64>,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        /// One JSON line a run on standard output instead of words.
        #[arg(long)]
        json: bool,
        /// Keeps what was asked as a trace beside the result.
        #[arg(long)]
        keep_trace: bool,
    },
    /// Brings a world up without load or balancers, and writes the PROXY_CONFIG files to use.
    #[command(after_help = "Then: PROXY_CONFIG=up/balancer-0.json basaltwood-balancer")]
    Up {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long, default_value = "up")]
        out: PathBuf,
        /// Ends by itself after so many seconds; otherwise with Ctrl-C.
        #[arg(long = "for")]
        seconds: Option<f64>,
    },
    /// Plays an experiment's load against balancers that run already.
    Load {
        file: PathBuf,
        #[arg(long, required = true, value_name = "ADDRESS")]
        to: Vec<std::net::SocketAddr>,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        json: bool,
    },
    /// Says of each figure whether the difference between two arms is above noise.
    #[command(
        after_help = "Example: basaltwood-testbed compare lab-results/hang:today lab-results/hang:random"
    )]
    Compare {
        /// A result's folder, with :ARM where it holds several.
        a: String,
        b: String,
        #[arg(long)]
        json: bool,
    },
    /// How figures grow with one axis of the fleet: hollow balancers beside a real one, a value at each point,
    /// the slope with its interval, and what that gives at the plan's size.
    ///
    /// Exit codes as for `run`; 2 also where descriptors, memory (half of the machine's at most) or processes
    /// would not do, before anything starts.
    #[command(after_help = "Example: basaltwood-testbed scale testbed/scale/hosts.toml --quick")]
    Scale {
        file: PathBuf,
        /// Small and under a minute: the file's [quick], or its first two points, once each.
        #[arg(long)]
        quick: bool,
        #[arg(long, default_value = "lab-results")]
        out: PathBuf,
        /// A JSON line for each point and each figure's line on standard output instead of words.
        #[arg(long)]
        json: bool,
    },
    /// A process of a scale run.
    #[command(hide = true)]
    ScalePart,
    /// Writes a result's page anew.
    Report { folder: PathBuf },
    /// Measures the generator's own ceiling, what a balancer carries on one core and what time it adds, and its memory.
    Measure {
        /// A balancer; the one beside this program otherwise.
        #[arg(long)]
        program: Option<PathBuf>,
        #[arg(long)]
        json: bool,
    },
    /// A host that answers at once, for `measure`.
    #[command(hide = true)]
    StandIn,
    /// Recorded arrivals.
    Trace {
        #[command(subcommand)]
        verb: TraceVerb,
    },
    /// A baseline in a balancer's place, told by PROXY_CONFIG.
    #[command(hide = true)]
    Router {
        kind: Baseline,
        #[arg(long)]
        misdeed: Option<InjectedFault>,
    },
}

#[derive(Subcommand)]
enum TraceVerb {
    /// Writes an experiment's arrivals as a trace.
    Export {
        file: PathBuf,
        #[arg(long, default_value_t = 1)]
        seed: u64,
        #[arg(long)]
        out: PathBuf,
    },
    /// Makes a trace from a CSV file with the columns time_s, category, key and perhaps customer and size.
    Import {
        csv: PathBuf,
        #[arg(long)]
        out: PathBuf,
    },
    /// Reads a trace for an experiment and says what is in it, or the first line that is of no use.
    Check {
        trace: PathBuf,
        #[arg(long)]
        experiment: PathBuf,
    },
}

/// What went wrong, and how the program ends.
struct Trouble(u8, String);

fn bad(cause: String) -> Trouble {
    Trouble(BAD_INPUT, cause)
}

fn failed(cause: String) -> Trouble {
    if cause == INTERRUPTED {
        Trouble(ENDED, cause)
    } else {
        Trouble(FAILED, cause)
    }
}

fn main() -> ExitCode {
    env_logger::Builder::from_env(env_logger::Env::default().default_filter_or("warn")).init();
    let line = Line::parse();
    if !matches!(line.verb, Verb::Router { .. } | Verb::ScalePart) {
        heed_signals();
    }
    match carry_out(line.verb) {
        Ok(code) => ExitCode::from(code),
        Err(Trouble(code, cause)) => {
            eprintln!("basaltwood-testbed: {cause}");
            ExitCode::from(code)
        }
    }
}

/// Ctrl-C and SIGTERM end what was started, and only that.
fn heed_signals() {
    std::thread::spawn(|| {
        let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else { return };
        runtime.block_on(async {
            use tokio::signal::unix::{signal, SignalKind};
            let (Ok(mut ends), Ok(mut stops)) =
                (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
            else {
                return;
            };
            tokio::select! {
                _ = ends.recv() => {}
                _ = stops.recv() => {}
            }
            STOP.store(true, Ordering::Relaxed);
        });
    });
}

fn carry_out(verb: Verb) -> Result<u8, Trouble> {
    match verb {
        Verb::Demo { out } => {
            let mut experiment = Experiment::parse(DEMO).map_err(failed)?;
            println!("{}\n", experiment.about);
            experiment.arms =
                vec![Arm { name: "today".to_owned(), program: None, baseline: None, regions: None }];
            let runs = run(&experiment, DEMO, &out, false, false)?;
            Ok(demo_code(&runs))
        }
        Verb::Run { file, arm, program, seeds, out, json, keep_trace } => {
            let mut experiment = Experiment::read(&file).map_err(bad)?;
            if !seeds.is_empty() {
                experiment.seeds = seeds;
            }
            experiment.arms = arms(&experiment, &arm, &program).map_err(bad)?;
            let text = std::fs::read_to_string(&file).unwrap_or_default();
            let runs = run(&experiment, &text, &out, json, keep_trace)?;
            Ok(code(&runs))
        }
        Verb::Up { file, seed, out, seconds } => up(&file, seed, &out, seconds),
        Verb::Load { file, to, seed, json } => load(&file, &to, seed, json),
        Verb::Compare { a, b, json } => {
            let (of_a, of_b) = (side(&a)?, side(&b)?);
            let (pairs, rows) =
                compare::compare(&of_a.iter().collect::<Vec<_>>(), &of_b.iter().collect::<Vec<_>>())
                    .map_err(bad)?;
            if json {
                println!("{}", serde_json::json!({"pairs": pairs, "rows": rows}));
            } else {
                print!("{}", compare::written(&rows, pairs));
            }
            Ok(0)
        }
        Verb::Scale { file, quick, out, json } => scale(&file, quick, &out, json),
        Verb::ScalePart => scale::worker::serve().map(|()| 0).map_err(|cause| failed(cause.to_string())),
        Verb::Report { folder } => {
            let runs = compare::read(&folder).map_err(bad)?;
            let name = runs.first().map_or("nothing", |run| &run.experiment).to_owned();
            write(&folder.join("report.html"), &report::html(&name, "", &runs))?;
            println!("{}", folder.join("report.html").display());
            Ok(0)
        }
        Verb::Trace { verb } => traces(verb),
        Verb::StandIn => measure::stand_in().map(|()| 0).map_err(failed),
        Verb::Measure { program, json } => {
            let arm = Arm { name: "balancer".to_owned(), program, baseline: None, regions: None };
            let program = Program::for_arm(&arm).map_err(|error| bad(error.to_string()))?;
            let folder = tempfile::tempdir().map_err(|cause| failed(cause.to_string()))?;
            let mut tell = |line: &str, value: serde_json::Value| {
                if json {
                    println!("{value}");
                } else {
                    println!("{line}");
                }
            };
            measure::measure(&program, folder.path(), 1, &mut tell).map_err(failed)?;
            Ok(0)
        }
        Verb::Router { kind, misdeed } => {
            router::serve(kind, misdeed).map(|()| 0).map_err(|error| failed(error.to_string()))
        }
    }
}

/// The arms to play: those asked for, or the file's, or the balancer beside this program.
fn arms(experiment: &Experiment, asked: &[String], programs: &[String]) -> Result<Vec<Arm>, String> {
    let today = Arm { name: "today".to_owned(), program: None, baseline: None, regions: None };
    let mut known = experiment.arms.clone();
    if known.is_empty() {
        known.push(today.clone());
    }
    let mut arms = Vec::new();
    for name in asked {
        let baseline = Baseline::ALL.into_iter().find(|baseline| baseline.name() == name);
        let found = known.iter().find(|arm| arm.name == *name).cloned();
        let found = found.or_else(|| (name == "today").then(|| today.clone()));
        let found = found.or_else(|| {
            baseline.map(|baseline| Arm {
                name: name.clone(),
                program: None,
                baseline: Some(baseline),
                regions: None,
            })
        });
        arms.push(found.ok_or_else(|| {
            let names: Vec<&str> = known.iter().map(|arm| arm.name.as_str()).collect();
            format!("no arm {name}: there are {} and the baselines", names.join(", "))
        })?);
    }
    for program in programs {
        let (name, path) =
            program.split_once('=').ok_or(format!("--program {program}: write NAME=PROGRAM"))?;
        arms.push(Arm {
            name: name.to_owned(),
            program: Some(PathBuf::from(path)),
            baseline: None,
            regions: None,
        });
    }
    if asked.is_empty() {
        arms.splice(0..0, known);
    }
    Ok(arms)
}

fn code(runs: &[Run]) -> u8 {
    if runs.iter().any(|run| run.in_breach() && run.void.is_none()) {
        BROKEN
    } else if runs.iter().any(|run| run.void.is_some()) {
        VOID
    } else {
        0
    }
}

/// Plays the points of a scale experiment, and writes raw points, lines and drawings as it goes.
fn scale(file: &Path, quick: bool, out: &Path, json: bool) -> Result<u8, Trouble> {
    let script =
        scale::experiment::ScaleExperiment::read(file, quick).map_err(|cause| bad(cause.to_string()))?;
    let fits = script.fits(scale::system::MachineLimits::this());
    fits.map_err(|cause| bad(format!("{}: {cause}", file.display())))?;
    let folder = fresh(out, &script.name)?;
    let text = std::fs::read_to_string(file).unwrap_or_default();
    write(&folder.join("experiment.toml"), &text)?;
    let lines = File::create(folder.join("points.jsonl"));
    let mut lines = lines.map_err(|cause| failed(format!("{}: {cause}", folder.display())))?;
    let all = script.points.len() * script.repeats;
    // Standard output is for machines where they are to read it.
    let say = |line: &str| if json { eprintln!("{line}") } else { println!("{line}") };
    say(&format!("{}\n{all} points, {:.0} s at the least", script.about, script.length_s()));
    let axis = script.axis.name();
    let mut points = Vec::new();
    for repeat in 0..script.repeats {
        for &at in &script.points {
            let seed = 1 + repeat as u64;
            let title = format!("[{}/{all}] {axis} = {at} seed {seed}", points.len() + 1);
            let logs = folder.join("logs").join(format!("{at}-{seed}"));
            std::fs::create_dir_all(&logs).map_err(|cause| failed(format!("{}: {cause}", logs.display())))?;
            let mut on = String::new();
            let mut tell = |stretch: &str, seconds: f64| {
                if !stretch.is_empty() {
                    stretch.clone_into(&mut on);
                }
                say(&format!("{title}  {on} {seconds:.0} s"));
            };
            let point = scale::run::run_point(&script, at, seed, &logs, &mut tell)
                .map_err(|cause| failed(cause.to_string()))?;
            let line = serde_json::to_string(&point).map_err(|cause| failed(cause.to_string()))?;
            writeln!(lines, "{line}").map_err(|cause| failed(cause.to_string()))?;
            if json {
                println!("{line}");
            }
            let void = point.void.as_ref().map_or(String::new(), |void| format!(", VOID: {void}"));
            say(&format!("{title}: played{void}"));
            points.push(point);
        }
    }
    let fitted = scale::fit::fit_figures(&script, &points);
    let text = serde_json::to_string_pretty(&fitted).map_err(|cause| failed(cause.to_string()))?;
    write(&folder.join("lines.json"), &text)?;
    for figure in &fitted {
        let svg = scale::report::svg(axis, figure).map_err(|cause| failed(cause.to_string()))?;
        write(&folder.join(scale::report::file_name(figure.figure)), &svg)?;
        if json {
            println!("{}", serde_json::to_string(figure).map_err(|cause| failed(cause.to_string()))?);
        }
    }
    let table = scale::report::table(axis, &points, &fitted);
    write(&folder.join("table.txt"), &table)?;
    if !json {
        println!("\n{table}\nresult: {}", folder.display());
    }
    Ok(if points.iter().any(|point| point.void.is_some()) { VOID } else { 0 })
}

/// A first run is to show what there is, also on a busy machine: it ends well, with a warning, unless a rule was broken.
fn demo_code(runs: &[Run]) -> u8 {
    if runs.iter().any(Run::in_breach) {
        return BROKEN;
    }
    for run in runs.iter().filter(|run| run.void.is_some()) {
        let cause = run.void.as_deref().unwrap_or("");
        println!("WARNING: these figures count for nothing ({cause}). Try again when less else runs here.");
    }
    0
}

/// Plays every arm with every seed, and writes the result's folder as it goes.
fn run(
    experiment: &Experiment,
    text: &str,
    out: &Path,
    json: bool,
    keep_trace: bool,
) -> Result<Vec<Run>, Trouble> {
    let folder = fresh(out, &experiment.name)?;
    write(&folder.join("experiment.toml"), text)?;
    let lines = File::create(folder.join("runs.jsonl"));
    let mut lines = lines.map_err(|cause| failed(format!("{}: {cause}", folder.display())))?;
    let mut runs = Vec::new();
    let all = experiment.arms.len() * experiment.seeds.len();
    for (nth, &seed) in experiment.seeds.iter().enumerate() {
        if keep_trace {
            let plan = play::plan(experiment, seed).map_err(bad)?;
            export(&plan, experiment, &folder.join(format!("trace-{seed}.jsonl")))?;
        }
        for turn in 0..experiment.arms.len() {
            // Another goes first each time, so that whatever drifts hurts all alike.
            let arm = &experiment.arms[(nth + turn) % experiment.arms.len()];
            let title = format!("[{}/{all}] {} seed {seed}", runs.len() + 1, arm.name);
            let logs = folder.join("logs").join(format!("{}-{seed}", arm.name));
            let mut tell = |tick: Tick| progress(&title, tick, json);
            let program = Program::for_arm(arm).map_err(|error| bad(error.to_string()))?;
            let played = play(experiment, &arm.name, &program, seed, &logs, &mut tell).map_err(failed)?;
            let line = serde_json::to_string(&played).map_err(|cause| failed(cause.to_string()))?;
            writeln!(lines, "{line}").map_err(|cause| failed(cause.to_string()))?;
            if json {
                println!("{}", report::as_json(&played));
            } else {
                let breaches = played.breaches.len();
                let benefit = played.figures.benefit;
                let void = if played.void.is_some() { ", VOID" } else { "" };
                println!("{title}: benefit {benefit:.3}, {breaches} breaches{void}");
            }
            runs.push(played);
            write(&folder.join("report.html"), &report::html(&experiment.name, &experiment.about, &runs))?;
        }
    }
    if !json {
        println!("\n{}\nreport: {}", report::summary(&runs), folder.join("report.html").display());
    }
    Ok(runs)
}

fn progress(title: &str, tick: Tick, json: bool) {
    let line = format!(
        "{title}  {:>3}/{} s  {:>6} ops/s  {:>6} served  {:>7.1} ms  {:>6} kB",
        tick.second, tick.of, tick.left, tick.served, tick.mean_ms, tick.resident_kb
    );
    // Standard output is for machines then.
    if json {
        eprintln!("{line}");
    } else {
        println!("{line}");
    }
}

/// A folder that is not there yet: nothing is written over.
fn fresh(out: &Path, name: &str) -> Result<PathBuf, Trouble> {
    std::fs::create_dir_all(out).map_err(|cause| failed(format!("{}: {cause}", out.display())))?;
    for nth in 1..10_000 {
        let folder = out.join(if nth == 1 { name.to_owned() } else { format!("{name}-{nth}") });
        match std::fs::create_dir(&folder) {
            Ok(()) => return Ok(folder),
            Err(cause) if cause.kind() == std::io::ErrorKind::AlreadyExists => {}
            Err(cause) => return Err(failed(format!("{}: {cause}", folder.display()))),
        }
    }
    Err(failed(format!("{}: too many results named {name}: remove some", out.display())))
}

fn write(path: &Path, text: &str) -> Result<(), Trouble> {
    std::fs::write(path, text).map_err(|cause| failed(format!("{}: {cause}", path.display())))
}

fn up(file: &Path, seed: u64, out: &Path, seconds: Option<f64>) -> Result<u8, Trouble> {
    let experiment = Experiment::read(file).map_err(bad)?;
    let ledger = Ledger::new(Clock::start());
    let world = World::start(&experiment, seed, &ledger).map_err(|error| failed(error.to_string()))?;
    std::fs::create_dir_all(out).map_err(|cause| failed(format!("{}: {cause}", out.display())))?;
    for (nth, seat) in world.bootstraps.iter().enumerate() {
        let listen = ([127, 0, 0, 1], 6379 + nth as u16).into();
        let told = settings::balancer_config(&experiment, &format!("n{nth}"), listen, seat, seed);
        let path = out.join(format!("balancer-{nth}.json"));
        write(&path, &told.to_string())?;
        println!("PROXY_CONFIG={} # listens on {listen}, discovery {}", path.display(), seat.discovery);
    }
    println!("up; Ctrl-C ends it");
    let began = std::time::Instant::now();
    while !STOP.load(Ordering::Relaxed) && seconds.is_none_or(|most| began.elapsed().as_secs_f64() < most) {
        std::thread::sleep(Duration::from_millis(50));
        // Nobody audits this world: what it notes is not to fill the memory.
        ledger.take();
    }
    Ok(0)
}

fn load(file: &Path, to: &[std::net::SocketAddr], seed: u64, json: bool) -> Result<u8, Trouble> {
    if let Some(address) = to.iter().find(|address| !address.ip().is_loopback()) {
        return Err(bad(format!("--to {address}: the lab loads loopback addresses only (127.0.0.0/8)")));
    }
    let experiment = Experiment::read(file).map_err(bad)?;
    let plan = Arc::new(play::plan(&experiment, seed).map_err(bad)?);
    let ledger = Ledger::new(Clock::start());
    ledger.clock.start_run_in(200 * MS);
    let (progress, late) = (Arc::default(), Arc::default());
    let bare = Bare::start().map_err(failed)?;
    let played = player::play(&experiment, plan, seed, to, &ledger, Vec::new(), progress, late)
        .map_err(|error| error.to_string());
    let played = played.map_err(failed)?;
    let events = ledger.take();
    let mut figures = figures::figures(&experiment, &played.records, &events, played.cpu_s);
    // The hosts are somebody else's: nothing is known of their lateness.
    let (bare, world) = (bare.stop(), lateness::Seen::default());
    figures.note_late(&bare, &world, experiment.load.late());
    let ops = figures::late(&played.records);
    let (void, warning) = lateness::judge(experiment.bounds(figures.benefit), &ops, &world, &bare).told();
    let run = Run {
        experiment: experiment.name.clone(),
        arm: "load".to_owned(),
        seed,
        void,
        warning,
        figures,
        ..Run::default()
    };
    if json {
        println!("{}", serde_json::to_string(&run).map_err(|cause| failed(cause.to_string()))?);
    } else {
        print!("{}", report::summary(std::slice::from_ref(&run)));
        let figures = &run.figures;
        println!(
            "until the end: p50 {:.2} p90 {:.2} p99 {:.2} p99.9 {:.2} p99.99 {:.2} most {:.2} ms; {} over 1 s",
            figures.until_end.p50,
            figures.until_end.p90,
            figures.until_end.p99,
            figures.until_end.p999,
            figures.until_end.p9999,
            figures.until_end.most,
            figures.over_1s
        );
        println!(
            "generator: {:.1} us of CPU an op; late by {:.3} ms at the 99th percentile, {:.1} ms at most",
            figures.generator_us_per_op, figures.late_p99_ms, figures.late_most_ms
        );
    }
    Ok(code(&[run]))
}

/// FOLDER or FOLDER:ARM.
fn side(text: &str) -> Result<Vec<Run>, Trouble> {
    let (folder, arm) = match text.rsplit_once(':') {
        Some((folder, arm)) if !Path::new(text).exists() => (folder, Some(arm)),
        _ => (text, None),
    };
    let mut runs = compare::read(Path::new(folder)).map_err(bad)?;
    let names: Vec<String> = report::by_arm(&runs).iter().map(|arm| arm.0.to_owned()).collect();
    match arm {
        Some(arm) if !names.iter().any(|name| name == arm) => {
            return Err(bad(format!("{folder}: no arm {arm}: it holds {}", names.join(", "))));
        }
        Some(arm) => runs.retain(|run| run.arm == arm),
        None if names.len() > 1 => {
            return Err(bad(format!("{folder} holds {}: name one as {folder}:ARM", names.join(", "))));
        }
        None => {}
    }
    Ok(runs)
}

fn export(plan: &Plan, experiment: &Experiment, path: &Path) -> Result<(), Trouble> {
    let written = File::create(path).and_then(|file| trace::export(plan, experiment, BufWriter::new(file)));
    written.map_err(|cause| failed(format!("{}: {cause}", path.display())))
}

fn traces(verb: TraceVerb) -> Result<u8, Trouble> {
    let open = |path: &Path| {
        File::open(path).map(BufReader::new).map_err(|cause| bad(format!("{}: {cause}", path.display())))
    };
    match verb {
        TraceVerb::Export { file, seed, out } => {
            let experiment = Experiment::read(&file).map_err(bad)?;
            let plan = play::plan(&experiment, seed).map_err(bad)?;
            export(&plan, &experiment, &out)?;
            println!("{} ops in {}", plan.requests.len(), out.display());
        }
        TraceVerb::Import { csv, out } => {
            let lines =
                trace::from_csv(open(&csv)?).map_err(|cause| bad(format!("{}: {cause}", csv.display())))?;
            write(&out, &lines)?;
            println!("{} ops in {}", lines.lines().count(), out.display());
        }
        TraceVerb::Check { trace: path, experiment } => {
            let experiment = Experiment::read(&experiment).map_err(bad)?;
            let plan = trace::import(open(&path)?, &experiment, 1.0)
                .map_err(|cause| bad(format!("{}: {cause}", path.display())))?;
            println!(
                "{} ops, {} keys, {:.1} ops a second",
                plan.requests.len(),
                plan.keys.len(),
                plan.mean_rate()
            );
        }
    }
    Ok(0)
}
