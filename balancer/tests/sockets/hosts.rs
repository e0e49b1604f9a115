//! Connections to cache hosts: reuse, invalid responses, retries, and faults that are not counted
//! against the host.

use std::time::Duration;

use expect_test::expect;

use crate::common::*;
use crate::{program, selected_counters, BINARY};

#[test]
fn attempt_of_departed_client_runs_on_and_its_connection_is_reused() {
    let (release, host) = gated_host();
    let program = program(&[("a", &host)]);
    let mut client = program.client();
    client.get("slow", "id1", "c=read,d=1500");
    host.next();

    client.disconnect();
    program.wait_for_counter("abandoned", 1);

    release.send(()).expect("the host waits");
    program.wait_for_counter("attempts_succeeded", 1);
    let_connections_rest();
    assert_eq!(program.client().command(&["CACHE.GET", "k", "id2", "c=read,d=600"]), "v");

    let line = program.wait_for_counter("requests", 2);
    let names = [
        "succeeded",
        "abandoned",
        "attempts_succeeded",
        "attempts_cancelled",
        "connections_opened",
        "connections_reused",
    ];

    expect!["succeeded=1 abandoned=1 attempts_succeeded=2 attempts_cancelled=0 connections_opened=1 connections_reused=1"]
        .assert_eq(&selected_counters(&line, &names));
}

