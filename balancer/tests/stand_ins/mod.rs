//! Stand-ins for tests of what happens while an attempt waits: hosts whose handshakes or responses
//! are held back until the test releases them, clients that leave, and settings under which
//! attempts wait.
#![allow(dead_code)] // each test file uses its part

use std::io::Read;
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use crate::common::{entry, gate, gated_host, hit, Client, Peer, Program, Reply, SETTINGS};

/// How a client leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    Closes,
    Resets,
}

/// Both ways in which a client leaves.
pub const EACH_DEPARTURE: [Departure; 2] = [Departure::Closes, Departure::Resets];

impl Departure {
    pub fn apply(self, client: Client) {
        match self {
            // A plain drop would not end it while a program that another test starts holds a copy
            // of the handle.
            Departure::Closes => client.writing.shutdown(Shutdown::Both).expect("a socket"),
            Departure::Resets => {
                SockRef::from(&client.writing).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
        }
    }
}

/// Deadlines of many seconds for attempts and connections, and a balancer among 300: it opens one
/// connection a second at a host that has just broken one.
pub fn long_deadline_settings() -> String {
    let long = SETTINGS
        .replace("\"targetLatencyMs\":800.0,\"ttlMs\":2000.0", "\"targetLatencyMs\":9000.0,\"ttlMs\":9500.0");
    long.replace("\"groupSize\":2", "\"groupSize\":300")
        .replace("\"connectTimeoutMs\":250.0", "\"connectTimeoutMs\":8000.0")
}

/// A host that ends its connection at the key `break`: after that one connection a second may be
/// opened there. It holds an response to the key `slow` back.
pub fn breaking_host() -> (Sender<()>, Peer) {
    let (release, wait) = gate();
    let peer = Peer::host(move |request| {
        if request.contains("break") {
            return Reply::Last(String::new());
        }
        wait(request);
        hit("from a")
    });
    (release, peer)
}

/// Four hosts that hold a response to a slow key back, and their entries in the list.
pub fn four_gated_hosts() -> (Vec<(Sender<()>, Peer)>, Vec<String>) {
    let hosts: Vec<(Sender<()>, Peer)> = (0..4).map(|_| gated_host()).collect();
    let known = ["a", "b", "c", "d"].iter().zip(&hosts);
    let known = known.map(|(name, host)| entry(name, host.1.address, "active")).collect();
    (hosts, known)
}

/// One attempt is in flight at such a host, on the only connection there, and its response is held
/// back; the next connection may be opened after a second. Returns its client, and the trace so
/// far.
pub fn one_attempt_in_flight(program: &Program, a: &Peer) -> (Client, Vec<String>) {
    let (mut first, mut slow) = (program.client(), program.client());
    first.get("break", "id0", "c=read,d=9000");
    let mut trace = vec![a.next(), a.next(), first.answer()];
    slow.get("slow", "id1", "c=read,d=9000");
    trace.push(a.next());
    (slow, trace)
}

/// Listens and accepts nobody: what connects from now on stays in its handshake until the test
/// accepts those before.
pub struct StalledListener {
    socket: Socket,
    fillers: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl StalledListener {
    pub fn start() -> StalledListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("it listens");
        let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
        let short = Duration::from_millis(200);
        let fillers = std::iter::from_fn(|| TcpStream::connect_timeout(&address, short).ok());
        StalledListener { fillers: fillers.take(64).collect(), socket, address }
    }

    /// Accepts all that come, and reports those but the fillers, and the first byte that any of
    /// them writes.
    pub fn accept_all(self) -> (Receiver<SocketAddr>, Receiver<SocketAddr>) {
        let (here, came) = channel();
        let (tell, wrote) = channel();
        thread::spawn(move || {
            let own: Vec<SocketAddr> = self.fillers.iter().filter_map(|one| one.local_addr().ok()).collect();
            while let Ok((stream, from)) = self.socket.accept() {
                let from = from.as_socket().expect("of IPv4");
                let (mut stream, tell) = (TcpStream::from(stream), tell.clone());
                if !own.contains(&from) {
                    let _ = here.send(from);
                    thread::spawn(move || {
                        stream.read(&mut [0]).is_ok_and(|read| read > 0).then(|| tell.send(from))
                    });
                }
            }
        });
        (came, wrote)
    }
}
