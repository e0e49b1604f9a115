//! Starts and returns under want: processes that start while nothing answers them, and a crowd of idle clients that holds the
//! descriptors while discovery is away.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::io::{ErrorKind, Read, Write};
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// Nine in ten restarted processes are to be ready within 10 s. Discovery is silent, every host hangs, and all start in one
/// instant: a start that waited for any of them would never be ready.
#[test]
fn nine_in_ten_that_start_together_are_ready_in_time_whoever_is_silent() {
    const TOGETHER: usize = 40;
    let (discovery, host) = (Peer::http(|_| Says::Nothing), Peer::host(|_| Says::Nothing));
    let known: Vec<String> = (0..8).map(|nth| entry(&format!("h{nth}"), host.address, "active")).collect();
    let told = managed(&known, [192, 64])
        .replace(r#""discovery":"127.0.0.1:1""#, &format!(r#""discovery":"{}""#, discovery.address));
    let began = Instant::now();
    let started: Vec<Program> = (0..TOGETHER).map(|_| Program::told(BINARY, &told)).collect();
    let mut took: Vec<Duration> = Vec::new();
    for mut program in started {
        program.mgmt = program.logged("mgmt on").rsplit(' ').next().expect("an address").to_owned();
        let program = program.serving();
        // In the order in which they were started, so that one that is late makes no other late.
        assert_eq!(program.call("GET /_ready HTTP/1.1\r\n\r\n"), (200, "ready\n".to_owned()));
        assert_eq!(program.client().asks(&["PING"]), "+PONG");
        took.push(began.elapsed());
    }
    took.sort();
    let nine_in_ten = took[TOGETHER * 9 / 10 - 1];
    assert!(nine_in_ten < Duration::from_secs(10), "{took:?}");
}

/// Idle clients hold every descriptor that clients may while discovery is away, more of them than there is room for, and they come
/// again. The list is in force in time at its return, operators are answered, and an op has its push.
#[test]
fn a_crowd_of_idle_clients_holds_up_neither_the_list_nor_operators_nor_pushes() {
    let back = Arc::new(AtomicBool::new(false));
    let there = back.clone();
    let (a, b) = (Peer::host(|_| hit("from a")), Peer::host(|_| hit("from b")));
    let entries = [entry("a", a.address, "leaving"), entry("b", b.address, "active")].join(",");
    let discovery = Peer::http(move |asked| match there.load(Ordering::Relaxed) {
        true if asked.contains("from=2&") => Says::Nothing,
        true => http_answer(200, &format!(r#"{{"generation":2,"reset":false,"instances":[{entries}]}}"#)),
        false => Says::Last(String::new()),
    });
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let told = managed(&known, [192, 64])
        .replace(r#""discovery":"127.0.0.1:1""#, &format!(r#""discovery":"{}""#, discovery.address));
    let mut program = Program::told(BINARY, &told);
    program.mgmt = program.logged("mgmt on").rsplit(' ').next().expect("an address").to_owned();
    let program = program.serving();
    let gone = Arc::new(AtomicBool::new(false));
    let crowd: Vec<_> = (0..4).map(|_| thread::spawn(crowd(program.address.clone(), gone.clone()))).collect();
    program.counts("clients", 200);
    back.store(true, Ordering::Relaxed);
    let since = Instant::now();
    program.counts("endpoint_lists", 2);
    assert!(since.elapsed() < Duration::from_secs(6), "the list came after {:?}", since.elapsed());
    assert_eq!(program.call("GET /_ready HTTP/1.1\r\n\r\n").0, 200);
    // Idle ones make room for one that asks.
    for nth in 0..4 {
        let (key, id) = (format!("k{nth}"), format!("id{nth}"));
        assert_eq!(program.client().asks(&["CACHE.GET", &key, &id, "c=read,d=1900"]), "from b");
    }
    assert!(a.quiet(), "nothing goes to the host that leaves");
    gone.store(true, Ordering::Relaxed);
    crowd.into_iter().for_each(|part| part.join().expect("it goes"));
}

/// Clients that stand idle, half of them after a `PING`, and come again whenever they are sent away, until they are told to go.
fn crowd(address: String, gone: Arc<AtomicBool>) -> impl FnOnce() {
    move || {
        let come = |nth: usize| {
            let mut stream = TcpStream::connect(&address).ok()?;
            stream.set_nonblocking(true).ok()?;
            if nth.is_multiple_of(2) {
                let _ = stream.write_all(b"PING\r\n");
            }
            Some(stream)
        };
        let mut all: Vec<Option<TcpStream>> = (0..24).map(come).collect();
        while !gone.load(Ordering::Relaxed) {
            for (nth, one) in all.iter_mut().enumerate() {
                let stays = one.as_mut().is_some_and(|stream| match stream.read(&mut [0; 64]) {
                    Ok(read) => read > 0,
                    Err(cause) => cause.kind() == ErrorKind::WouldBlock,
                });
                if !stays {
                    *one = come(nth);
                }
            }
            // Often enough that a place that comes free is taken at once.
            thread::sleep(Duration::from_millis(2));
        }
    }
}
