//! Between a push's decision and its first byte: its client goes, or its time is over. Each way of waiting is forced, and nothing
//! is written for nobody.

mod closed;
#[path = "../../tests/common/mod.rs"]
mod common;

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use closed::{breaking_host, four_gated_hosts, one_out, patient, Closed, Goes, BOTH_WAYS};
use common::*;
use expect_test::expect;

/// A key that holds a stand-in back, and whose home of the hosts a and b is a.
const SLOW_AT_A: &str = "slow4";
const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

#[test]
fn a_handshake_under_way_carries_nothing_once_its_client_has_gone() {
    BOTH_WAYS.into_iter().for_each(gone_in_a_handshake);
}

fn gone_in_a_handshake(goes: Goes) {
    let a = Closed::start();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &patient());
    let mut client = program.client();
    client.get("k", "id", "c=once,d=9000");
    program.counts("attempts", 1);
    goes.away(client);
    program.counts("attempts_cancelled", 1);
    let (_, wrote) = a.take_all();
    let mut other = program.client();
    other.get("l", "id2", "c=once,d=9000");
    // The one that comes is the other's: its port is not that of the first.
    let ports = [wrote.recv().expect("the other's"), wrote.try_recv().unwrap_or(nowhere())];
    assert_eq!(ports[1], nowhere(), "nobody else wrote");
    let line = program.counts("attempts", 2);
    assert!(line.contains(" abandoned=1 ") && line.contains(" attempts_cancelled=1 "), "{line}");
}

/// One push is out, and another waits there: for its connection, and for leave to open one beside it.
#[test]
fn one_that_waits_for_a_connection_is_not_sent_on_once_its_client_has_gone() {
    BOTH_WAYS.into_iter().for_each(gone_while_it_waits_for_a_connection);
}

fn gone_while_it_waits_for_a_connection(goes: Goes) {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &patient());
    let (mut slow, mut trace) = one_out(&program, &a);
    let mut client = program.client();
    client.get("k", "id2", "c=read,d=9000");
    program.counts("requests", 3);
    goes.away(client);
    program.counts("attempts_cancelled", 1);
    release.send(()).expect("it waits");
    trace.push(slow.answer());
    // The next that comes there is another op's.
    trace.push(program.client().asks(&["CACHE.GET", "l", "id3", "c=read,d=9000"]));
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

/// A host plans by the time that it is told: what has passed while the push waited for its connection is not left any more.
#[test]
fn a_push_that_waited_for_its_connection_tells_what_is_left_then() {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &patient());
    let (_slow, _) = one_out(&program, &a);
    let mut waits = program.client();
    // The time stands first: stand-ins hide it anywhere else.
    waits.get("k", "id2", "d=9000,c=read");
    program.counts("requests", 3);
    // From here on, since its time counts from when it is heard.
    let began = Instant::now();
    // What has to pass is a part of the op's own time.
    thread::sleep(Duration::from_millis(400));
    let waited = began.elapsed().as_millis();
    release.send(()).expect("it waits");
    let came = a.next();
    let told: u128 =
        came.split("d=").nth(1).and_then(|rest| rest.split(',').next()?.parse().ok()).expect("a time");
    assert!(told + waited <= 9_000, "{came} after {waited} ms");
}

/// A miss that comes back after its client has gone fetches nothing at the origin, and an error is not tried elsewhere.
#[test]
fn what_a_push_brings_after_its_client_has_gone_leads_to_no_other() {
    let brings = [("*3\r\n$-1\r\n$-1\r\n$-1\r\n", "attempts_missed"), ("-ERR failed\r\n", "attempts_error")];
    for ((text, ended), goes) in brings.into_iter().flat_map(|one| BOTH_WAYS.map(|goes| (one, goes))) {
        let (release, wait) = gate();
        let host = Peer::host(move |asked| {
            wait(asked);
            Says::Text(text.to_owned())
        });
        let (other, origin) = (Peer::host(|_| hit("v")), Peer::http(|_| http_answer(200, "fetched")));
        let at = [("a", &host), ("b", &other), ("origin", &origin)];
        let known: Vec<String> = at.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
        let program = Program::start(BINARY, nowhere(), &known, 1024);
        let mut client = program.client();
        client.get(SLOW_AT_A, "id", "c=read,d=1900");
        host.next();
        goes.away(client);
        program.counts("abandoned", 1);
        release.send(()).expect("it waits");
        let line = program.counts(ended, 1);
        assert!(line.contains(" attempts=1 ") && other.quiet() && origin.quiet(), "{ended}: {line}");
    }
}

