//! Starts while neither discovery nor hosts answer, and the return of discovery while idle clients
//! hold the descriptors.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// Waits until the process serves, and reads the address of its admin interface from the log.
fn serving(mut program: Program) -> Program {
    program.wait_for_admin();
    program.serving()
}

/// The configuration of a balancer with an admin interface and discovery at this address.
fn config_with_discovery(known: &[String], discovery: SocketAddr) -> String {
    let config = managed_config(known, [192, 64]);
    config.replace(r#""discovery":"127.0.0.1:1""#, &format!(r#""discovery":"{discovery}""#))
}

/// Nine in ten restarted processes have to be ready within 10 s. Discovery is silent, every host
/// hangs, and all processes start at once: one that waited for discovery or a host would never be
/// ready.
#[test]
fn forty_processes_started_at_once_with_silent_peers_are_ready_in_time() {
    const PROCESSES: usize = 40;
    let (discovery, host) = (Peer::http(|_| Reply::Nothing), Peer::host(|_| Reply::Nothing));
    let known: Vec<String> = (0..8).map(|nth| entry(&format!("h{nth}"), host.address, "active")).collect();
    let config = config_with_discovery(&known, discovery.address);

    let began = Instant::now();
    let started: Vec<Program> = (0..PROCESSES).map(|_| Program::with_config(BINARY, &config)).collect();
    let mut ready_after: Vec<Duration> = Vec::new();
    // In the order in which they were started, so that a late one does not delay the others.
    for program in started {
        let program = serving(program);
        assert_eq!(program.call("GET /_ready HTTP/1.1\r\n\r\n"), (200, "ready\n".to_owned()));
        assert_eq!(program.client().command(&["PING"]), "+PONG");
        ready_after.push(began.elapsed());
    }

    ready_after.sort();
    let nine_in_ten = ready_after[PROCESSES * 9 / 10 - 1];
    assert!(nine_in_ten < Duration::from_secs(10), "{ready_after:?}");
}

/// While discovery is down, more idle clients than are allowed hold all descriptors that clients
/// may use, and reconnect when they are closed. When discovery answers again, the list has to be
/// applied in time, admin requests answered, and attempts sent.
#[test]
fn idle_clients_at_the_limit_delay_neither_list_nor_admin_nor_attempts() {
    let discovery_up = Arc::new(AtomicBool::new(false));
    let is_up = discovery_up.clone();
    let (a, b) = (Peer::host(|_| hit("from a")), Peer::host(|_| hit("from b")));
    let entries = [entry("a", a.address, "leaving"), entry("b", b.address, "active")].join(",");
    let discovery = Peer::http(move |request| match is_up.load(Ordering::Relaxed) {
        true if request.contains("from=2&") => Reply::Nothing,
        true => http_answer(200, &format!(r#"{{"generation":2,"reset":false,"instances":[{entries}]}}"#)),
        false => Reply::ThenClose(String::new()),
    });
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = serving(Program::with_config(BINARY, &config_with_discovery(&known, discovery.address)));
    let stop = Arc::new(AtomicBool::new(false));
    let spawn_clients = || thread::spawn(idle_clients(program.address.clone(), stop.clone()));
    let threads: Vec<_> = (0..4).map(|_| spawn_clients()).collect();
    program.wait_for_counter("clients", 200);

    discovery_up.store(true, Ordering::Relaxed);
    let since = Instant::now();
    program.wait_for_counter("endpoint_lists", 2);
    assert!(since.elapsed() < Duration::from_secs(6), "the list came after {:?}", since.elapsed());

    assert_eq!(program.call("GET /_ready HTTP/1.1\r\n\r\n").0, 200);
    // Idle clients are closed in favour of one that sends a request.
    for nth in 0..4 {
        let (key, id) = (format!("k{nth}"), format!("id{nth}"));
        assert_eq!(program.client().command(&["CACHE.GET", &key, &id, "c=read,d=1900"]), "from b");
    }
    assert!(a.received_nothing(), "the draining host gets no attempts");
    stop.store(true, Ordering::Relaxed);
    threads.into_iter().for_each(|thread| thread.join().expect("the clients stop"));
}

/// Runs idle clients until `stop`. Half of them send a `PING` first, and all reconnect whenever
/// they are closed.
fn idle_clients(address: String, stop: Arc<AtomicBool>) -> impl FnOnce() {
    move || {
        let connect = |nth: usize| {
            let mut stream = TcpStream::connect(&address).ok()?;
            stream.set_nonblocking(true).ok()?;
            if nth.is_multiple_of(2) {
                let _ = stream.write_all(b"PING\r\n");
            }
            Some(stream)
        };
        let mut clients: Vec<Option<TcpStream>> = (0..24).map(connect).collect();
        while !stop.load(Ordering::Relaxed) {
            for (nth, client) in clients.iter_mut().enumerate() {
                let is_open = client.as_mut().is_some_and(|stream| match stream.read(&mut [0; 64]) {
                    Ok(read) => read > 0,
                    Err(cause) => cause.kind() == ErrorKind::WouldBlock,
                });
                if !is_open {
                    *client = connect(nth);
                }
            }
            // Short enough that a freed descriptor is taken at once.
            thread::sleep(Duration::from_millis(2));
        }
    }
}
