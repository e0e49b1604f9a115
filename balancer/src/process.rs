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
use basaltwood_handover as knowledge;
use basaltwood_membership::{self as membership, WatchSchedule};

use crate::admin::{self, Front};
use crate::budget::ResourceBudget;
use crate::clock::{span, Clock};
use crate::config::Config;
use crate::counters::Counters;
use crate::discovery;
use crate::downstream;
use crate::lifecycle::Phase;
use crate::listener;
use crate::metrics::Metrics;
use crate::shared::Shared;
use crate::takeover::{LimitShare, ProcessSlots};
use crate::upstream::Upstreams;

/// Clients go on coming for a while after SIGTERM; so long they are taken in.
const STILL_COMING: Duration = Duration::from_millis(600);
/// What was taken is answered for as long as the longest op may take, and no longer than this.
const LAST_ANSWERS: Duration = Duration::from_millis(3_000);
/// Operators kill a balancer so long after that time at the earliest.
const KILLED: Duration = Duration::from_millis(700);
/// So long before that every op still open gets its final answer: one that may take longer than the process has must not go
/// without, and what ends in that very instant has to be written too.
const LAST_WORDS: Duration = Duration::from_millis(200);
/// How often what was learnt is left for a process that may replace this one.
const LEAVE: Duration = Duration::from_secs(1);
/// Between looks at connections and timers at the most.
const LOOK: Duration = Duration::from_millis(50);

pub struct Process {
    phase: Rc<watch::Sender<Phase>>,
    shared: Rc<Shared>,
    listener: TcpListener,
    signals: Signals,
    last_answers: Duration,
    /// The phase that a signal to end begins.
    leaving: Phase,
    /// Where discovery is, for the watch.
    discovery: watch::Sender<SocketAddr>,
    /// What runs from start to exit. None of it ends by itself but by a fault of its own.
    parts: JoinSet<()>,
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
        let last_answers = longest.map_or(LAST_ANSWERS, |longest| span(longest).min(LAST_ANSWERS));
        let counters = Rc::new(Counters::default());
        let aside = config.mgmt.map_or(0, |_| admin::DESCRIPTORS);
        // Where another process may be at work, the least until that is known, and half of what can't change hands.
        let (sockets, memory) = match config.inherited {
            Some(_) => (LimitShare::Beginning.of(config.sockets), LimitShare::Half.of(config.memory)),
            None => (config.sockets, config.memory),
        };
        let budget = ResourceBudget::new(sockets, aside, memory);
        let pools = ConnectionPools::new(basaltwood_connection_pool::PoolConfig {
            seed: config.policy.seed,
            balancers: config.policy.balancers,
            idle_timeout: config.limits.idle_timeout,
            connect_timeout: config.limits.connect_timeout,
            max_connections: config.sockets,
        });
        let figures = Metrics::new(config.names.class_names());
        let servers = Upstreams::new(
            config.limits,
            pools,
            budget.clone(),
            counters.clone(),
            figures.clone(),
            clock.clone(),
        );
        let most_held = config.limits.max_open_requests;
        let shared = Shared::new(&config.policy, config.names, most_held, servers, clock, counters, budget);
        if let Some(map) = &config.regions {
            log::info!("regions: map {:08x}, own region {:?}", map.version(), map.own());
        }
        let shared = Rc::new(shared.with_regions(config.regions));
        let phase = Rc::new(watch::Sender::new(Phase::Starting));
        let failed = |cause: std::io::Error| cause.to_string();
        let signals = Signals {
            end: signal(SignalKind::terminate()).map_err(failed)?,
            interrupt: signal(SignalKind::interrupt()).map_err(failed)?,
            print: signal(SignalKind::user_defined1()).map_err(failed)?,
            // Taken over before it listens: until then SIGHUP would end the program.
            reload: signal(SignalKind::hangup()).map_err(failed)?,
        };
        let known = discovery::take(&shared, config.known, true);
        let listener = match config.inherited {
            Some(descriptor) => listener::inherited(descriptor, config.listen)?,
            None => listener::bound("listen", config.listen)?,
        };
        let mut parts = JoinSet::new();
        if config.inherited.is_some() {
            let slots = ProcessSlots::take(config.folder.as_deref(), config.listen);
            match slots.found() {
                Ok(learnt) => shared.router.borrow_mut().restore_limits(shared.clock.now(), learnt),
                Err(cause) => log::warn!("{cause}; it begins with nothing learnt"),
            }
            parts.spawn_local(share(shared.clone(), slots, config.sockets, config.memory));
        }
        if let Some(address) = config.mgmt {
            let listener = listener::bound("mgmt", address)?;
            log::info!("mgmt on {}", listener.local_addr().map_err(failed)?);
            parts.spawn_local(Front::new(shared.clone(), phase.clone()).accept(listener));
        }
        let discovery = watch::Sender::new(config.discovery);
        let (seed, balancers) = (config.policy.seed, config.fleet);
        let grace = config.limits.drain_grace;
        let schedule = WatchSchedule::new(membership::WatchConfig {
            seed,
            balancers,
            known_version: Some(known),
            drain_grace: grace,
        });
        parts.spawn_local(discovery::watch(shared.clone(), discovery.subscribe(), schedule));
        parts.spawn_local(tick(shared.clone()));
        parts.spawn_local(shared.clone().forward_upstream_events());
        log::info!("{} listens on {}", config.name, listener.local_addr().map_err(failed)?);
        let leaving = if config.inherited.is_some() { Phase::Takeover } else { Phase::Draining };
        Ok(Process { phase, shared, listener, signals, last_answers, leaving, discovery, parts })
    }

    /// Goes through the phases that are left.
    pub async fn run(self) -> Result<(), String> {
        let Process { phase, shared, listener, mut signals, last_answers, leaving, discovery, mut parts } =
            self;
        let enter = |now: Phase| {
            phase.send_replace(now);
            log::info!("{now:?}");
        };
        enter(Phase::Serving);
        parts.spawn_local(downstream::accept(shared.clone(), listener, phase.subscribe()));
        parts.spawn_local(print(shared.clone(), signals.print));
        parts.spawn_local(reload(signals.reload, discovery));
        let outcome = tokio::select! {
            _ = signals.end.recv() => Ok(()),
            _ = signals.interrupt.recv() => Ok(()),
            // Without its timers or its list a balancer would limp on unnoticed.
            _ = parts.join_next() => Err("a part of the balancer failed; it ends".to_owned()),
        };
        enter(leaving);
        let end = Instant::now() + last_answers + KILLED - LAST_WORDS;
        // Where others accept, nothing is gained by an early end, and halves are heard out.
        if leaving == Phase::Draining {
            sleep_until(end.min(Instant::now() + STILL_COMING)).await;
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
        log::info!("{} {}", shared.counters, shared.upstreams.pool_stats());
        outcome
    }
}

