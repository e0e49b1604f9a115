//! System calls that fail for a moment. A shortage on this machine is no evidence against any host,
//! uses up no attempt, and loses no request and no update from discovery.

use std::thread;
use std::time::Duration;

use basaltwood_fault_control::{Call, ALWAYS};

use crate::common::*;
use crate::FaultyProgram;

/// How long the calls fail; shorter than a request's time.
const SHORTAGE: Duration = Duration::from_millis(400);

#[test]
fn reload_without_a_descriptor_is_retried() {
    let (before, after) = (Discovery::start(), Discovery::start());
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let faulty = FaultyProgram::start(before.peer.address, &known, SETTINGS);
    before.peer.next();

    faulty.faults.fail(Call::Open, libc::EMFILE, ALWAYS).expect("write the fault file");
    let (old, new) = (before.peer.address.to_string(), after.peer.address.to_string());
    faulty.program.reload_with(&old, &new);
    thread::sleep(SHORTAGE);
    faulty.faults.restore(Call::Open).expect("write the fault file");

    assert!(after.peer.next().starts_with("GET /v1/servers"));
}

/// Number of requests while connects fail; within the concurrency limits of three new hosts.
const REQUESTS: usize = 8;

/// Requests that come while connects fail wait, and are served.
#[test]
fn connects_that_fail_by_a_local_shortage_cost_no_attempt() {
    let shortages = [
        (Call::Socket, libc::EMFILE),
        (Call::Socket, libc::ENFILE),
        (Call::Socket, libc::ENOBUFS),
        (Call::Connect, libc::EADDRNOTAVAIL),
        (Call::Connect, libc::ENETUNREACH),
    ];
    for (call, errno) in shortages {
        let hosts: Vec<Peer> = (0..3).map(|_| Peer::host(|_| hit("v"))).collect();
        let named = ["a", "b", "c"].iter().zip(&hosts);
        let known: Vec<String> = named.map(|(name, host)| entry(name, host.address, "active")).collect();
        let faulty = FaultyProgram::start(unreachable_address(), &known, SETTINGS);
        let mut clients: Vec<Client> = (0..REQUESTS).map(|_| faulty.program.client()).collect();
        clients.iter_mut().for_each(|client| assert_eq!(client.command(&["PING"]), "+PONG"));

        faulty.faults.fail(call, errno, ALWAYS).expect("write the fault file");
        for (nth, client) in clients.iter_mut().enumerate() {
            client.get(&format!("k{nth}"), &format!("id{nth}"), "c=read,d=1900");
        }
        thread::sleep(SHORTAGE);
        faulty.faults.restore(call).expect("write the fault file");

        let served = clients.iter_mut().filter_map(|client| (client.answer() == "v").then_some(())).count();
        let line = faulty.program.wait_for_counter("requests", REQUESTS as u64);
        assert_eq!(served, REQUESTS, "{call:?} with {errno}: {line}");
        assert!(line.contains(" attempts_unreachable=0 "), "{call:?} with {errno}: {line}");
    }
}
