//! Limits of descriptors, memory and patience, and which clients are closed for them.

use std::io::Write;
use std::sync::{Arc, Barrier};
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::{counted, program, BINARY};

#[test]
fn a_crowd_of_half_commands_makes_room_after_the_idle_ones() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, nowhere(), &known, 40);
    let mut idle = program.client();
    assert_eq!(idle.asks(&["PING"]), "+PONG");
    let mut halves: Vec<Client> = Vec::new();
    for nth in 0..11 {
        let mut half = program.client();
        half.raw(if nth % 2 == 0 { b"*4\r\n$9\r\nCACHE" } else { b"" });
        halves.push(half);
    }
    program.counts("clients", 12);
    // All places are taken. The idle one goes first, then the one that is silent longest.
    let mut late: Vec<Client> = Vec::new();
    for nth in 0..2 {
        let mut client = program.client();
        assert_eq!(client.asks(&["CACHE.GET", "k", &format!("id{nth}"), "c=once,d=600"]), "v");
        // It goes on with half a command, so that it is none of the idle ones.
        client.raw(b"*");
        late.push(client);
    }
    assert_eq!([idle.answer(), halves[0].answer()], ["closed", "closed"]);
    assert!(program.counts("clients_shed", 2).contains("clients_slow=0"));
}

#[test]
fn short_of_descriptors_idle_connections_make_room() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, nowhere(), &known, 40);
    // More than it can hold; each is served all the same, at the cost of one that stands idle.
    let mut clients: Vec<Client> = Vec::new();
    for nth in 0..40 {
        let mut client = program.client();
        assert_eq!(client.asks(&["CACHE.GET", "k", &format!("id{nth}"), "c=once,d=600"]), "v");
        clients.push(client);
    }
    assert_eq!(clients[0].answer(), "closed");
}

#[test]
fn clients_that_say_nothing_or_half_of_something_are_closed_in_time() {
    let host = Peer::host(|_| hit("v"));
    let program = program(&[("a", &host)]);
    let began = Instant::now();
    let (mut silent, mut half, mut served) = (program.client(), program.client(), program.client());
    half.raw(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk");
    assert_eq!(served.asks(&["CACHE.GET", "k", "id1", "c=read,d=600"]), "v");
    let trace = [silent.answer(), half.answer(), half.answer()];
    assert!(began.elapsed() < Duration::from_secs(3), "after {:?}", began.elapsed());
    assert_eq!(trace, ["closed", "-ERR Protocol error: no whole command in time", "closed"]);
    // One that was served may stand idle.
    assert_eq!(served.asks(&["CACHE.GET", "k", "id2", "c=read,d=600"]), "v");
}

#[test]
fn many_that_say_nothing_keep_nobody_waiting() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start(BINARY, nowhere(), &known, 40);
    let silent: Vec<Client> = (0..60).map(|_| program.client()).collect();
    let began = Instant::now();
    assert_eq!(program.client().asks(&["CACHE.GET", "k", "id", "c=once,d=600"]), "v");
    // Well before the silent ones are closed for their silence.
    assert!(began.elapsed() < Duration::from_millis(1_700), "after {:?}", began.elapsed());
    drop(silent);
}

#[test]
fn clients_that_hold_all_the_bytes_silence_no_other() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [8, 256], SETTINGS);
    let value = "x".repeat(60_000);
    let hogs: Vec<Client> = (0..50).map(|_| program.client()).collect();
    for client in &hogs {
        // All but the end of a value; what is not read is not taken.
        client.writing.set_nonblocking(true).expect("a flag");
        let head = "*5\r\n$9\r\nCACHE.SET\r\n$1\r\nk\r\n$2\r\nid\r\n$9\r\nc=put,d=5\r\n$64000\r\n";
        let _ = (&client.writing).write(format!("{head}{value}").as_bytes());
    }
    let began = Instant::now();
    assert_eq!(program.client().asks(&["CACHE.GET", "k", "id", "c=once,d=600"]), "v");
    assert!(began.elapsed() < Duration::from_millis(1_700), "after {:?}", began.elapsed());
    assert!(program.memory() < 16, "{} MB", program.memory());
}

#[test]
fn what_hosts_hold_is_not_kept_free_for_them_once_more() {
    // No host answers before all ops are out, which takes two descriptors for each.
    const OPS: usize = 14;
    let all_out = Arc::new(Barrier::new(OPS));
    let host = |_| {
        let all_out = all_out.clone();
        Peer::host(move |_| {
            all_out.wait();
            hit("v")
        })
    };
    let hosts: Vec<Peer> = (0..6).map(host).collect();
    let known = hosts.iter().enumerate().map(|(nth, host)| entry(&format!("h{nth}"), host.address, "active"));
    let program = Program::start(BINARY, nowhere(), &known.collect::<Vec<_>>(), 48);
    let mut clients: Vec<Client> = (0..OPS).map(|_| program.client()).collect();
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(&format!("k{nth}"), &format!("id{nth}"), "c=once,d=1500");
    }
    let answers: Vec<String> = clients.iter_mut().map(Client::answer).collect();
    assert_eq!(answers, ["v"; OPS]);
}

#[test]
fn want_of_descriptors_is_not_held_against_a_host() {
    // 16 connections, five of them with clients; discovery's is set aside. As many pushes as there are others take the rest.
    let discovery = Discovery::start();
    let (release, wait) = gate();
    let origin = Peer::http(move |asked| {
        wait(asked);
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
    // Each of the pushes that it may have finds none at once.
    let refused = clients[4].asks(&["CACHE.SET", "k", "id", "c=once,d=5000", "v"]);
    drop(release);
    let answers: Vec<String> = (0..11).map(|nth| clients[nth % 4].answer()).collect();
    assert_eq!(answers, ["v"; 11]);
    let line = program.counts("succeeded", 11);
    expect!["-BUSY 400; attempts_not_sent=4 attempts_unreachable=0"]
        .assert_eq(&format!("{refused}; {}", counted(&line, &["attempts_not_sent", "attempts_unreachable"])));
}

#[test]
fn clients_that_take_no_answers_are_cut_off_and_hold_little_memory() {
    let host = Peer::host(|_| hit(&"v".repeat(60_000)));
    let program = program(&[("a", &host)]);
    let word =
        |nth: u32| format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$5\r\n{nth:05}\r\n$13\r\nc=read,d=1500\r\n");
    let slow: Vec<Client> = (0..4).map(|_| program.client()).collect();
    for (nth, client) in (0..).zip(&slow) {
        let commands: String = (nth * 2_000..(nth + 1) * 2_000).map(word).collect();
        // What it does not take it is not sent either: the balancer stops reading.
        client.writing.set_nonblocking(true).expect("a flag");
        let _ = (&client.writing).write(commands.as_bytes());
    }
    assert_eq!(program.client().asks(&["PING"]), "+PONG");
    program.counts("clients_slow", 1);
    assert!(program.memory() < 32, "{} MB of 192", program.memory());
}
