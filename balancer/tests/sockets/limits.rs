//! Limits on descriptors, memory and time, and which clients are disconnected when one is reached.

use std::io::Write;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::{program, selected_counters, BINARY};

#[test]
fn clients_with_partial_commands_are_shed_after_idle_clients() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 40);

    let mut idle = program.client();
    assert_eq!(idle.command(&["PING"]), "+PONG");
    let mut partial: Vec<Client> = Vec::new();
    for nth in 0..11 {
        let mut client = program.client();
        client.raw(if nth % 2 == 0 { b"*4\r\n$9\r\nCACHE" } else { b"" });
        partial.push(client);
    }
    program.wait_for_counter("clients", 12);

    // The limit is reached. The idle client is closed first, then the one that waited longest.
    let mut late: Vec<Client> = Vec::new();
    for nth in 0..2 {
        let mut client = program.client();
        assert_eq!(client.command(&["CACHE.GET", "k", &format!("id{nth}"), "c=once,d=600"]), "v");
        // Begins another command, so that the client does not count as idle.
        client.raw(b"*");
        late.push(client);
    }

    assert_eq!([idle.answer(), partial[0].answer()], ["closed", "closed"]);
    assert!(program.wait_for_counter("clients_shed", 2).contains("clients_slow=0"));
}

/// Guards against requests on new connections that get neither answer nor close, because a crowd of silent clients
/// before them holds the descriptors and is closed one by one, each after a wait.
#[test]
fn requests_behind_a_crowd_of_silent_clients_are_answered_in_time() {
    const WAIT: Duration = Duration::from_millis(1_500);
    const MAX_LATENESS: Duration = Duration::from_millis(550);
    for (sockets, silent) in [(256, 400), (1_024, 900)] {
        let host = Peer::host(|_| hit("v"));
        let known = [entry("a", host.address, "active")];
        let program = Program::start(BINARY, unreachable_address(), &known, sockets);
        let crowd: Vec<Client> = (0..silent).map(|_| program.client()).collect();
        let began = Instant::now();
        let mut clients: Vec<Client> = (0..20).map(|_| program.client()).collect();
        for (nth, client) in clients.iter_mut().enumerate() {
            client.get(&format!("k{nth}"), &format!("id{nth}"), "c=read,d=1500");
        }
        for (nth, client) in clients.iter_mut().enumerate() {
            // All come at once, more than the host is sent at a time: a rejection is an answer too.
            let answer = client.answer();
            let is_final = ["v", "-BUSY 400"].contains(&&answer[..]);
            assert!(is_final, "client {nth} behind {silent} at {sockets} descriptors: {answer}");
        }
        assert!(began.elapsed() < WAIT + MAX_LATENESS, "{silent}: answered after {:?}", began.elapsed());
        drop(crowd);
    }
}

#[test]
fn descriptor_shortage_closes_the_longest_idle_client() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 40);

    // More clients than the limit: each is served, and an idle one is closed to make room.
    let mut clients: Vec<Client> = Vec::new();
    for nth in 0..40 {
        let mut client = program.client();
        assert_eq!(client.command(&["CACHE.GET", "k", &format!("id{nth}"), "c=once,d=600"]), "v");
        clients.push(client);
    }

    assert_eq!(clients[0].answer(), "closed");
}

#[test]
fn clients_without_a_complete_first_command_are_closed_in_time() {
    let host = Peer::host(|_| hit("v"));
    let program = program(&[("a", &host)]);

    let started_at = Instant::now();
    let (mut silent, mut partial, mut served) = (program.client(), program.client(), program.client());
    partial.raw(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk");
    assert_eq!(served.command(&["CACHE.GET", "k", "id1", "c=read,d=600"]), "v");

    let trace = [silent.answer(), partial.answer(), partial.answer()];
    assert!(started_at.elapsed() < Duration::from_secs(3), "closed after {:?}", started_at.elapsed());
    assert_eq!(trace, ["closed", "-ERR Protocol error: no whole command in time", "closed"]);

    // A client that was served before may stay idle.
    assert_eq!(served.command(&["CACHE.GET", "k", "id2", "c=read,d=600"]), "v");
}

#[test]
fn many_silent_clients_do_not_delay_another() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 40);

    let silent: Vec<Client> = (0..60).map(|_| program.client()).collect();

    let started_at = Instant::now();
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=once,d=600"]), "v");
    // Well before the silent clients are closed by their time limit.
    assert!(started_at.elapsed() < Duration::from_millis(1_700), "served after {:?}", started_at.elapsed());
    drop(silent);
}

