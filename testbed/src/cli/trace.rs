//! `trace`: exports, imports and checks traces of recorded requests.

use std::fs::File;
use std::io::{BufReader, BufWriter};
use std::path::Path;

use basaltwood_testbed::experiment::Experiment;
use basaltwood_testbed::load::{plan::Plan, trace};
use basaltwood_testbed::play;

use super::arguments::TraceCommand;
use super::error::{bad_file, bad_input, failed_at, CommandError};
use super::output::write;
use super::ExitStatus;

pub(super) fn trace(command: TraceCommand) -> Result<ExitStatus, CommandError> {
    match command {
        TraceCommand::Export { file, seed, out } => export_file(&file, seed, &out)?,
        TraceCommand::Import { csv, out } => import_csv(&csv, &out)?,
        TraceCommand::Check { trace, experiment } => check(&trace, &experiment)?,
    }
    Ok(ExitStatus::Success)
}

/// Writes a plan as a trace.
pub(super) fn export(plan: &Plan, experiment: &Experiment, path: &Path) -> Result<(), CommandError> {
    let written = File::create(path).and_then(|file| trace::export(plan, experiment, BufWriter::new(file)));
    written.map_err(|cause| failed_at(path, cause))
}

fn open(path: &Path) -> Result<BufReader<File>, CommandError> {
    File::open(path).map(BufReader::new).map_err(|cause| bad_file(path, cause))
}

fn export_file(file: &Path, seed: u64, out: &Path) -> Result<(), CommandError> {
    let experiment = Experiment::read(file).map_err(bad_input)?;
    let plan = play::plan(&experiment, seed).map_err(bad_input)?;
    export(&plan, &experiment, out)?;
    println!("{} requests in {}", plan.requests.len(), out.display());
    Ok(())
}

fn import_csv(csv: &Path, out: &Path) -> Result<(), CommandError> {
    let lines = trace::from_csv(open(csv)?).map_err(|cause| bad_file(csv, cause))?;
    write(out, &lines)?;
    println!("{} requests in {}", lines.lines().count(), out.display());
    Ok(())
}

fn check(path: &Path, experiment: &Path) -> Result<(), CommandError> {
    let experiment = Experiment::read(experiment).map_err(bad_input)?;
    let plan = trace::import(open(path)?, &experiment, 1.0).map_err(|cause| bad_file(path, cause))?;
    let (requests, keys, rate) = (plan.requests.len(), plan.keys.len(), plan.mean_rate());
    println!("{requests} requests, {keys} keys, {rate:.1} requests/s");
    Ok(())
}
