//! Races between the decision on an attempt and its first byte: the client leaves, or the deadline
//! passes. Each kind of wait is forced, and no request is written that nobody waits for.

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
    breaking_host, four_gated_hosts, long_deadline_settings, one_attempt_in_flight,
    origin_that_reports_waits, Departure, StalledListener, EACH_DEPARTURE,
};

/// A key whose response a stand-in holds back, and whose home among the hosts a and b is a.
const SLOW_KEY_AT_A: &str = "slow4";
const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

#[test]
fn handshake_under_way_when_its_client_leaves_carries_nothing() {
    EACH_DEPARTURE.into_iter().for_each(client_leaves_during_a_handshake);
}

fn client_leaves_during_a_handshake(departure: Departure) {
    let a = StalledListener::start();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    client.get("k", "id", "c=once,d=9000");
    program.wait_for_counter("attempts", 1);

    departure.apply(client);
    program.wait_for_counter("attempts_cancelled", 1);
    let (_, wrote) = a.accept_all();
    let mut other = program.client();
    other.get("l", "id2", "c=once,d=9000");

    // Only the second client's connection carries a request.
    let ports =
        [wrote.recv().expect("the second request"), wrote.try_recv().unwrap_or(unreachable_address())];
    assert_eq!(ports[1], unreachable_address(), "a second connection carried a request");
    let line = program.wait_for_counter("attempts", 2);
    assert!(line.contains(" abandoned=1 ") && line.contains(" attempts_cancelled=1 "), "{line}");
}

/// One attempt is in flight, and another one waits at the same host, for that connection or for
/// permission to open a new one.
#[test]
fn attempt_waiting_for_a_connection_when_its_client_leaves_is_not_sent() {
    EACH_DEPARTURE.into_iter().for_each(client_leaves_during_the_wait_for_a_connection);
}

fn client_leaves_during_the_wait_for_a_connection(departure: Departure) {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &long_deadline_settings());
    let (mut slow, mut trace) = one_attempt_in_flight(&program, &a);
    let mut client = program.client();
    client.get("k", "id2", "c=read,d=9000");
    program.wait_for_counter("requests", 3);

    departure.apply(client);
    program.wait_for_counter("attempts_cancelled", 1);
    release.send(()).expect("the host waits for the release");
    trace.push(slow.answer());
    // The next request at the host is from another client.
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

/// A host plans by the time that the request states, so that must not include the time that the
/// attempt waited for its connection.
#[test]
fn attempt_that_waited_for_its_connection_states_the_time_left() {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &long_deadline_settings());
    let (_slow, _) = one_attempt_in_flight(&program, &a);
    let mut waits = program.client();
    // The time comes first: stand-ins hide it at any other position.
    waits.get("k", "id2", "d=9000,c=read");
    program.wait_for_counter("requests", 3);

    // The request's time starts when it is read, which is before this point.
    let began = Instant::now();
    // Part of the request's own time has to pass.
    thread::sleep(Duration::from_millis(400));
    let waited = began.elapsed().as_millis();
    release.send(()).expect("the host waits for the release");

    let request = a.next();
    let stated: u128 = request
        .split("d=")
        .nth(1)
        .and_then(|rest| rest.split(',').next()?.parse().ok())
        .expect("the time left in milliseconds");
    assert!(stated + waited <= 9_000, "{request} states too much time after {waited} ms of 9000");
}

/// After the client has left, a miss is not fetched at the origin, and an error is not retried at
/// another host.
#[test]
fn outcome_of_an_attempt_after_its_client_left_leads_to_no_retry() {
    let responses =
        [("*3\r\n$-1\r\n$-1\r\n$-1\r\n", "attempts_missed"), ("-ERR failed\r\n", "attempts_error")];
    for ((text, ended), departure) in
        responses.into_iter().flat_map(|response| EACH_DEPARTURE.map(|departure| (response, departure)))
    {
        let (release, wait) = gate();
        let host = Peer::host(move |request| {
            wait(request);
            Reply::Text(text.to_owned())
        });
        let (other, origin) = (Peer::host(|_| hit("v")), Peer::http(|_| http_answer(200, "fetched")));
        let at = [("a", &host), ("b", &other), ("origin", &origin)];
        let known: Vec<String> = at.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
        let program = Program::start(BINARY, unreachable_address(), &known, 1024);
        let mut client = program.client();
        client.get(SLOW_KEY_AT_A, "id", "c=read,d=1900");
        host.next();

        departure.apply(client);
        program.wait_for_counter("abandoned", 1);
        release.send(()).expect("the host waits for the release");

        let line = program.wait_for_counter(ended, 1);
        assert!(
            line.contains(" attempts=1 ") && other.received_nothing() && origin.received_nothing(),
            "{ended}: {line}"
        );
    }
}

