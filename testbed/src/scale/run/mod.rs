//! Runs one point of a scale experiment. Fleet, discovery, simulated balancers and an optional real
//! balancer have their own processes. A quiet stage is followed by one with requests, then by
//! faults.

mod faults;
mod figures;
mod lateness;
mod progress;
mod propagation;
mod real_balancer;
mod snapshots;
mod workers;

use std::path::Path;

use self::figures::insert_real_balancer;
use self::lateness::RunLateness;
pub use self::progress::Progress;
use self::progress::{wait, Stage};
use self::real_balancer::RealBalancer;
use self::snapshots::{LoadSnapshots, SettledSnapshots, Snapshots};
use self::workers::Workers;
use super::error::RunError;
use super::experiment::{Conditions, ScaleExperiment, FINAL_CHANGES_S};
use super::point::{Figures, MeasuredPoint};
use super::protocol::WorkerCommand;
use crate::figures::request_lateness;
use crate::lateness::ReferenceThread;

/// Runs one point with one seed. Files and logs of a real balancer go to `folder`. All processes
/// are ended on return, also after an error.
///
/// # Errors
/// A process does not start or fails, or the run was interrupted.
pub fn run_point(
    experiment: &ScaleExperiment,
    at: f64,
    seed: u64,
    folder: &Path,
    progress: &mut Progress,
) -> Result<MeasuredPoint, RunError> {
    let conditions = experiment.conditions_at(at);
    let mut run = PointRun::start(experiment, &conditions, seed, folder, progress)?;
    let load = run.run_load()?;
    let hang_end = faults::hang_host(&mut run.workers, experiment.faults.hang_s, run.progress)?;
    let settled = run.let_changes_settle()?;
    let mut figures = run.figures(&load, hang_end.as_ref(), &settled);
    figures.extend(run.discovery_outage()?);
    let mut lateness = RunLateness::of(&load);
    if let (Some(real), Some(result)) = (&run.real_balancer, &load.real) {
        insert_real_balancer(&mut figures, real, result);
        lateness.requests.add(request_lateness(&result.played.records))?;
    }
    lateness.insert_into(&mut figures);
    let (void, warning) = lateness.void_and_warning(&conditions, &figures);
    Ok(MeasuredPoint {
        experiment: experiment.name.clone(),
        axis: experiment.axis.name(),
        at,
        seed,
        void,
        warning,
        conditions,
        figures,
    })
}

/// A point that is being run.
struct PointRun<'a> {
    experiment: &'a ScaleExperiment,
    conditions: &'a Conditions,
    seed: u64,
    progress: &'a mut Progress<'a>,
    // Declared before the workers that it uses, so that it is dropped, and ended, first.
    real_balancer: Option<RealBalancer>,
    workers: Workers,
}

impl<'a> PointRun<'a> {
    fn start(
        experiment: &'a ScaleExperiment,
        conditions: &'a Conditions,
        seed: u64,
        folder: &Path,
        progress: &'a mut Progress<'a>,
    ) -> Result<PointRun<'a>, RunError> {
        let load_experiment = experiment.load_experiment(conditions)?;
        Stage::Starting.report(progress);
        let (workers, bootstrap) = Workers::start(experiment, conditions, &load_experiment, seed)?;
        let real_balancer = if conditions.has_real_balancer() {
            Some(RealBalancer::start(load_experiment, bootstrap, seed, folder)?)
        } else {
            None
        };
        Ok(PointRun { experiment, conditions, seed, progress, real_balancer, workers })
    }

    /// Runs the stages without faults.
    fn run_load(&mut self) -> Result<LoadSnapshots, RunError> {
        Stage::Settling.report(self.progress);
        wait(self.experiment.settle_s, self.progress)?;
        Stage::Quiet.report(self.progress);
        let quiet_start = self.workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Start)?;
        wait(self.experiment.quiet_s, self.progress)?;
        let quiet_end = self.workers.snapshots(WorkerCommand::Start, WorkerCommand::Snapshot)?;
        Stage::WarmingUp.report(self.progress);
        wait(self.experiment.settle_s, self.progress)?;
        Stage::Loaded.report(self.progress);
        let reference_thread =
            ReferenceThread::start().map_err(|cause| RunError::ReferenceThread(cause.to_string()))?;
        let load = self.real_balancer.as_ref().map(|real| real.start_load(self.seed)).transpose()?;
        let load_start = self.workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
        wait(self.experiment.load_s, self.progress)?;
        let load_end = self.workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
        let real = load.map(|load| load.join()).transpose()?;
        let reference_thread = reference_thread.stop();
        Ok(LoadSnapshots { quiet_start, quiet_end, load_start, load_end, real, reference_thread })
    }

    /// Stops requests and list changes, and waits for balancers to apply the last changes.
    fn let_changes_settle(&mut self) -> Result<SettledSnapshots, RunError> {
        let stopped = self.workers.snapshots(WorkerCommand::Stop, WorkerCommand::Stop)?;
        wait(FINAL_CHANGES_S, self.progress)?;
        let settled = self.workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
        Ok(SettledSnapshots { stopped, settled })
    }

    /// The figures measured until the last changes were applied.
    fn figures(
        &self,
        load: &LoadSnapshots,
        hang_end: Option<&Snapshots>,
        settled: &SettledSnapshots,
    ) -> Figures {
        let mut figures = figures::measure(self.conditions, load);
        // `quiet_start` holds no changes: its command to discovery started them.
        let mut with_changes = vec![&load.quiet_end, &load.load_start, &load.load_end];
        with_changes.extend(hang_end);
        with_changes.extend([&settled.stopped, &settled.settled]);
        let balancers = self.conditions.balancers;
        figures.extend(propagation::during_run(&with_changes, balancers));
        if let Some(hang_end) = hang_end {
            figures.extend(figures::hang_figures(load, hang_end));
        }
        figures
    }

    fn discovery_outage(&mut self) -> Result<Figures, RunError> {
        let seconds = self.experiment.faults.discovery_down_s;
        faults::discovery_outage(&mut self.workers, seconds, self.conditions.balancers, self.progress)
    }
}
