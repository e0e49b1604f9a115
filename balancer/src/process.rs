//! The program's phases, from start to exit: named states of one object.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio::signal::unix::{signal, Signal, SignalKind};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{sleep, sleep_until, timeout_at, Instant};

use basaltwood_connection_pool::ConnectionPools;
use basaltwood_handover as handover;
use basaltwood_membership::{self as membership, WatchSchedule};

use crate::admin::{self, AdminServer};
use crate::budget::ResourceBudget;
use crate::clock::{duration, Clock};
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery::{self, ListWatch};
use crate::downstream;
use crate::lifecycle::Phase;
use crate::listener;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::takeover::{LimitShare, ProcessSlot};
use crate::upstream::Upstreams;

/// Clients go on coming for a while after SIGTERM; so long they are taken in.
const ACCEPT_AFTER_SIGTERM: Duration = Duration::from_millis(600);
/// What was taken is answered for as long as the longest op may take, and no longer than this.
const MAX_ANSWER_TIME: Duration = Duration::from_millis(3_000);
/// Operators kill a balancer so long after that time at the earliest.
const KILL_DELAY: Duration = Duration::from_millis(700);
/// So long before that every op still open gets its final answer: one that may take longer than the process has must not go
/// without, and what ends in that very instant has to be written too.
const FLUSH_TIME: Duration = Duration::from_millis(200);
/// How often what was learnt is left for a process that may replace this one.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);
/// Between looks at connections and timers at the most.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

pub struct Process {
    phase: Rc<watch::Sender<Phase>>,
    shared: Rc<Shared>,
    listener: TcpListener,
    signals: Signals,
    answer_time: Duration,
    /// The phase that a signal to end begins.
    stop_phase: Phase,
    /// Where discovery is, for the watch.
    discovery: watch::Sender<SocketAddr>,
    /// What runs from start to exit. None of it ends by itself but by a fault of its own.
    tasks: JoinSet<()>,
}

struct Signals {
    end: Signal,
    interrupt: Signal,
    print: Signal,
    reload: Signal,
}

impl Process {
    /// The phase `Starting`: the known list serves from the first op on.
    pub fn start(config: Config) -> Result<Process, String> {
        let clock = Rc::new(Clock::start());
        let longest = config.policy.classes.iter().map(|class| class.time_limit).max();
        let answer_time = longest.map_or(MAX_ANSWER_TIME, |longest| duration(longest).min(MAX_ANSWER_TIME));
        let counters = Rc::new(Counters::default());
        let reserved_descriptors = config.admin.map_or(0, |_| admin::RESERVED_DESCRIPTORS);
        // Where another process may be at work, the least until that is known, and half of what can't change hands.
        let (sockets, memory) = match config.inherited_descriptor {
            Some(_) => {
                (LimitShare::Beginning.of(config.max_sockets), LimitShare::Half.of(config.memory_bytes))
            }
            None => (config.max_sockets, config.memory_bytes),
        };
        let budget = ResourceBudget::new(sockets, reserved_descriptors, memory);
        let pools = ConnectionPools::new(basaltwood_connection_pool::PoolConfig {
            seed: config.policy.seed,
            balancers: config.policy.balancers,
            idle_timeout: config.runtime_limits.idle_timeout,
            connect_timeout: config.runtime_limits.connect_timeout,
            max_connections: config.max_sockets,
        });
        let metrics = Metrics::new(config.names.class_names());
        let upstreams = Upstreams::new(
            config.runtime_limits,
            pools,
            budget.clone(),
            counters.clone(),
            metrics.clone(),
            clock.clone(),
        );
        let max_open_requests = config.runtime_limits.max_open_requests;
        let shared =
            Shared::new(&config.policy, config.names, max_open_requests, upstreams, clock, counters, budget);
        if let Some(map) = &config.region_map {
            log::info!("regions: map {:08x}, own region {:?}", map.version(), map.own());
        }
        let shared = Rc::new(shared.with_regions(config.region_map));
        let phase = Rc::new(watch::Sender::new(Phase::Starting));
        let failed = |cause: std::io::Error| cause.to_string();
        let signals = Signals {
            end: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
            print: signal(SignalKind::user_defined1()).map_err(failed)?,
            // Taken over before it listens: until then SIGHUP would end the program.
            reload: signal(SignalKind::hangup()).map_err(failed)?,
        };
        let known = discovery::apply_list(&shared, config.known_endpoints, true);
        let listener = match config.inherited_descriptor {
            Some(descriptor) => listener::inherited(descriptor, config.listen)?,
            None => listener::bind("listen", config.listen)?,
        };
        let mut tasks = JoinSet::new();
        if config.inherited_descriptor.is_some() {
            let slot = ProcessSlot::acquire(config.shared_folder.as_deref(), config.listen);
            match slot.read_record() {
                Ok(limits) => shared.router.borrow_mut().restore_limits(shared.clock.now(), limits),
                Err(cause) => log::warn!("{cause}; it begins with nothing learnt"),
            }
            tasks.spawn_local(share_limits(shared.clone(), slot, config.max_sockets, config.memory_bytes));
        }
        if let Some(address) = config.admin {
            let listener = listener::bind("mgmt", address)?;
            log::info!("mgmt on {}", listener.local_addr().map_err(failed)?);
            tasks.spawn_local(AdminServer::new(shared.clone(), phase.clone()).accept(listener));
        }
        let discovery = watch::Sender::new(config.discovery);
        let (seed, balancers) = (config.policy.seed, config.fleet_size);
        let grace = config.runtime_limits.drain_grace;
        let schedule = WatchSchedule::new(membership::WatchConfig {
            seed,
            balancers,
            known_version: Some(known),
            drain_grace: grace,
        });
        let list_watch = ListWatch::new(shared.clone(), discovery.subscribe(), schedule);
        tasks.spawn_local(list_watch.run());
        tasks.spawn_local(tick(shared.clone()));
        tasks.spawn_local(shared.clone().forward_upstream_events());
        log::info!("{} listens on {}", config.name, listener.local_addr().map_err(failed)?);
        let stop_phase =
            if config.inherited_descriptor.is_some() { Phase::Takeover } else { Phase::Draining };
        Ok(Process { phase, shared, listener, signals, answer_time, stop_phase, discovery, tasks })
    }

