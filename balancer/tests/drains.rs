//! Drains on sockets: a host is announced as leaving while attempts are between their decision and
//! their first byte. None of them writes a byte to it, and each request is answered elsewhere at
//! once.

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

/// One attempt is in flight at `a`, and others wait there: no connection is free, and none may be
/// opened for a second. Returns the trace of what they get once the list gives `lifecycle` for `a`,
/// or does not name it.
fn waiting_while(lifecycle: &str) -> String {
    let (release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let discovery = Discovery::start();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_by(BINARY, discovery.peer.address, &known, [192, 1024], &long_deadline_settings());
    let (mut slow, mut trace) = one_attempt_in_flight(&program, &a);
    let (mut read, mut once) = (program.client(), program.client());
    read.get("k", "id2", "c=read,d=9000");
    once.get("l", "id3", "c=once,d=9000");
    program.wait_for_counter("requests", 4);

    let mut list = vec![entry("b", b.address, "active")];
    list.extend((!lifecycle.is_empty()).then(|| entry("a", a.address, lifecycle)));
    discovery.publish(&list);
    trace.extend([read.answer(), once.answer()]);
    release.send(()).expect("it waits");
    // What is in flight goes on; its connection is closed after it.
    trace.extend([slow.answer(), a.next()]);
    assert!(a.quiet(), "nothing came after the drain was announced");

    let line = program.wait_for_counter("attempts_not_sent", 2);
    assert!(line.contains(" attempts_not_sent=2 "), "each of those that waited is counted once: {line}");
    trace.join("\n")
}

#[test]
fn attempts_waiting_for_a_connection_when_their_host_leaves_are_not_sent() {
    let trace = waiting_while("leaving");
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
    assert_eq!(waiting_while("left"), trace, "one that has left is no other");
    assert_eq!(waiting_while(""), trace, "nor one that a whole list does not name");
}

/// An attempt is in its handshake with `a` when the list changes `a`, and names another host: what
/// its client gets. No byte goes where the handshake was.
fn in_a_handshake_while(changed: impl Fn(SocketAddr) -> String) -> String {
    let a = StalledListener::start();
    let b = Peer::host(|_| hit("from b"));
    let discovery = Discovery::start();
    let known = [entry("a", a.address, "active")];
    let program =
        Program::start_by(BINARY, discovery.peer.address, &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    client.get("k", "id", "c=once,d=9000");
    program.wait_for_counter("attempts", 1);

    discovery.publish(&[changed(a.address), entry("b", b.address, "active")]);
    program.wait_for_counter("endpoint_lists", 2);
    // From here on the handshake can come to its end.
    let (_, wrote) = a.accept_all();

    let answer = client.answer();
    assert!(wrote.try_recv().is_err(), "a byte went where the handshake was");
    answer
}

#[test]
fn handshake_under_way_when_its_host_leaves_carries_nothing() {
    assert_eq!(in_a_handshake_while(|at| entry("a", at, "leaving")), "from b");
}

/// Another may stand at the old address now.
#[test]
fn handshake_under_way_when_its_host_moves_carries_nothing() {
    let elsewhere = Peer::host(|_| hit("from the new address"));
    assert_eq!(in_a_handshake_while(|_| entry("a", elsewhere.address, "active")), "from b");
    assert!(elsewhere.quiet(), "one attempt each host");
}

/// Keys of both hosts' are read at `b`, and nothing comes to `a`.
fn only_b_serves(program: &Program, a: &Peer, what: &str) {
    for nth in 0..4 {
        let (key, id) = (format!("k{nth}"), format!("id{nth}"));
        assert_eq!(program.client().command(&["CACHE.GET", &key, &id, "c=read,d=600"]), "from b");
    }
    assert!(a.quiet(), "{what}");
}

#[test]
fn drain_in_an_otherwise_invalid_entry_is_honoured() {
    let b = Peer::host(|_| hit("from b"));
    for absurd in [
        r#"{"instanceId":"a","lifecycle":"leaving"}"#,
        r#"{"instanceId":"a","hostPort":"::","lifecycle":"leaving","startedAtMs":1e300}"#,
        r#"{"instanceId":"a","hostPort":7,"zone":[],"weight":"much","lifecycle":"left"}"#,
    ] {
        let (_release, a) = breaking_host();
        let discovery = Discovery::start();
        let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
        let program = Program::start(BINARY, discovery.peer.address, &known, 1024);

        discovery.publish(&[absurd.to_owned(), entry("b", b.address, "active")]);

        let line = program.wait_for_counter("endpoint_lists", 2);
        assert!(line.contains(" endpoints_refused=0 "), "{line}");
        only_b_serves(&program, &a, absurd);
    }
}

/// Moved by SIGHUP, it asks for all there is: a discovery that counts from less holds a call from
/// the version that it has, and may know of a drain all the same.
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
        let news = r#"{"generation":40,"reset":false,"instances":[]}"#;
        if request.contains("from=1&") {
            http_answer(200, news)
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
    only_b_serves(&program, &a, "nothing goes to the host that leaves");

    expect![[r#"
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=40&hold_ms=3000
        GET /v1/servers
        GET /v1/servers?from=3&hold_ms=3000"#]]
    .assert_eq(&trace.join("\n"));
}

/// After SIGTERM the list is followed for as long as a request is open: a retry goes by what was
/// announced meanwhile.
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
        Program::start_by(BINARY, discovery.peer.address, &known, [192, 1024], &long_deadline_settings());
    let mut client = program.client();
    client.get(HOME_A, "slow", "c=once,d=9000");
    let mut trace = vec![a.next(), discovery.peer.next()];

    program.signal("TERM");
    program.wait_for_log("Draining");
    let up = ["a", "c"].into_iter().zip([a.address, c.address]).map(|(name, at)| entry(name, at, "active"));
    discovery.publish(&up.chain([entry("b", b.address, "leaving")]).collect::<Vec<_>>());
    // The next call shows that this list was read.
    trace.push(discovery.peer.next());
    release.send(()).expect("it waits");
    trace.push(client.answer());

    assert!(program.ended().success());
    assert!(b.quiet(), "nothing goes to the host that leaves");
    expect![[r#"
        CACHE.GET k2 slow c=once,d=..
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=2&hold_ms=3000
        from c"#]]
    .assert_eq(&trace.join("\n"));
}

/// A watch that fell silent is broken: what it misses counts as announced 6 s after, and the change
/// has to be known by then.
#[test]
fn drain_behind_a_silent_watch_is_honoured_in_time() {
    assert_honoured_in_time(0, |_| Reply::Nothing, calls_without_failures());
}

/// A response that drips does not put the timeout off.
#[test]
fn drain_in_a_list_that_only_drips_is_honoured_in_time() {
    assert_honoured_in_time(0, |news| Reply::Drips(news, Duration::from_secs(1)), calls_without_failures());
}

/// Whatever failed before: a change counts as announced 6 s after discovery had it and could be
/// reached, which it does here with the first call that is not closed, and which is the one that
/// falls silent.
#[test]
fn drain_behind_a_silent_watch_after_failed_calls_is_honoured_in_time() {
    let calls = expect![[r#"
        GET /v1/servers?from=1&hold_ms=500
        GET /v1/servers?from=1&hold_ms=500
        GET /v1/servers?from=2&hold_ms=3000
        closed"#]];
    assert_honoured_in_time(4, |_| Reply::Nothing, calls);
}

/// The calls from the one that falls silent on, where none failed before.
fn calls_without_failures() -> Expect {
    expect![[r#"
        GET /v1/servers?from=1&hold_ms=2500
        GET /v1/servers?from=1&hold_ms=3000
        GET /v1/servers?from=2&hold_ms=3000
        closed"#]]
}

/// So many calls are closed; the next gets `first`, and the one after brings the change.
fn assert_honoured_in_time(failed: u32, first: fn(String) -> Reply, expected: Expect) {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let entries = [entry("a", a.address, "leaving"), entry("b", b.address, "active")].join(",");
    let news = format!(r#"{{"generation":2,"reset":false,"instances":[{entries}]}}"#);
    let calls = AtomicU32::new(0);
    // The first that is not closed is never answered whole, and the one after the news not at all.
    let discovery = Peer::http(move |_| match calls.fetch_add(1, Ordering::Relaxed) {
        call if call < failed => Reply::Last(String::new()),
        call if call == failed => {
            first(format!("HTTP/1.1 200 so\r\nContent-Length: {}\r\n\r\n{news}", news.len()))
        }
        call if call == failed + 1 => http_answer(200, &news),
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
    only_b_serves(&program, &a, "nothing goes to the host that leaves");
    // When it sees the end of its connection is not fixed.
    trace.sort();
    expected.assert_eq(&trace.join("\n"));
}

/// The list as another may write it: indented, in chunks, byte by byte, with a host that leaves and
/// was never listed before.
#[test]
fn drain_in_a_list_of_any_form_is_honoured() {
    let b = Peer::host(|_| hit("from b"));
    for way in ["indented", "chunked", "dripping", "unlisted"] {
        let (_release, a) = breaking_host();
        let leaves = if way == "unlisted" { "c" } else { "a" };
        let entries = [entry(leaves, a.address, "leaving"), entry("b", b.address, "active")].join(",\n  ");
        let list =
            format!("{{\n\t\"generation\" : 2,\r\n \"reset\": false, \"instances\":\n [ {entries} ]\n}}\n");
        let head = "HTTP/1.1 200 so\r\n";
        let whole = match way {
            "chunked" => {
                let (one, two) = list.split_at(list.len() / 2);
                let chunk = |part: &str| format!("{:x}\r\n{part}\r\n", part.len());
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{}{}0\r\n\r\n", chunk(one), chunk(two))
            }
            _ => format!("{head}Content-Length: {}\r\n\r\n{list}", list.len()),
        };
        let discovery = Peer::http(move |request| match request.contains("from=1&") {
            true if way == "dripping" => Reply::Drips(whole.clone(), Duration::from_millis(1)),
            true => Reply::Text(whole.clone()),
            false => Reply::Nothing,
        });
        let known = if leaves == "a" { vec![entry("a", a.address, "active")] } else { Vec::new() };
        let known = [known, vec![entry("b", b.address, "active")]].concat();
        let program = Program::start(BINARY, discovery.address, &known, 1024);

        let line = program.wait_for_counter("endpoint_lists", 2);
        assert!(line.contains(" discovery_invalid=0 "), "{way}: {line}");
        only_b_serves(&program, &a, way);
    }
}

/// The list and requests come while this process is stopped: the list is read before anything is
/// sent.
#[test]
fn drain_during_a_process_stall_is_honoured_before_anything_is_sent() {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    // By hand: what is written is in the socket before the process goes on.
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start(BINARY, listener.local_addr().expect("an address"), &known, 1024);
    let (mut discovery, _) = listener.accept().expect("it asks");
    let mut clients: Vec<Client> = (0..4).map(|_| program.client()).collect();
    clients.iter_mut().for_each(|client| assert_eq!(client.command(&["PING"]), "+PONG"));

    program.signal("STOP");
    for (nth, client) in clients.iter_mut().enumerate() {
        client.get(HOME_A, &format!("id{nth}"), "c=read,d=1900");
    }
    let leaves = entry("a", a.address, "leaving");
    let body = format!(r#"{{"generation":2,"reset":false,"instances":[{leaves}]}}"#);
    let Reply::Text(text) = http_answer(200, &body) else { panic!("a text") };
    discovery.write_all(text.as_bytes()).expect("it is taken");
    program.signal("CONT");

    clients.iter_mut().for_each(|client| assert_eq!(client.answer(), "from b"));
    // One whose request was read first may have dialled it; the list comes before the first byte.
    let sent: Vec<String> = std::iter::from_fn(|| a.seen()).filter(|seen| seen != "closed").collect();
    assert!(sent.is_empty(), "nothing goes to the host that leaves: {sent:?}");
}

/// Two hosts go, and one of them returns under its name, all by changes to the list: its number is
/// another then, and the one that it had is still among those that are free.
#[test]
fn drain_of_a_host_that_had_returned_is_honoured() {
    let (_release, a) = breaking_host();
    let b = Peer::host(|_| hit("from b"));
    let (at, gone) = (a.address, nowhere());
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
    assert!(line.contains(" hosts_released=2"), "each host once, and one that drains is not gone: {line}");
    only_b_serves(&program, &a, "nothing goes to the host that leaves");
}
