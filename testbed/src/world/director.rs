//! Starts the machines and discovery agents of a world, and applies its faults on schedule.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{sleep, sleep_until};

use super::discovery::Agent;
use super::faults::{FaultSchedule, FaultWindow};
use super::host::{Host, HostSettings, Shared};
use super::machine::MachineSettings;
use super::proxy::FaultProxies;
use super::service_time::ServiceTimes;
use crate::balancers::Balancers;
use crate::experiment::{CacheMode, Experiment, FaultKind};
use crate::ledger::{EndpointStatus, HostNo, Ledger, Observation};
use crate::settings::BalancerBootstrap;
use crate::time::{millis, Micros};

/// Pause before a new host listens at the addresses of one that was removed.
const ADDRESSES_FREED_AFTER: Duration = Duration::from_millis(1);

/// Which boundary of a fault's window is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Boundary {
    Begin,
    End,
}

/// Owns the machines and agents of a world, and applies its faults.
pub(super) struct Director {
    shared: Rc<Shared>,
    /// The discovery agents, by balancer.
    agents: Vec<Rc<Agent>>,
    experiment: Experiment,
    next_host: Cell<u32>,
    /// Hosts that were removed, kept until the run is over like everything that was started.
    removed: RefCell<Vec<Rc<Host>>>,
}

impl Director {
    /// Starts all agents, hosts and the origin.
    pub(super) fn start(
        experiment: &Experiment,
        seed: u64,
        ledger: &Ledger,
        connections_accepted: Arc<AtomicU64>,
    ) -> std::io::Result<Rc<Director>> {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let faults = FaultSchedule::new(experiment, &mut rng);
        let service_times =
            ServiceTimes::new(&experiment.categories, experiment.fleet.service, experiment.origin.service);
        // The world continues with a copy of the generator; the agents' lags are drawn from `rng`.
        let shared = Shared::new(
            ledger.clone(),
            faults.clone(),
            service_times,
            experiment.mode,
            rng.clone(),
            connections_accepted,
        );
        let proxies = FaultProxies::new(faults.clone(), ledger.clock.clone(), rng.clone());
        let mut agents = Vec::new();
        for balancer in 0..experiment.balancers {
            let lag_ms = experiment.discovery.lag_ms + rng.random::<f64>() * experiment.discovery.spread_ms;
            agents.push(Agent::start(
                balancer,
                millis(lag_ms),
                ledger.clone(),
                faults.clone(),
                proxies.clone(),
            )?);
        }
        let director = Rc::new(Director {
            shared,
            agents,
            experiment: experiment.clone(),
            next_host: Cell::new(0),
            removed: RefCell::default(),
        });
        director.start_machines()?;
        Ok(director)
    }

    fn start_machines(&self) -> std::io::Result<()> {
        for _ in 0..self.experiment.fleet.hosts {
            let host = self.start_host(None, None)?;
            self.agents.iter().for_each(|agent| agent.add_initial(&host));
        }
        let origin = self.start_origin()?;
        self.shared.origin.replace(Some(origin.clone()));
        // Discovery lists the origin only for balancers that send requests to it.
        if self.experiment.mode == CacheMode::Aside {
            self.agents.iter().for_each(|agent| agent.add_initial(&origin));
        }
        Ok(())
    }

    /// The bootstrap of each balancer: its discovery address and initial endpoint list.
    pub(super) fn bootstraps(&self) -> Vec<BalancerBootstrap> {
        let bootstrap =
            |agent: &Rc<Agent>| BalancerBootstrap { discovery: agent.address, known: agent.endpoint_list() };
        self.agents.iter().map(bootstrap).collect()
    }

    /// The windows of all faults.
    pub(super) fn fault_windows(&self) -> Vec<FaultWindow> {
        self.shared.faults.windows.clone()
    }

    /// Starts a host at the given addresses, or at new ones. With a start time it is empty and
    /// warms up; without one it has its initial fill and full capacity.
    fn start_host(
        &self,
        started_at: Option<Micros>,
        addresses: Option<&[SocketAddr]>,
    ) -> std::io::Result<Rc<Host>> {
        let no = HostNo(self.next_host.get());
        self.next_host.set(no.0 + 1);
        let settings = self.host_settings(no, started_at);
        let new_addresses = Host::new_addresses(no, self.experiment.balancers);
        let host = Host::start(&self.shared, settings, addresses.unwrap_or(&new_addresses))?;
        self.shared.hosts.borrow_mut().push(host.clone());
        Ok(host)
    }