    /// Goes through the phases that are left.
    pub async fn run(self) -> Result<(), String> {
        let Process { phase, shared, listener, mut signals, answer_time, stop_phase, discovery, mut tasks } =
            self;
        let enter = |next: Phase| {
            phase.send_replace(next);
            log::info!("{next:?}");
        };
        enter(Phase::Serving);
        tasks.spawn_local(downstream::accept(shared.clone(), listener, phase.subscribe()));
        tasks.spawn_local(print_counters(shared.clone(), signals.print));
        tasks.spawn_local(reload_config(signals.reload, discovery));
        let outcome = tokio::select! {
            _ = signals.end.recv() => Ok(()),
            _ = signals.interrupt.recv() => Ok(()),
            // Without its timers or its list a balancer would limp on unnoticed.
            _ = tasks.join_next() => Err("a part of the balancer failed; it ends".to_owned()),
        };
        enter(stop_phase);
        let end = Instant::now() + answer_time + KILL_DELAY - FLUSH_TIME;
        // Where others accept, nothing is gained by an early end, and halves are heard out.
        if stop_phase == Phase::Draining {
            sleep_until(end.min(Instant::now() + ACCEPT_AFTER_SIGTERM)).await;
            enter(Phase::Closing);
        }
        // Each connection holds a receiver for as long as it lives, and ends once it owes nothing.
        if timeout_at(end, phase.closed()).await.is_err() {
            enter(Phase::Flushing);
            shared.router.borrow_mut().shut_down(shared.clock.now());
            shared.wake_requests();
            // Only a client that does not take its answer is left to wait for, and that is cut off by itself.
            phase.closed().await;
        }
        enter(Phase::Ended);
        log::info!("{} {}", shared.counters, shared.upstreams.counted());
        outcome
    }
}

/// Keeps to the part of the limits that is this process's while another of the same balancer lives.
async fn share_limits(shared: Rc<Shared>, slot: ProcessSlot, sockets: usize, memory: usize) {
    let mut before = None;
    let mut recorded_at = Instant::now();
    loop {
        let share = slot.limit_share();
        // Of two it is the old one that has learnt, and its last record stands for as long as it is of use.
        if share == LimitShare::Alone && recorded_at.elapsed() >= RECORD_INTERVAL {
            recorded_at = Instant::now();
            let record = handover::written(&shared.router.borrow().learned_limits());
            // Without it the next process learns anew; a full folder must not end this one.
            slot.write_record(&record)
                .unwrap_or_else(|cause| log::debug!("what was learnt is not left: {cause}"));
        }
        if before.replace(share) != Some(share) {
            log::info!("of the limits: {share:?}");
            shared.budget.set_limits(share.of(sockets), share.of(memory));
            shared.upstreams.allow(share.of(sockets));
        }
        while shared.budget.excess_connections() > 0 && shared.upstreams.drop_idle() {}
        // Clients that stand idle make room for the rest, each for one.
        (0..shared.budget.excess_connections()).for_each(|_| shared.budget.shed_client());
        sleep(MAX_TICK_INTERVAL).await;
    }
}

/// Prints the counters whenever it is asked to.
async fn print_counters(shared: Rc<Shared>, mut signal: Signal) {
    while signal.recv().await.is_some() {
        log::info!("{} {}", shared.counters, shared.upstreams.counted());
    }
}

/// Reads anew what it is told whenever it is asked to. Where discovery is takes effect at once, all else at the
/// next start; a file that makes no sense changes nothing.
async fn reload_config(mut signal: Signal, discovery: watch::Sender<SocketAddr>) {
    while signal.recv().await.is_some() {
        match Config::read() {
            Ok(config) => {
                log::info!("told anew: discovery at {}", config.discovery);
                discovery
                    .send_if_modified(|now| std::mem::replace(now, config.discovery) != config.discovery);
            }
            Err(cause) => log::warn!("{cause}; all stays as it is"),
        }
    }
}

/// Has connections looked after and lets the facade's timers run; in this order, since a stop of our own must be known
/// before anybody's silence is judged.
async fn tick(shared: Rc<Shared>) {
    loop {
        shared.upstreams.tick();
        shared.process_upstream_events();
        let due = shared.router.borrow_mut().tick(shared.clock.now());
        let pool = shared.router.borrow().pool_size();
        shared.metrics.set_pool_size(pool);
        shared.wake_requests();
        match due {
            Some(due) => sleep_until(shared.clock.at(due).min(Instant::now() + MAX_TICK_INTERVAL)).await,
            None => sleep(MAX_TICK_INTERVAL).await,
        }
    }
}
