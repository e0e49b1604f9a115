//! One simulated balancer: its components, the update of its endpoints, and its timers.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::router::Router;
use basaltwood::types::{AttemptNumber, Endpoint, HostId, Micros, RequestId, RingPosition};
use basaltwood_connection_pool::{
    ConnectionId, ConnectionPools, PoolAction, PoolConfig, REST_AFTER_RESPONSE,
};
use basaltwood_membership::{WatchConfig, WatchSchedule};
use basaltwood_settings::{EndpointRecord, NameTable, OperatorSettings, RuntimeLimits};
use serde::Deserialize;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, Instant};

use super::clock::ProcessClock;
use super::connection::Connection;
use super::counters::Counters;
use super::endpoints::{EndpointEntry, EndpointList};
use crate::scale::error::RoleError;
use crate::scale::protocol::SimulatedSpec;

/// The longest time between two ticks of pools and router, as in the balancer.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Identifies an attempt of a request, by the router's numbers of both.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct AttemptKey {
    pub(super) request: RequestId,
    pub(super) attempt: AttemptNumber,
}

/// The address of a host, and the notification for attempts that wait for a connection.
pub(super) struct HostEntry {
    pub(super) address: SocketAddr,
    /// Notified when a connection to the host becomes free.
    pub(super) connection_freed: Rc<Notify>,
}

/// One simulated balancer. No borrow of a `RefCell` is held over an await.
pub(super) struct SimulatedBalancer {
    pub(super) number: u32,
    pub(super) clock: Rc<ProcessClock>,
    pub(super) router: RefCell<Router>,
    names: RefCell<NameTable>,
    pub(super) pools: RefCell<ConnectionPools>,
    pub(super) limits: RuntimeLimits,
    /// The most open connections to hosts.
    pub(super) max_connections: usize,
    /// The time from a request's arrival to its deadline.
    pub(super) time_to_live: Micros,
    /// The latency objective.
    pub(super) target: Micros,
    pub(super) hosts: RefCell<BTreeMap<HostId, HostEntry>>,
    /// Connections that carry no request.
    pub(super) idle: RefCell<BTreeMap<ConnectionId, Connection>>,
    /// Attempts whose request was sent, by the connection that carries them.
    pub(super) in_flight: RefCell<BTreeMap<ConnectionId, AttemptKey>>,
    /// For each open request, notified when the router has actions for it.
    pub(super) actions_ready: RefCell<BTreeMap<RequestId, Rc<Notify>>>,
    /// Shared by all balancers of the process.
    pub(super) counters: Rc<Counters>,
}

impl SimulatedBalancer {
    /// Starts a balancer with the initial list, which then watches discovery.
    ///
    /// # Errors
    /// The settings or the initial list are invalid.
    pub(super) fn start(
        spec: &SimulatedSpec,
        number: u32,
        clock: &Rc<ProcessClock>,
        counters: &Rc<Counters>,
    ) -> Result<Rc<SimulatedBalancer>, RoleError> {
        let settings = OperatorSettings::deserialize(&spec.settings)?;
        let seed = RingPosition(spec.seed).mixed(u64::from(number)).0;
        let config = settings.policy_config(seed)?;
        let limits = settings.runtime_limits();
        let pools = ConnectionPools::new(PoolConfig {
            seed: config.seed,
            balancers: config.balancers,
            idle_timeout: limits.idle_timeout,
            rest_after_response: REST_AFTER_RESPONSE,
            max_connections: spec.max_connections,
        });
        let balancer = Rc::new(SimulatedBalancer {
            number,
            clock: clock.clone(),
            router: RefCell::new(Router::new(&config, limits.max_open_requests)),
            names: RefCell::new(NameTable::new(&settings)),
            pools: RefCell::new(pools),
            limits,
            max_connections: spec.max_connections,
            time_to_live: (spec.ttl_ms * 1e3) as Micros,
            target: (spec.target_ms * 1e3) as Micros,
            hosts: RefCell::default(),
            idle: RefCell::default(),
            in_flight: RefCell::default(),
            actions_ready: RefCell::default(),
            counters: counters.clone(),
        });
        let initial_list = EndpointList::deserialize(&spec.initial_list)?;
        balancer.update_endpoints(true, initial_list.instances);
        let schedule = WatchSchedule::new(WatchConfig {
            seed: config.seed,
            balancers: config.balancers,
            known_version: Some(initial_list.generation),
            drain_grace: limits.drain_grace,
        });
        spawn_local(balancer.clone().watch(spec.discovery, schedule));
        spawn_local(balancer.clone().run_timers());
        Ok(balancer)
    }

