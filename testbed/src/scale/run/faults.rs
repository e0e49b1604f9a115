//! Injects faults: a host that hangs, a discovery that is silent.

use super::progress::{wait, Progress, Stage};
use super::propagation;
use super::snapshots::Snapshots;
use super::workers::Workers;
use crate::scale::error::RunError;
use crate::scale::experiment::RECOVERY_S;
use crate::scale::point::Figures;
use crate::scale::protocol::{DiscoverySnapshot, FleetSnapshot, WorkerCommand};
use crate::scale::system::unix_micros;

/// Makes one host hang for `seconds` while requests go on, then waits for the recovery and takes
/// snapshots. Does nothing for 0 seconds.
///
/// # Errors
/// A worker does not reply, or the run was interrupted.
pub(super) fn hang_host(
    workers: &mut Workers,
    seconds: f64,
    progress: &mut Progress,
) -> Result<Option<Snapshots>, RunError> {
    let Some(fleet) = workers.fleets.first_mut().filter(|_| seconds > 0.0) else { return Ok(None) };
    Stage::HostHangs.report(progress);
    let _: FleetSnapshot = fleet.command(WorkerCommand::StopResponding)?;
    wait(seconds, progress)?;
    let _: FleetSnapshot = fleet.command(WorkerCommand::ResumeResponding)?;
    wait(RECOVERY_S, progress)?;
    workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Snapshot).map(Some)
}

/// Makes discovery silent for `seconds` while the list changes and there are no requests. Measures
/// how long after its return all changes are applied, and how often it was called. Does nothing for
/// 0 seconds.
///
/// # Errors
/// A worker does not reply, or the run was interrupted.
pub(super) fn discovery_outage(
    workers: &mut Workers,
    seconds: f64,
    balancers: u32,
    progress: &mut Progress,
) -> Result<Figures, RunError> {
    if seconds <= 0.0 {
        return Ok(Figures::new());
    }
    Stage::DiscoveryDown.report(progress);
    let start = workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::StopResponding)?;
    let _: DiscoverySnapshot = workers.discovery.command(WorkerCommand::Start)?;
    wait(seconds, progress)?;
    let end = workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Stop)?;
    let resumed_at = unix_micros();
    let _: DiscoverySnapshot = workers.discovery.command(WorkerCommand::ResumeResponding)?;
    wait(RECOVERY_S, progress)?;
    let recovered = workers.snapshots(WorkerCommand::Snapshot, WorkerCommand::Snapshot)?;
    let mut figures = propagation::after_outage(&[&end, &recovered], balancers, resumed_at);
    let calls_per_balancer = |from: &Snapshots, to: &Snapshots, seconds: f64| {
        (to.discovery.calls - from.discovery.calls) as f64 / seconds / f64::from(balancers)
    };
    let during = calls_per_balancer(&start, &end, seconds);
    let after = calls_per_balancer(&end, &recovered, RECOVERY_S);
    figures.insert("discovery down: calls/s a balancer", during);
    figures.insert("discovery back: calls/s a balancer", after);
    Ok(figures)
}
