//! The process stalls, for instance because its machine is suspended. Requests that are overdue
//! afterwards must be answered before any new work begins.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use crate::common::*;
use crate::BINARY;

/// How long the process is stopped.
const STALL: Duration = Duration::from_millis(1_500);
/// How soon after the stall all overdue requests must be answered.
const ANSWERED_WITHIN: Duration = Duration::from_millis(250);

/// The number of hosts, which all hang: enough that each request finds one without evidence against
/// it.
const HOSTS: usize = 16;

#[test]
fn overdue_requests_are_answered_at_once_after_a_process_stall() {
    let hosts: Vec<Peer> = (0..HOSTS).map(|_| Peer::host(|_| Reply::Nothing)).collect();
    let named = hosts.iter().enumerate();
    let known: Vec<String> =
        named.map(|(nth, host)| entry(&format!("h{nth}"), host.address, "active")).collect();
    let program = Program::start(BINARY, unreachable_address(), &known, 256);
    let mut in_flight = program.client();
    in_flight.get("k", "in-flight", "c=once,d=400");
    program.wait_for_counter("attempts", 1);
    let mut clients: Vec<Client> = (0..8).map(|_| program.client()).collect();
    for (nth, client) in clients.iter_mut().enumerate() {
        // Each connection is being served before the process stalls.
        assert_eq!(client.command(&["PING"]), "+PONG", "client {nth}");
    }

    let process = Pid::from_raw(program.id() as i32).expect("a process id");
    kill_process(process, Signal::STOP).expect("the process runs");
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(&format!("k{nth}"), &format!("unread-{nth}"), "c=once,d=400");
    }
    thread::sleep(STALL);
    kill_process(process, Signal::CONT).expect("the process is stopped");

    let continued_at = Instant::now();
    for client in clients.iter_mut().chain([&mut in_flight]) {
        let answer = client.answer();
        assert!(answer.starts_with('-'), "{answer}");
    }
    let took = continued_at.elapsed();
    assert!(took < ANSWERED_WITHIN, "the last answer came {took:?} after the stall");
}