#[test]
fn at_most_once_request_is_retried_only_if_it_never_ran() {
    let mut lines = Vec::new();
    type ReplyRule = fn(&str) -> Reply;
    let rules: [(&str, ReplyRule); 6] = [
        ("closes", |_| Reply::ThenClose(String::new())),
        ("partial response", |_| Reply::ThenClose("*3\r\n$9\r\nhalf".to_owned())),
        ("error", |_| Reply::Text("-ERR failed\r\n".to_owned())),
        ("busy", |_| Reply::Text("-BUSY\r\n".to_owned())),
        ("unexpected reply", |_| Reply::Text("+OK\r\n".to_owned())),
        ("silent", |_| Reply::Nothing),
    ];

    for (name, rule) in rules {
        for category in ["read", "once"] {
            // Each category gets a new process, so that no evidence carries over from the other.
            let (a, b) = (Peer::host(rule), Peer::host(|_| hit("from b")));
            let program = program(&[("a", &a), ("b", &b)]);
            let mut client = program.client();
            client.get(HOME_A, "id", &format!("c={category},d=600"));
            assert!(a.next().contains("CACHE.GET"));
            lines.push(format!("{name}, {category}: {}, retried {}", client.answer(), !b.received_nothing()));
        }
    }

    let b = Peer::host(|_| hit("from b"));
    let known = [entry("a", unreachable_address(), "active"), entry("b", b.address, "active")];
    let refused = Program::start(BINARY, unreachable_address(), &known, 1024);
    lines.push(format!(
        "refused, once: {}",
        refused.client().command(&["CACHE.GET", HOME_A, "id", "c=once,d=600"])
    ));

    expect![[r#"
        closes, read: from b, retried true
        closes, once: -ERR dead-lettered, retried false
        partial response, read: from b, retried true
        partial response, once: -ERR dead-lettered, retried false
        error, read: from b, retried true
        error, once: -ERR dead-lettered, retried false
        busy, read: from b, retried true
        busy, once: from b, retried true
        unexpected reply, read: from b, retried true
        unexpected reply, once: -ERR dead-lettered, retried false
        silent, read: -ERR dead-lettered, retried false
        silent, once: -ERR dead-lettered, retried false
        refused, once: from b"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn invalid_response_ends_its_attempt_at_once_but_a_complete_value_is_used() {
    let long = "x".repeat(5_000);
    let mut lines = Vec::new();
    for (name, answer) in [
        ("noise without a line end", "\u{10}noise"),
        ("a long line without its end", long.as_str()),
        ("a reply of another type", ":5\r\n"),
        ("arrays in arrays", "*3\r\n*3\r\n*3\r\n"),
        ("a huge array", "*1000000000\r\n"),
        ("an array of nothing", "*0\r\n"),
        ("a negative length", "*3\r\n$-7\r\n$-1\r\n$-1\r\n"),
        ("a short length", "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n"),
        ("a huge length", "*3\r\n$3000000000\r\nv"),
        ("noise in place of the result", "*3\r\n$1\r\nv\r\n!\r\n$-1\r\n"),
        ("noise in place of the load", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n!!!"),
        ("a load of wrong length", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-9\r\n"),
        ("a second copy", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n"),
        ("noise after the response", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n!!!"),
    ] {
        let response = answer.to_owned();
        let (a, b) = (Peer::host(move |_| Reply::Text(response.clone())), Peer::host(|_| hit("from b")));
        let program = program(&[("a", &a), ("b", &b)]);
        // If the attempt ran until its deadline, no time would be left for a retry.
        let got = program.client().command(&["CACHE.GET", HOME_A, "id", "c=read,d=5000"]);
        assert!(a.next().contains("CACHE.GET"));
        lines.push(format!("{name}: {got}, its connection {}", a.next()));
    }

    expect![[r#"
        noise without a line end: from b, its connection closed
        a long line without its end: from b, its connection closed
        a reply of another type: from b, its connection closed
        arrays in arrays: from b, its connection closed
        a huge array: from b, its connection closed
        an array of nothing: from b, its connection closed
        a negative length: from b, its connection closed
        a short length: from b, its connection closed
        a huge length: from b, its connection closed
        noise in place of the result: from b, its connection closed
        noise in place of the load: v, its connection closed
        a load of wrong length: v, its connection closed
        a second copy: v, its connection closed
        noise after the response: v, its connection closed"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn idle_connection_closed_by_its_host_costs_no_request() {
    // The host answers once on each connection and then closes it without notice.
    let host = Peer::host(|_| Reply::ThenClose("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n".to_owned()));
    let program = program(&[("a", &host)]);
    let mut client = program.client();

    let mut trace = Vec::new();
    for nth in 0..3 {
        let id = format!("id{nth}");
        trace.push(client.command(&["CACHE.GET", "k", &id, "c=once,d=600"]));
        assert_eq!(trace.last().map(String::as_str), Some("v"));
        assert_eq!([host.next(), host.next()].last().map(String::as_str), Some("closed"));
    }

    program.signal("USR1");
    let line = program.wait_for_log("counters");
    trace.push(selected_counters(
        &line,
        &["attempts_succeeded", "attempts_connection_lost", "connections_opened", "connections_reused"],
    ));

    expect![[r#"
        v
        v
        v
        attempts_succeeded=3 attempts_connection_lost=0 connections_opened=3 connections_reused=0"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn idle_connection_is_closed_before_the_keepalive_ends() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let settings = SETTINGS.replace(r#""keepaliveMs":15000.0"#, r#""keepaliveMs":900.0"#);
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &settings);

    assert_eq!(program.client().command(&["CACHE.GET", "k", "id", "c=read,d=600"]), "v");
    assert_eq!([host.next(), host.next()], ["CACHE.GET k id c=read,d=..", "closed"]);
}

#[test]
fn process_stall_is_not_held_against_a_host() {
    // On a slow machine the requests' deadlines may pass; such a round is repeated.
    let answers = (0..5)
        .map(|_| requests_around_a_stall())
        .find(|answers| !answers.join(" ").contains("dead-lettered"));

    assert_eq!(answers.expect("a round in which no deadline passes"), ["v"; 6]);
}

fn requests_around_a_stall() -> Vec<String> {
    let (release, host) = gated_host();
    let program = program(&[("a", &host)]);
    let mut client = program.client();

    // Three requests are in flight, and then the process stalls for half of the attempts' time
    // limit.
    for id in ["id1", "id2", "id3"] {
        client.get("slow", id, "c=read,d=1500");
    }
    for _ in 0..3 {
        host.next();
    }

    program.signal("STOP");
    std::thread::sleep(Duration::from_millis(450));
    program.signal("CONT");
    program.wait_for_counter("process_stalls", 1);

    // A suspected host would get one attempt at a time, and the other requests would be rejected.
    for id in ["id4", "id5", "id6"] {
        client.get("k", id, "c=read,d=1500");
    }
    program.wait_for_counter("requests", 6);

    (0..3).for_each(|_| release.send(()).expect("the host waits"));
    (0..6).map(|_| client.answer()).collect()
}

#[test]
fn host_closing_accepted_connections_is_at_fault_and_costs_no_request() {
    let bad = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = bad.local_addr().expect("an address");
    std::thread::spawn(move || bad.incoming().flatten().for_each(drop));
    let good = Peer::host(|_| hit("v"));
    let known = [entry("a", address, "active"), entry("b", good.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 1024);

    let mut client = program.client();
    for nth in 0..40 {
        let (key, id) = (format!("k{nth}"), format!("id{nth}"));
        assert_eq!(client.command(&["CACHE.GET", &key, &id, "c=read,d=1500"]), "v");
    }

    let line = program.wait_for_counter("requests", 40);
    assert!(
        selected_counters(&line, &["succeeded", "attempts_connection_fault"])
            == "succeeded=40 attempts_connection_fault=0"
            && !line.contains(" attempts_connection_lost=0 "),
        "{line}"
    );
}
