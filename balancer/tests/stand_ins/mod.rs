//! Stand-ins for tests in which an attempt waits: hosts whose handshakes or responses are held back
//! until the test releases them, clients that leave, and settings under which attempts wait.
#![allow(dead_code)] // no test file uses all of them

pub mod scripted;

use std::io::{BufRead, BufReader, Read, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};
use std::thread;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use crate::common::{entry, gate, gated_host, hit, Client, Peer, Program, Reply, SETTINGS};

/// How a client ends its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Departure {
    Closes,
    Resets,
}

/// All ways in which a client ends its connection.
pub const EACH_DEPARTURE: [Departure; 2] = [Departure::Closes, Departure::Resets];

impl Departure {
    pub fn apply(self, client: Client) {
        match self {
            // Dropping the client would not close the connection while a program that another test
            // starts holds a copy of the descriptor.
            Departure::Closes => client.writing.shutdown(Shutdown::Both).expect("a socket"),
            Departure::Resets => {
                SockRef::from(&client.writing).set_linger(Some(Duration::ZERO)).expect("a socket");
            }
        }
    }
}

/// Settings with deadlines of many seconds for attempts and connections, of one balancer of 300: it
/// opens one connection a second to a host that has just broken one.
pub fn long_deadline_settings() -> String {
    let long = SETTINGS
        .replace("\"targetLatencyMs\":800.0,\"ttlMs\":2000.0", "\"targetLatencyMs\":9000.0,\"ttlMs\":9500.0");
    long.replace("\"groupSize\":2", "\"groupSize\":300")
        .replace("\"connectTimeoutMs\":250.0", "\"connectTimeoutMs\":8000.0")
}

/// Starts a host that closes its connection on the key `break`, after which one connection a second
/// may be opened to it, and that holds back responses to the key `slow`.
pub fn breaking_host() -> (Sender<()>, Peer) {
    let (release, wait) = gate();
    let peer = Peer::host(move |request| {
        if request.contains("break") {
            return Reply::ThenClose(String::new());
        }
        wait(request);
        hit("from a")
    });
    (release, peer)
}

/// Starts four hosts that hold back responses to slow keys. Returns them and their list entries.
pub fn four_gated_hosts() -> (Vec<(Sender<()>, Peer)>, Vec<String>) {
    let hosts: Vec<(Sender<()>, Peer)> = (0..4).map(|_| gated_host()).collect();
    let known = ["a", "b", "c", "d"].iter().zip(&hosts);
    let known = known.map(|(name, host)| entry(name, host.1.address, "active")).collect();
    (hosts, known)
}

/// Sends an attempt to a [`breaking_host`] over the only connection there, with its response held
/// back; the next connection may be opened after a second. Returns the attempt's client and the
/// trace so far.
pub fn one_attempt_in_flight(program: &Program, a: &Peer) -> (Client, Vec<String>) {
    let (mut first, mut slow) = (program.client(), program.client());
    first.get("break", "id0", "c=read,d=9000");
    let mut trace = vec![a.next(), a.next(), first.answer()];
    slow.get("slow", "id1", "c=read,d=9000");
    trace.push(a.next());
    (slow, trace)
}

/// A listener with a full backlog: a new connection stays in its handshake until the test accepts
/// those before it.
pub struct StalledListener {
    socket: Socket,
    /// Connections that fill the backlog.
    fillers: Vec<TcpStream>,
    pub address: SocketAddr,
}

impl StalledListener {
    pub fn start() -> StalledListener {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        socket.listen(0).expect("a listening socket");
        let address = socket.local_addr().expect("an address").as_socket().expect("an IPv4 address");
        let timeout = Duration::from_millis(200);
        let fillers = std::iter::from_fn(|| TcpStream::connect_timeout(&address, timeout).ok());
        StalledListener { fillers: fillers.take(64).collect(), socket, address }
    }

    /// Accepts all connections. For those other than the fillers, the first receiver reports each
    /// accept, and the second the first byte written on a connection.
    pub fn accept_all(self) -> (Receiver<SocketAddr>, Receiver<SocketAddr>) {
        let (accept_sender, accepted) = channel();
        let (write_sender, wrote) = channel();
        thread::spawn(move || {
            let fillers: Vec<SocketAddr> =
                self.fillers.iter().filter_map(|filler| filler.local_addr().ok()).collect();
            while let Ok((stream, from)) = self.socket.accept() {
                let from = from.as_socket().expect("an IPv4 address");
                let (mut stream, write_sender) = (TcpStream::from(stream), write_sender.clone());
                if !fillers.contains(&from) {
                    let _ = accept_sender.send(from);
                    thread::spawn(move || {
                        stream.read(&mut [0]).is_ok_and(|read| read > 0).then(|| write_sender.send(from))
                    });
                }
            }
        });
        (accepted, wrote)
    }
}

/// Starts an origin that reports the time that each request states, in milliseconds.
pub fn origin_that_reports_waits() -> (SocketAddr, Receiver<u64>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (sender, waits) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let mut writing = stream.try_clone().expect("a second handle");
            let mut lines = BufReader::new(stream).lines().map_while(Result::ok);
            let facts = lines.find_map(|line| line.strip_prefix("X-Facts: ").map(str::to_owned));
            let wait = facts.and_then(|facts| facts.split(",d=").nth(1)?.split(',').next()?.parse().ok());
            let _ = sender.send(wait.expect("the request states its time"));
            let _ = writing.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
            // The rest of the request is read before the connection ends.
            thread::spawn(move || lines.count());
        }
    });
    (address, waits)
}
