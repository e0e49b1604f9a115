//! A machine of the emulated world on its sockets: a cache host with a store, or the origin. It has
//! a listener for each balancer, so that a fault can affect one of them only.
//!
//! This file defines a machine, its start and its faults; `accept` takes connections,
//! `connection` serves one, `attempt` works on a command, `cores` runs its jobs, `protocol`
//! reads and writes its bytes.

mod accept;
mod attempt;
mod connection;
mod cores;
mod protocol;
mod shared;
mod store;

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use bytes::Bytes;
use tokio::net::TcpListener;
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};

pub use shared::Shared;

use super::listener::listen;
use super::machine::{Machine, MachineSettings};
use crate::ledger::HostNo;
use crate::time::{Micros, MS};
use accept::Acceptor;
use protocol::Protocol;
use store::KeyStore;

/// What becomes of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionState {
    /// Served normally; the initial state.
    Open,
    /// The connection stays open, and nothing more is sent on it.
    Mute,
    /// The host has no state of it: the connection is reset as soon as anything comes on it.
    Forgotten,
    Reset,
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ListenerState {
    Accepting,
    Refusing,
    /// Their handshakes are left unanswered.
    Unresponsive,
}

/// The path from one balancer to a host: its listener and connections.
struct BalancerPath {
    address: SocketAddr,
    /// Applies to the connections that are open when a state is sent.
    connection_state: watch::Sender<ConnectionState>,
    listener_state: watch::Sender<ListenerState>,
    acceptor: RefCell<Option<JoinHandle<()>>>,
}

impl BalancerPath {
    fn open(address: SocketAddr) -> std::io::Result<(BalancerPath, TcpListener)> {
        let listener = listen(address)?;
        let path = BalancerPath {
            address: listener.local_addr()?,
            connection_state: watch::Sender::new(ConnectionState::Open),
            listener_state: watch::Sender::new(ListenerState::Accepting),
            acceptor: RefCell::default(),
        };
        Ok((path, listener))
    }

    fn set_listener(&self, state: ListenerState) {
        self.listener_state.send_if_modified(|now| std::mem::replace(now, state) != state);
    }
}

/// The settings of a machine. Times are in microseconds.
pub struct HostSettings {
    /// Its number in the world.
    pub no: HostNo,
    /// Its instance id in discovery.
    pub name: String,
    /// The number of its zone.
    pub zone: u32,
    /// Its cores, queue and warm-up.
    pub machine: MachineSettings,
    /// Number of connections open at the same time; more are reset.
    pub max_connections: usize,
    /// A connection on which nothing comes for this time is closed.
    pub idle_timeout: Micros,
    /// Additional work of the first command on a connection.
    pub connection_cost: Micros,
    /// Number of keys that it can store.
    pub store_capacity: usize,
    /// The share of all keys that it holds from the start.
    pub initial_fill: f64,
    /// The age at which a load report is renewed; with 0, replies carry no report.
    pub report_interval: Micros,
    /// When it started; `None` for long before the run.
    pub started_at: Option<Micros>,
    /// How long it stays down after an overload; `None` if it never restarts.
    pub restart_after: Option<Micros>,
}

/// A load report and when it was made.
#[derive(Default)]
struct LoadReport {
    made_at: Micros,
    /// Empty before the first report.
    text: String,
}

/// A miss at a cache host, as recorded by the origin.
struct RecentMiss {
    at: Micros,
    host_warming_up: bool,
}

/// A machine with its addresses and listeners, whether up or down.
pub struct Host {
    /// Its settings.
    pub settings: HostSettings,
    shared: Rc<Shared>,
    machine: RefCell<Machine>,
    /// Senders to those who wait for jobs: each sends whether its job ran, and is dropped if the
    /// machine goes down.
    jobs: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next_job: Cell<u64>,
    machine_changed: Notify,
    store: RefCell<KeyStore>,
    /// The paths, by balancer.
    paths: Vec<BalancerPath>,
    open_connections: Cell<usize>,
    last_load_report: RefCell<LoadReport>,
    /// Whether it is overloaded, dead or removed; [`Host::open`] has no effect meanwhile.
    down: Cell<bool>,
    started_at: Cell<Option<Micros>>,
    /// At the origin: recent misses at cache hosts.
    misses: RefCell<VecDeque<RecentMiss>>,
}

impl Host {
    /// Starts a machine with a listener for each balancer, at these addresses.
    ///
    /// # Errors
    /// The kernel's error if it can't listen at an address.
    pub fn start(
        shared: &Rc<Shared>,
        settings: HostSettings,
        addresses: &[SocketAddr],
    ) -> std::io::Result<Rc<Host>> {
        let mut paths = Vec::new();
        let mut listeners = Vec::new();
        for &address in addresses {
            let (path, listener) = BalancerPath::open(address)?;
            paths.push(path);
            listeners.push(listener);
        }
        let store = KeyStore::new(settings.no, settings.store_capacity, settings.initial_fill);
        let host = Rc::new(Host {
            machine: RefCell::new(Machine::new(settings.machine, settings.started_at)),
            jobs: RefCell::default(),
            next_job: Cell::new(0),
            machine_changed: Notify::new(),
            store: RefCell::new(store),
            paths,
            open_connections: Cell::new(0),
            last_load_report: RefCell::default(),
            down: Cell::new(false),
            started_at: Cell::new(settings.started_at),
            misses: RefCell::default(),
            shared: shared.clone(),
            settings,
        });
        for (balancer, listener) in listeners.into_iter().enumerate() {
            let acceptor = Acceptor::new(host.clone(), balancer, listener);
            let task = spawn_local(acceptor.run());
            host.paths[balancer].acceptor.replace(Some(task));
        }
        spawn_local(host.clone().complete_jobs());
        Ok(host)
    }