/// The connection comes up while this process is stopped, and the op's time is over when it goes on: both are there in one turn.
#[test]
fn nothing_is_begun_for_an_op_whose_time_was_over_while_this_process_stood_still() {
    let a = Closed::start();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &patient());
    let mut client = program.client();
    let began = Instant::now();
    client.get("k", "id", "c=once,d=1500");
    program.counts("attempts", 1);
    program.signal("STOP");
    let (came, _wrote) = a.take_all();
    came.recv().expect("its handshake ends in the kernel");
    // What has to pass is the op's time itself.
    thread::sleep(Duration::from_millis(1_700).saturating_sub(began.elapsed()));
    program.signal("CONT");
    assert_eq!(client.answer(), "-ERR dead-lettered");
    let line = program.counts("failed", 1);
    assert!(line.contains(" attempts_timed_out=0 "), "nothing was written: {line}");
}

/// The same where it waits for a connection in use, which comes free while this process is stopped.
#[test]
fn nothing_is_begun_on_a_connection_that_comes_free_too_late() {
    let (release, a) = breaking_host();
    let known = [entry("a", a.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &patient());
    let (mut slow, trace) = one_out(&program, &a);
    assert_eq!(trace[2], "-BUSY 2000");
    let mut late = program.client();
    let began = Instant::now();
    late.get("k", "id2", "c=once,d=300");
    program.counts("requests", 3);
    program.signal("STOP");
    release.send(()).expect("it waits");
    // What has to pass is the op's time itself.
    thread::sleep(Duration::from_millis(500).saturating_sub(began.elapsed()));
    program.signal("CONT");
    assert_eq!([slow.answer(), late.answer()], ["from a", "-ERR dead-lettered"]);
    let line = program.counts("failed", 1);
    assert!(line.contains(" attempts_timed_out=0 "), "nothing was written: {line}");
    // What else was said there is the end of a connection, if that was taken for it.
    assert_ne!(a.seen(), Some("CACHE.GET k id2 c=once,d=..".to_owned()));
}

/// Clients and hosts hold every descriptor there is for connections when discovery comes back.
#[test]
fn the_list_is_heard_where_no_descriptor_is_left() {
    let (_hosts, known) = four_gated_hosts();
    let back = Arc::new(AtomicBool::new(false));
    let there = back.clone();
    let discovery = Peer::http(move |asked| match there.load(Ordering::Relaxed) {
        true if asked.contains("from=2") => Says::Nothing,
        true => http_answer(200, r#"{"generation":2,"reset":false,"instances":[]}"#),
        false => Says::Last(String::new()),
    });
    let program = Program::start_by(BINARY, discovery.address, &known, [192, 32], &patient());
    let mut clients: Vec<Client> = (0..8).map(|_| program.client()).collect();
    let mut asked = 0;
    for client in &mut clients {
        loop {
            let before = program.counts("requests", asked);
            client.get(&format!("slow{asked}"), &format!("id{asked}"), "c=once,d=9000");
            asked += 1;
            // One that found the last descriptor taken is refused, and asks again.
            let after = program.counts("requests", asked);
            let count =
                |line: &str| line.split(" rejected=").nth(1).map(|rest| rest.split(' ').next() == Some("0"));
            if count(&before) == count(&after) {
                break;
            }
            client.answer();
        }
    }
    let line = program.counts("connections_opened", 8);
    assert!(line.contains(" endpoint_lists=1 "), "{line}");
    back.store(true, Ordering::Relaxed);
    let line = program.counts("endpoint_lists", 2);
    assert!(line.contains(" succeeded=0 ") && line.contains(" failed=0 "), "all is held still: {line}");
}

/// A host answers a push twice, and the copy comes after the next push is written: answers carry no id. Once hosts were heard to
/// answer twice such a copy serves nobody, and what may have run does not go again.
#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_ones() {
    let text = |value: &str| format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len());
    for (category, expected) in [("read", "v3"), ("once", "-ERR dead-lettered")] {
        let late = AtomicBool::new(true);
        let a = Peer::host(move |asked| match asked.split(' ').nth(1) {
            // The sign: a copy right behind.
            Some("k1") => Says::Text(text("v1") + &text("v1")),
            Some("k3") if late.swap(false, Ordering::Relaxed) => Says::Text(text("v2") + &text("v3")),
            key => Says::Text(text(&key.unwrap_or("").replace('k', "v"))),
        });
        let known = [entry("a", a.address, "active")];
        let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], SETTINGS);
        let mut client = program.client();
        let mut asks = |key: &str| {
            client.asks(&["CACHE.GET", key, &format!("id-{key}"), &format!("c={category},d=1900")])
        };
        assert_eq!([asks("k1"), asks("k2"), asks("k3")], ["v1", "v2", expected], "{category}");
        // The same value for the same key, and for others from hosts that answer once, is no copy.
        assert_eq!([asks("k4"), asks("k4"), asks("k5")], ["v4", "v4", "v5"], "{category}");
    }
}
