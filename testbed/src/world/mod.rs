//! The world around the balancers: hosts, origin and discovery on loopback sockets, and the director who carries out the
//! script of faults. It lives on one thread of its own; all that crosses its sockets is noted in the ledger.

pub mod discovery;
pub mod faults;
pub mod host;
pub mod listener;
pub mod machine;
pub mod work;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::sync::oneshot;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

use crate::balancers::Balancers;
use crate::experiment::{Experiment, FaultKind};
use crate::lateness::Lateness;
use crate::ledger::{EndpointStatus, HostNo, Ledger, Observation};
use crate::settings::BalancerBootstrap;
use crate::thread_stats::{record_lateness, thread_cpu_seconds};
use crate::time::{millis, Micros};
use discovery::Agent;
use faults::{FaultWindow, Faults};
use host::{Host, HostTerms, Shared};
use machine::Terms;
use work::Work;

/// A world on its thread. It ends when this is dropped.
pub struct World {
    pub bootstraps: Vec<BalancerBootstrap>,
    pub fault_windows: Vec<FaultWindow>,
    /// By how much this thread was late: what it noted may be late by that.
    pub lateness: Arc<Lateness>,
    /// Connections that hosts and origin have taken so far.
    pub connections_accepted: Arc<AtomicU64>,
    /// CPU time of this thread so far, in microseconds, to a tenth of a second.
    pub cpu_us: Arc<AtomicU64>,
    begin: Option<oneshot::Sender<Option<Balancers>>>,
    end: Option<oneshot::Sender<()>>,
    thread: Option<thread::JoinHandle<()>>,
}

impl World {
    /// Brings a world up: every listener is there when this returns.
    ///
    /// # Errors
    /// One line where a listener can't be had.
    pub fn start(experiment: &Experiment, seed: u64, ledger: &Ledger) -> Result<World, String> {
        let (tell, told) = mpsc::channel();
        let (begin, begun) = oneshot::channel();
        let (end, ended) = oneshot::channel();
        let (experiment, ledger) = (experiment.clone(), ledger.clone());
        let (late, opened): (Arc<Lateness>, Arc<AtomicU64>) = Default::default();
        let cpu_us: Arc<AtomicU64> = Arc::default();
        let (heart, doors, work) = (late.clone(), opened.clone(), cpu_us.clone());
        let live = move || {
            let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
            let Ok(runtime) = runtime.map_err(|cause| tell.send(Err(format!("the runtime: {cause}")))) else {
                return;
            };
            let local = tokio::task::LocalSet::new();
            local.block_on(&runtime, async {
                match Director::start(&experiment, seed, &ledger, doors) {
                    Ok((director, seats)) => {
                        let _ = tell.send(Ok((seats, director.shared.faults.spans.clone())));
                        spawn_local(record_lateness(heart));
                        spawn_local(count_work(work));
                        spawn_local(async move {
                            if let Ok(balancers) = begun.await {
                                director.direct(balancers).await;
                            }
                        });
                        let _ = ended.await;
                    }
                    Err(cause) => {
                        let _ = tell.send(Err(format!("a listener of the world: {cause}")));
                    }
                }
            });
        };
        let thread = thread::Builder::new().name("world".to_owned()).spawn(live);
        let thread = thread.map_err(|cause| format!("a thread: {cause}"))?;
        let (seats, spans) = told.recv().map_err(|_| "the world did not come up".to_owned())??;
        Ok(World {
            bootstraps: seats,
            fault_windows: spans,
            lateness: late,
            connections_accepted: opened,
            cpu_us,
            begin: Some(begin),
            end: Some(end),
            thread: Some(thread),
        })
    }