    fn host_settings(&self, no: HostNo, started_at: Option<Micros>) -> HostSettings {
        let Experiment { fleet, slow_start: cold, .. } = &self.experiment;
        HostSettings {
            no,
            name: format!("h-{:08x}", self.shared.rng.borrow_mut().random::<u32>()),
            zone: no.0 % fleet.zones as u32,
            machine: MachineSettings {
                cores: fleet.cores,
                speed: fleet.speed,
                max_queue: fleet.queue,
                initial_capacity: cold.from,
                warm_up: millis(cold.warm_ms),
                overload_multiple: cold.multiple,
                overload_window: millis(cold.window_ms),
                overloads_only_while_warming: true,
            },
            max_connections: fleet.connections,
            idle_timeout: millis(fleet.idle_ms),
            connection_cost: millis(fleet.open_ms),
            store_capacity: fleet.store,
            initial_fill: if started_at.is_some() { 0.0 } else { fleet.filled },
            report_interval: millis(fleet.report_ms),
            started_at,
            restart_after: None,
        }
    }

    fn start_origin(&self) -> std::io::Result<Rc<Host>> {
        let Experiment { origin, balancers, fleet, .. } = &self.experiment;
        let settings = HostSettings {
            no: HostNo::ORIGIN,
            name: "origin".to_owned(),
            zone: 0,
            machine: MachineSettings {
                cores: origin.cores,
                speed: 1.0,
                max_queue: origin.queue,
                initial_capacity: 1.0,
                warm_up: 0,
                overload_multiple: origin.fall_multiple,
                overload_window: millis(origin.fall_ms),
                overloads_only_while_warming: false,
            },
            max_connections: origin.connections,
            idle_timeout: millis(fleet.idle_ms),
            connection_cost: millis(fleet.open_ms),
            store_capacity: 1,
            initial_fill: 0.0,
            report_interval: 0,
            started_at: None,
            restart_after: Some(millis(origin.down_ms)),
        };
        Host::start(&self.shared, settings, &Host::new_addresses(HostNo::ORIGIN, *balancers))
    }

    /// Applies each fault at the boundaries of its window. Never returns: hosts and agents must not
    /// be dropped before the run is over.
    pub(super) async fn run_script(self: Rc<Director>, balancers: Option<Balancers>) {
        let windows = &self.shared.faults.windows;
        let mut boundaries = Vec::new();
        for (nth, window) in windows.iter().enumerate() {
            boundaries.push((window.from, Boundary::Begin, nth));
            boundaries.push((window.to, Boundary::End, nth));
        }
        // At equal times, faults end before others begin.
        boundaries.sort_by_key(|&(at, boundary, nth)| (at, boundary == Boundary::Begin, nth));
        for (at, boundary, nth) in boundaries {
            sleep_until(self.shared.ledger.clock.tokio_instant(at)).await;
            let window = &windows[nth];
            let begins = boundary == Boundary::Begin;
            self.shared.ledger.note(Observation::FaultBoundary { text: window.title(), begins });
            self.apply(window, boundary, balancers.as_ref()).await;
        }
        std::future::pending::<()>().await;
    }

    async fn apply(&self, window: &FaultWindow, boundary: Boundary, balancers: Option<&Balancers>) {
        let now = self.shared.ledger.clock.now();
        for host in self.affected_hosts(window) {
            match boundary {
                Boundary::Begin => self.apply_to_host(&host, window),
                Boundary::End => self.lift_from_host(&host, window, now).await,
            }
        }
        match window.kind {
            FaultKind::DiscoveryDown => {
                let silent = boundary == Boundary::Begin;
                self.affected_agents(window).for_each(|agent| agent.set_silent(silent));
            }
            FaultKind::DiscoveryStale => {
                let stale = boundary == Boundary::Begin;
                self.affected_agents(window).for_each(|agent| agent.set_stale(stale));
            }
            FaultKind::Grow if boundary == Boundary::Begin => self.add_hosts(window.count, now),
            FaultKind::BalancerKill => self.kill_or_restart(window, boundary, balancers),
            _ => {}
        }
    }