#[test]
fn clients_holding_all_memory_do_not_block_another() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start_with(BINARY, unreachable_address(), &known, [8, 256], SETTINGS);

    let value = "x".repeat(60_000);
    let holders: Vec<Client> = (0..50).map(|_| program.client()).collect();
    for client in &holders {
        // Most of a value but not its end. The balancer may leave it unread, so this must not
        // block.
        client.writing.set_nonblocking(true).expect("a socket option");
        let head = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$9\r\nc=put,d=5\r\n$64000\r\n";
        let _ = (&client.writing).write(format!("{head}{value}").as_bytes());
    }

    let started_at = Instant::now();
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=once,d=600"]), "v");
    assert!(started_at.elapsed() < Duration::from_millis(1_700), "served after {:?}", started_at.elapsed());
    assert!(program.memory() < 16, "{} MB of memory in use", program.memory());
}

#[test]
fn descriptors_held_by_hosts_are_not_reserved_again() {
    // No host answers before all requests are in flight, each of which takes two descriptors.
    const REQUESTS: usize = 14;
    let all_in_flight = Arc::new(Barrier::new(REQUESTS));
    let host = |_| {
        let all_in_flight = all_in_flight.clone();
        Peer::host(move |_| {
            all_in_flight.wait();
            hit("v")
        })
    };
    let hosts: Vec<Peer> = (0..6).map(host).collect();
    let known = hosts.iter().enumerate().map(|(nth, host)| entry(&format!("h{nth}"), host.address, "active"));
    let program = Program::start(BINARY, unreachable_address(), &known.collect::<Vec<_>>(), 48);

    let mut clients: Vec<Client> = (0..REQUESTS).map(|_| program.client()).collect();
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(&format!("k{nth}"), &format!("id{nth}"), "c=once,d=1500");
    }

    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    assert_eq!(answers, ["v"; REQUESTS]);
}

#[test]
fn descriptor_shortage_is_not_held_against_a_host() {
    // There are 16 connections besides discovery's, which is reserved. Clients hold five of them,
    // and eleven attempts take the rest.
    let discovery = Discovery::start();
    let (release, wait) = gate();
    let origin = Peer::http(move |request| {
        wait(request);
        http_answer(200, "v")
    });
    let known = [entry("origin", origin.address, "active")];
    let program = Program::start(BINARY, discovery.peer.address, &known, 32);
    discovery.peer.next();

    let mut clients: Vec<Client> = (0..5).map(|_| program.client()).collect();
    for nth in 0..11 {
        clients[nth % 4].send(&["CACHE.SET", "slow", &format!("id{nth}"), "c=once,d=5000", "v"]);
        origin.next();
    }

    // Each attempt of this request fails at once because no descriptor is free.
    let refused = clients[4].command(&["CACHE.SET", "k", "id", "c=once,d=5000", "v"]);

    drop(release);
    let answers: Vec<String> = (0..11).map(|nth| clients[nth % 4].answer()).collect();
    assert_eq!(answers, ["v"; 11]);

    let line = program.wait_for_counter("succeeded", 11);
    expect!["-BUSY 400; attempts_not_sent=4 attempts_unreachable=0"].assert_eq(&format!(
        "{refused}; {}",
        selected_counters(&line, &["attempts_not_sent", "attempts_unreachable"])
    ));
}

#[test]
fn clients_not_reading_are_disconnected_within_the_memory_limit() {
    let host = Peer::host(|_| hit(&"v".repeat(60_000)));
    let program = program(&[("a", &host)]);

    let command =
        |nth: u32| format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$5\r\n{nth:05}\r\n$13\r\nc=read,d=1500\r\n");

    let slow: Vec<Client> = (0..4).map(|_| program.client()).collect();
    for (nth, client) in (0..).zip(&slow) {
        let commands: String = (nth * 2_000..(nth + 1) * 2_000).map(command).collect();
        // While a client reads no reply, the balancer stops reading its commands.
        client.writing.set_nonblocking(true).expect("a socket option");
        let _ = (&client.writing).write(commands.as_bytes());
    }

    assert_eq!(program.client().command(&["PING"]), "+PONG");
    program.wait_for_counter("clients_slow", 1);
    assert!(program.memory() < 32, "{} MB of memory in use, of 192", program.memory());
}
