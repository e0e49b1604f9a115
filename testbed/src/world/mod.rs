//! The emulated world around the balancers: hosts, origin and discovery on loopback sockets, and
//! the script of faults. It runs on its own thread, and records everything that crosses its sockets
//! in the ledger.

mod director;
pub mod discovery;
pub mod faults;
pub mod host;
pub mod listener;
pub mod machine;
pub mod proxy;
pub mod service_time;

use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc};
use std::thread;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

use crate::balancers::Balancers;
use crate::experiment::Experiment;
use crate::lateness::Lateness;
use crate::ledger::Ledger;
use crate::settings::BalancerBootstrap;
use crate::thread_stats::{record_lateness, thread_cpu_seconds};
use director::Director;
use faults::FaultWindow;

/// How often the CPU time of the world's thread is read.
const CPU_TIME_INTERVAL: Duration = Duration::from_millis(100);

/// Why a world could not be started.
#[derive(Debug, Error)]
pub enum WorldError {
    /// The runtime of its thread could not be built.
    #[error("cannot build the async runtime of the emulated world: {0}")]
    Runtime(std::io::Error),
    /// A host, the origin or an agent could not listen.
    #[error("a host, the origin or a discovery agent of the emulated world cannot listen: {0}")]
    Listener(std::io::Error),
    /// Its thread could not be started.
    #[error("cannot start the thread of the emulated world: {0}")]
    Thread(std::io::Error),
    /// Its thread ended before everything listened.
    #[error("the thread of the emulated world ended before its hosts listened")]
    Ended,
}

/// A world on its own thread, which ends when this is dropped.
pub struct World {
    /// The bootstrap of each balancer: its discovery address and initial endpoint list.
    pub bootstraps: Vec<BalancerBootstrap>,
    /// The faults of the run.
    pub fault_windows: Vec<FaultWindow>,
    /// Lateness of the world's thread; times in the ledger may be late by as much.
    pub lateness: Arc<Lateness>,
    /// Connections that hosts and origin have accepted so far.
    pub connections_accepted: Arc<AtomicU64>,
    /// CPU time of the world's thread so far, in microseconds, updated every 0.1 s.
    pub cpu_us: Arc<AtomicU64>,
    begin: Option<oneshot::Sender<Option<Balancers>>>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl World {
    /// Starts a world; all its listeners accept connections when this returns.
    ///
    /// # Errors
    /// If the thread, its runtime or a listener could not be started.
    pub fn start(experiment: &Experiment, seed: u64, ledger: &Ledger) -> Result<World, WorldError> {
        let (up, when_up) = mpsc::channel();
        let (begin, begun) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let lateness: Arc<Lateness> = Arc::default();
        let connections_accepted: Arc<AtomicU64> = Arc::default();
        let cpu_us: Arc<AtomicU64> = Arc::default();
        let world_thread = WorldThread {
            experiment: experiment.clone(),
            seed,
            ledger: ledger.clone(),
            lateness: lateness.clone(),
            connections_accepted: connections_accepted.clone(),
            cpu_us: cpu_us.clone(),
            up,
            begun,
            ended,
        };
        let thread = thread::Builder::new().name("world".to_owned()).spawn(move || world_thread.run());
        let thread = thread.map_err(WorldError::Thread)?;
        let WorldUp { bootstraps, fault_windows } = when_up.recv().map_err(|_| WorldError::Ended)??;
        Ok(World {
            bootstraps,
            fault_windows,
            lateness,
            connections_accepted,
            cpu_us,
            begin: Some(begin),
            end: Some(end),
            thread: Some(thread),
        })
    }

    /// Begins the script of faults. The clock must be set to the start of the run before. The
    /// script may kill `balancers`.
    pub fn run_script(&mut self, balancers: Option<Balancers>) {
        if let Some(begin) = self.begin.take() {
            let _ = begin.send(balancers);
        }
    }
}

impl Drop for World {
    fn drop(&mut self) {
        drop(self.end.take());
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What the world's thread reports once all listeners are up.
struct WorldUp {
    bootstraps: Vec<BalancerBootstrap>,
    fault_windows: Vec<FaultWindow>,
}

/// The inputs of the world's thread.
struct WorldThread {
    experiment: Experiment,
    seed: u64,
    ledger: Ledger,
    lateness: Arc<Lateness>,
    connections_accepted: Arc<AtomicU64>,
    cpu_us: Arc<AtomicU64>,
    up: mpsc::Sender<Result<WorldUp, WorldError>>,
    begun: oneshot::Receiver<Option<Balancers>>,
    /// Resolves when the world is dropped.
    ended: oneshot::Receiver<()>,
}

impl WorldThread {
    fn run(self) {
        match tokio::runtime::Builder::new_current_thread().enable_all().build() {
            Ok(runtime) => LocalSet::new().block_on(&runtime, self.run_until_dropped()),
            Err(cause) => {
                let _ = self.up.send(Err(WorldError::Runtime(cause)));
            }
        }
    }

    /// Runs the world until its handle is dropped.
    async fn run_until_dropped(self) {
        let started =
            Director::start(&self.experiment, self.seed, &self.ledger, self.connections_accepted.clone());
        let director = match started {
            Ok(director) => director,
            Err(cause) => {
                let _ = self.up.send(Err(WorldError::Listener(cause)));
                return;
            }
        };
        let (bootstraps, fault_windows) = (director.bootstraps(), director.fault_windows());
        let _ = self.up.send(Ok(WorldUp { bootstraps, fault_windows }));
        spawn_local(record_lateness(self.lateness));
        spawn_local(record_cpu_time(self.cpu_us));
        spawn_local(run_script_once_begun(director, self.begun));
        let _ = self.ended.await;
    }
}

async fn run_script_once_begun(director: Rc<Director>, begun: oneshot::Receiver<Option<Balancers>>) {
    if let Ok(balancers) = begun.await {
        director.run_script(balancers).await;
    }
}

async fn record_cpu_time(cpu_us: Arc<AtomicU64>) {
    loop {
        cpu_us.store((thread_cpu_seconds() * 1e6) as u64, Ordering::Relaxed);
        sleep(CPU_TIME_INTERVAL).await;
    }
}
