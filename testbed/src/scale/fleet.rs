//! Emulated cache hosts of a scale run: each on an address of its own in 127.64.0.0/10, shared by all balancers.
//! A host answers each command after its time with a value; it has no queue, no store and no faults but one:
//! while it hangs it takes commands and says nothing.

use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::worker_process::{counts, in_json, ValueCounts, Worker, WorkerCommand, WorkerReply};
use crate::lateness::Lateness;
use crate::load::player::thread_cpu;
use crate::world::beat;
use crate::world::host::listen;

/// A slice of the hosts: so many from a number on.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSpec {
    pub first: u32,
    pub hosts: u32,
    /// How long a command takes.
    pub service_ms: f64,
    pub value_bytes: usize,
    /// A connection that stands idle for so long is closed.
    pub idle_ms: f64,
}

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetReady {
    pub addresses: Vec<SocketAddr>,
}

/// Counters since the start; lateness since the last mark.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    pub cpu_s: f64,
    /// By host.
    pub requests: Vec<u64>,
    /// Connections taken, by host.
    pub opened: Vec<u64>,
    /// Connections that are open now, by host.
    pub open: Vec<u64>,
    pub late: ValueCounts,
    /// Beside waits for a core.
    pub own: ValueCounts,
}

#[derive(Default)]
struct Host {
    requests: Cell<u64>,
    opened: Cell<u64>,
    open: Cell<u64>,
    hangs: Cell<bool>,
}

pub struct Fleet {
    spec: FleetSpec,
    addresses: RefCell<Vec<SocketAddr>>,
    hosts: Vec<Rc<Host>>,
    late: Arc<Lateness>,
}

fn more(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

impl Fleet {
    /// # Errors
    /// Where an address can't be listened on.
    pub fn start(spec: FleetSpec) -> std::io::Result<Rc<Fleet>> {
        let fleet = Rc::new(Fleet {
            addresses: RefCell::default(),
            hosts: (0..spec.hosts).map(|_| Rc::default()).collect(),
            late: Arc::default(),
            spec,
        });
        for (nth, host) in (fleet.spec.first + 1..).zip(&fleet.hosts) {
            let [_, high, mid, low] = nth.to_be_bytes();
            let address = Ipv4Addr::new(127, 64 | (high & 0x3f), mid, low);
            let listener = listen((address, 0).into())?;
            fleet.addresses.borrow_mut().push(listener.local_addr()?);
            spawn_local(fleet.clone().accept(host.clone(), listener));
        }
        spawn_local(beat(fleet.late.clone()));
        Ok(fleet)
    }

    async fn accept(self: Rc<Fleet>, host: Rc<Host>, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(self.clone().attend(host.clone(), stream));
                }
                // No descriptor is left; one comes free sooner or later.
                Err(_) => sleep(Duration::from_millis(5)).await,
            }
        }
    }

    async fn attend(self: Rc<Fleet>, host: Rc<Host>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        more(&host.opened);
        more(&host.open);
        self.serve(&host, stream).await;
        host.open.set(host.open.get() - 1);
    }

    async fn serve(&self, host: &Host, mut stream: TcpStream) {
        let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE);
        let idle = Duration::from_secs_f64(self.spec.idle_ms / 1e3);
        let service = Duration::from_secs_f64(self.spec.service_ms / 1e3);
        loop {
            match resp::parse_complete_command(buffer.bytes()) {
                Ok(Some(resp::CompleteCommand { words, consumed: used })) => {
                    buffer.consume(used);
                    more(&host.requests);
                    sleep(service).await;
                    while host.hangs.get() {
                        sleep(Duration::from_millis(50)).await;
                    }
                    if stream.write_all(&self.value(&words)).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {
                    let Ok(room) = buffer.unfilled() else { return };
                    if !matches!(timeout(idle, stream.read_buf(room)).await, Ok(Ok(1..))) {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }
}

impl Fleet {
    /// The value made for an op: it begins with the op's id, which its client looks for.
    fn value(&self, words: &[Bytes]) -> Bytes {
        let mut value = words.get(2).map_or_else(Vec::new, |id| id.to_vec());
        value.resize(value.len().max(self.spec.value_bytes), b'.');
        resp::encode_reply(Some(&value), None)
    }
}

impl Worker for Fleet {
    fn up(&self) -> WorkerReply {
        in_json(&FleetReady { addresses: self.addresses.borrow().clone() })
    }

    fn asked(self: Rc<Self>, asked: WorkerCommand) -> WorkerReply {
        match asked {
            // The first of its slice hangs.
            WorkerCommand::StopResponding => self.hosts.iter().take(1).for_each(|host| host.hangs.set(true)),
            WorkerCommand::ResumeResponding => self.hosts.iter().for_each(|host| host.hangs.set(false)),
            WorkerCommand::Start | WorkerCommand::Stop | WorkerCommand::Snapshot => {}
        }
        let of = |read: fn(&Host) -> &Cell<u64>| self.hosts.iter().map(|host| read(host).get()).collect();
        let seen = self.late.seen();
        let mark = FleetSnapshot {
            cpu_s: thread_cpu(),
            requests: of(|host| &host.requests),
            opened: of(|host| &host.opened),
            open: of(|host| &host.open),
            late: counts(&seen.late),
            own: counts(&seen.own),
        };
        self.late.clear();
        in_json(&mark)
    }
}
