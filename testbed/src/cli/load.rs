//! `load`: plays an experiment's load against running balancers.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;

use basaltwood_testbed::experiment::Experiment;
use basaltwood_testbed::figures::{self, Figures, Run};
use basaltwood_testbed::lateness::{judge, LatenessHistograms, ReferenceThread};
use basaltwood_testbed::ledger::Ledger;
use basaltwood_testbed::load::player;
use basaltwood_testbed::time::{Clock, Micros, MS};
use basaltwood_testbed::{play, report};

use super::error::{bad_input, failed, CommandError};
use super::output::to_json;
use super::ExitStatus;

/// The time from the start of the generator to the start of the run.
const START_DELAY: Micros = 200 * MS;

pub(super) fn load(
    file: &Path,
    to: &[SocketAddr],
    seed: u64,
    json: bool,
) -> Result<ExitStatus, CommandError> {
    if let Some(address) = to.iter().find(|address| !address.ip().is_loopback()) {
        return Err(bad_input(format!(
            "--to {address}: only loopback addresses (127.0.0.0/8) can be loaded"
        )));
    }
    let experiment = Experiment::read(file).map_err(bad_input)?;
    let run = play_load(&experiment, to, seed)?;
    if json {
        println!("{}", to_json(&run)?);
    } else {
        print!("{}", report::summary(std::slice::from_ref(&run)));
        print_figures(&run.figures);
    }
    Ok(ExitStatus::of_runs(&[run]))
}

fn play_load(experiment: &Experiment, to: &[SocketAddr], seed: u64) -> Result<Run, CommandError> {
    let plan = Arc::new(play::plan(experiment, seed).map_err(bad_input)?);
    let ledger = Ledger::new(Clock::start());
    ledger.clock.start_run_in(START_DELAY);
    let (progress, lateness) = (Arc::default(), Arc::default());
    let reference = ReferenceThread::start().map_err(failed)?;
    let played =
        player::play(experiment, plan, seed, to, &ledger, Vec::new(), progress, lateness).map_err(failed)?;
    let events = ledger.take();
    let mut figures = figures::figures(experiment, &played.records, &events, played.cpu_s);
    let reference = reference.stop();
    // The hosts do not belong to this run, so their lateness is unknown.
    let world = LatenessHistograms::default();
    figures.add_lateness(&reference, &world, experiment.load.late());
    let requests = figures::request_lateness(&played.records);
    let verdict = judge(experiment.bounds(figures.benefit), &requests, &world, &reference);
    let (void, warning) = verdict.into_void_and_warning();
    Ok(Run {
        experiment: experiment.name.clone(),
        arm: "load".to_owned(),
        seed,
        void,
        warning,
        figures,
        ..Run::default()
    })
}

fn print_figures(figures: &Figures) {
    let times = &figures.until_end;
    println!(
        "time until the end: p50 {:.2} p90 {:.2} p99 {:.2} p99.9 {:.2} p99.99 {:.2} max {:.2} ms; \
         {} over 1 s",
        times.p50, times.p90, times.p99, times.p999, times.p9999, times.max, figures.over_1s
    );
    println!(
        "generator: {:.1} us of CPU per request; lateness p99 {:.3} ms, max {:.1} ms",
        figures.generator_us_per_request, figures.late_p99_ms, figures.late_max_ms
    );
}
