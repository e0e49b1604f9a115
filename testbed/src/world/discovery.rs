//! Discovery: each balancer has an agent of its own, which hears of changes after a lag of its own and tells them to the
//! balancer's watch.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::http;
use serde_json::{json, Value};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::host::Host;
use super::listener::listen;
use crate::experiment::{zone_name, FaultKind};
use crate::ledger::{EndpointStatus, HostNo, Ledger, Observation};
use crate::time::{to_duration, Micros};

use super::faults::Faults;

/// What discovery has to tell counts as told after this at the latest, by the protocol.
const AT_LATEST: Duration = Duration::from_secs(6);

#[derive(Clone)]
struct Entry {
    name: String,
    no: HostNo,
    standing: EndpointStatus,
    body: Value,
}

/// After which version a call asks for changes, and for how long it may be held; none where it asks for all.
pub(crate) fn parse_watch_query(path: &str) -> Option<(u64, Duration)> {
    let number = |name: &str| {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let value = query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        value.and_then(|value| value.parse::<u64>().ok())
    };
    Some((number("from")?, Duration::from_millis(number("hold_ms").unwrap_or(0).min(60_000))))
}

/// Holds a call for changes until there is something newer or its time is over; whether its caller is still there. One that
/// has gone is not to be told anything: that would count as told.
pub(crate) async fn wait_for_changes(
    stream: &mut TcpStream,
    generation: &watch::Sender<u64>,
    asked: Option<(u64, Duration)>,
) -> bool {
    let Some((from, hold)) = asked else { return true };
    let mut generation = generation.subscribe();
    let newer = generation.wait_for(|&generation| generation > from);
    let gone = async { while !matches!(stream.read(&mut [0]).await, Ok(0) | Err(_)) {} };
    tokio::select! {
        _ = timeout(hold, newer) => true,
        () = gone => false,
    }
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
    pub fn publish(self: &Rc<Agent>, host: &Host, standing: EndpointStatus) {
        let entry = self.entry(host, standing);
        let agent = self.clone();
        spawn_local(async move {
            sleep(to_duration(agent.lag)).await;
            if agent.stale.get() {
                agent.held.borrow_mut().push(entry);
            } else {
                agent.take(entry);
            }
        });
    }

    /// The same at the start: known at once.
    pub fn knows(&self, host: &Host) {
        let entry = self.entry(host, EndpointStatus::Active);
        self.entries.borrow_mut().insert(entry.name.clone(), (1, entry));
    }

    /// The list as a balancer has it at its start.
    pub fn known(&self) -> Value {
        let entries = self.entries.borrow();
        let there = entries.values().filter(|(_, entry)| entry.standing != EndpointStatus::Left);
        let instances: Vec<&Value> = there.map(|(_, entry)| &entry.body).collect();
        json!({"generation": *self.generation.borrow(), "reset": true, "instances": instances})
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

    fn entry(&self, host: &Host, standing: EndpointStatus) -> Entry {
        let terms = &host.terms;
        let clock = &self.ledger.clock;
        let wrong = self.faults.part(clock.now(), FaultKind::DiscoveryWrong, terms.no, self.balancer) > 0.0;
        // Port 1 has no listener on loopback.
        let address = if wrong { SocketAddr::from(([127, 0, 0, 1], 1)) } else { host.address(self.balancer) };
        let origin = terms.no == HostNo::ORIGIN;
        let lifecycle = match standing {
            EndpointStatus::Active => "active",
            EndpointStatus::Leaving => "leaving",
            EndpointStatus::Left => "left",
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
        let due = Observation::AnnouncementDue {
            balancer: self.balancer,
            host: entry.no,
            standing: entry.standing,
        };
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

    async fn serve(self: Rc<Agent>, mut stream: TcpStream) {
        let mut buffer = Buffer::new(16 * 1024);
        loop {
            let request = match http::parse_request(buffer.bytes(), 0) {
                Ok(Some(request)) => request,
                Ok(None) => {
                    let Ok(room) = buffer.unfilled() else { return };
                    match stream.read_buf(room).await {
                        Ok(1..) => continue,
                        _ => return,
                    }
                }
                Err(_) => return,
            };
            buffer.consume(request.consumed);
            let asked = parse_watch_query(&request.path);
            if !wait_for_changes(&mut stream, &self.generation, asked).await {
                return;
            }
            let from = asked.map(|(from, _)| from);
            while self.silent.get() {
                self.woken.notified().await;
            }
            let (text, told) = self.page(from);
            if stream.write_all(&text).await.is_err() {
                return;
            }
            for (host, standing) in told {
                self.ledger.note(Observation::StatusAnnounced { balancer: self.balancer, host, standing });
            }
        }
    }

    /// What is newer than a version, or all.
    fn page(&self, from: Option<u64>) -> (bytes::Bytes, Vec<(HostNo, EndpointStatus)>) {
        let entries = self.entries.borrow();
        let newer = entries.values().filter(|(generation, entry)| match from {
            Some(from) => *generation > from,
            None => entry.standing != EndpointStatus::Left,
        });
        let newer: Vec<&Entry> = newer.map(|(_, entry)| entry).collect();
        let instances: Vec<&Value> = newer.iter().map(|entry| &entry.body).collect();
        let page = json!({
            "generation": *self.generation.borrow(),
            "reset": from.is_none(),
            "instances": instances,
        });
        let text =
            http::encode_response(200, &[("Content-Type", "application/json")], page.to_string().as_bytes());
        (text, newer.iter().map(|entry| (entry.no, entry.standing)).collect())
    }
}
