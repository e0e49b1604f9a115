//! The phase `Starting`: assembles the process, and applies the known list of the configuration
//! before the first request.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::PolicyConfig;
use basaltwood_connection_pool::{ConnectionPools, PoolConfig, REST_AFTER_RESPONSE};
use basaltwood_membership::{WatchConfig, WatchSchedule};
use basaltwood_settings::{NameTable, RuntimeLimits};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use super::limit_sharing::LimitSharing;
use super::retry::retry_for;
use super::{tasks, Process, Shutdown, Signals};
use crate::admin::{self, AdminServer};
use crate::budget::ResourceBudget;
use crate::clock::{duration, Clock};
use crate::config::{Config, ConfigError};
use crate::counters::Counters;
use crate::discovery::{self, ListWatch};
use crate::lifecycle::Phase;
use crate::listener::{self, ListenError};
use crate::metrics::Metrics;
use crate::request_journal::RequestJournal;
use crate::shared::Shared;
use crate::takeover::{LimitShare, ProcessSlot};
use crate::upstream::Upstreams;

/// The upper bound of the time for open requests at shutdown, which is otherwise the longest time
/// limit of the request classes.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_000);

/// How long the start waits for descriptors or memory that this machine lacks: nine in ten
/// processes have to be ready within 10 s. Source: the operators' requirements.
const START_RETRY_TIME: Duration = Duration::from_secs(8);

/// Why the process can't start. Displayed, it is one line.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The configuration can't be read.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The process can't listen on an address.
    #[error(transparent)]
    Listen(#[from] ListenError),
    /// A signal handler could not be registered, or a socket's address could not be read.
    #[error(transparent)]
    System(#[from] io::Error),
}

impl Process {
    /// Reads the configuration, assembles the process and listens. While this machine temporarily
    /// lacks descriptors or memory, the process waits and tries again.
    ///
    /// # Errors
    /// [`StartError`] if the configuration can't be used, if the process can't listen on an
    /// address, or if a system call fails.
    pub async fn start(signals: Signals) -> Result<Process, StartError> {
        let config = retry_for(START_RETRY_TIME, ConfigError::is_shortage, Config::read).await?;
        Process::assemble(config, signals).await
    }

    async fn assemble(config: Config, signals: Signals) -> Result<Process, StartError> {
        let shutdown = Shutdown::new(&config);
        let budget = resource_budget(&config);
        let pools = connection_pools(&config);
        let shared = shared_state(&config.policy, config.names, config.runtime_limits, pools, budget);
        if let Some(map) = &config.region_map {
            log::info!("regions: map {:08x}, own region {:?}", map.version(), map.own());
        }
        let shared = Rc::new(shared.with_regions(config.region_map));
        let known_version = discovery::apply_list(&shared, config.known_endpoints, true);
        let listener = match config.inherited_descriptor {
            Some(descriptor) => listener::inherited(descriptor, config.listen)?,
            None => bind("listen", config.listen).await?,
        };
        let mut tasks = JoinSet::new();
        if config.inherited_descriptor.is_some() {
            let slot = ProcessSlot::acquire(config.shared_folder.as_deref(), config.listen);
            restore_limits(&shared, &slot);
            open_journal(&shared, &slot);
            let sharing = LimitSharing::new(shared.clone(), slot, config.max_sockets, config.memory_bytes);
            tasks.spawn_local(sharing.run());
        }
        if let Some(address) = config.admin {
            let listener = bind("mgmt", address).await?;
            log::info!("mgmt on {}", listener.local_addr()?);
            tasks.spawn_local(AdminServer::new(shared.clone(), shutdown.phase.clone()).accept(listener));
        }
        let discovery = watch::Sender::new(config.discovery);
        let schedule = WatchSchedule::new(WatchConfig {
            seed: config.policy.seed,
            balancers: config.fleet_size,
            known_version: Some(known_version),
            drain_grace: config.runtime_limits.drain_grace,
        });
        let list_watch = ListWatch::new(shared.clone(), discovery.subscribe(), schedule);
        tasks.spawn_local(list_watch.run());
        tasks.spawn_local(tasks::tick(shared.clone()));
        tasks.spawn_local(shared.clone().forward_upstream_events());
        log::info!("{} listens on {}", config.name, listener.local_addr()?);
        let signals = Rc::new(signals);
        Ok(Process { shared, listener, signals, shutdown, discovery, tasks })
    }
}

async fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    retry_for(START_RETRY_TIME, ListenError::is_shortage, || listener::bind(field, address)).await
}

impl Shutdown {
    fn new(config: &Config) -> Shutdown {
        let time_limits = config.policy.classes.iter().map(|class| class.time_limit);
        let longest = time_limits.max().map_or(MAX_ANSWER_TIME, duration);
        Shutdown {
            phase: Rc::new(watch::Sender::new(Phase::Starting)),
            first_phase: match config.inherited_descriptor {
                Some(_) => Phase::Takeover,
                None => Phase::Draining,
            },
            answer_time: longest.min(MAX_ANSWER_TIME),
        }
    }
}

/// The budget at the start. If another process of this balancer may be running, the budget covers
/// only the descriptors that the other one leaves free, until [`LimitSharing`] has checked, and
/// half of the memory, since some shares of the memory budget are fixed at the start.
fn resource_budget(config: &Config) -> Rc<ResourceBudget> {
    let (sockets, memory_bytes) = match config.inherited_descriptor {
        Some(_) => (LimitShare::Beginning.of(config.max_sockets), LimitShare::Half.of(config.memory_bytes)),
        None => (config.max_sockets, config.memory_bytes),
    };
    let reserved_descriptors = if config.admin.is_some() { admin::RESERVED_DESCRIPTORS } else { 0 };
    ResourceBudget::new(sockets, reserved_descriptors, memory_bytes)
}

fn connection_pools(config: &Config) -> ConnectionPools {
    ConnectionPools::new(PoolConfig {
        seed: config.policy.seed,
        balancers: config.policy.balancers,
        idle_timeout: config.runtime_limits.idle_timeout,
        rest_after_response: REST_AFTER_RESPONSE,
        // Connections to hosts are compared with all descriptors, also those for clients.
        max_connections: config.max_sockets,
    })
}

/// Creates the state that connections and requests share.
fn shared_state(
    policy: &PolicyConfig,
    names: NameTable,
    limits: RuntimeLimits,
    pools: ConnectionPools,
    budget: Rc<ResourceBudget>,
) -> Shared {
    let clock = Rc::new(Clock::start());
    let counters = Rc::new(Counters::default());
    let metrics = Metrics::new(names.class_names());
    let upstreams = Upstreams::new(limits, pools, budget.clone(), counters.clone(), metrics, clock.clone());
    Shared::new(policy, names, limits.max_open_requests, upstreams, clock, counters, budget)
}

/// Restores the concurrency limits that the predecessor has learned.
fn restore_limits(shared: &Shared, slot: &ProcessSlot) {
    match slot.read_record() {
        Ok(limits) => shared.router.borrow_mut().restore_limits(shared.clock.now(), limits),
        Err(cause) => log::warn!("learned limits can't be read: {cause}; it begins with no learned limits"),
    }
}

/// Opens the journals by which this process and the other ones of its balancer know each other's requests.
fn open_journal(shared: &Shared, slot: &ProcessSlot) {
    let Some(paths) = slot.journal_paths() else { return };
    match RequestJournal::open(paths, shared.clock.now()) {
        Ok(journal) => shared.use_journal(journal),
        Err(cause) => log::warn!(
            "{}: {cause}; requests that must not run twice are not told from those of other processes",
            paths.own.display()
        ),
    }
}