    /// The script begins; the clock has been set to the run's beginning. Balancers that it is to kill are given along.
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

/// Notes ten times a second what CPU time this thread has had.
async fn count_work(cpu_us: Arc<AtomicU64>) {
    loop {
        cpu_us.store((thread_cpu_seconds() * 1e6) as u64, Ordering::Relaxed);
        sleep(Duration::from_millis(100)).await;
    }
}

/// Carries out the script.
struct Director {
    shared: Rc<Shared>,
    agents: Vec<Rc<Agent>>,
    experiment: Experiment,
    next: Cell<u32>,
    gone: RefCell<Vec<Rc<Host>>>,
}

impl Director {
    fn start(
        experiment: &Experiment,
        seed: u64,
        ledger: &Ledger,
        opened: Arc<AtomicU64>,
    ) -> std::io::Result<(Rc<Director>, Vec<BalancerBootstrap>)> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = Faults::laid_out(experiment, &mut rng);
        let work = Work::new(&experiment.categories, experiment.fleet.service, experiment.origin.service);
        let shared = Shared::new(ledger.clone(), faults.clone(), work, experiment.mode, rng.clone(), opened);
        let mut agents = Vec::new();
        for balancer in 0..experiment.balancers {
            let lag = experiment.discovery.lag_ms + rng.random::<f64>() * experiment.discovery.spread_ms;
            agents.push(Agent::start(balancer, millis(lag), ledger.clone(), faults.clone())?);
        }
        let director = Rc::new(Director {
            shared,
            agents,
            experiment: experiment.clone(),
            next: Cell::new(0),
            gone: RefCell::default(),
        });
        for _ in 0..experiment.fleet.hosts {
            let host = director.new_host(None, None)?;
            director.agents.iter().for_each(|agent| agent.knows(&host));
        }
        let origin = director.origin()?;
        director.shared.origin.replace(Some(origin.clone()));
        let aside = experiment.mode == crate::experiment::CacheMode::Aside;
        director.agents.iter().filter(|_| aside).for_each(|agent| agent.knows(&origin));
        let seat = |agent: &Rc<Agent>| BalancerBootstrap { discovery: agent.address, known: agent.known() };
        let seats = director.agents.iter().map(seat).collect();
        Ok((director, seats))
    }

    fn new_host(
        &self,
        started: Option<Micros>,
        addresses: Option<&[SocketAddr]>,
    ) -> std::io::Result<Rc<Host>> {
        let Experiment { fleet, slow_start: cold, balancers, .. } = &self.experiment;
        let no = HostNo(self.next.get());
        self.next.set(no.0 + 1);
        let terms = HostTerms {
            no,
            name: format!("h-{:08x}", self.shared.rng.borrow_mut().random::<u32>()),
            zone: no.0 % fleet.zones as u32,
            machine: Terms {
                cores: fleet.cores,
                speed: fleet.speed,
                queue: fleet.queue,
                cold_from: cold.from,
                warm_after: millis(cold.warm_ms),
                fall_multiple: cold.multiple,
                fall_window: millis(cold.window_ms),
                falls_cold_only: true,
            },
            connections: fleet.connections,
            idle: millis(fleet.idle_ms),
            open_cost: millis(fleet.open_ms),
            store: fleet.store,
            filled: if started.is_some() { 0.0 } else { fleet.filled },
            report_every: millis(fleet.report_ms),
            started,
            down_for: None,
        };
        let own = Host::addresses(no, *balancers);
        let host = Host::start(&self.shared, terms, addresses.unwrap_or(&own))?;
        self.shared.hosts.borrow_mut().push(host.clone());
        Ok(host)
    }

    fn origin(&self) -> std::io::Result<Rc<Host>> {
        let Experiment { origin, balancers, fleet, .. } = &self.experiment;
        let terms = HostTerms {
            no: HostNo::ORIGIN,
            name: "origin".to_owned(),
            zone: 0,
            machine: Terms {
                cores: origin.cores,
                speed: 1.0,
                queue: origin.queue,
                cold_from: 1.0,
                warm_after: 0,
                fall_multiple: origin.fall_multiple,
                fall_window: millis(origin.fall_ms),
                falls_cold_only: false,
            },
            connections: origin.connections,
            idle: millis(fleet.idle_ms),
            open_cost: millis(fleet.open_ms),
            store: 1,
            filled: 0.0,
            report_every: 0,
            started: None,
            down_for: Some(millis(origin.down_ms)),
        };
        Host::start(&self.shared, terms, &Host::addresses(HostNo::ORIGIN, *balancers))
    }

    async fn direct(self: Rc<Director>, balancers: Option<Balancers>) {
        let spans = &self.shared.faults.spans;
        let begins = spans.iter().enumerate().map(|(nth, span)| (span.from, false, nth));
        let ends = spans.iter().enumerate().map(|(nth, span)| (span.to, true, nth));
        let mut edges: Vec<(Micros, bool, usize)> = begins.chain(ends).collect();
        edges.sort_by_key(|&(at, ends, nth)| (at, !ends, nth));
        for (at, ends, nth) in edges {
            sleep_until(self.shared.ledger.clock.tokio_instant(at)).await;
            let span = &spans[nth];
            self.shared.ledger.note(Observation::FaultBoundary { text: span.title(), begins: !ends });
            self.edge(span, ends, balancers.as_ref()).await;
        }
        // What was started is not to be dropped before the run is over.
        std::future::pending::<()>().await;
    }

