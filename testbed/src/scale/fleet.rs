//! Emulated cache hosts of a scale run, shared by all balancers, each with its own address in
//! 127.64.0.0/10. A host answers each command with a value after its service time. It has no queue,
//! no store and only one fault: a host that hangs reads commands and answers none.

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp;
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

use super::protocol::{value_counts, FleetReady, FleetSnapshot, FleetSpec, WorkerCommand};
use super::role::{to_reply, Reply, Role};
use crate::lateness::Lateness;
use crate::thread_stats::record_lateness;
use crate::thread_stats::thread_cpu_seconds;
use crate::world::listener::listen;

/// The delay after a failed accept: all descriptors are in use until a connection closes.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// How often a command held up by a hang checks whether the hang is over.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// The counters of one host, and whether the host hangs.
#[derive(Default)]
struct HostState {
    requests: Cell<u64>,
    accepted: Cell<u64>,
    open: Cell<u64>,
    hanging: Cell<bool>,
}

/// Counts a connection as open until it is dropped.
struct OpenGuard<'a>(&'a Cell<u64>);

impl<'a> OpenGuard<'a> {
    fn new(open: &'a Cell<u64>) -> OpenGuard<'a> {
        increment(open);
        OpenGuard(open)
    }
}

impl Drop for OpenGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

fn increment(count: &Cell<u64>) {
    count.set(count.get() + 1);
}

/// The hosts of one process.
pub struct Fleet {
    addresses: Vec<SocketAddr>,
    hosts: Vec<Rc<HostState>>,
    lateness: Arc<Lateness>,
}

/// The service parameters of a host.
#[derive(Clone, Copy)]
struct Service {
    duration: Duration,
    idle_timeout: Duration,
    value_bytes: usize,
}

impl Fleet {
    /// Starts a listener for each host.
    ///
    /// # Errors
    /// Binding a listener failed.
    pub fn start(spec: FleetSpec) -> std::io::Result<Rc<Fleet>> {
        let service = Service {
            duration: Duration::from_secs_f64(spec.service_ms / 1e3),
            idle_timeout: Duration::from_secs_f64(spec.idle_timeout_ms / 1e3),
            value_bytes: spec.value_bytes,
        };
        let mut addresses = Vec::new();
        let hosts: Vec<Rc<HostState>> = (0..spec.hosts).map(|_| Rc::default()).collect();
        for (number, host) in (spec.first_host + 1..).zip(&hosts) {
            let listener = listen((host_ip(number), 0).into())?;
            addresses.push(listener.local_addr()?);
            spawn_local(accept(host.clone(), service, listener));
        }
        let lateness: Arc<Lateness> = Arc::default();
        spawn_local(record_lateness(lateness.clone()));
        Ok(Rc::new(Fleet { addresses, hosts, lateness }))
    }
}

/// The address of the host with this number, counted from 1.
fn host_ip(number: u32) -> Ipv4Addr {
    let [_, high, middle, low] = number.to_be_bytes();
    Ipv4Addr::new(127, 64 | (high & 0x3f), middle, low)
}

async fn accept(host: Rc<HostState>, service: Service, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                spawn_local(serve(host.clone(), service, stream));
            }
            Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
        }
    }
}

/// Answers the commands of one connection until it closes or its idle timeout passes.
async fn serve(host: Rc<HostState>, service: Service, mut stream: TcpStream) {
    let _ = stream.set_nodelay(true);
    increment(&host.accepted);
    let _open = OpenGuard::new(&host.open);
    let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE);
    loop {
        match resp::parse_complete_command(buffer.bytes()) {
            Ok(Some(command)) => {
                buffer.consume(command.consumed);
                increment(&host.requests);
                sleep(service.duration).await;
                while host.hanging.get() {
                    sleep(HANG_CHECK_INTERVAL).await;
                }
                let reply = encode_value(&command.words, service.value_bytes);
                if stream.write_all(&reply).await.is_err() {
                    return;
                }
            }
            Ok(None) => {
                let Ok(mut unfilled) = buffer.unfilled() else { return };
                let read = timeout(service.idle_timeout, stream.read_buf(&mut unfilled)).await;
                if !matches!(read, Ok(Ok(1..))) {
                    return;
                }
            }
            Err(_) => return,
        }
    }
}

/// The value for a request. It starts with the request's id, by which the client verifies it.
fn encode_value(command: &[Bytes], value_bytes: usize) -> Bytes {
    let mut value = command.get(2).map_or_else(Vec::new, |id| id.to_vec());
    value.resize(value.len().max(value_bytes), b'.');
    resp::encode_reply(Some(&value), None)
}

impl Role for Fleet {
    fn ready(&self) -> Reply {
        to_reply(&FleetReady { addresses: self.addresses.clone() })
    }

    fn handle(&self, command: WorkerCommand) -> Reply {
        match command {
            // The first host of this process hangs.
            WorkerCommand::StopResponding => {
                self.hosts.iter().take(1).for_each(|host| host.hanging.set(true));
            }
            WorkerCommand::ResumeResponding => {
                self.hosts.iter().for_each(|host| host.hanging.set(false));
            }
            WorkerCommand::Start | WorkerCommand::Stop | WorkerCommand::Snapshot => {}
        }
        let by_host =
            |read: fn(&HostState) -> &Cell<u64>| self.hosts.iter().map(|host| read(host).get()).collect();
        let lateness = self.lateness.snapshot();
        let snapshot = FleetSnapshot {
            cpu_s: thread_cpu_seconds(),
            requests_by_host: by_host(|host| &host.requests),
            accepted_by_host: by_host(|host| &host.accepted),
            open_by_host: by_host(|host| &host.open),
            lateness: value_counts(&lateness.late),
            own_lateness: value_counts(&lateness.own),
        };
        self.lateness.clear();
        to_reply(&snapshot)
    }
}
