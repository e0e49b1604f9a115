//! Connections to cache hosts: reuse, invalid responses, retries, faults that are not the host's.

use std::time::Duration;

use expect_test::expect;

use crate::common::*;
use crate::{counted, program, BINARY};

#[test]
fn the_push_of_a_client_that_has_gone_runs_on_and_its_connection_carries_the_next() {
    let (release, host) = gated_host();
    let program = program(&[("a", &host)]);
    let mut client = program.client();
    client.get("slow", "id1", "c=read,d=1500");
    host.next();
    drop(client);
    program.counts("abandoned", 1);
    release.send(()).expect("it waits");
    program.counts("attempts_succeeded", 1);
    assert_eq!(program.client().asks(&["CACHE.GET", "k", "id2", "c=read,d=600"]), "v");
    let line = program.counts("requests", 2);
    let names = [
        "succeeded",
        "abandoned",
        "attempts_succeeded",
        "attempts_cancelled",
        "connections_opened",
        "connections_reused",
    ];
    expect!["succeeded=1 abandoned=1 attempts_succeeded=2 attempts_cancelled=0 connections_opened=1 connections_reused=1"]
        .assert_eq(&counted(&line, &names));
}

#[test]
fn only_what_surely_never_ran_goes_on_where_repeats_are_harmful() {
    let mut lines = Vec::new();
    type Rule = fn(&str) -> Says;
    let rules: [(&str, Rule); 6] = [
        ("closes", |_| Says::Last(String::new())),
        ("half an answer", |_| Says::Last("*3\r\n$9\r\nhalf".to_owned())),
        ("error", |_| Says::Text("-ERR failed\r\n".to_owned())),
        ("busy", |_| Says::Text("-BUSY\r\n".to_owned())),
        ("no answer", |_| Says::Text("+OK\r\n".to_owned())),
        ("silent", |_| Says::Nothing),
    ];
    for (name, rule) in rules {
        for category in ["read", "once"] {
            // Each from a new start, so that the first one's lesson does not sway the second.
            let (a, b) = (Peer::host(rule), Peer::host(|_| hit("from b")));
            let program = program(&[("a", &a), ("b", &b)]);
            let mut client = program.client();
            client.get(HOME_A, "id", &format!("c={category},d=600"));
            assert!(a.next().contains("CACHE.GET"));
            lines.push(format!("{name}, {category}: {}, another push {}", client.answer(), !b.quiet()));
        }
    }
    let b = Peer::host(|_| hit("from b"));
    let known = [entry("a", nowhere(), "active"), entry("b", b.address, "active")];
    let refused = Program::start(BINARY, nowhere(), &known, 1024);
    lines.push(format!(
        "refused, once: {}",
        refused.client().asks(&["CACHE.GET", HOME_A, "id", "c=once,d=600"])
    ));
    expect![[r#"
        closes, read: from b, another push true
        closes, once: -ERR dead-lettered, another push false
        half an answer, read: from b, another push true
        half an answer, once: -ERR dead-lettered, another push false
        error, read: from b, another push true
        error, once: -ERR dead-lettered, another push false
        busy, read: from b, another push true
        busy, once: from b, another push true
        no answer, read: from b, another push true
        no answer, once: -ERR dead-lettered, another push false
        silent, read: -ERR dead-lettered, another push false
        silent, once: -ERR dead-lettered, another push false
        refused, once: from b"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_spoilt_answer_is_found_at_once_and_a_good_value_stands_whatever_follows() {
    let long = "x".repeat(5_000);
    let mut lines = Vec::new();
    for (name, answer) in [
        ("noise without an end", "\u{10}noise"),
        ("a line without an end", long.as_str()),
        ("another kind of answer", ":5\r\n"),
        ("arrays in arrays", "*3\r\n*3\r\n*3\r\n"),
        ("a huge array", "*1000000000\r\n"),
        ("an array of nothing", "*0\r\n"),
        ("a negative length", "*3\r\n$-7\r\n$-1\r\n$-1\r\n"),
        ("a short length", "*3\r\n$4\r\nabcdefgh\r\n$-1\r\n$-1\r\n"),
        ("a huge length", "*3\r\n$3000000000\r\nv"),
        ("noise for how it went", "*3\r\n$1\r\nv\r\n!\r\n$-1\r\n"),
        ("noise for the load", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n!!!"),
        ("a load of wrong length", "*3\r\n$1\r\nv\r\n$3\r\nhit\r\n$-9\r\n"),
        ("a second copy", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n*3\r\n$1\r\nw\r\n$-1\r\n$-1\r\n"),
        ("noise behind", "*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n!!!"),
    ] {
        let said = answer.to_owned();
        let (a, b) = (Peer::host(move |_| Says::Text(said.clone())), Peer::host(|_| hit("from b")));
        let program = program(&[("a", &a), ("b", &b)]);
        // Were it waited for, no time would be left for another push.
        let got = program.client().asks(&["CACHE.GET", HOME_A, "id", "c=read,d=5000"]);
        assert!(a.next().contains("CACHE.GET"));
        lines.push(format!("{name}: {got}, its connection {}", a.next()));
    }
    expect![[r#"
        noise without an end: from b, its connection closed
        a line without an end: from b, its connection closed
        another kind of answer: from b, its connection closed
        arrays in arrays: from b, its connection closed
        a huge array: from b, its connection closed
        an array of nothing: from b, its connection closed
        a negative length: from b, its connection closed
        a short length: from b, its connection closed
        a huge length: from b, its connection closed
        noise for how it went: from b, its connection closed
        noise for the load: v, its connection closed
        a load of wrong length: v, its connection closed
        a second copy: v, its connection closed
        noise behind: v, its connection closed"#]]
    .assert_eq(&lines.join("\n"));
}

#[test]
fn a_host_that_closed_an_idle_connection_costs_no_op() {
    // It answers once on each connection and then closes it, saying nothing.
    let host = Peer::host(|_| Says::Last("*3\r\n$1\r\nv\r\n$-1\r\n$-1\r\n".to_owned()));
    let program = program(&[("a", &host)]);
    let mut client = program.client();
    let mut trace = Vec::new();
    for nth in 0..3 {
        let id = format!("id{nth}");
        trace.push(client.asks(&["CACHE.GET", "k", &id, "c=once,d=600"]));
        assert_eq!(trace.last().map(String::as_str), Some("v"));
        assert_eq!([host.next(), host.next()].last().map(String::as_str), Some("closed"));
    }
    program.signal("USR1");
    let line = program.logged("counters");
    trace.push(counted(
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
fn an_idle_connection_is_closed_before_the_host_would() {
    let host = Peer::host(|_| hit("v"));
    let known = [entry("a", host.address, "active")];
    let settings = SETTINGS.replace(r#""keepaliveMs":15000.0"#, r#""keepaliveMs":900.0"#);
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &settings);
    assert_eq!(program.client().asks(&["CACHE.GET", "k", "id", "c=read,d=600"]), "v");
    assert_eq!([host.next(), host.next()], ["CACHE.GET k id c=read,d=..", "closed"]);
}

#[test]
fn a_stop_of_this_process_is_held_against_no_host() {
    // On a machine that is slow itself the ops' time may run out; such a round tells nothing.
    let answers =
        (0..5).map(|_| stopped_round()).find(|answers| !answers.join(" ").contains("dead-lettered"));
    assert_eq!(answers.expect("a round within its time"), ["v"; 6]);
}

fn stopped_round() -> Vec<String> {
    let (release, host) = gated_host();
    let program = program(&[("a", &host)]);
    let mut client = program.client();
    // Three out together, and then the process stands still for half of what they may take.
    for id in ["id1", "id2", "id3"] {
        client.get("slow", id, "c=read,d=1500");
    }
    for _ in 0..3 {
        host.next();
    }
    program.signal("STOP");
    std::thread::sleep(Duration::from_millis(450));
    program.signal("CONT");
    program.counts("process_stalls", 1);
    // A host that was left for silent would get one push at a time, and the others were nacked.
    for id in ["id4", "id5", "id6"] {
        client.get("k", id, "c=read,d=1500");
    }
    program.counts("requests", 6);
    (0..3).for_each(|_| release.send(()).expect("it waits"));
    (0..6).map(|_| client.answer()).collect()
}

#[test]
fn a_host_that_accepts_and_closes_at_once_is_at_fault_itself_and_costs_no_op() {
    let bad = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = bad.local_addr().expect("an address");
    std::thread::spawn(move || bad.incoming().flatten().for_each(drop));
    let good = Peer::host(|_| hit("v"));
    let known = [entry("a", address, "active"), entry("b", good.address, "active")];
    let program = Program::start(BINARY, nowhere(), &known, 1024);
    let mut client = program.client();
    for nth in 0..40 {
        let (key, id) = (format!("k{nth}"), format!("id{nth}"));
        assert_eq!(client.asks(&["CACHE.GET", &key, &id, "c=read,d=1500"]), "v");
    }
    let line = program.counts("requests", 40);
    assert!(
        counted(&line, &["succeeded", "attempts_connection_fault"])
            == "succeeded=40 attempts_connection_fault=0"
            && !line.contains(" attempts_connection_lost=0 "),
        "{line}"
    );
}
