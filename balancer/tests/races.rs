//! Races between the decision on an attempt and its first byte: its client leaves, or its deadline
//! passes. Each way of waiting is forced, and nothing is written that nobody waits for.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::{BufReader, Write as _};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;
use stand_ins::{
    breaking_host, four_gated_hosts, long_deadline_settings, one_attempt_in_flight, Departure,
    StalledListener, EACH_DEPARTURE,
};

/// A key that holds a stand-in back, and whose home of the hosts a and b is a.
const SLOW_AT_A: &str = "slow4";
const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

#[test]
fn handshake_under_way_when_its_client_leaves_carries_nothing() {
    EACH_DEPARTURE.into_iter().for_each(leaves_during_a_handshake);
}

fn leaves_during_a_handshake(departure: Departure) {
    let a = StalledListener::start();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    client.get("k", "id", "c=once,d=9000");
    program.wait_for_counter("attempts", 1);

    departure.apply(client);
    program.wait_for_counter("attempts_cancelled", 1);
    let (_, wrote) = a.accept_all();
    let mut other = program.client();
    other.get("l", "id2", "c=once,d=9000");

    // The one that comes is the other's: its port is not that of the first.
    let ports = [wrote.recv().expect("the other's"), wrote.try_recv().unwrap_or(nowhere())];
    assert_eq!(ports[1], nowhere(), "nobody else wrote");
    let line = program.wait_for_counter("attempts", 2);
    assert!(line.contains(" abandoned=1 ") && line.contains(" attempts_cancelled=1 "), "{line}");
}

/// One attempt is in flight, and another waits at its host: for its connection, and for a new one
/// to be allowed.
#[test]
fn attempt_waiting_for_a_connection_when_its_client_leaves_is_not_sent() {
    EACH_DEPARTURE.into_iter().for_each(leaves_during_the_wait_for_a_connection);
}

fn leaves_during_the_wait_for_a_connection(departure: Departure) {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &long_deadline_settings());
    let (mut slow, mut trace) = one_attempt_in_flight(&program, &a);
    let mut client = program.client();
    client.get("k", "id2", "c=read,d=9000");
    program.wait_for_counter("requests", 3);

    departure.apply(client);
    program.wait_for_counter("attempts_cancelled", 1);
    release.send(()).expect("it waits");
    trace.push(slow.answer());
    // The next request there is another client's.
    trace.push(program.client().command(&["CACHE.GET", "l", "id3", "c=read,d=9000"]));
    trace.push(a.next());

    expect![[r#"
        CACHE.GET break id0 c=read,d=..
        closed
        -BUSY 2000
        CACHE.GET slow id1 c=read,d=..
        from a
        from a
        CACHE.GET l id3 c=read,d=.."#]]
    .assert_eq(&trace.join("\n"));
}

/// A host plans by the time that the request states: what has passed while the attempt waited for
/// its connection is not left any more.
#[test]
fn attempt_that_waited_for_its_connection_states_the_time_left() {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &long_deadline_settings());
    let (_slow, _) = one_attempt_in_flight(&program, &a);
    let mut waits = program.client();
    // The time stands first: stand-ins hide it anywhere else.
    waits.get("k", "id2", "d=9000,c=read");
    program.wait_for_counter("requests", 3);

    // From here on, since its time counts from when the request is read.
    let began = Instant::now();
    // What has to pass is a part of the request's own time.
    thread::sleep(Duration::from_millis(400));
    let waited = began.elapsed().as_millis();
    release.send(()).expect("it waits");

    let request = a.next();
    let stated: u128 =
        request.split("d=").nth(1).and_then(|rest| rest.split(',').next()?.parse().ok()).expect("a time");
    assert!(stated + waited <= 9_000, "{request} after {waited} ms");
}

