//! The process is held up, as by a machine that stands still: what is overdue then is answered before
//! anything new is begun.

use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};

use crate::common::*;
use crate::BINARY;

/// How long the process stands still.
const STANDSTILL: Duration = Duration::from_millis(1_500);
/// Its requests are answered so soon after that.
const ANSWERED_WITHIN: Duration = Duration::from_millis(250);

/// Hosts that hang: enough that each request finds one that nothing is held against yet.
const HOSTS: usize = 16;

#[test]
fn requests_that_are_overdue_after_a_standstill_are_answered_at_once() {
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
        // Each connection is being served before the process stands still.
        assert_eq!(client.command(&["PING"]), "+PONG", "client {nth}");
    }

    let process = Pid::from_raw(program.id() as i32).expect("a process");
    kill_process(process, Signal::STOP).expect("it runs");
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(&format!("k{nth}"), &format!("unread-{nth}"), "c=once,d=400");
    }
    thread::sleep(STANDSTILL);
    kill_process(process, Signal::CONT).expect("it stands still");

    let went_on = Instant::now();
    for client in clients.iter_mut().chain([&mut in_flight]) {
        let answer = client.answer();
        assert!(answer.starts_with('-'), "{answer}");
    }
    let took = went_on.elapsed();
    assert!(took < ANSWERED_WITHIN, "the last answer came after {took:?}");
}
