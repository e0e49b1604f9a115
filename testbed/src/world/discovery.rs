//! Discovery: each balancer has its own agent, which learns of changes after its own lag and
//! answers the balancer's watch.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::faults::FaultSchedule;
use super::host::Host;
use super::listener::listen;
use super::proxy::FaultProxies;
use crate::discovery_calls::{encode_list, list, Calls, ChangesQuery};
use crate::experiment::{zone_name, FaultKind};
use crate::ledger::{EndpointStatus, HostNo, Ledger, Observation};
use crate::time::{to_duration, Micros};

/// By the protocol, a balancer counts as informed of a change after this time, even if its agent
/// does not answer.
const INFORMED_AT_LATEST: Duration = Duration::from_secs(6);
/// A loopback port on which nothing listens.
const UNUSED_PORT: u16 = 1;
/// The cell of a host is its number modulo this, which keeps the origin's cell in range.
const CELLS: u32 = 1_000_000;

/// A host as an agent knows it.
#[derive(Clone)]
struct Endpoint {
    name: String,
    host: HostNo,
    status: EndpointStatus,
    /// The endpoint's JSON in responses.
    body: Value,
}

/// An endpoint and the generation of the list in which it last changed.
struct ListedEndpoint {
    generation: u64,
    endpoint: Endpoint,
}

/// A response and the statuses that it announces, to be recorded once it is written.
struct WatchResponse {
    text: Bytes,
    announced: Vec<(HostNo, EndpointStatus)>,
}

/// The discovery agent of one balancer.
pub struct Agent {
    balancer: usize,
    /// The address on which it listens.
    pub address: SocketAddr,
    /// Delay after which it learns of a change.
    lag: Micros,
    ledger: Ledger,
    faults: FaultSchedule,
    proxies: Rc<FaultProxies>,
    /// The generation of the list.
    generation: watch::Sender<u64>,
    /// The endpoint list, by host name.
    endpoints: RefCell<BTreeMap<String, ListedEndpoint>>,
    /// Changes held back from the list while discovery is stale.
    withheld: RefCell<Vec<Endpoint>>,
    silent: Cell<bool>,
    stale: Cell<bool>,
    silence_changed: Notify,
}

impl Agent {
    /// Starts the agent of a balancer with an empty list.
    ///
    /// # Errors
    /// The kernel's error if it can't listen.
    pub fn start(
        balancer: usize,
        lag: Micros,
        ledger: Ledger,
        faults: FaultSchedule,
        proxies: Rc<FaultProxies>,
    ) -> std::io::Result<Rc<Agent>> {
        let listener = listen((Ipv4Addr::new(127, 31, 0, balancer as u8 + 1), 0).into())?;
        let agent = Rc::new(Agent {
            balancer,
            address: listener.local_addr()?,
            lag,
            ledger,
            faults,
            proxies,
            generation: watch::Sender::new(1),
            endpoints: RefCell::default(),
            withheld: RefCell::default(),
            silent: Cell::new(false),
            stale: Cell::new(false),
            silence_changed: Notify::new(),
        });
        spawn_local(agent.clone().accept(listener));
        Ok(agent)
    }

    /// Adds a host's changed status to the list after the agent's lag.
    pub fn publish(self: &Rc<Agent>, host: &Host, status: EndpointStatus) {
        let endpoint = self.endpoint(host, status);
        let agent = self.clone();
        spawn_local(async move {
            sleep(to_duration(agent.lag)).await;
            if agent.stale.get() {
                agent.withheld.borrow_mut().push(endpoint);
            } else {
                agent.add(endpoint);
            }
        });
    }

    /// Adds a host to the initial list, without lag.
    pub fn add_initial(&self, host: &Host) {
        let endpoint = self.endpoint(host, EndpointStatus::Active);
        let name = endpoint.name.clone();
        self.endpoints.borrow_mut().insert(name, ListedEndpoint { generation: 1, endpoint });
    }

    /// The whole list, as a balancer gets it at its start.
    pub fn endpoint_list(&self) -> Value {
        let endpoints = self.endpoints.borrow();
        let present = endpoints.values().filter(|listed| listed.endpoint.status != EndpointStatus::Left);
        let instances: Vec<&Value> = present.map(|listed| &listed.endpoint.body).collect();
        list(*self.generation.borrow(), true, &instances)
    }

