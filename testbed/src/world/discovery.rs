//! Discovery: each balancer has an agent of its own, which hears of changes after a lag of its own and tells them to the
//! balancer's watch.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::sleep;

use super::host::{listen, Host};
use crate::discovery_calls::{encode_list, list, Calls, ChangesQuery};
use crate::ledger::{HostNo, Ledger, Standing, What};
use crate::script::{zone_name, Kind};
use crate::time::{span, Micros};

use super::faults::Faults;

/// What discovery has to tell counts as told after this at the latest, by the protocol.
const AT_LATEST: Duration = Duration::from_secs(6);

#[derive(Clone)]
struct Entry {
    name: String,
    no: HostNo,
    standing: Standing,
    body: Value,
}

/// What one balancer's agent knows.
pub struct Agent {
    balancer: usize,
    pub address: SocketAddr,
    lag: Micros,
    ledger: Ledger,
    faults: Faults,
    generation: watch::Sender<u64>,
    /// By name: the entry, and the version that brought it.
    entries: RefCell<BTreeMap<String, (u64, Entry)>>,
    /// Changes that have not been taken in: discovery is stale.
    held: RefCell<Vec<Entry>>,
    silent: Cell<bool>,
    stale: Cell<bool>,
    woken: Notify,
}

impl Agent {
    pub fn start(balancer: usize, lag: Micros, ledger: Ledger, faults: Faults) -> std::io::Result<Rc<Agent>> {
        let listener = listen((Ipv4Addr::new(127, 31, 0, balancer as u8 + 1), 0).into())?;
        let agent = Rc::new(Agent {
            balancer,
            address: listener.local_addr()?,
            lag,
            ledger,
            faults,
            generation: watch::Sender::new(1),
            entries: RefCell::default(),
            held: RefCell::default(),
            silent: Cell::new(false),
            stale: Cell::new(false),
            woken: Notify::new(),
        });
        spawn_local(agent.clone().accept(listener));
        Ok(agent)
    }

    /// A host's standing has changed; the agent hears of it after its lag.
    pub fn publish(self: &Rc<Agent>, host: &Host, standing: Standing) {
        let entry = self.entry(host, standing);
        let agent = self.clone();
        spawn_local(async move {
            sleep(span(agent.lag)).await;
            if agent.stale.get() {
                agent.held.borrow_mut().push(entry);
            } else {
                agent.take(entry);
            }
        });
    }

    /// The same at the start: known at once.
    pub fn knows(&self, host: &Host) {
        let entry = self.entry(host, Standing::Up);
        self.entries.borrow_mut().insert(entry.name.clone(), (1, entry));
    }

    /// The list as a balancer has it at its start.
    pub fn known(&self) -> Value {
        let entries = self.entries.borrow();
        let there = entries.values().filter(|(_, entry)| entry.standing != Standing::Left);
        let instances: Vec<&Value> = there.map(|(_, entry)| &entry.body).collect();
        list(*self.generation.borrow(), true, &instances)
    }

    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.woken.notify_waiters();
    }

    pub fn set_stale(self: &Rc<Agent>, stale: bool) {
        self.stale.set(stale);
        if !stale {
            self.held.take().into_iter().for_each(|entry| self.take(entry));
        }
    }

    fn entry(&self, host: &Host, standing: Standing) -> Entry {
        let terms = &host.terms;
        let clock = &self.ledger.clock;
        let wrong = self.faults.part(clock.now(), Kind::DiscoveryWrong, terms.no, self.balancer) > 0.0;
        // Port 1 has no listener on loopback.
        let address = if wrong { SocketAddr::from(([127, 0, 0, 1], 1)) } else { host.address(self.balancer) };
        let origin = terms.no == HostNo::ORIGIN;
        let lifecycle = match standing {
            Standing::Up => "active",
            Standing::Leaving => "leaving",
            Standing::Left => "left",
        };
        let body = json!({
            "instanceId": terms.name,
            "hostPort": address.to_string(),
            "zone": zone_name(terms.zone),
            "machineType": if origin { "origin" } else { "host" },
            "cell": terms.no.0 % 1_000_000,
            "lifecycle": lifecycle,
            "weight": terms.machine.cores as f64,
            "startedAtMs": host.started().map_or(0.0, |started| clock.unix_ms(started)),
        });
        Entry { name: terms.name.clone(), no: terms.no, standing, body }
    }

    /// The agent has it from now on, and that counts as told, also to a balancer that has no call open: an agent that
    /// speaks would tell it at once. Of a silent one it counts as told after [`AT_LATEST`].
    fn take(self: &Rc<Agent>, entry: Entry) {
        let generation = *self.generation.borrow() + 1;
        let due = What::Due { balancer: self.balancer, host: entry.no, standing: entry.standing };
        if self.silent.get() {
            let (agent, name) = (self.clone(), entry.name.clone());
            spawn_local(async move {
                sleep(AT_LATEST).await;
                // Unless something newer is known of it by then.
                if agent.entries.borrow().get(&name).is_some_and(|(newest, _)| *newest == generation) {
                    agent.ledger.note(due);
                }
            });
        } else {
            self.ledger.note(due);
        }
        self.entries.borrow_mut().insert(entry.name.clone(), (generation, entry));
        self.generation.send_replace(generation);
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
                self.woken.notified().await;
            }
            let (text, told) = self.page(changes.map(|changes| changes.after));
            if calls.stream().write_all(&text).await.is_err() {
                return;
            }
            for (host, standing) in told {
                self.ledger.note(What::Told { balancer: self.balancer, host, standing });
            }
        }
    }

    /// What is newer than a version, or all.
    fn page(&self, from: Option<u64>) -> (bytes::Bytes, Vec<(HostNo, Standing)>) {
        let entries = self.entries.borrow();
        let newer = entries.values().filter(|(generation, entry)| match from {
            Some(from) => *generation > from,
            None => entry.standing != Standing::Left,
        });
        let newer: Vec<&Entry> = newer.map(|(_, entry)| entry).collect();
        let instances: Vec<&Value> = newer.iter().map(|entry| &entry.body).collect();
        let text = encode_list(*self.generation.borrow(), from.is_none(), &instances);
        (text, newer.iter().map(|entry| (entry.no, entry.standing)).collect())
    }
}
