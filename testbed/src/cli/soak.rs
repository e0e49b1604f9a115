//! `soak`: plays overlapping troubles against many balancer processes, with a script for each seed.

use std::path::{Path, PathBuf};

use basaltwood_fault_control::LIBRARY_FILE;
use basaltwood_testbed::balancers::Program;
use basaltwood_testbed::experiment::Arm;
use basaltwood_testbed::soak::reduction::reduce;
use basaltwood_testbed::soak::run::{run, Verdict};
use basaltwood_testbed::soak::script::{Script, SoakOptions};
use basaltwood_testbed::soak::trouble::Trouble;

use super::error::{bad_input, failed, CommandError};
use super::output::{create_folder, new_result_folder, JsonLines};
use super::ExitStatus;

/// How often each shorter script is played during reduction to see whether it fails.
const REDUCTION_ATTEMPTS: usize = 2;
/// The largest number of breaches, and of violations, that are printed per verdict.
const MAX_PRINTED: usize = 5;

/// The scripts to play and their options.
pub(super) struct Selection {
    pub(super) seed: u64,
    pub(super) seeds: u64,
    pub(super) seconds: f64,
    pub(super) balancers: usize,
    pub(super) hosts: usize,
    /// Troubles joined by `+`.
    pub(super) only: Option<String>,
    pub(super) program: Option<PathBuf>,
    /// Whether a script that fails is reduced.
    pub(super) reduces: bool,
    pub(super) out: PathBuf,
}

/// Plays a script for each seed and reduces those that fail.
pub(super) fn soak(selection: &Selection) -> Result<ExitStatus, CommandError> {
    let program = program(selection.program.clone())?;
    let only = only(selection.only.as_deref())?;
    let folder = new_result_folder(&selection.out, "soak")?;
    let mut verdicts = JsonLines::create(&folder, "verdicts.jsonl")?;
    let mut failed_seeds = Vec::new();
    for seed in selection.seed..selection.seed + selection.seeds {
        let options = SoakOptions {
            seed,
            seconds: selection.seconds,
            balancers: selection.balancers,
            hosts: selection.hosts,
            only: only.clone(),
        };
        let script = Script::draw(options);
        let verdict = play(&script, &program, &folder.join(seed.to_string()))?;
        verdicts.append(&verdict)?;
        print(&verdict);
        if verdict.holds() {
            continue;
        }
        failed_seeds.push(seed);
        if selection.reduces {
            let mut nth = 0;
            let mut fails = |shorter: &Script| {
                nth += 1;
                let verdict = play(shorter, &program, &folder.join(format!("{seed}-cut-{nth}")))?;
                Ok::<bool, CommandError>(!verdict.holds())
            };
            match reduce(&script, REDUCTION_ATTEMPTS, &mut fails)? {
                Some(shortest) => println!("  reduced to: --seed {seed} --only {}", shortest.names()),
                None => println!("  not reduced: the script did not fail again"),
            }
        }
    }
    println!("{} of {} seeds failed: {failed_seeds:?}", failed_seeds.len(), selection.seeds);
    println!("result: {}", folder.display());
    Ok(if failed_seeds.is_empty() { ExitStatus::Success } else { ExitStatus::RuleBroken })
}

fn play(script: &Script, program: &Program, folder: &Path) -> Result<Verdict, CommandError> {
    create_folder(folder)?;
    run(script, program, folder).map_err(failed)
}

fn only(names: Option<&str>) -> Result<Vec<Trouble>, CommandError> {
    let names = names.into_iter().flat_map(|names| names.split('+'));
    names.map(|name| name.parse::<Trouble>().map_err(bad_input)).collect()
}

/// The given balancer or the one in this program's folder, with the preload library in that folder.
fn program(path: Option<PathBuf>) -> Result<Program, CommandError> {
    let arm = Arm { name: "soak".to_owned(), program: path, baseline: None, regions: None };
    let program = Program::for_arm(&arm).map_err(bad_input)?;
    let own = std::env::current_exe().map_err(failed)?;
    let library = own.with_file_name(LIBRARY_FILE);
    if !library.is_file() {
        return Err(bad_input(format!(
            "{} is missing: run `cargo build --release --workspace`",
            library.display()
        )));
    }
    Ok(Program { fault_library: Some(library), ..program })
}

fn print(verdict: &Verdict) {
    let troubles: Vec<String> = verdict.troubles.iter().map(ToString::to_string).collect();
    let result = if verdict.holds() { "holds" } else { "FAILS" };
    println!(
        "seed {}: {result}; {}; {} requests, {} served, {} closed unread by an ending balancer",
        verdict.seed,
        troubles.join(", "),
        verdict.requests,
        verdict.served,
        verdict.crossed
    );
    verdict.breaches.iter().take(MAX_PRINTED).for_each(|breach| println!("  {breach}"));
    if verdict.breaches.len() > MAX_PRINTED {
        println!("  ... {} breaches in all", verdict.breaches.len());
    }
    verdict.violations.iter().take(MAX_PRINTED).for_each(|line| println!("  balancer log: {line}"));
    verdict.failures.iter().for_each(|line| println!("  {line}"));
}