    /// Makes the agent silent or ends that; while silent it accepts calls but does not answer them.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.silence_changed.notify_waiters();
    }

    /// Makes the list stale or ends that; while stale it does not change, and at the end the
    /// changes held back are added.
    pub fn set_stale(self: &Rc<Agent>, stale: bool) {
        self.stale.set(stale);
        if !stale {
            self.withheld.take().into_iter().for_each(|endpoint| self.add(endpoint));
        }
    }

    fn endpoint(&self, host: &Host, status: EndpointStatus) -> Endpoint {
        let settings = &host.settings;
        let clock = &self.ledger.clock;
        let wrong_address =
            self.faults.probability(clock.now(), FaultKind::DiscoveryWrong, settings.no, self.balancer) > 0.0;
        let address = if wrong_address {
            SocketAddr::from((Ipv4Addr::LOCALHOST, UNUSED_PORT))
        } else {
            self.proxies.advertised(settings.no, self.balancer, host.address(self.balancer))
        };
        let lifecycle = match status {
            EndpointStatus::Active => "active",
            EndpointStatus::Leaving => "leaving",
            EndpointStatus::Left => "left",
        };
        let body = json!({
            "instanceId": settings.name,
            "hostPort": address.to_string(),
            "zone": zone_name(settings.zone),
            "machineType": if settings.no == HostNo::ORIGIN { "origin" } else { "host" },
            "cell": settings.no.0 % CELLS,
            "lifecycle": lifecycle,
            "weight": settings.machine.cores as f64,
            "startedAtMs": host.started_at().map_or(0.0, |started_at| clock.unix_ms(started_at)),
        });
        Endpoint { name: settings.name.clone(), host: settings.no, status, body }
    }

    /// Adds a change to the list. The balancer counts as informed from then on, even without an
    /// open call, since the agent would answer one at once; if the agent is silent, the balancer
    /// counts as informed after [`INFORMED_AT_LATEST`].
    fn add(self: &Rc<Agent>, endpoint: Endpoint) {
        let generation = *self.generation.borrow() + 1;
        let due = Observation::AnnouncementDue {
            balancer: self.balancer,
            host: endpoint.host,
            status: endpoint.status,
        };
        if self.silent.get() {
            spawn_local(self.clone().note_unless_outdated(due, endpoint.name.clone(), generation));
        } else {
            self.ledger.note(due);
        }
        self.endpoints.borrow_mut().insert(endpoint.name.clone(), ListedEndpoint { generation, endpoint });
        self.generation.send_replace(generation);
    }

    async fn note_unless_outdated(self: Rc<Agent>, due: Observation, name: String, generation: u64) {
        sleep(INFORMED_AT_LATEST).await;
        let is_newest =
            self.endpoints.borrow().get(&name).is_some_and(|listed| listed.generation == generation);
        if is_newest {
            self.ledger.note(due);
        }
    }

    async fn accept(self: Rc<Agent>, listener: TcpListener) {
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(self.clone().serve(stream));
            }
        }
    }

    async fn serve(self: Rc<Agent>, stream: TcpStream) {
        let mut calls = Calls::new(stream);
        while let Some(call) = calls.next().await {
            let changes = ChangesQuery::parse(&call.path);
            if !calls.hold(&self.generation, changes).await {
                return;
            }
            while self.silent.get() {
                self.silence_changed.notified().await;
            }
            let response = self.changes_since(changes.map(|changes| changes.after));
            if calls.stream().write_all(&response.text).await.is_err() {
                return;
            }
            for (host, status) in response.announced {
                self.ledger.note(Observation::StatusAnnounced { balancer: self.balancer, host, status });
            }
        }
    }

    /// The response with the changes since a generation, or with the whole list.
    fn changes_since(&self, after: Option<u64>) -> WatchResponse {
        let endpoints = self.endpoints.borrow();
        let is_asked_for = |listed: &&ListedEndpoint| match after {
            Some(after) => listed.generation > after,
            None => listed.endpoint.status != EndpointStatus::Left,
        };
        let asked_for: Vec<&Endpoint> =
            endpoints.values().filter(is_asked_for).map(|listed| &listed.endpoint).collect();
        let instances: Vec<&Value> = asked_for.iter().map(|endpoint| &endpoint.body).collect();
        let text = encode_list(*self.generation.borrow(), after.is_none(), &instances);
        let announced = asked_for.iter().map(|endpoint| (endpoint.host, endpoint.status)).collect();
        WatchResponse { text, announced }
    }
}
