//! The watch of the endpoint list, and its move to another discovery by a reload.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::{selected_counters, BINARY};

#[test]
fn watch_starts_at_the_known_version_and_leaves_out_invalid_entries() {
    let (a, b) = (Peer::host(|_| hit("from a")), Peer::host(|_| hit("from b")));
    let discovery = Discovery::start();
    let known = [entry("a", a.address, "active")];
    let program = Program::start(BINARY, discovery.peer.address, &known, 1024);
    let mut client = program.client();
    let mut get = |id: &str| client.command(&["CACHE.GET", HOME_A, id, "c=read,d=600"]);

    // Discovery has not answered yet.
    let mut trace = vec![discovery.peer.next(), get("id1")];

    let invalid = [r#"{"instanceId":"c","hostPort":"::","lifecycle":"active"}"#, "7", r#"{"instanceId":[]}"#];
    let mut entries = vec![entry("a", a.address, "leaving"), entry("b", b.address, "active")];
    entries.extend(invalid.map(str::to_owned));
    discovery.publish(&entries);
    trace.push(discovery.peer.next());
    for _ in invalid {
        trace.push(text_after(&program.wait_for_log("list entry"), "endpoints] "));
    }
    trace.push(get("id2"));
    // The draining host's idle connection was closed.
    trace.extend([a.next(), a.next(), b.next()]);

    discovery.publish(&[entry("a", a.address, "active"), entry("b", b.address, "left")]);
    trace.extend([discovery.peer.next(), get("id3")]);

    expect![[r#"
        GET /v1/servers?from=1&hold_ms=3000
        from a
        GET /v1/servers?from=2&hold_ms=3000
        list entry {"instanceId":"c","hostPort":"::","lifecycle":"active"}: hostPort "::" is not an IP address with a port
        list entry 7: invalid type: integer `7`, expected struct Instance at line 1 column 1
        list entry {"instanceId":[]}: invalid type: sequence, expected a string at line 1 column 14
        from b
        CACHE.GET k2 id1 c=read,d=..
        closed
        CACHE.GET k2 id2 c=read,d=..
        GET /v1/servers?from=3&hold_ms=3000
        from a"#]]
    .assert_eq(&trace.join("\n"));
}

/// A change counts as announced once discovery would have reported it, even if the balancer has no
/// open call. So a balancer must call at once at its start, even if many are started together.
#[test]
fn start_among_many_balancers_calls_discovery_at_once() {
    let (a, b) = (Peer::host(|_| hit("from a")), Peer::host(|_| hit("from b")));
    let discovery = Discovery::start();
    discovery.publish(&[entry("a", a.address, "leaving"), entry("b", b.address, "active")]);
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let settings = SETTINGS.replace(r#""groupSize":2"#, r#""groupSize":300"#);
    let program = Program::start_with(BINARY, discovery.peer.address, &known, [192, 1024], &settings);

    let started_at = Instant::now();
    program.wait_for_counter("endpoint_lists", 2);
    // If the balancers' first calls were spread out, this one would come after several seconds.
    let elapsed = started_at.elapsed();
    assert!(elapsed < Duration::from_millis(1_500), "the list of discovery came after {elapsed:?}");

    let mut client = program.client();
    assert_eq!(client.command(&["CACHE.GET", HOME_A, "id1", "c=read,d=600"]), "from b");
    assert!(a.received_nothing(), "no request goes to the leaving host");
}

#[test]
fn host_churn_with_a_reused_address_serves_every_request() {
    let host = Peer::host(|request| hit(request.split(' ').nth(2).unwrap_or("")));
    let discovery = Discovery::start();
    let program = Program::start(BINARY, discovery.peer.address, &[], 1024);
    let mut client = program.client();

    for nth in 0..20 {
        let old = entry(&format!("host-{nth}"), host.address, "left");
        discovery.publish(&[old, entry(&format!("host-{}", nth + 1), host.address, "active")]);
        program.wait_for_counter("endpoint_lists", nth + 2);
        let id = format!("id{nth}");
        assert_eq!(client.command(&["CACHE.GET", "k", &id, "c=once,d=600"]), id);
    }

    let line = program.wait_for_counter("hosts_released", 20);
    expect!["succeeded=20 attempts_succeeded=20 attempts_connection_lost=0 hosts_released=20"].assert_eq(
        &selected_counters(
            &line,
            &["succeeded", "attempts_succeeded", "attempts_connection_lost", "hosts_released"],
        ),
    );
}

#[test]
fn failed_calls_keep_the_version_and_an_invalid_response_requests_the_whole_list() {
    let host = Peer::host(|_| hit("v"));
    let list =
        format!(r#"{{"generation":9,"reset":true,"instances":[{}]}}"#, entry("a", host.address, "active"));
    let calls = Mutex::new(0);
    let discovery = Peer::http(move |request| match request {
        "GET /v1/servers" => http_answer(200, &list),
        request if request.contains("from=9") => Reply::Nothing,
        _ => {
            let mut calls = calls.lock().expect("a lock");
            *calls += 1;
            match *calls {
                1 => Reply::ThenClose(String::new()),
                2 => http_answer(503, ""),
                // The body is truncated: the connection closes before its stated length.
                3 => Reply::ThenClose("HTTP/1.1 200 so\r\nContent-Length: 900\r\n\r\n{".to_owned()),
                4 => http_answer(429, ""),
                _ => http_answer(200, "{\"generation\":"),
            }
        }
    });

    let program = Program::start(BINARY, discovery.address, &[], 1024);
    let mut trace: Vec<String> = (0..12).map(|_| discovery.next()).collect();
    trace.push(program.client().command(&["CACHE.GET", "k", "id", "c=once,d=600"]));

    expect![[r#"
        GET /v1/servers?from=1&hold_ms=3000
        closed
        GET /v1/servers?from=1&hold_ms=2500
        closed
        GET /v1/servers?from=1&hold_ms=1500
        closed
        GET /v1/servers?from=1&hold_ms=500
        closed
        GET /v1/servers?from=1&hold_ms=500
        closed
        GET /v1/servers
        GET /v1/servers?from=9&hold_ms=3000
        v"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn reload_moves_the_watch_at_once_and_requests_go_on() {
    let (release, wait) = gate();
    let a = Peer::host(move |request| {
        wait(request);
        hit("from a")
    });
    let b = Peer::host(|_| hit("from b"));
    let (old, new) = (Discovery::start(), Discovery::start());
    let program = Program::start(BINARY, old.peer.address, &[entry("a", a.address, "active")], 1024);

    let (mut client, mut slow) = (program.client(), program.client());
    slow.get("slow", "id1", "c=once,d=3000");
    let mut trace = vec![old.peer.next(), a.next()];
    let (old_address, new_address) = (old.peer.address.to_string(), new.peer.address.to_string());

    program.reload_with(&old_address, "nonsense");
    trace.push(text_after(&program.wait_for_log("all stays as it is"), ".json: "));
    assert!(old.peer.received_nothing(), "the watch goes on after the reload of an invalid file");

    program.reload_with("nonsense", &new_address);
    // The whole list is requested, then its changes.
    trace.extend([new.peer.next(), new.peer.next()]);

    new.publish(&[entry("b", b.address, "active")]);
    trace.push(new.peer.next());
    trace.push(client.command(&["CACHE.GET", HOME_A, "id2", "c=once,d=600"]));

    release.send(()).expect("the host waits");
    // The old discovery sees its connection close once it holds no call.
    trace.extend([slow.answer(), old.peer.next()]);

    expect![[r#"
        GET /v1/servers?from=1&hold_ms=3000
        CACHE.GET slow id1 c=once,d=..
        discovery "nonsense" is not an IP address with a port; all stays as it is
        GET /v1/servers
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=2&hold_ms=3000
        from b
        from a
        closed"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn version_below_the_known_one_requests_the_whole_list() {
    let discovery = Peer::http(|request| match request {
        "GET /v1/servers" => http_answer(200, r#"{"generation":0,"reset":true,"instances":[]}"#),
        request if request.contains("from=0") => Reply::Nothing,
        _ => http_answer(200, r#"{"generation":0,"reset":false,"instances":[]}"#),
    });

    let _program = Program::start(BINARY, discovery.address, &[], 1024);
    let trace = [discovery.next(), discovery.next(), discovery.next()];

    expect![[r#"
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers
        GET /v1/servers?from=0&hold_ms=3000"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn discovery_without_holds_is_not_called_in_a_busy_loop() {
    let discovery = Peer::http(|_| http_answer(200, r#"{"generation":9,"reset":false,"instances":[]}"#));

    let started_at = Instant::now();
    let program = Program::start(BINARY, discovery.address, &[], 1024);
    (0..11).for_each(|_| drop(discovery.next()));

    assert!(started_at.elapsed() >= Duration::from_millis(150), "11 calls in {:?}", started_at.elapsed());
    assert_eq!(program.client().command(&["PING"]), "+PONG");
}