/// The connection is established while the process is stopped, and the request's deadline has
/// passed when the process continues: both are ready in the same poll.
#[test]
fn request_whose_deadline_passed_during_a_process_stall_is_not_begun() {
    let a = StalledListener::start();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    let began = Instant::now();
    client.get("k", "id", "c=once,d=1500");
    program.wait_for_counter("attempts", 1);

    program.signal("STOP");
    let (accepted, _wrote) = a.accept_all();
    accepted.recv().expect("the kernel completes the handshake");
    // The request's time has to pass.
    thread::sleep(Duration::from_millis(1_700).saturating_sub(began.elapsed()));
    program.signal("CONT");

    assert_eq!(client.answer(), "-ERR dead-lettered");
    let line = program.wait_for_counter("failed", 1);
    assert!(line.contains(" attempts_timed_out=0 "), "nothing was written: {line}");
}

/// The request waits for a connection in use, which comes free while the process is stopped.
#[test]
fn connection_that_comes_free_after_the_deadline_carries_nothing() {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &long_deadline_settings());
    let (mut slow, trace) = one_attempt_in_flight(&program, &a);
    assert_eq!(trace[2], "-BUSY 2000");
    let mut late = program.client();
    let began = Instant::now();
    late.get("k", "id2", "c=once,d=300");
    program.wait_for_counter("requests", 3);

    program.signal("STOP");
    release.send(()).expect("the host waits for the release");
    // The request's time has to pass.
    thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
    program.signal("CONT");

    assert_eq!([slow.answer(), late.answer()], ["from a", "-ERR dead-lettered"]);
    let line = program.wait_for_counter("failed", 1);
    assert!(line.contains(" attempts_timed_out=0 "), "nothing was written: {line}");
    // The host may see the end of a connection, but not this request.
    assert_ne!(a.try_next(), Some("CACHE.GET k id2 c=once,d=..".to_owned()));
}

