//! Drains on real sockets: a host is announced as leaving while attempts are between the decision
//! and their first byte. None of them writes a byte to it, and each request is answered elsewhere
//! at once.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use common::*;
use expect_test::{expect, Expect};
use stand_ins::{breaking_host, long_deadline_settings, one_attempt_in_flight, StalledListener};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// One attempt is in flight at `a`, and two others wait there: no connection is free, and none may
/// be opened for 1 s. Returns the trace of requests and answers once the list gives `lifecycle` for
/// `a`, or does not name `a` if `lifecycle` is empty.
fn answers_of_waiting_attempts(lifecycle: &str) -> String {
    let (release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let discovery = Discovery::start();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, discovery.peer.address, &known, [192, 1024], &long_deadline_settings());
    let (mut slow, mut trace) = one_attempt_in_flight(&program, &a);
    let (mut read, mut once) = (program.client(), program.client());
    read.get("k", "id2", "c=read,d=9000");
    once.get("l", "id3", "c=once,d=9000");
    program.wait_for_counter("requests", 4);

    let mut list = vec![entry("b", b.address, "active")];
    list.extend((!lifecycle.is_empty()).then(|| entry("a", a.address, lifecycle)));
    discovery.publish(&list);
    trace.extend([read.answer(), once.answer()]);
    release.send(()).expect("the host waits for the release");
    // The attempt in flight completes, and its connection is then closed.
    trace.extend([slow.answer(), a.next()]);
    assert!(a.received_nothing(), "no request was sent to the host after its drain was announced");

    let line = program.wait_for_counter("attempts_not_sent", 2);
    assert!(line.contains(" attempts_not_sent=2 "), "each attempt that waited is counted once: {line}");
    trace.join("\n")
}

