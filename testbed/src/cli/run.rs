//! `demo` and `run`: plays every arm of an experiment with every seed.

use std::path::{Path, PathBuf};

use basaltwood_testbed::balancers::Program;
use basaltwood_testbed::experiment::{Arm, Baseline, Experiment};
use basaltwood_testbed::figures::Run;
use basaltwood_testbed::play::{self, play, Tick};
use basaltwood_testbed::report;

use super::error::{bad_input, failed, CommandError};
use super::output::{new_result_folder, write, JsonLines};
use super::trace::export;
use super::ExitStatus;

const DEMO: &str = include_str!("../../experiments/demo.toml");
/// The name of the arm that plays the balancer in this program's folder.
const DEFAULT_ARM: &str = "today";

/// The arms and seeds of an experiment to play.
pub(super) struct Selection {
    /// Names of arms; if empty, all arms of the file.
    pub(super) arms: Vec<String>,
    /// Additional arms as NAME=PROGRAM.
    pub(super) programs: Vec<String>,
    /// Seeds; if empty, those of the file.
    pub(super) seeds: Vec<u64>,
}

/// The place and form of results.
pub(super) struct Output {
    pub(super) folder: PathBuf,
    /// Whether to print JSON lines on standard output instead of text.
    pub(super) json: bool,
    /// Whether to write the requests as a trace into the result folder.
    pub(super) keep_trace: bool,
}

/// Plays the experiment that is built into the program.
pub(super) fn demo(out: &Path) -> Result<ExitStatus, CommandError> {
    let mut experiment = Experiment::parse(DEMO).map_err(failed)?;
    println!("{}\n", experiment.about);
    experiment.arms = vec![default_arm()];
    let output = Output { folder: out.to_owned(), json: false, keep_trace: false };
    let runs = play_all(&experiment, DEMO, &output)?;
    Ok(demo_status(&runs))
}

/// The exit code of the demo: a void run is only a warning, so that the demo succeeds on a busy
/// machine unless a rule is broken.
fn demo_status(runs: &[Run]) -> ExitStatus {
    if runs.iter().any(Run::in_breach) {
        return ExitStatus::RuleBroken;
    }
    for cause in runs.iter().filter_map(|run| run.void.as_deref()) {
        println!("WARNING: these figures are invalid ({cause}). Try again while the machine is less busy.");
    }
    ExitStatus::Success
}

/// Plays the experiment of a file.
pub(super) fn run_file(
    file: &Path,
    selection: Selection,
    output: &Output,
) -> Result<ExitStatus, CommandError> {
    let mut experiment = Experiment::read(file).map_err(bad_input)?;
    experiment.arms = selected_arms(&experiment, &selection.arms, &selection.programs)?;
    if !selection.seeds.is_empty() {
        experiment.seeds = selection.seeds;
    }
    let text = std::fs::read_to_string(file).unwrap_or_default();
    let runs = play_all(&experiment, &text, output)?;
    Ok(ExitStatus::of_runs(&runs))
}

fn default_arm() -> Arm {
    Arm { name: DEFAULT_ARM.to_owned(), program: None, baseline: None, regions: None }
}

/// The arms to play: the named ones or else all arms of the file, and the additional programs. The
/// arm of a file without arms is the balancer in this program's folder.
fn selected_arms(
    experiment: &Experiment,
    names: &[String],
    programs: &[String],
) -> Result<Vec<Arm>, CommandError> {
    let mut known = experiment.arms.clone();
    if known.is_empty() {
        known.push(default_arm());
    }
    let mut arms = Vec::new();
    for name in names {
        arms.push(named_arm(&known, name)?);
    }
    for program in programs {
        arms.push(program_arm(program)?);
    }
    if names.is_empty() {
        arms.splice(0..0, known);
    }
    Ok(arms)
}

fn named_arm(known: &[Arm], name: &str) -> Result<Arm, CommandError> {
    if let Some(arm) = known.iter().find(|arm| arm.name == name) {
        return Ok(arm.clone());
    }
    if name == DEFAULT_ARM {
        return Ok(default_arm());
    }
    if let Some(baseline) = Baseline::ALL.into_iter().find(|baseline| baseline.name() == name) {
        let name = name.to_owned();
        return Ok(Arm { name, program: None, baseline: Some(baseline), regions: None });
    }
    let names: Vec<&str> = known.iter().map(|arm| arm.name.as_str()).collect();
    let baselines = Baseline::ALL.map(Baseline::name);
    Err(bad_input(format!("no arm {name}: there are {}, {}", names.join(", "), baselines.join(", "))))
}