/// A miss that comes after its client has left fetches nothing at the origin, and an error is not
/// tried elsewhere.
#[test]
fn outcome_of_an_attempt_after_its_client_left_leads_to_no_retry() {
    let brings = [("*3\r\n$-1\r\n$-1\r\n$-1\r\n", "attempts_missed"), ("-ERR failed\r\n", "attempts_error")];
    for ((text, ended), departure) in
        brings.into_iter().flat_map(|one| EACH_DEPARTURE.map(|departure| (one, departure)))
    {
        let (release, wait) = gate();
        let host = Peer::host(move |request| {
            wait(request);
            Reply::Text(text.to_owned())
        });
        let (other, origin) = (Peer::host(|_| hit("v")), Peer::http(|_| http_answer(200, "fetched")));
        let at = [("a", &host), ("b", &other), ("origin", &origin)];
        let known: Vec<String> = at.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
        let program = Program::start(BINARY, nowhere(), &known, 1024);
        let mut client = program.client();
        client.get(SLOW_AT_A, "id", "c=read,d=1900");
        host.next();

        departure.apply(client);
        program.wait_for_counter("abandoned", 1);
        release.send(()).expect("it waits");

        let line = program.wait_for_counter(ended, 1);
        assert!(line.contains(" attempts=1 ") && other.quiet() && origin.quiet(), "{ended}: {line}");
    }
}

/// The connection comes up while this process is stopped, and the request's deadline has passed
/// when it goes on: both are ready in one poll.
#[test]
fn request_whose_deadline_passed_during_a_process_stall_is_not_begun() {
    let a = StalledListener::start();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    let began = Instant::now();
    client.get("k", "id", "c=once,d=1500");
    program.wait_for_counter("attempts", 1);

    program.signal("STOP");
    let (accepted, _wrote) = a.accept_all();
    accepted.recv().expect("its handshake ends in the kernel");
    // What has to pass is the request's time itself.
    thread::sleep(Duration::from_millis(1_700).saturating_sub(began.elapsed()));
    program.signal("CONT");

    assert_eq!(client.answer(), "-ERR dead-lettered");
    let line = program.wait_for_counter("failed", 1);
    assert!(line.contains(" attempts_timed_out=0 "), "nothing was written: {line}");
}

/// The same where it waits for a connection in use, which comes free while this process is stopped.
#[test]
fn connection_that_comes_free_after_the_deadline_carries_nothing() {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &long_deadline_settings());
    let (mut slow, trace) = one_attempt_in_flight(&program, &a);
    assert_eq!(trace[2], "-BUSY 2000");
    let mut late = program.client();
    let began = Instant::now();
    late.get("k", "id2", "c=once,d=300");
    program.wait_for_counter("requests", 3);

    program.signal("STOP");
    release.send(()).expect("it waits");
    // What has to pass is the request's time itself.
    thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
    program.signal("CONT");

    assert_eq!([slow.answer(), late.answer()], ["from a", "-ERR dead-lettered"]);
    let line = program.wait_for_counter("failed", 1);
    assert!(line.contains(" attempts_timed_out=0 "), "nothing was written: {line}");
    // What else is seen there is the end of a connection, if one was opened.
    assert_ne!(a.seen(), Some("CACHE.GET k id2 c=once,d=..".to_owned()));
}

