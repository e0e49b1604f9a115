//! Limits of descriptors, memory and patience, and which clients are closed for them.

use std::io::Write;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::{program, selected_counters, BINARY};

#[test]
fn crowd_of_half_commands_is_shed_after_idle_clients() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 40);

    let mut idle = program.client();
    assert_eq!(idle.command(&["PING"]), "+PONG");
    let mut halves: Vec<Client> = Vec::new();
    for nth in 0..11 {
        let mut half = program.client();
        half.raw(if nth % 2 == 0 { b"*4\r\n$9\r\nCACHE" } else { b"" });
        halves.push(half);
    }
    program.wait_for_counter("clients", 12);

    // The limit is reached. The idle one is closed first, then the one that was silent longest.
    let mut late: Vec<Client> = Vec::new();
    for nth in 0..2 {
        let mut client = program.client();
        assert_eq!(client.command(&["CACHE.GET", "k", &format!("id{nth}"), "c=once,d=600"]), "v");
        // It begins another command, so that it does not count as idle.
        client.raw(b"*");
        late.push(client);
    }

    assert_eq!([idle.answer(), halves[0].answer()], ["closed", "closed"]);
    assert!(program.wait_for_counter("clients_shed", 2).contains("clients_slow=0"));
}

#[test]
fn descriptor_shortage_closes_the_longest_idle_client() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 40);

    // More than the limit; each is served all the same, and an idle one is closed for it.
    let mut clients: Vec<Client> = Vec::new();
    for nth in 0..40 {
        let mut client = program.client();
        assert_eq!(client.command(&["CACHE.GET", "k", &format!("id{nth}"), "c=once,d=600"]), "v");
        clients.push(client);
    }

    assert_eq!(clients[0].answer(), "closed");
}

#[test]
fn silent_and_half_command_clients_are_closed_in_time() {
    let host = Peer::host(|_| hit("v"));
    let program = program(&[("a", &host)]);

    let began = Instant::now();
    let (mut silent, mut half, mut served) = (program.client(), program.client(), program.client());
    half.raw(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk");
    assert_eq!(served.command(&["CACHE.GET", "k", "id1", "c=read,d=600"]), "v");

    let trace = [silent.answer(), half.answer(), half.answer()];
    assert!(began.elapsed() < Duration::from_secs(3), "after {:?}", began.elapsed());
    assert_eq!(trace, ["closed", "-ERR Protocol error: no whole command in time", "closed"]);

    // A client that was served may be idle.
    assert_eq!(served.command(&["CACHE.GET", "k", "id2", "c=read,d=600"]), "v");
}

#[test]
fn crowd_of_silent_clients_delays_no_other() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 40);

    let silent: Vec<Client> = (0..60).map(|_| program.client()).collect();

    let began = Instant::now();
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=once,d=600"]), "v");
    // Well before the silent ones are closed for their silence.
    assert!(began.elapsed() < Duration::from_millis(1_700), "after {:?}", began.elapsed());
    drop(silent);
}

#[test]
fn clients_holding_all_memory_block_no_other() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start_with(BINARY, unreachable_address(), &known, [8, 256], SETTINGS);

    let value = "x".repeat(60_000);
    let holders: Vec<Client> = (0..50).map(|_| program.client()).collect();
    for client in &holders {
        // All but the end of a value; the balancer need not read it.
        client.writing.set_nonblocking(true).expect("a flag");
        let head = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$9\r\nc=put,d=5\r\n$64000\r\n";
        let _ = (&client.writing).write(format!("{head}{value}").as_bytes());
    }

    let began = Instant::now();
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=once,d=600"]), "v");
    assert!(began.elapsed() < Duration::from_millis(1_700), "after {:?}", began.elapsed());
    assert!(program.memory() < 16, "{} MB", program.memory());
}

#[test]
fn descriptors_held_by_hosts_are_not_reserved_again() {
    // No host answers before all requests are in flight, which takes two descriptors each.
    const REQUESTS: usize = 14;
    let all_out = Arc::new(Barrier::new(REQUESTS));
    let host = |_| {
        let all_out = all_out.clone();
        Peer::host(move |_| {
            all_out.wait();
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
    // 16 connections, five of them with clients; discovery's is reserved. Eleven attempts take the rest.
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

    // Each of the attempts that it may have fails at once for want of a descriptor.
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
fn clients_not_reading_are_cut_off_within_the_memory_limit() {
    let host = Peer::host(|_| hit(&"v".repeat(60_000)));
    let program = program(&[("a", &host)]);

    let word =
        |nth: u32| format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$5\r\n{nth:05}\r\n$13\r\nc=read,d=1500\r\n");

    let slow: Vec<Client> = (0..4).map(|_| program.client()).collect();
    for (nth, client) in (0..).zip(&slow) {
        let commands: String = (nth * 2_000..(nth + 1) * 2_000).map(word).collect();
        // While a client reads no reply, the balancer stops reading its commands.
        client.writing.set_nonblocking(true).expect("a flag");
        let _ = (&client.writing).write(commands.as_bytes());
    }

    assert_eq!(program.client().command(&["PING"]), "+PONG");
    program.wait_for_counter("clients_slow", 1);
    assert!(program.memory() < 32, "{} MB of 192", program.memory());
}
