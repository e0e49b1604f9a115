//! The emulated discovery service of a scale run, shared by all balancers. Like the platform's, it
//! holds a call for changes until the list is newer or the hold time is over. Changes alternate:
//! one sets a host to leaving, the next sets it back to active, so that the list keeps its size.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde_json::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::protocol::{DiscoveryReady, DiscoverySnapshot, DiscoverySpec, WorkerCommand};
use super::role::{to_reply, Reply, Role};
use super::system::unix_micros;
use crate::discovery_calls::{encode_list, Calls, ChangesQuery};
use crate::thread_stats::thread_cpu_seconds;
use crate::world::listener::listen;

/// How often discovery checks whether list changes are enabled, and the delay after a failed
/// accept.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// The longest time between two changes, in seconds.
const MAX_CHANGE_INTERVAL_S: f64 = 10.0;
/// The first change comes after this fraction of the interval, so that the last change is not due
/// right when changes are stopped.
const FIRST_INTERVAL_FRACTION: f64 = 0.25;

/// An entry of the list, and the version in which it last changed.
struct VersionedEntry {
    version: u64,
    entry: Value,
}

/// The last encoded response, reused because many balancers make the same call.
struct CachedResponse {
    /// The version that the callers have; `None` if they asked for the whole list.
    after: Option<u64>,
    /// The version of the list in the response.
    generation: u64,
    response: Bytes,
}

/// The discovery service of a run.
pub struct Discovery {
    spec: DiscoverySpec,
    address: SocketAddr,
    entries: RefCell<Vec<VersionedEntry>>,
    /// The newest version.
    generation: watch::Sender<u64>,
    cached: RefCell<Option<CachedResponse>>,
    /// Whether calls are read but not answered.
    silent: watch::Sender<bool>,
    /// Whether list changes are enabled.
    changing: Cell<bool>,
    counters: RefCell<DiscoverySnapshot>,
}

impl Discovery {
    /// Listens on its own loopback address, with list changes disabled.
    ///
    /// # Errors
    /// Binding the listener failed.
    pub fn start(spec: DiscoverySpec) -> std::io::Result<Rc<Discovery>> {
        let listener = listen((Ipv4Addr::new(127, 31, 0, 1), 0).into())?;
        let initial = |entry: &Value| VersionedEntry { version: 1, entry: entry.clone() };
        let discovery = Rc::new(Discovery {
            address: listener.local_addr()?,
            entries: RefCell::new(spec.entries.iter().map(initial).collect()),
            generation: watch::Sender::new(1),
            cached: RefCell::default(),
            silent: watch::Sender::new(false),
            changing: Cell::new(false),
            counters: RefCell::default(),
            spec,
        });
        spawn_local(discovery.clone().accept(listener));
        spawn_local(discovery.clone().change_list());
        Ok(discovery)
    }

    /// Changes the list while changes are enabled. The intervals are even, so that short stages
    /// have the same number of changes with every seed.
    async fn change_list(self: Rc<Discovery>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.spec.seed);
        let mut leaving = None;
        let mut interval_fraction = FIRST_INTERVAL_FRACTION;
        loop {
            if !self.changing.get() || self.spec.changes_per_s <= 0.0 {
                interval_fraction = FIRST_INTERVAL_FRACTION;
                sleep(POLL_INTERVAL).await;
                continue;
            }
            let interval_s = interval_fraction / self.spec.changes_per_s;
            sleep(Duration::from_secs_f64(interval_s.min(MAX_CHANGE_INTERVAL_S))).await;
            interval_fraction = 1.0;
            match leaving.take() {
                Some(host) => self.set_lifecycle(host, "active"),
                None => {
                    let host = rng.random_range(0..self.spec.entries.len());
                    leaving = Some(host);
                    self.set_lifecycle(host, "leaving");
                }
            }
        }
    }

    /// Publishes a new version of the list in which one host has another lifecycle.
    fn set_lifecycle(&self, host: usize, lifecycle: &str) {
        let generation = *self.generation.borrow() + 1;
        if let Some(changed) = self.entries.borrow_mut().get_mut(host) {
            changed.version = generation;
            changed.entry["lifecycle"] = lifecycle.into();
        }
        self.counters.borrow_mut().changes.push((generation, unix_micros()));
        self.generation.send_replace(generation);
    }

    async fn accept(self: Rc<Discovery>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().serve(stream));
                }
                Err(_) => sleep(POLL_INTERVAL).await,
            }
        }
    }

    /// Answers the calls of one connection until it closes.
    async fn serve(self: Rc<Discovery>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut calls = Calls::new(stream);
        let mut silent = self.silent.subscribe();
        while let Some(call) = calls.next().await {
            self.count_call(call.consumed);
            let changes = ChangesQuery::parse(&call.path);
            if !calls.hold(&self.generation, changes).await {
                return;
            }
            if silent.wait_for(|silent| !silent).await.is_err() {
                return;
            }
            let response = self.response(changes.map(|changes| changes.after));
            if calls.stream().write_all(&response).await.is_err() {
                return;
            }
            self.counters.borrow_mut().bytes_out += response.len() as u64;
        }
    }

    fn count_call(&self, bytes: usize) {
        let mut counters = self.counters.borrow_mut();
        counters.calls += 1;
        counters.bytes_in += bytes as u64;
    }

    /// The entries newer than `after`, or the whole list for `None`.
    fn response(&self, after: Option<u64>) -> Bytes {
        let generation = *self.generation.borrow();
        if let Some(cached) = &*self.cached.borrow() {
            if (cached.after, cached.generation) == (after, generation) {
                return cached.response.clone();
            }
        }
        let entries = self.entries.borrow();
        let newer = entries.iter().filter(|entry| after.is_none_or(|after| entry.version > after));
        let instances: Vec<&Value> = newer.map(|entry| &entry.entry).collect();
        let response = encode_list(generation, after.is_none(), &instances);
        self.cached.replace(Some(CachedResponse { after, generation, response: response.clone() }));
        response
    }
}

impl Role for Discovery {
    fn ready(&self) -> Reply {
        to_reply(&DiscoveryReady { address: self.address })
    }

    fn handle(&self, command: WorkerCommand) -> Reply {
        match command {
            WorkerCommand::Start => self.changing.set(true),
            WorkerCommand::Stop => self.changing.set(false),
            WorkerCommand::StopResponding => drop(self.silent.send_replace(true)),
            WorkerCommand::ResumeResponding => drop(self.silent.send_replace(false)),
            WorkerCommand::Snapshot => {}
        }
        let mut counters = self.counters.borrow_mut();
        counters.cpu_s = thread_cpu_seconds();
        let reply = to_reply(&*counters);
        counters.changes.clear();
        reply
    }
}