/// Clients and hosts hold every descriptor there is for connections when discovery is reachable
/// again.
#[test]
fn endpoint_list_when_no_descriptor_is_left_is_read() {
    let (_hosts, known) = four_gated_hosts();
    let back = Arc::new(AtomicBool::new(false));
    let there = back.clone();
    let discovery = Peer::http(move |request| match there.load(Ordering::Relaxed) {
        true if request.contains("from=2") => Reply::Nothing,
        true => http_answer(200, r#"{"generation":2,"reset":false,"instances":[]}"#),
        false => Reply::Last(String::new()),
    });
    let program = Program::start_by(BINARY, discovery.address, &known, [192, 32], &long_deadline_settings());
    let mut clients: Vec<Client> = (0..8).map(|_| program.client()).collect();
    let mut sent = 0;
    for client in &mut clients {
        loop {
            let before = program.wait_for_counter("requests", sent);
            client.get(&format!("slow{sent}"), &format!("id{sent}"), "c=once,d=9000");
            sent += 1;
            // A request that found the last descriptor taken is rejected, and sent again.
            let after = program.wait_for_counter("requests", sent);
            let count =
                |line: &str| line.split(" rejected=").nth(1).map(|rest| rest.split(' ').next() == Some("0"));
            if count(&before) == count(&after) {
                break;
            }
            client.answer();
        }
    }
    let line = program.wait_for_counter("connections_opened", 8);
    assert!(line.contains(" endpoint_lists=1 "), "{line}");

    back.store(true, Ordering::Relaxed);

    let line = program.wait_for_counter("endpoint_lists", 2);
    assert!(line.contains(" succeeded=0 ") && line.contains(" failed=0 "), "all is held still: {line}");
}

/// A host answers a request twice, and the copy comes after the next request is written on the same
/// connection: responses carry no id. Once the host is suspected of answering twice such a copy
/// serves nobody, and what may have run is not tried again.
#[test]
fn duplicate_response_after_the_next_request_is_not_taken_for_its_response() {
    let text = |value: &str| format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
    for (category, expected) in [("read", "v3"), ("once", "-ERR dead-lettered")] {
        let late = AtomicBool::new(true);
        let (release, wait) = gate();
        let a = Peer::host(move |request| {
            wait(request);
            match request.split(' ').nth(1) {
                // The sign: a copy right behind.
                Some("k1") => Reply::Text(text("v1") + &text("v1")),
                // A copy of the response before on this connection, and then its own.
                Some("slow3") if late.swap(false, Ordering::Relaxed) => Reply::Text(text("v2") + &text("v3")),
                Some("slow3") => Reply::Text(text("v3")),
                key => Reply::Text(text(&key.unwrap_or("").replace('k', "v"))),
            }
        });
        let known = [entry("a", a.address, "active")];
        let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], SETTINGS);
        let (mut client, mut other) = (program.client(), program.client());
        let facts = format!("c={category},d=1900");
        let request = |client: &mut Client, key: &str| {
            client.command(&["CACHE.GET", key, &format!("id-{key}"), &facts])
        };

        assert_eq!(request(&mut client, "k2"), "v2");
        // On the connection that carried the one before.
        client.get("slow3", "id-3", &facts);
        program.wait_for_counter("connections_reused", 1);
        assert_eq!(request(&mut other, "k1"), "v1");
        (0..2).for_each(|_| {
            let _ = release.send(());
        });
        assert_eq!(client.answer(), expected, "{category}");
        // The same value for the same key, and for others from hosts that answer once, is no copy.
        let after = ["k4", "k4", "k5"].map(|key| request(&mut client, key));
        assert_eq!(after, ["v4", "v4", "v5"], "{category}");
    }
}

/// A host that goes on answering each request of a connection once more when the next one comes: after
/// the first sign every request has a connection of its own, and gets what was made for it.
#[test]
fn requests_to_a_host_that_answers_twice_are_served_by_their_own_responses() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let known = [entry("a", listener.local_addr().expect("one"), "active")];
    thread::spawn(move || {
        listener.incoming().flatten().for_each(|stream| {
            thread::spawn(move || answer_twice(stream));
        })
    });
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], SETTINGS);
    let mut client = program.client();

    for category in ["read", "once"] {
        for nth in 0..20 {
            let key = format!("{category}{nth}");
            let facts = format!("c={category},d=1900");
            let answer = client.command(&["CACHE.GET", &key, &format!("id-{key}"), &facts]);
            assert_eq!(answer, key);
        }
    }
}

/// Responds with the key; on a connection that carries another request the response before comes once
/// more ahead of its own. The first response of all comes twice at once.
fn answer_twice(stream: TcpStream) {
    static IS_FIRST: AtomicBool = AtomicBool::new(true);
    let mut writing = stream.try_clone().expect("a second handle");
    let mut reading = BufReader::new(stream);
    let mut copy = String::new();
    while let Ok(request) = read_command(&mut reading) {
        let key = request.split(' ').nth(1).unwrap_or("");
        let response = format!("*3\r\n${}\r\n{key}\r\n$-1\r\n$-1\r\n", key.len());
        let twice = if IS_FIRST.swap(false, Ordering::Relaxed) { response.as_str() } else { "" };
        if writing.write_all(format!("{copy}{response}{twice}").as_bytes()).is_err() {
            return;
        }
        copy = response;
    }
}