/// Connections of clients and hosts use all descriptors when discovery becomes reachable again.
#[test]
fn endpoint_list_when_no_descriptor_is_left_is_read() {
    let (_hosts, known) = four_gated_hosts();
    let back = Arc::new(AtomicBool::new(false));
    let is_back = back.clone();
    let discovery = Peer::http(move |request| match is_back.load(Ordering::Relaxed) {
        true if request.contains("from=2") => Reply::Nothing,
        true => http_answer(200, r#"{"generation":2,"reset":false,"instances":[]}"#),
        false => Reply::ThenClose(String::new()),
    });
    let program =
        Program::start_with(BINARY, discovery.address, &known, [192, 32], &long_deadline_settings());
    let mut clients: Vec<Client> = (0..8).map(|_| program.client()).collect();
    let mut sent = 0;
    for client in &mut clients {
        loop {
            let before = program.wait_for_counter("requests", sent);
            client.get(&format!("slow{sent}"), &format!("id{sent}"), "c=once,d=9000");
            sent += 1;
            // A request that gets no descriptor is rejected, and another one is sent.
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
    assert!(
        line.contains(" succeeded=0 ") && line.contains(" failed=0 "),
        "all requests are still held back: {line}"
    );
}

/// A host answers a request twice, and the copy comes after the next request was written on the
/// same connection. Responses carry no id. Once the host is suspected of duplicates, such a copy
/// serves no request, and a request that may have run is not retried.
#[test]
fn duplicate_response_after_the_next_request_is_not_taken_for_its_response() {
    let text = |value: &str| format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
    for (category, expected) in [("read", "v3"), ("once", "-ERR dead-lettered")] {
        let late = AtomicBool::new(true);
        let (release, wait) = gate();
        let a = Peer::host(move |request| {
            wait(request);
            match request.split(' ').nth(1) {
                // The sign of duplicates: a copy right after the response.
                Some("k1") => Reply::Text(text("v1") + &text("v1")),
                // A copy of the previous response on this connection, then the request's own.
                Some("slow3") if late.swap(false, Ordering::Relaxed) => Reply::Text(text("v2") + &text("v3")),
                Some("slow3") => Reply::Text(text("v3")),
                key => Reply::Text(text(&key.unwrap_or("").replace('k', "v"))),
            }
        });
        let known = [entry("a", a.address, "active")];
        let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], SETTINGS);
        let (mut client, mut other) = (program.client(), program.client());
        let facts = format!("c={category},d=1900");
        let request = |client: &mut Client, key: &str| {
            client.command(&["CACHE.GET", key, &format!("id-{key}"), &facts])
        };

        assert_eq!(request(&mut client, "k2"), "v2");
        // This uses the connection of the previous request.
        let_connections_rest();
        client.get("slow3", "id-3", &facts);
        program.wait_for_counter("connections_reused", 1);
        assert_eq!(request(&mut other, "k1"), "v1");
        (0..2).for_each(|_| {
            let _ = release.send(());
        });
        assert_eq!(client.answer(), expected, "{category}");
        // An equal value is no copy if its key is the same or its host is not suspected.
        let after = ["k4", "k4", "k5"].map(|key| request(&mut client, key));
        assert_eq!(after, ["v4", "v4", "v5"], "{category}");
    }
}

/// A host repeats each response of a connection when the next request comes. After the first sign
/// of duplicates every request uses a new connection, and gets its own response.
#[test]
fn requests_to_a_host_that_answers_twice_get_their_own_responses() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let known = [entry("a", listener.local_addr().expect("a local address"), "active")];
    thread::spawn(move || {
        listener.incoming().flatten().for_each(|stream| {
            thread::spawn(move || answer_twice(stream));
        })
    });
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], SETTINGS);
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

/// Responds with the key. Each later response on a connection is preceded by a copy of the previous
/// one, and the very first response is sent twice at once.
fn answer_twice(stream: TcpStream) {
    static IS_FIRST: AtomicBool = AtomicBool::new(true);
    let mut writing = stream.try_clone().expect("clone the socket");
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

/// Guards against a deadline that begins only after a new connection's wait for a descriptor: hosts
/// were told that all of the client's time is left.
#[test]
fn time_told_to_a_host_is_less_the_wait_for_a_descriptor() {
    const WAIT: Duration = Duration::from_millis(500);
    /// What the time told may exceed the time left by. Source: the operators' requirements.
    const SLACK_MS: u64 = 150;
    let (hosts, mut known) = four_gated_hosts();
    let (origin, waits) = origin_that_reports_waits();
    known.push(entry("origin", origin, "active"));
    let program =
        Program::start_with(BINARY, unreachable_address(), &known, [192, 40], &long_deadline_settings());
    // All descriptors for clients are held by clients that wait for their answers.
    let mut waiting: Vec<Client> = (0..12).map(|_| program.client()).collect();
    for (nth, client) in waiting.iter_mut().enumerate() {
        client.get(&format!("slow{nth}"), &format!("id{nth}"), "c=read,d=9000");
    }
    let line = program.wait_for_counter("attempts", 12);
    assert!(line.contains(" rejected=0 "), "{line}");

    let mut late = program.client();
    late.send(&["CACHE.SET", "k", "late", "c=put,d=1000", "v"]);
    let written = Instant::now();
    thread::sleep(WAIT);
    drop(hosts);

    let told = waits.recv_timeout(TEST_TIMEOUT).expect("the write is served");
    let left = 1_000 - written.elapsed().as_millis() as u64;
    assert!(told <= left + SLACK_MS, "told {told} ms, {left} ms are left");
}