    /// New addresses for a machine, one for each balancer; the port is chosen by the kernel.
    pub fn new_addresses(no: HostNo, balancers: usize) -> Vec<SocketAddr> {
        let [high, low] = (no.0 as u16).wrapping_add(1).to_be_bytes();
        let address = |balancer: usize| Ipv4Addr::new(127, 32 + balancer as u8, high, low);
        (0..balancers).map(|balancer| SocketAddr::from((address(balancer), 0))).collect()
    }

    /// Its address for one balancer.
    pub fn address(&self, balancer: usize) -> SocketAddr {
        self.paths[balancer].address
    }

    /// Its addresses, by balancer.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.paths.iter().map(|path| path.address).collect()
    }

    /// When it last started; `None` for long before the run.
    pub fn started_at(&self) -> Option<Micros> {
        self.started_at.get()
    }

    /// Whether it is overloaded or dead.
    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    fn is_origin(&self) -> bool {
        self.settings.no == HostNo::ORIGIN
    }

    fn protocol(&self) -> Protocol {
        if self.is_origin() {
            Protocol::Http
        } else {
            Protocol::Resp
        }
    }

    fn now(&self) -> Micros {
        self.shared.ledger.clock.now()
    }

    /// The path from one balancer, or from all if it is `None`.
    fn paths_of(&self, balancer: Option<usize>) -> &[BalancerPath] {
        match balancer {
            Some(balancer) => self.paths.get(balancer..=balancer).unwrap_or(&[]),
            None => &self.paths,
        }
    }

    fn set_connections(&self, balancer: Option<usize>, state: ConnectionState) {
        for path in self.paths_of(balancer) {
            path.connection_state.send_replace(state);
        }
    }

    fn set_listeners(&self, balancer: Option<usize>, state: ListenerState) {
        for path in self.paths_of(balancer) {
            path.set_listener(state);
        }
    }

    /// Stores a key with its current value.
    fn store_key(&self, key: Bytes) {
        self.store.borrow_mut().put(key, self.shared.last_write());
    }

    /// The load report, renewed if the last one is too old.
    fn load_report(&self) -> String {
        let now = self.now();
        let mut report = self.last_load_report.borrow_mut();
        let max_age = self.settings.report_interval.max(MS);
        if report.text.is_empty() || now - report.made_at >= max_age {
            let machine = self.machine.borrow();
            let (in_flight, utilization) = (machine.in_flight(), machine.load(now).min(1.0));
            report.made_at = now;
            report.text = format!("inflight={in_flight},util={utilization:.2}");
        }
        report.text.clone()
    }
}

/// The faults that the script of an experiment causes. Those that take a balancer affect only that
/// one, or all if it is `None`.
impl Host {
    /// Stops all work until [`Host::thaw`]; connections and commands are still accepted.
    pub fn freeze(&self) {
        self.machine.borrow_mut().freeze(self.now());
    }

    /// Resumes work.
    pub fn thaw(&self) {
        self.machine.borrow_mut().thaw(self.now());
        self.machine_changed.notify_one();
    }

    /// Makes jobs that start from now on take this many times as long.
    pub fn set_slowdown(&self, slowdown: f64) {
        self.machine.borrow_mut().set_slowdown(slowdown);
    }

    /// Keeps open connections open, but sends nothing more on them.
    pub fn mute_connections(&self, balancer: Option<usize>) {
        self.set_connections(balancer, ConnectionState::Mute);
    }

    /// Forgets open connections: each is reset as soon as anything comes on it.
    pub fn forget_connections(&self, balancer: Option<usize>) {
        self.set_connections(balancer, ConnectionState::Forgotten);
    }

    /// Resets all open connections.
    pub fn reset_connections(&self, balancer: Option<usize>) {
        self.set_connections(balancer, ConnectionState::Reset);
    }

    /// Resets open connections and refuses new ones.
    pub fn refuse(&self, balancer: Option<usize>) {
        self.set_listeners(balancer, ListenerState::Refusing);
        self.reset_connections(balancer);
    }

    /// Sends nothing more on open connections, and leaves new handshakes unanswered.
    pub fn become_unresponsive(&self, balancer: Option<usize>) {
        self.set_listeners(balancer, ListenerState::Unresponsive);
        self.mute_connections(balancer);
    }

    /// Leaves new handshakes unanswered; open connections are served.
    pub fn hold_handshakes(&self, balancer: Option<usize>) {
        self.set_listeners(balancer, ListenerState::Unresponsive);
    }

    /// Accepts new connections again, unless it is down.
    pub fn open(&self, balancer: Option<usize>) {
        if !self.down.get() {
            self.set_listeners(balancer, ListenerState::Accepting);
        }
    }

    /// Goes down: loses its store and jobs, resets connections and refuses new ones.
    pub fn die(&self) {
        self.down.set(true);
        self.refuse(None);
        self.jobs.borrow_mut().clear();
        self.store.borrow_mut().clear();
        let now = self.now();
        self.machine.borrow_mut().restart(now);
    }

    /// Comes up again after [`Host::die`], empty and warming up.
    pub fn restart(&self) {
        let now = self.now();
        self.down.set(false);
        self.started_at.set(Some(now));
        self.machine.borrow_mut().restart(now);
        self.open(None);
    }

    /// Goes down permanently; its addresses are free when this returns.
    pub async fn remove(&self) {
        self.die();
        for path in &self.paths {
            let acceptor = path.acceptor.take();
            if let Some(acceptor) = acceptor {
                acceptor.abort();
                let _ = acceptor.await;
            }
        }
    }
}