/// Keeps to the part of the limits that is this process's while another of the same balancer lives.
async fn share(shared: Rc<Shared>, slots: ProcessSlots, sockets: usize, memory: usize) {
    let mut before = None;
    let mut left = Instant::now();
    loop {
        let share = slots.share();
        // Of two it is the old one that has learnt, and its last record stands for as long as it is of use.
        if share == LimitShare::Alone && left.elapsed() >= LEAVE {
            left = Instant::now();
            let record = knowledge::encode(&shared.router.borrow().learned_limits());
            // Without it the next process learns anew; a full folder must not end this one.
            slots.leave(&record).unwrap_or_else(|cause| log::debug!("what was learnt is not left: {cause}"));
        }
        if before.replace(share) != Some(share) {
            log::info!("of the limits: {share:?}");
            shared.budget.set_limits(share.of(sockets), share.of(memory));
            shared.upstreams.set_max_connections(share.of(sockets));
        }
        while shared.budget.excess_connections() > 0 && shared.upstreams.close_idle_connection() {}
        // Clients that stand idle make room for the rest, each for one.
        (0..shared.budget.excess_connections()).for_each(|_| shared.budget.shed_client());
        sleep(LOOK).await;
    }
}

/// Prints the counters whenever it is asked to.
async fn print(shared: Rc<Shared>, mut asked: Signal) {
    while asked.recv().await.is_some() {
        log::info!("{} {}", shared.counters, shared.upstreams.pool_stats());
    }
}

/// Reads anew what it is told whenever it is asked to. Where discovery is takes effect at once, all else at the
/// next start; a file that makes no sense changes nothing.
async fn reload(mut asked: Signal, discovery: watch::Sender<SocketAddr>) {
    while asked.recv().await.is_some() {
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
        shared.metrics.pool(pool);
        shared.wake_requests();
        match due {
            Some(due) => sleep_until(shared.clock.at(due).min(Instant::now() + LOOK)).await,
            None => sleep(LOOK).await,
        }
    }
}
