//! Starts the worker processes of a point and takes snapshots of all of them.

use std::net::SocketAddr;
use std::time::Instant;

use serde::de::DeserializeOwned;
use serde_json::{json, Value};

use super::snapshots::Snapshots;
use crate::discovery_calls::list;
use crate::experiment::{zone_name, Experiment};
use crate::scale::error::RunError;
use crate::scale::experiment::{Conditions, ScaleExperiment};
use crate::scale::protocol::{
    DiscoveryReady, DiscoverySpec, FleetReady, FleetSpec, SimulatedReady, SimulatedSpec, WorkerCommand,
    WorkerSpec,
};
use crate::scale::worker_process::WorkerProcess;
use crate::settings;
use crate::settings::BalancerBootstrap;

/// The worker processes of a point.
pub(super) struct Workers {
    pub(super) fleets: Vec<WorkerProcess>,
    pub(super) discovery: WorkerProcess,
    simulated: Vec<WorkerProcess>,
}

impl Workers {
    /// Starts the workers, without requests and list changes.
    ///
    /// # Errors
    /// A worker does not start, or the run was interrupted.
    pub(super) fn start(
        experiment: &ScaleExperiment,
        conditions: &Conditions,
        load_experiment: &Experiment,
        seed: u64,
    ) -> Result<(Workers, BalancerBootstrap), RunError> {
        let (fleets, addresses) = start_fleets(conditions, experiment.processes.fleet)?;
        let entries = list_entries(conditions, &addresses);
        let known = list(1, true, &entries.iter().collect::<Vec<_>>());
        let spec = DiscoverySpec { entries, changes_per_s: conditions.changes_per_s, seed };
        let (discovery, ready): (_, DiscoveryReady) = WorkerProcess::start(&WorkerSpec::Discovery(spec))?;
        let bootstrap = BalancerBootstrap { discovery: ready.address, known };
        // A placeholder: a simulated balancer has no listener.
        let listen = SocketAddr::from(([127, 0, 0, 1], 1));
        let config = settings::balancer_config(load_experiment, "hollow", listen, &bootstrap, seed);
        let processes = experiment.simulated_processes(conditions);
        let simulated = start_simulated(conditions, &config["settings"], &bootstrap, processes, seed)?;
        Ok((Workers { fleets, discovery, simulated }, bootstrap))
    }

    /// Sends a command to each worker and collects the replies. Fleets are sent
    /// [`WorkerCommand::Snapshot`].
    ///
    /// # Errors
    /// A worker does not reply, or the run was interrupted.
    pub(super) fn snapshots(
        &mut self,
        to_simulated: WorkerCommand,
        to_discovery: WorkerCommand,
    ) -> Result<Snapshots, RunError> {
        Ok(Snapshots {
            at: Instant::now(),
            simulated: command_all(&mut self.simulated, to_simulated)?,
            fleets: command_all(&mut self.fleets, WorkerCommand::Snapshot)?,
            discovery: self.discovery.command(to_discovery)?,
        })
    }
}

fn command_all<Snapshot: DeserializeOwned>(
    workers: &mut [WorkerProcess],
    command: WorkerCommand,
) -> Result<Vec<Snapshot>, RunError> {
    workers.iter_mut().map(|worker| worker.command(command)).collect()
}

/// Starts the hosts of a point, divided over `processes`, and returns their addresses.
fn start_fleets(
    conditions: &Conditions,
    processes: u32,
) -> Result<(Vec<WorkerProcess>, Vec<SocketAddr>), RunError> {
    let mut workers = Vec::new();
    let mut addresses = Vec::new();
    for NumberRange { first, count } in divide_evenly(conditions.hosts, processes) {
        let spec = FleetSpec {
            first_host: first,
            hosts: count,
            service_ms: conditions.service_ms,
            value_bytes: conditions.value_bytes,
            idle_timeout_ms: conditions.idle_timeout_ms,
        };
        let (worker, ready): (_, FleetReady) = WorkerProcess::start(&WorkerSpec::Fleet(spec))?;
        addresses.extend(ready.addresses);
        workers.push(worker);
    }
    Ok((workers, addresses))
}

/// Starts the simulated balancers of a point, divided over `processes`.
fn start_simulated(
    conditions: &Conditions,
    settings: &Value,
    bootstrap: &BalancerBootstrap,
    processes: u32,
    seed: u64,
) -> Result<Vec<WorkerProcess>, RunError> {
    let mut workers = Vec::new();
    for NumberRange { first, count } in divide_evenly(conditions.balancers, processes) {
        let spec = SimulatedSpec {
            settings: settings.clone(),
            initial_list: bootstrap.known.clone(),
            discovery: bootstrap.discovery,
            first_balancer: first,
            balancers: count,
            seed,
            rate: conditions.rate,
            keys: conditions.keys,
            zipf: conditions.zipf,
            max_connections: conditions.max_connections,
            target_ms: conditions.target_ms,
            ttl_ms: conditions.ttl_ms,
        };
        let (worker, _): (_, SimulatedReady) = WorkerProcess::start(&WorkerSpec::Simulated(spec))?;
        workers.push(worker);
    }
    Ok(workers)
}

/// A range of consecutive numbers.
struct NumberRange {
    first: u32,
    count: u32,
}

/// Divides the numbers from 0 to `items` over the processes as evenly as possible, without empty
/// ranges.
fn divide_evenly(items: u32, processes: u32) -> Vec<NumberRange> {
    let start_of = |process: u32| (u64::from(items) * u64::from(process) / u64::from(processes)) as u32;
    let range_of = |process: u32| {
        let first = start_of(process);
        NumberRange { first, count: start_of(process + 1) - first }
    };
    (0..processes).map(range_of).filter(|range| range.count > 0).collect()
}

/// The entries of the hosts in the list of discovery.
fn list_entries(conditions: &Conditions, addresses: &[SocketAddr]) -> Vec<Value> {
    let entry = |(number, address): (u32, &SocketAddr)| {
        json!({
            "instanceId": format!("h-{number:05}"),
            "hostPort": address.to_string(),
            "zone": zone_name(number % conditions.zones),
            "machineType": "host",
            "cell": number,
            "lifecycle": "active",
            "weight": 1.0,
            "startedAtMs": 0.0,
        })
    };
    (0..).zip(addresses).map(entry).collect()
}