    fn publish(&self, host: &Host, standing: EndpointStatus) {
        self.agents.iter().for_each(|agent| agent.publish(host, standing));
    }

    fn hosts(&self, span: &FaultWindow) -> Vec<Rc<Host>> {
        let mut found: Vec<Rc<Host>> = Vec::new();
        let hosts = self.shared.hosts.borrow();
        found.extend(hosts.iter().filter(|host| span.hosts.contains(&host.terms.no)).cloned());
        if span.hosts.contains(&HostNo::ORIGIN) {
            found.extend(self.shared.origin.borrow().clone());
        }
        found
    }

    async fn edge(&self, span: &FaultWindow, ends: bool, balancers: Option<&Balancers>) {
        let now = self.shared.ledger.clock.now();
        let only = span.balancer;
        for host in self.hosts(span) {
            match (span.kind, ends) {
                (FaultKind::Slow | FaultKind::OriginSlow, false) => host.slow(span.factor),
                (FaultKind::Slow | FaultKind::OriginSlow, true) => host.slow(1.0),
                (FaultKind::Hang, false) => host.freeze(),
                (FaultKind::Hang, true) => host.thaw(),
                (FaultKind::Silent, false) => host.fall_silent(only),
                (FaultKind::Silent, true) => {
                    host.reset(only);
                    host.open(only);
                }
                (FaultKind::Stale, false) => host.deaden(only),
                (FaultKind::StaleReset, false) => host.disown(only),
                (FaultKind::Reset, false) => host.reset(only),
                (FaultKind::Refuse | FaultKind::OriginDown, false) => host.refuse(only),
                (FaultKind::Refuse | FaultKind::OriginDown, true) => host.open(only),
                (FaultKind::Die | FaultKind::Replace, false) => host.die(),
                (FaultKind::Die, true) => {
                    host.come_back();
                    self.publish(&host, EndpointStatus::Active);
                }
                (FaultKind::Replace, true) => {
                    self.leave(&host).await;
                    if let Ok(new) = self.new_host(Some(now), Some(&host.every_address())) {
                        self.publish(&new, EndpointStatus::Active);
                    }
                }
                (FaultKind::Drain | FaultKind::RollOut, false) => {
                    self.publish(&host, EndpointStatus::Leaving)
                }
                (FaultKind::Drain, true) => self.leave(&host).await,
                (FaultKind::DiscoveryWrong, _) => self.publish(&host, EndpointStatus::Active),
                _ => {}
            }
        }
        let agents = self.agents.iter().enumerate();
        let agents = agents.filter(|(nth, _)| only.is_none_or(|only| only == *nth)).map(|(_, agent)| agent);
        match span.kind {
            FaultKind::DiscoveryDown => agents.for_each(|agent| agent.set_silent(!ends)),
            FaultKind::DiscoveryStale => agents.for_each(|agent| agent.set_stale(!ends)),
            FaultKind::Grow if !ends => {
                for _ in 0..span.count {
                    match self.new_host(Some(now), None) {
                        Ok(new) => self.publish(&new, EndpointStatus::Active),
                        Err(cause) => log::warn!("a new host: {cause}"),
                    }
                }
            }
            FaultKind::BalancerKill => {
                for nth in only.map_or(0..self.agents.len(), |only| only..only + 1) {
                    let Some(balancers) = balancers else { continue };
                    if ends {
                        balancers.restart(nth, &self.agents[nth].known());
                    } else {
                        balancers.kill(nth);
                    }
                }
            }
            _ => {}
        }
    }

    /// A host is at its end.
    async fn leave(&self, host: &Rc<Host>) {
        host.end().await;
        self.publish(host, EndpointStatus::Left);
        self.shared.hosts.borrow_mut().retain(|other| !Rc::ptr_eq(other, host));
        self.gone.borrow_mut().push(host.clone());
        // Its addresses may be taken over at once.
        sleep(Duration::from_millis(1)).await;
    }
}