    fn apply_to_host(&self, host: &Host, window: &FaultWindow) {
        let balancer = window.balancer;
        match window.kind {
            FaultKind::Slow | FaultKind::OriginSlow => host.set_slowdown(window.factor),
            FaultKind::Hang => host.freeze(),
            FaultKind::Silent => host.become_unresponsive(balancer),
            FaultKind::LateConnect => host.hold_handshakes(balancer),
            FaultKind::Stale => host.mute_connections(balancer),
            FaultKind::StaleReset => host.forget_connections(balancer),
            FaultKind::Reset => host.reset_connections(balancer),
            FaultKind::Refuse | FaultKind::OriginDown => host.refuse(balancer),
            FaultKind::Die | FaultKind::Replace => host.die(),
            FaultKind::Drain | FaultKind::RollOut => self.publish(host, EndpointStatus::Leaving),
            FaultKind::DiscoveryWrong => self.publish(host, EndpointStatus::Active),
            _ => {}
        }
    }

    async fn lift_from_host(&self, host: &Rc<Host>, window: &FaultWindow, now: Micros) {
        let balancer = window.balancer;
        match window.kind {
            FaultKind::Slow | FaultKind::OriginSlow => host.set_slowdown(1.0),
            FaultKind::Hang => host.thaw(),
            FaultKind::Silent => {
                host.reset_connections(balancer);
                host.open(balancer);
            }
            FaultKind::LateConnect | FaultKind::Refuse | FaultKind::OriginDown => host.open(balancer),
            FaultKind::Die => {
                host.restart();
                self.publish(host, EndpointStatus::Active);
            }
            FaultKind::Replace => {
                self.remove(host).await;
                if let Ok(replacement) = self.start_host(Some(now), Some(&host.addresses())) {
                    self.publish(&replacement, EndpointStatus::Active);
                }
            }
            FaultKind::Drain => self.remove(host).await,
            FaultKind::DiscoveryWrong => self.publish(host, EndpointStatus::Active),
            _ => {}
        }
    }

    fn affected_hosts(&self, window: &FaultWindow) -> Vec<Rc<Host>> {
        let hosts = self.shared.hosts.borrow();
        let named = hosts.iter().filter(|host| window.hosts.contains(&host.settings.no));
        let mut affected: Vec<Rc<Host>> = named.cloned().collect();
        if window.hosts.contains(&HostNo::ORIGIN) {
            affected.extend(self.shared.origin.borrow().clone());
        }
        affected
    }

    fn affected_agents(&self, window: &FaultWindow) -> impl Iterator<Item = &Rc<Agent>> {
        let only = window.balancer;
        let is_affected = move |balancer: usize| only.is_none_or(|only| only == balancer);
        let by_balancer = self.agents.iter().enumerate();
        by_balancer.filter(move |(balancer, _)| is_affected(*balancer)).map(|(_, agent)| agent)
    }

    /// Publishes a host's status to all agents; each lists it after its lag.
    fn publish(&self, host: &Host, status: EndpointStatus) {
        self.agents.iter().for_each(|agent| agent.publish(host, status));
    }

    fn add_hosts(&self, count: usize, now: Micros) {
        for _ in 0..count {
            match self.start_host(Some(now), None) {
                Ok(host) => self.publish(&host, EndpointStatus::Active),
                Err(cause) => log::warn!("starting an additional host failed: {cause}"),
            }
        }
    }

    fn kill_or_restart(&self, window: &FaultWindow, boundary: Boundary, balancers: Option<&Balancers>) {
        let Some(balancers) = balancers else { return };
        let affected = match window.balancer {
            Some(only) => only..only + 1,
            None => 0..self.agents.len(),
        };
        for balancer in affected {
            match boundary {
                Boundary::Begin => balancers.kill(balancer),
                Boundary::End => balancers.restart(balancer, &self.agents[balancer].endpoint_list()),
            }
        }
    }

    /// Removes a host permanently, and publishes that it has left.
    async fn remove(&self, host: &Rc<Host>) {
        host.remove().await;
        self.publish(host, EndpointStatus::Left);
        self.shared.hosts.borrow_mut().retain(|other| !Rc::ptr_eq(other, host));
        self.removed.borrow_mut().push(host.clone());
        // A replacement may listen at its addresses as soon as this returns.
        sleep(ADDRESSES_FREED_AFTER).await;
    }
}
