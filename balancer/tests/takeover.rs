//! Replaces a balancer process by another one that inherits the clients' listening socket: no
//! request is lost, and both processes together stay within the balancer's limits.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::collections::HashSet;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::thread::{spawn, JoinHandle};
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const LAME_DUCK_ON: &str = "POST /_lameduck/on HTTP/1.1\r\n\r\n";
const READY: &str = "GET /_ready HTTP/1.1\r\n\r\n";

/// Holds the clients' listening socket, and starts processes that inherit it.
struct Platform {
    listener: TcpListener,
    folder: PathBuf,
    config: String,
}

impl Platform {
    fn new(name: &str, hosts: &[(&str, &Peer)]) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address").to_string();
        let known: Vec<String> =
            hosts.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
        let config = managed_config(&known, [192, 192])
            .replace(r#""listen":"127.0.0.1:0""#, &format!(r#""listen":"{address}""#));
        let folder = std::env::temp_dir().join(format!("basaltwood-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        Platform { listener, folder, config }
    }

    /// Starts a process and waits until it is ready.
    fn start(&self) -> Program {
        let program = self.start_in(&self.folder);
        assert_eq!(program.call(READY).0, 200);
        program
    }

    fn start_in(&self, folder: &Path) -> Program {
        let mut program = Program::inheriting(BINARY, &self.config, &self.listener, folder);
        program.wait_for_admin();
        program.address = self.listener.local_addr().expect("an address").to_string();
        program.wait_for_log("Serving");
        program
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// A platform with an origin that holds back its answers to the key `slow`.
fn platform_with_a_gated_origin(name: &str) -> (Sender<()>, Peer, Platform) {
    let (release, wait) = gate();
    let origin = Peer::http(move |request| {
        wait(request);
        http_answer(200, "receipt")
    });
    let host = Peer::host(|_| miss());
    let platform = Platform::new(name, &[("a", &host), ("origin", &origin)]);
    (release, origin, platform)
}

/// What a client saw under steady load.
struct LoadResult {
    unexpected: Vec<String>,
    served: u32,
}

/// Sends one request after another until `stop`. Clients with an even number use each connection
/// once; the others keep theirs until it is closed after an answer.
fn steady_client(address: String, number: usize, stop: Arc<AtomicBool>) -> JoinHandle<LoadResult> {
    spawn(move || {
        let keeps_connection = !number.is_multiple_of(2);
        let (mut unexpected, mut served, mut sent) = (Vec::new(), 0, 0);
        let mut client = Client::at(&address);
        while !stop.load(Ordering::Relaxed) {
            sent += 1;
            let id = format!("c{number}-{sent}");
            let command = ["CACHE.GET", "k", &id, "c=once,d=900"];
            let mut answer = client.command(&command);
            if answer == "closed" && keeps_connection {
                // The balancer may close a kept connection while a request is on its way. The
                // request was not read, so it is sent again.
                client = Client::at(&address);
                answer = client.command(&command);
            }
            match &answer[..] {
                "v" => served += 1,
                // A limit that is learned under this load may reject a request.
                "-BUSY 400" => {}
                _ => unexpected.push(format!("{id}: {answer}")),
            }
            if !keeps_connection || client.is_closed() {
                client = Client::at(&address);
            }
        }
        LoadResult { unexpected, served }
    })
}

#[test]
fn process_replaced_three_times_under_load_loses_no_request() {
    let host = Peer::host(|_| hit("v"));
    let platform = Platform::new("replaced", &[("a", &host)]);
    let mut old = platform.start();
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> =
        (0..6).map(|number| steady_client(old.address.clone(), number, stop.clone())).collect();
    for _ in 0..3 {
        let new = platform.start();
        new.wait_for_log("Beginning");
        new.wait_for_log("Half");
        let both = old.descriptors() + new.descriptors();
        assert!(both <= 192, "{both} descriptors");
        old.signal("TERM");
        assert_eq!(old.wait_for_exit().code(), Some(0));
        new.wait_for_log("Alone");
        old = new;
    }
    stop.store(true, Ordering::Relaxed);
    let mut served = 0;
    for client in clients {
        let result = client.join().expect("the client ends");
        assert_eq!(result.unexpected, Vec::<String>::new());
        served += result.served;
    }
    // A process that is killed leaves nothing behind that blocks the next one.
    drop(old);
    let next = platform.start();
    next.wait_for_log("Alone");
    assert_eq!(next.client().command(&["CACHE.GET", "k", "last", "c=once,d=900"]), "v");
    assert!(served > 100, "only {served} were served");
    // Each request that was served reached the host once, none twice.
    let mut ids = HashSet::new();
    while ids.len() <= served as usize {
        let command = host.next();
        if command != "closed" {
            let id = command.split(' ').nth(2).expect("an id").to_owned();
            assert!(ids.insert(id), "{command} came twice");
        }
    }
}

#[test]
fn takeover_closes_connections_only_after_their_requests_are_answered() {
    let (release, host) = gated_host();
    let platform = Platform::new("in-hand", &[("a", &host)]);
    let mut old = platform.start();
    let (mut slow, mut kept) = (old.client(), old.client());
    assert_eq!(kept.command(&["PING"]), "+PONG");
    slow.get("slow", "id1", "c=read,d=1900");
    host.next();
    // The old process may be in lame-duck mode.
    old.call(LAME_DUCK_ON);
    assert_eq!(kept.answer(), "closed");
    let new = platform.start();
    old.signal("TERM");
    old.wait_for_log("Takeover");
    // From here on the new process answers, and it is not in lame-duck mode.
    let mut late = new.client();
    let mut trace = vec![late.command(&["PING"]), late.command(&["CACHE.GET", "k", "id2", "c=once,d=900"])];
    release.send(()).expect("the host waits");
    trace.extend([slow.answer(), slow.answer(), format!("{:?}", old.wait_for_exit().code())]);
    trace.push(late.command(&["CACHE.GET", "k", "id3", "c=once,d=900"]));
    assert_eq!(trace, ["+PONG", "v", "v", "closed", "Some(0)", "v"]);
}

/// Guards against an at-most-once write running twice because its client came again, with the same id, at the
/// other process of an upgrade: while the first attempt is open, after it, and after its process has ended.
#[test]
fn write_whose_client_comes_again_at_the_successor_does_not_run_twice() {
    let (release, origin, platform) = platform_with_a_gated_origin("ids");
    let mut old = platform.start();
    let write = ["CACHE.SET", "slow", "id", "c=once,d=1900", "v"];
    let mut first = old.client();
    first.send(&write);
    assert!(origin.next().contains("slow"));
    let heard = ["CACHE.SET", "k", "heard", "c=once,d=1900", "v"];
    assert_eq!(old.client().command(&heard), "receipt");
    origin.next();

    let new = platform.start();
    old.signal("TERM");
    old.wait_for_log("Takeover");
    first.disconnect();
    old.wait_for_counter("abandoned", 1);
    for _ in 0..2 {
        assert_eq!(new.client().command(&write), "-ERR an op with this id may have run");
    }
    release.send(()).expect("the origin waits");
    assert_eq!(old.wait_for_exit().code(), Some(0));
    assert_eq!([origin.next(), origin.next()], ["closed", "closed"]);

    for _ in 0..2 {
        assert_eq!(new.client().command(&write), "-ERR an op with this id may have run");
    }
    assert!(origin.received_nothing(), "the write ran again");
    // An id whose client heard its answer is free, as it is in one process.
    assert_eq!(new.client().command(&heard), "receipt");
    let third = platform.start();
    drop(new);
    assert_eq!(third.client().command(&write), "-ERR an op with this id may have run");
}

/// Guards against the same where the first process was killed.
#[test]
fn write_whose_process_was_killed_does_not_run_again_at_the_next_one() {
    let (_release, origin, platform) = platform_with_a_gated_origin("killed");
    let old = platform.start();
    let write = ["CACHE.SET", "slow", "id", "c=once,d=1900", "v"];
    let mut first = old.client();
    first.send(&write);
    assert!(origin.next().contains("slow"));
    drop(old);

    let next = platform.start();
    assert_eq!(next.client().command(&write), "-ERR an op with this id may have run");
    let other = ["CACHE.SET", "k", "other", "c=once,d=1900", "v"];
    assert_eq!(next.client().command(&other), "receipt");
}

#[test]
fn process_without_a_shared_folder_serves_with_half_of_the_limits() {
    let host = Peer::host(|_| hit("v"));
    let platform = Platform::new("no-folder", &[("a", &host)]);
    let program = platform.start_in(Path::new("/nonexistent"));
    program.wait_for_log("Half");
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id1", "c=once,d=900"]), "v");
}

#[test]
fn inherited_descriptor_other_than_the_listener_ends_the_start_with_one_line() {
    let platform = Platform::new("wrong", &[]);
    let other = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let actual = other.local_addr().expect("an address").to_string();
    let configured = platform.listener.local_addr().expect("an address").to_string();
    let mut lines = Vec::new();
    for descriptor in ["5", "9", "five"] {
        let mut program =
            Program::inheriting_as(BINARY, &platform.config, &other, &platform.folder, descriptor);
        let code = program.wait_for_exit().code();
        let line = program.remaining_log().pop().expect("a line");
        let line = line.replace(&actual, "ACTUAL").replace(&configured, "CONFIGURED");
        let cause = line.split_once("PROXY_INHERITED_FD").expect("the variable's name").1;
        lines.push(format!("{code:?} {cause}"));
    }
    expect![[r#"
        Some(1)  5: the socket listens on ACTUAL, but the configuration says CONFIGURED
        Some(1)  9: the descriptor is not a listening socket
        Some(1)  "five" is not the number of a descriptor"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn learned_limits_are_recorded_and_an_invalid_record_is_ignored() {
    let host = Peer::host(|_| hit("v"));
    let platform = Platform::new("learnt", &[("a", &host)]);
    let address = platform.listener.local_addr().expect("an address");
    let record = platform.folder.join(format!("basaltwood-{address}-learnt"));
    std::fs::write(&record, "nonsense").expect("a file");
    let program = Program::inheriting(BINARY, &platform.config, &platform.listener, &platform.folder);
    program
        .wait_for_log("record is truncated or damaged: checksum mismatch; it begins with no learned limits");
    // The process records its limits once a second, atomically.
    let began = Instant::now();
    while std::fs::read(&record).is_ok_and(|bytes| bytes == b"nonsense") {
        assert!(began.elapsed() < Duration::from_secs(15), "no limits were recorded");
        std::thread::yield_now();
    }
    let bytes = std::fs::read(&record).expect("a record");
    let limits = basaltwood_handover::decode(&bytes).expect("a valid record");
    assert_eq!(limits.len(), 1);
    assert!(limits[0].limit > 1.0, "{limits:?}");
}
