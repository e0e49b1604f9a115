//! Runs a real balancer beside the simulated ones, and its load.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crate::balancers::{Balancers, Program, ResourceUsage};
use crate::experiment::{Arm, Experiment};
use crate::lateness::Lateness;
use crate::ledger::Ledger;
use crate::load::plan::Plan;
use crate::load::player::{self, PlayedLoad};
use crate::scale::error::RunError;
use crate::scale::protocol::WorkerSpec;
use crate::scale::worker_process::WorkerProcess;
use crate::settings::BalancerBootstrap;
use crate::time::{Clock, Micros, MS};

/// The time from the start of the load generator to the start of the run.
const LOAD_START_DELAY: Micros = 100 * MS;

/// A real balancer. Dropping this ends its process; the guard ends it if this process is killed.
pub(super) struct RealBalancer {
    balancers: Balancers,
    pub(super) experiment: Experiment,
    addresses: Vec<SocketAddr>,
    _guard: WorkerProcess,
}

/// The load while it runs.
pub(super) struct RunningLoad {
    usage_before: ResourceUsage,
    thread: JoinHandle<Result<PlayedLoad, RunError>>,
}

/// The result of the load.
pub(super) struct LoadResult {
    /// The resource usage of the balancer before the load.
    pub(super) usage_before: ResourceUsage,
    pub(super) played: PlayedLoad,
}

impl RealBalancer {
    /// Starts the balancer program that lies beside this program.
    ///
    /// # Errors
    /// The program is missing or does not start, or the run was interrupted.
    pub(super) fn start(
        experiment: Experiment,
        bootstrap: BalancerBootstrap,
        seed: u64,
        folder: &Path,
    ) -> Result<RealBalancer, RunError> {
        let balancers = start_program(&experiment, bootstrap, seed, folder)?;
        let pid = balancers.process_ids().first().copied();
        let pid =
            pid.ok_or_else(|| RunError::RealBalancer("the real balancer exited unexpectedly".to_owned()))?;
        let (guard, ()) = WorkerProcess::start(&WorkerSpec::Guard { pid })?;
        let addresses = balancers.addresses();
        Ok(RealBalancer { balancers, experiment, addresses, _guard: guard })
    }

    /// Starts the load on its own thread.
    ///
    /// # Errors
    /// The thread can't be started.
    pub(super) fn start_load(&self, seed: u64) -> Result<RunningLoad, RunError> {
        let usage_before = self.usage();
        let (experiment, addresses) = (self.experiment.clone(), self.addresses.clone());
        let play = move || run_load(&experiment, &addresses, seed);
        let thread = thread::Builder::new().name("load".to_owned()).spawn(play).map_err(RunError::Thread)?;
        Ok(RunningLoad { usage_before, thread })
    }

    /// The resource usage of the balancer so far.
    pub(super) fn usage(&self) -> ResourceUsage {
        self.balancers.sample_usage().first().copied().unwrap_or_default()
    }
}

fn start_program(
    experiment: &Experiment,
    bootstrap: BalancerBootstrap,
    seed: u64,
    folder: &Path,
) -> Result<Balancers, RunError> {
    let arm = Arm { name: "real".to_owned(), program: None, baseline: None, regions: None };
    let program = Program::for_arm(&arm).map_err(|cause| RunError::RealBalancer(cause.to_string()))?;
    let ledger = Ledger::new(Clock::start());
    Balancers::start(program, experiment, &[bootstrap], seed, &ledger, folder)
        .map_err(|cause| RunError::RealBalancer(cause.to_string()))
}

fn run_load(experiment: &Experiment, addresses: &[SocketAddr], seed: u64) -> Result<PlayedLoad, RunError> {
    let plan = Arc::new(Plan::generate(experiment, seed));
    let ledger = Ledger::new(Clock::start());
    ledger.clock.start_run_in(LOAD_START_DELAY);
    let lateness = Arc::new(Lateness::default());
    player::play(experiment, plan, seed, addresses, &ledger, Vec::new(), Arc::default(), lateness)
        .map_err(|cause| RunError::Load(cause.to_string()))
}

impl RunningLoad {
    /// Waits for the end of the load.
    ///
    /// # Errors
    /// The load generator failed.
    pub(super) fn join(self) -> Result<LoadResult, RunError> {
        let panicked = |_| RunError::Load("the thread of the load generator panicked".to_owned());
        let played = self.thread.join().map_err(panicked)??;
        Ok(LoadResult { usage_before: self.usage_before, played })
    }
}