    /// Applies a list, or the changes of one. The router gets lists only from here.
    pub(super) fn update_endpoints(&self, whole: bool, entries: Vec<EndpointEntry>) {
        let now = self.clock.now();
        let endpoints = entries.iter().map(|entry| self.update_host(entry)).collect();
        self.router.borrow_mut().update_endpoints(now, whole, endpoints);
        self.drain_hosts();
        self.perform_pool_actions();
        self.wake_requests();
        self.forget_released_hosts();
    }

    /// Updates the address of a host and returns the endpoint for the router. Connections to an
    /// earlier address are closed.
    fn update_host(&self, entry: &EndpointEntry) -> Endpoint {
        let unix_start = self.clock.unix_start();
        let started_at = entry.started_at_ms().map(|ms| basaltwood_settings::micros(ms) - unix_start);
        let endpoint = self.names.borrow_mut().endpoint(&EndpointRecord {
            host: &entry.instance_id,
            zone: entry.zone.as_deref(),
            machine_type: entry.machine_type.as_deref(),
            cell: entry.cell,
            lifecycle: entry.lifecycle(),
            weight: entry.weight,
            started_at,
        });
        let address = entry.host_port;
        let mut hosts = self.hosts.borrow_mut();
        let new_entry = || HostEntry { address, connection_freed: Rc::default() };
        let host = hosts.entry(endpoint.host).or_insert_with(new_entry);
        let previous = std::mem::replace(&mut host.address, address);
        if previous != address {
            self.pools.borrow_mut().host_moved(endpoint.host);
        }
        endpoint
    }

    /// Tells the pools which hosts accept no new attempts and so need no idle connections.
    fn drain_hosts(&self) {
        let router = self.router.borrow();
        let mut pools = self.pools.borrow_mut();
        for &host in self.hosts.borrow().keys() {
            if !router.accepts_attempts(host) {
                pools.host_draining(host);
            }
        }
    }

    fn forget_released_hosts(&self) {
        let released = self.router.borrow().released_hosts();
        for host in released {
            self.names.borrow_mut().hosts.release(host.0);
            self.hosts.borrow_mut().remove(&host);
            self.pools.borrow_mut().forget_host(host);
        }
    }

    /// Runs the timers of the pools and the router, for as long as the process runs.
    async fn run_timers(self: Rc<SimulatedBalancer>) {
        loop {
            let now = self.clock.now();
            let stalled_for = self.pools.borrow_mut().tick(now);
            if stalled_for > 0 {
                self.router.borrow_mut().process_stalled(now, stalled_for);
            }
            self.perform_pool_actions();
            let next_timer = self.router.borrow_mut().tick(self.clock.now());
            self.wake_requests();
            let latest = Instant::now() + MAX_TICK_INTERVAL;
            let next_tick = next_timer.map_or(latest, |at| self.clock.at(at).min(latest));
            sleep_until(next_tick).await;
        }
    }

    /// Wakes the requests for which the router has actions.
    pub(super) fn wake_requests(&self) {
        let requests = self.router.borrow_mut().requests_with_actions();
        let actions_ready = self.actions_ready.borrow();
        for request in requests {
            if let Some(notify) = actions_ready.get(&request) {
                notify.notify_one();
            }
        }
    }

    /// Carries out the actions of the pools.
    pub(super) fn perform_pool_actions(&self) {
        let actions = self.pools.borrow_mut().take_actions();
        for action in actions {
            match action {
                PoolAction::Close(id) => drop(self.idle.borrow_mut().remove(&id)),
                PoolAction::AttemptInDoubt(id) => self.attempt_in_doubt(id),
                PoolAction::HostAlive(host) => {
                    self.router.borrow_mut().host_alive(self.clock.now(), host);
                }
            }
        }
    }

    fn attempt_in_doubt(&self, connection: ConnectionId) {
        let in_flight = self.in_flight.borrow().get(&connection).copied();
        if let Some(AttemptKey { request, attempt }) = in_flight {
            self.router.borrow_mut().attempt_in_doubt(self.clock.now(), request, attempt);
        }
    }
}
