//! The emulated discovery of a scale run: one for all balancers. A call for changes is held until
//! the list is newer or its hold is over, as the platform's is. A host that one change lists as
//! leaving the next lists as active again, so that the list keeps its size.

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

/// How often discovery looks whether it is to change the list, and tries again to accept.
const IDLE_INTERVAL: Duration = Duration::from_millis(5);
/// The longest wait for a change, in seconds.
const MAX_CHANGE_INTERVAL_S: f64 = 10.0;
/// The first change comes after this part of the interval: the last of a stretch is then not due at
/// its very end.
const FIRST_CHANGE_PART: f64 = 0.25;

/// An entry of the list, and the version that brought it.
struct VersionedEntry {
    version: u64,
    entry: Value,
}

/// A response that was written, to send again: many balancers call alike.
struct CachedResponse {
    /// The version that the callers had; none where they asked for all.
    after: Option<u64>,
    /// The version that the response brings.
    generation: u64,
    response: Bytes,
}

/// The discovery of a run.
pub struct Discovery {
    spec: DiscoverySpec,
    address: SocketAddr,
    entries: RefCell<Vec<VersionedEntry>>,
    /// The newest version.
    generation: watch::Sender<u64>,
    cached: RefCell<Option<CachedResponse>>,
    /// Whether calls are read and not answered.
    silent: watch::Sender<bool>,
    /// Whether the list changes.
    changing: Cell<bool>,
    counters: RefCell<DiscoverySnapshot>,
}

impl Discovery {
    /// Listens on an address of its own. The list does not change yet.
    ///
    /// # Errors
    /// The address can't be listened on.
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

    /// Changes the list at even intervals while it is to: a short stretch sees as many changes with
    /// every seed.
    async fn change_list(self: Rc<Discovery>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.spec.seed);
        let mut leaving = None;
        let mut interval_part = FIRST_CHANGE_PART;
        loop {
            if !self.changing.get() || self.spec.changes_per_s <= 0.0 {
                interval_part = FIRST_CHANGE_PART;
                sleep(IDLE_INTERVAL).await;
                continue;
            }
            let interval_s = interval_part / self.spec.changes_per_s;
            sleep(Duration::from_secs_f64(interval_s.min(MAX_CHANGE_INTERVAL_S))).await;
            interval_part = 1.0;
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

    /// A new version of the list, in which one host has another lifecycle.
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
                Err(_) => sleep(IDLE_INTERVAL).await,
            }
        }
    }

    /// Answers the calls of one connection until that ends.
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

    /// What is newer than a version, or all.
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
