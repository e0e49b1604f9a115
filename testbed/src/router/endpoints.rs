//! The endpoints that a baseline router knows, and its selection of a host.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::net::TcpStream;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::experiment::Baseline;

/// The number of ring positions of each host.
const POSITIONS_PER_HOST: u64 = 64;

/// A list from discovery, or its changes since a generation.
#[derive(Deserialize)]
pub(super) struct EndpointList {
    pub(super) generation: u64,
    /// Whether this is the whole list.
    #[serde(default)]
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    machine_type: String,
    lifecycle: String,
}

/// A connection that no request uses, and when it became idle.
pub(super) struct IdleConnection {
    pub(super) stream: TcpStream,
    pub(super) since: Instant,
}

/// A host or the origin.
pub(super) struct Endpoint {
    pub(super) address: SocketAddr,
    /// Whether the router may select this host.
    active: Cell<bool>,
    pub(super) in_flight: Cell<usize>,
    pub(super) idle: RefCell<Vec<IdleConnection>>,
}

impl Endpoint {
    fn new(address: SocketAddr) -> Rc<Endpoint> {
        Rc::new(Endpoint {
            address,
            active: Cell::new(true),
            in_flight: Cell::new(0),
            idle: RefCell::default(),
        })
    }
}

/// All endpoints that a router knows.
pub(super) struct Endpoints {
    baseline: Baseline,
    /// An injected fault: draining hosts count as active.
    sends_to_draining: bool,
    /// Cache hosts by instance id.
    hosts: BTreeMap<String, Rc<Endpoint>>,
    origin: Option<Rc<Endpoint>>,
    /// Active hosts by ring position.
    ring: BTreeMap<u64, Rc<Endpoint>>,
}

impl Endpoints {
    pub(super) fn new(baseline: Baseline, sends_to_draining: bool) -> Endpoints {
        Endpoints { baseline, sends_to_draining, hosts: BTreeMap::new(), origin: None, ring: BTreeMap::new() }
    }

    pub(super) fn origin(&self) -> Option<Rc<Endpoint>> {
        self.origin.clone()
    }

    /// Applies a list, or the changes of one.
    pub(super) fn apply(&mut self, list: EndpointList) {
        if list.reset {
            self.hosts.clear();
        }
        for instance in list.instances {
            if instance.lifecycle == "left" {
                self.hosts.remove(&instance.instance_id);
            } else {
                self.apply_instance(instance);
            }
        }
        self.rebuild_ring();
    }

    fn apply_instance(&mut self, instance: Instance) {
        let known = self.hosts.get(&instance.instance_id);
        let unchanged = known.filter(|endpoint| endpoint.address == instance.host_port);
        let endpoint = unchanged.cloned().unwrap_or_else(|| Endpoint::new(instance.host_port));
        endpoint.active.set(instance.lifecycle == "active" || self.sends_to_draining);
        if instance.machine_type == "origin" {
            self.origin = Some(endpoint);
        } else {
            self.hosts.insert(instance.instance_id, endpoint);
        }
    }

    fn rebuild_ring(&mut self) {
        self.ring.clear();
        for (id, host) in self.hosts.iter().filter(|(_, host)| host.active.get()) {
            for nth in 0..POSITIONS_PER_HOST {
                let position = xxh3_64(format!("{id}/{nth}").as_bytes());
                self.ring.insert(position, host.clone());
            }
        }
    }

    /// Selects an active host for a key, other than `excluded`; `None` if there is none.
    pub(super) fn select(
        &self,
        key: &[u8],
        excluded: Option<&Rc<Endpoint>>,
        rng: &mut ChaCha8Rng,
    ) -> Option<Rc<Endpoint>> {
        let is_eligible = |host: &Rc<Endpoint>| {
            host.active.get() && excluded.is_none_or(|excluded| !Rc::ptr_eq(excluded, host))
        };
        if self.baseline == Baseline::PlainRing {
            let position = xxh3_64(key);
            let mut clockwise = self.ring.range(position..).chain(self.ring.range(..position));
            return clockwise.find(|(_, host)| is_eligible(host)).map(|(_, host)| host.clone());
        }
        let mut eligible: Vec<&Rc<Endpoint>> = self.hosts.values().filter(|host| is_eligible(host)).collect();
        if self.baseline == Baseline::LeastInFlight {
            let fewest = eligible.iter().map(|host| host.in_flight.get()).min()?;
            eligible.retain(|host| host.in_flight.get() == fewest);
        }
        if eligible.is_empty() {
            return None;
        }
        Some(eligible[rng.random_range(0..eligible.len())].clone())
    }
}