/// Parses an additional arm, NAME=PROGRAM.
fn program_arm(option: &str) -> Result<Arm, CommandError> {
    let Some((name, path)) = option.split_once('=') else {
        return Err(bad_input(format!("--program {option}: write NAME=PROGRAM")));
    };
    let program = Some(PathBuf::from(path));
    Ok(Arm { name: name.to_owned(), program, baseline: None, regions: None })
}

/// Plays every arm with every seed, and writes each run to the result folder as it ends.
fn play_all(experiment: &Experiment, text: &str, output: &Output) -> Result<Vec<Run>, CommandError> {
    let mut result = ResultFolder::create(experiment, text, output)?;
    for (nth, &seed) in experiment.seeds.iter().enumerate() {
        if output.keep_trace {
            result.keep_trace(seed)?;
        }
        // Another arm goes first with each seed, so that a drift of the machine affects all alike.
        let mut arms = experiment.arms.clone();
        arms.rotate_left(nth % experiment.arms.len());
        for arm in &arms {
            result.play(arm, seed)?;
        }
    }
    if !output.json {
        let page = result.folder.join("report.html");
        println!("\n{}\nreport: {}", report::summary(&result.runs), page.display());
    }
    Ok(result.runs)
}

/// A result folder that is being filled.
struct ResultFolder<'a> {
    experiment: &'a Experiment,
    folder: PathBuf,
    lines: JsonLines,
    json: bool,
    runs: Vec<Run>,
}

impl<'a> ResultFolder<'a> {
    fn create(
        experiment: &'a Experiment,
        text: &str,
        output: &Output,
    ) -> Result<ResultFolder<'a>, CommandError> {
        let folder = new_result_folder(&output.folder, &experiment.name)?;
        write(&folder.join("experiment.toml"), text)?;
        let lines = JsonLines::create(&folder, "runs.jsonl")?;
        Ok(ResultFolder { experiment, folder, lines, json: output.json, runs: Vec::new() })
    }

    fn keep_trace(&self, seed: u64) -> Result<(), CommandError> {
        let plan = play::plan(self.experiment, seed).map_err(bad_input)?;
        export(&plan, self.experiment, &self.folder.join(format!("trace-{seed}.jsonl")))
    }

    /// Plays an arm with a seed, and writes and prints the result.
    fn play(&mut self, arm: &Arm, seed: u64) -> Result<(), CommandError> {
        let (experiment, json) = (self.experiment, self.json);
        let count = experiment.arms.len() * experiment.seeds.len();
        let title = format!("[{}/{count}] {} seed {seed}", self.runs.len() + 1, arm.name);
        let logs = self.folder.join("logs").join(format!("{}-{seed}", arm.name));
        let mut on_tick = |tick: Tick| print_progress(&title, tick, json);
        let program = Program::for_arm(arm).map_err(bad_input)?;
        let run = play(experiment, &arm.name, &program, seed, &logs, &mut on_tick).map_err(failed)?;
        self.lines.append(&run)?;
        if json {
            println!("{}", report::as_json(&run));
        } else {
            print_run(&title, &run);
        }
        self.runs.push(run);
        let page = report::html(&experiment.name, &experiment.about, &self.runs);
        write(&self.folder.join("report.html"), &page)
    }
}

fn print_run(title: &str, run: &Run) {
    let breaches = run.breaches.len();
    let benefit = run.figures.benefit;
    let void = if run.void.is_some() { ", VOID" } else { "" };
    println!("{title}: benefit {benefit:.3}, {breaches} breaches{void}");
}

fn print_progress(title: &str, tick: Tick, json: bool) {
    let line = format!(
        "{title}  {:>3}/{} s  {:>6} ops/s  {:>6} served  {:>7.1} ms  {:>6} kB",
        tick.second, tick.total_seconds, tick.sent, tick.served, tick.mean_ms, tick.resident_kb
    );
    // With --json, standard output holds JSON lines only.
    if json {
        eprintln!("{line}");
    } else {
        println!("{line}");
    }
}