#[test]
fn attempts_waiting_for_a_connection_when_their_host_leaves_are_not_sent() {
    let trace = answers_of_waiting_attempts("leaving");
    expect![[r#"
        CACHE.GET break id0 c=read,d=..
        closed
        -BUSY 2000
        CACHE.GET slow id1 c=read,d=..
        from b
        from b
        from a
        closed"#]]
    .assert_eq(&trace);
    assert_eq!(
        answers_of_waiting_attempts("left"),
        trace,
        "a host that has left is treated like one that is leaving"
    );
    assert_eq!(
        answers_of_waiting_attempts(""),
        trace,
        "a host that a complete list does not name is treated like one that is leaving"
    );
}

/// An attempt is in its handshake with `a` when the list changes `a` and names another host.
/// Returns the client's answer; no byte is written to the old address.
fn answer_after_a_handshake(changed: impl Fn(SocketAddr) -> String) -> String {
    let a = StalledListener::start();
    let b = Peer::host(|_| hit("from b"));
    let discovery = Discovery::start();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_with(BINARY, discovery.peer.address, &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    client.get("k", "id", "c=once,d=9000");
    program.wait_for_counter("attempts", 1);

    discovery.publish(&[changed(a.address), entry("b", b.address, "active")]);
    program.wait_for_counter("endpoint_lists", 2);
    // From here on the handshake can complete.
    let (_, wrote) = a.accept_all();

    let answer = client.answer();
    assert!(wrote.try_recv().is_err(), "a byte was written to the old address");
    answer
}

#[test]
fn handshake_under_way_when_its_host_leaves_carries_nothing() {
    assert_eq!(answer_after_a_handshake(|at| entry("a", at, "leaving")), "from b");
}

/// The old address may belong to another machine now.
#[test]
fn handshake_under_way_when_its_host_moves_carries_nothing() {
    let elsewhere = Peer::host(|_| hit("from the new address"));
    assert_eq!(answer_after_a_handshake(|_| entry("a", elsewhere.address, "active")), "from b");
    assert!(elsewhere.received_nothing(), "a request is sent to each host at most once");
}

/// Reads keys of both hosts: `b` serves all of them, and nothing is sent to `a`.
fn only_b_serves(program: &Program, a: &Peer, case: &str) {
    for nth in 0..4 {
        let (key, id) = (format!("k{nth}"), format!("id{nth}"));
        assert_eq!(program.client().command(&["CACHE.GET", &key, &id, "c=read,d=600"]), "from b");
    }
    assert!(a.received_nothing(), "{case}");
}

#[test]
fn drain_in_an_otherwise_invalid_entry_is_honoured() {
    let b = Peer::host(|_| hit("from b"));
    for invalid in [
        r#"{"instanceId":"a","lifecycle":"leaving"}"#,
        r#"{"instanceId":"a","hostPort":"::","lifecycle":"leaving","startedAtMs":1e300}"#,
        r#"{"instanceId":"a","hostPort":7,"zone":[],"weight":"much","lifecycle":"left"}"#,
    ] {
        let (_release, a) = breaking_host();
        let discovery = Discovery::start();
        let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
        let program = Program::start(BINARY, discovery.peer.address, &known, 1024);

        discovery.publish(&[invalid.to_owned(), entry("b", b.address, "active")]);

        let line = program.wait_for_counter("endpoint_lists", 2);
        assert!(line.contains(" endpoints_refused=0 "), "{line}");
        only_b_serves(&program, &a, invalid);
    }
}

/// After SIGHUP moved it to another discovery, the balancer asks for the complete list. A discovery
/// with a lower version would hold a call that names the balancer's version, although it may know
/// of a drain.
#[test]
fn drain_after_a_move_to_a_discovery_with_lower_versions_is_honoured() {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let entries = [entry("a", a.address, "leaving"), entry("b", b.address, "active")].join(",");
    let list = format!(r#"{{"generation":3,"reset":true,"instances":[{entries}]}}"#);
    let new = Peer::http(move |request| match request {
        "GET /v1/servers" => http_answer(200, &list),
        _ => Reply::Nothing,
    });
    let old = Peer::http(|request| {
        let changes = r#"{"generation":40,"reset":false,"instances":[]}"#;
        if request.contains("from=1&") {
            http_answer(200, changes)
        } else {
            Reply::Nothing
        }
    });
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start(BINARY, old.address, &known, 1024);
    let mut trace = vec![old.next(), old.next()];

    program.reload_with(&old.address.to_string(), &new.address.to_string());
    trace.extend([new.next(), new.next()]);
    program.wait_for_counter("endpoint_lists", 3);
    only_b_serves(&program, &a, "no request is sent to the leaving host");

    expect![[r#"
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=40&hold_ms=3000
        GET /v1/servers
        GET /v1/servers?from=3&hold_ms=3000"#]]
    .assert_eq(&trace.join("\n"));
}

/// Guards against a drain that is undone: discovery's answer to an earlier call comes a second time,
/// behind the answer that announced the drain, and is taken for the answer to the next call.
#[test]
fn late_copy_of_an_older_list_does_not_undo_a_drain() {
    let (a, b) = (Peer::host(|_| hit("from a")), Peer::host(|_| hit("from b")));
    let changes = |generation: u32, lifecycle: &str| {
        let entry = entry("a", a.address, lifecycle);
        format!(r#"{{"generation":{generation},"reset":false,"instances":[{entry}]}}"#)
    };
    let (before, drain) = (changes(2, "active"), changes(3, "leaving"));
    let copied = AtomicU32::new(0);
    let discovery = Peer::http(move |request| match request {
        _ if request.contains("from=1&") => http_answer(200, &before),
        _ if request.contains("from=2&") => http_answer(200, &drain),
        _ if copied.fetch_add(1, Ordering::Relaxed) == 0 => http_answer(200, &before),
        _ => Reply::Nothing,
    });
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start(BINARY, discovery.address, &known, 1024);

    let trace: Vec<String> = (0..5).map(|_| discovery.next()).collect();
    only_b_serves(&program, &a, "no request is sent to the leaving host");

    assert_eq!(trace[3], "closed", "{trace:?}");
    assert!(trace[4].starts_with("GET /v1/servers?from=3&"), "{trace:?}");
}

/// After SIGTERM the balancer follows the list for as long as a request is open, so that a retry
/// respects a drain announced meanwhile.
#[test]
fn drain_while_the_balancer_shuts_down_is_honoured() {
    let (release, wait) = gate();
    let a = Peer::host(move |request| {
        wait(request);
        Reply::Text("-BUSY\r\n".to_owned())
    });
    let (b, c) = (Peer::host(|_| hit("from b")), Peer::host(|_| hit("from c")));
    let discovery = Discovery::start();
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let mut program =
        Program::start_with(BINARY, discovery.peer.address, &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    client.get(HOME_A, "slow", "c=once,d=9000");
    let mut trace = vec![a.next(), discovery.peer.next()];

    program.signal("TERM");
    program.wait_for_log("Draining");
    let up = ["a", "c"].into_iter().zip([a.address, c.address]).map(|(name, at)| entry(name, at, "active"));
    discovery.publish(&up.chain([entry("b", b.address, "leaving")]).collect::<Vec<_>>());
    // The next discovery call shows that this list was read.
    trace.push(discovery.peer.next());
    release.send(()).expect("the host waits for the release");
    trace.push(client.answer());

    assert!(program.wait_for_exit().success());
    assert!(b.received_nothing(), "no request is sent to the leaving host");
    expect![[r#"
        CACHE.GET k2 slow c=once,d=..
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=2&hold_ms=3000
        from c"#]]
    .assert_eq(&trace.join("\n"));
}

/// A watch that fell silent is broken. A change that it misses counts as announced 6 s later, and
/// has to be known by then.
#[test]
fn drain_behind_a_silent_watch_is_honoured_in_time() {
    assert_honoured_in_time(0, |_| Reply::Nothing, calls_without_failures());
}

/// A response that arrives byte by byte does not extend the timeout.
#[test]
fn drain_in_a_list_that_arrives_byte_by_byte_is_honoured_in_time() {
    assert_honoured_in_time(0, |list| Reply::Trickle(list, Duration::from_secs(1)), calls_without_failures());
}

/// A change counts as announced 6 s after discovery has it and can be reached, whatever failed
/// before. Here discovery can be reached from the first call on that it does not close, which is
/// the call that falls silent.
#[test]
fn drain_behind_a_silent_watch_after_failed_calls_is_honoured_in_time() {
    let calls = expect![[r#"
        GET /v1/servers?from=1&hold_ms=500
        GET /v1/servers?from=1&hold_ms=500
        GET /v1/servers?from=2&hold_ms=3000
        closed"#]];
    assert_honoured_in_time(4, |_| Reply::Nothing, calls);
}

/// The discovery calls from the silent one on, if no call failed before.
fn calls_without_failures() -> Expect {
    expect![[r#"
        GET /v1/servers?from=1&hold_ms=2500
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=2&hold_ms=3000
        closed"#]]
}

/// Discovery closes `failed` calls, answers the next with `first`, and the one after that with the
/// change.
fn assert_honoured_in_time(failed: u32, first: fn(String) -> Reply, expected: Expect) {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let entries = [entry("a", a.address, "leaving"), entry("b", b.address, "active")].join(",");
    let changes = format!(r#"{{"generation":2,"reset":false,"instances":[{entries}]}}"#);
    let calls = AtomicU32::new(0);
    // The first call that is not closed gets no whole answer, and the last one none at all.
    let discovery = Peer::http(move |_| match calls.fetch_add(1, Ordering::Relaxed) {
        call if call < failed => Reply::ThenClose(String::new()),
        call if call == failed => {
            first(format!("HTTP/1.1 200 so\r\nContent-Length: {}\r\n\r\n{changes}", changes.len()))
        }
        call if call == failed + 1 => http_answer(200, &changes),
        _ => Reply::Nothing,
    });
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start(BINARY, discovery.address, &known, 1024);
    let before: Vec<String> = (0..2 * failed).map(|_| discovery.next()).collect();
    assert_eq!(before.iter().filter(|line| *line == "closed").count(), failed as usize, "{before:?}");
    let mut trace = vec![discovery.next()];

    let silent = Instant::now();
    program.wait_for_counter("endpoint_lists", 2);
    assert!(silent.elapsed() < Duration::from_secs(6), "the change came after {:?}", silent.elapsed());
    trace.extend([discovery.next(), discovery.next(), discovery.next()]);
    only_b_serves(&program, &a, "no request is sent to the leaving host");
    // The position of the `closed` line is not deterministic.
    trace.sort();
    expected.assert_eq(&trace.join("\n"));
}

/// A list in other forms that are allowed: indented, chunked, byte by byte, or with a leaving host
/// that was never listed before.
#[test]
fn drain_in_a_list_of_any_form_is_honoured() {
    let b = Peer::host(|_| hit("from b"));
    for layout in ["indented", "chunked", "byte by byte", "unlisted"] {
        let (_release, a) = breaking_host();
        let leaves = if layout == "unlisted" { "c" } else { "a" };
        let entries = [entry(leaves, a.address, "leaving"), entry("b", b.address, "active")].join(",\n  ");
        let list =
            format!("{{\n\t\"generation\" : 2,\r\n \"reset\": false, \"instances\":\n [ {entries} ]\n}}\n");
        let head = "HTTP/1.1 200 so\r\n";
        let whole = match layout {
            "chunked" => {
                let (one, two) = list.split_at(list.len() / 2);
                let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n", chunk(one), chunk(two))
            }
            _ => format!("{head}Content-Length: {}\r\n\r\n{list}", list.len()),
        };
        let discovery = Peer::http(move |request| match request.contains("from=1&") {
            true if layout == "byte by byte" => Reply::Trickle(whole.clone(), Duration::from_millis(1)),
            true => Reply::Text(whole.clone()),
            false => Reply::Nothing,
        });
        let known = if leaves == "a" { vec![entry("a", a.address, "active")] } else { Vec::new() };
        let known = [known, vec![entry("b", b.address, "active")]].concat();
        let program = Program::start(BINARY, discovery.address, &known, 1024);

        let line = program.wait_for_counter("endpoint_lists", 2);
        assert!(line.contains(" discovery_invalid=0 "), "{layout}: {line}");
        only_b_serves(&program, &a, layout);
    }
}

/// The list and requests arrive while the process is stopped. The list is read before any request
/// is sent.
#[test]
fn drain_during_a_process_stall_is_honoured_before_anything_is_sent() {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    // Written directly, so that the list is in the socket before the process continues.
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind to a free port");
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start(BINARY, listener.local_addr().expect("a local address"), &known, 1024);
    let (mut discovery, _) = listener.accept().expect("the balancer calls discovery");
    let mut clients: Vec<Client> = (0..4).map(|_| program.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.command(&["PING"]), "+PONG"));

    program.signal("STOP");
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(HOME_A, &format!("id{nth}"), "c=read,d=1900");
    }
    let leaves = entry("a", a.address, "leaving");
    let body = format!(r#"{{"generation":2,"reset":false,"instances":[{leaves}]}}"#);
    let Reply::Text(text) = http_answer(200, &body) else { panic!("http_answer returns a Reply::Text") };
    discovery.write_all(text.as_bytes()).expect("write the list");
    program.signal("CONT");

    clients.iter_mut().for_each(|client| assert_eq!(client.answer(), "from b"));
    // A request that was read first may have connected, but the list precedes its first byte.
    let sent: Vec<String> = std::iter::from_fn(|| a.try_next()).filter(|seen| seen != "closed").collect();
    assert!(sent.is_empty(), "no request is sent to the leaving host: {sent:?}");
}

/// By changes to the list two hosts leave and one of them returns under its name. It then has
/// another host id, while its old id is still free.
#[test]
fn drain_of_a_host_that_had_returned_is_honoured() {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let (at, gone) = (a.address, unreachable_address());
    let changes = [
        [entry("a", at, "left"), entry("c", gone, "left")].join(","),
        entry("a", at, "active"),
        entry("a", at, "leaving"),
    ];
    let discovery = Peer::http(move |request| {
        let from = (1..=changes.len()).find(|from| request.contains(&format!("from={from}&")));
        let Some(from) = from else { return Reply::Nothing };
        let (version, change) = (from + 1, &changes[from - 1]);
        http_answer(200, &format!(r#"{{"generation":{version},"reset":false,"instances":[{change}]}}"#))
    });
    let known = [entry("a", at, "active"), entry("c", gone, "active"), entry("b", b.address, "active")];
    let program = Program::start(BINARY, discovery.address, &known, 1024);

    let line = program.wait_for_counter("endpoint_lists", 4);
    assert!(
        line.contains(" hosts_released=2"),
        "each host is released once, and a draining host is not released: {line}"
    );
    only_b_serves(&program, &a, "no request is sent to the leaving host");
}
