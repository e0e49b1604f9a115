//! Hosts in zones, balancers with a map of regions, and stand-ins that detect connections.

use std::collections::BTreeSet;
use std::io::{BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use socket2::{Domain, Socket, Type};

use crate::common::*;

pub const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
pub const MAP: &str = r#"own = "north"
[[region]]
name = "north"
zones = ["n1", "n2"]
[[region]]
name = "south"
zones = ["s1"]
"#;

/// An entry of the list, with a zone.
pub fn zoned_entry(name: &str, zone: &str, address: SocketAddr, lifecycle: &str) -> String {
    entry(name, address, lifecycle).replace(r#""zone":"a""#, &format!(r#""zone":"{zone}""#))
}

/// The configuration of a balancer with an admin interface.
pub fn config(discovery: SocketAddr, known: &[String], settings: &str) -> String {
    let text = managed_config(known, [192, 1024]).replace("127.0.0.1:1\"", &format!("{discovery}\""));
    text.replace(SETTINGS, settings)
}

pub fn start(discovery: SocketAddr, known: &[String], settings: &str) -> Program {
    start_with_map(MAP, discovery, known, settings)
}

pub fn start_with_map(map: &str, discovery: SocketAddr, known: &[String], settings: &str) -> Program {
    let mut program = Program::with_regions(BINARY, &config(discovery, known, settings), map);
    program.wait_for_admin();
    program.serving()
}

/// [`MAP`] with this minimum of hosts in the region `north`.
pub fn map_with_min_hosts(hosts: u32) -> String {
    MAP.replace(r#"zones = ["n1", "n2"]"#, &format!("zones = [\"n1\", \"n2\"]\nhosts = {hosts}"))
}

/// `entry` for a host that has just started.
pub fn just_started(entry: &str) -> String {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("a time after 1970");
    entry.replace(r#""startedAtMs":0"#, &format!(r#""startedAtMs":{}"#, since.as_millis()))
}

pub fn host_named(name: &'static str) -> Peer {
    Peer::host(move |_| hit(name))
}

/// Waits until the next call shows that the list of this version has been read.
pub fn wait_until_read(discovery: &Peer, version: usize) {
    while !discovery.next().contains(&format!("from={version}&")) {}
}

/// A listener that never answers, and detects whether a client has connected.
pub struct UntouchedListener {
    listener: TcpListener,
    pub address: SocketAddr,
}

impl UntouchedListener {
    pub fn start() -> UntouchedListener {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        listener.set_nonblocking(true).expect("a socket");
        let address = listener.local_addr().expect("an address");
        UntouchedListener { listener, address }
    }

    pub fn is_untouched(&self) -> bool {
        matches!(self.listener.accept(), Err(cause) if cause.kind() == ErrorKind::WouldBlock)
    }
}

/// A host that refuses connections until it is opened, and counts the connections it has accepted.
pub struct RefusingHost {
    socket: Socket,
    pub address: SocketAddr,
    accepted: Arc<AtomicU32>,
}

impl RefusingHost {
    pub fn start() -> RefusingHost {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
        let address = socket.local_addr().expect("an address").as_socket().expect("of IPv4");
        RefusingHost { socket, address, accepted: Arc::default() }
    }

    /// Accepts connections, and answers every key with `name`. Returns the counter of accepted
    /// connections.
    pub fn opened(self, name: &'static str) -> Arc<AtomicU32> {
        self.socket.listen(128).expect("the host listens");
        let (listener, accepted) = (TcpListener::from(self.socket), self.accepted.clone());
        thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                accepted.fetch_add(1, Ordering::SeqCst);
                thread::spawn(move || {
                    let mut reading = BufReader::new(stream.try_clone().expect("a second handle"));
                    while read_command(&mut reading).is_ok() {
                        let Reply::Text(text) = hit(name) else { break };
                        if stream.write_all(text.as_bytes()).is_err() {
                            break;
                        }
                    }
                });
            }
        });
        self.accepted
    }
}

/// Reads many keys until all awaited answers have come, and returns all answers, which are the
/// names of the hosts that answered. Rejections are left out unless they are awaited: if the
/// machine stalls, attempts time out and their host is ejected until it is probed.
pub fn answering_hosts(program: &Program, awaited: &[&str]) -> String {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let (began, mut client) = (Instant::now(), program.client());
    let mut answers = BTreeSet::new();
    while answers.is_empty() || !awaited.iter().all(|name| answers.contains(*name)) {
        for nth in 0..60 {
            let id = format!("id{}", NEXT.fetch_add(1, Ordering::Relaxed));
            let answer = client.command(&["CACHE.GET", &format!("k{nth}"), &id, "c=read,d=900"]);
            if !answer.starts_with('-') || awaited.contains(&answer.as_str()) {
                answers.insert(answer);
            }
        }
        assert!(began.elapsed() < Duration::from_secs(15), "only {answers:?} of {awaited:?} answered");
    }
    answers.into_iter().collect::<Vec<_>>().join(" ")
}
