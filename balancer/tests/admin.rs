//! The admin interface seen from outside the process: readiness, metrics and lame-duck mode.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::mpsc::channel;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use common::*;
use expect_test::expect;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");

/// A balancer with an admin interface and these hosts.
fn program_with_admin(hosts: &[(&str, &Peer)]) -> Program {
    let known: Vec<String> = hosts.iter().map(|(name, peer)| entry(name, peer.address, "active")).collect();
    Program::managed(BINARY, &known, [192, 1024])
}

const LAME_DUCK_ON: &str = "POST /_lameduck/on HTTP/1.1\r\n\r\n";
const LAME_DUCK_OFF: &str = "POST /_lameduck/off HTTP/1.1\r\n\r\n";
const READY: &str = "GET /_ready HTTP/1.1\r\n\r\n";

/// One command for each outcome, and the beginning of its answer.
const COMMANDS_AND_ANSWERS: [([&str; 3], &str); 7] = [
    (["CACHE.GET", "k", "c=read,d=900"], "v"),
    (["CACHE.GET", "lacked", "c=once,d=900"], "fetched"),
    (["CACHE.GET", "bad", "c=once,d=900"], "-ERR dead-lettered"),
    (["CACHE.GET", "k", "c=unheard-of,d=900"], "-ERR unknown category unheard-of"),
    (["CACHE.GET", "k", "c=read"], "-ERR no d: expected the time to wait in milliseconds, 0 to 3600000"),
    (["CACHE.GET", "busy", "c=read,d=900"], "-BUSY"),
    (["CACHE.GET", "k", "r=1,c=read,d=900"], "v"),
];

#[test]
fn metrics_after_each_outcome_count_what_clients_and_hosts_saw() {
    let (release, released) = channel::<()>();
    let released = Mutex::new(released);
    let host = Peer::host(move |request| match request.split(' ').nth(1) {
        Some("busy") => Reply::Text("-BUSY\r\n".to_owned()),
        Some("lacked") => miss(),
        Some("bad") => Reply::Text("-ERR failed\r\n".to_owned()),
        Some("slow") => {
            let _ = released.lock().expect("a lock").recv();
            hit("late")
        }
        _ => hit("v"),
    });
    let origin = Peer::http(|_| http_answer(200, "fetched"));
    let program = program_with_admin(&[("a", &host), ("origin", &origin)]);
    let mut client = program.client();
    for (nth, (command, expected)) in COMMANDS_AND_ANSWERS.into_iter().enumerate() {
        let [name, key, facts] = command;
        let answer = client.command(&[name, key, &format!("id{nth}"), facts]);
        assert!(answer.starts_with(expected), "{command:?}: {answer}");
    }
    // A request whose client has disconnected counts as no outcome, and is no longer active.
    let mut departing = program.client();
    departing.get("slow", "gone", "c=read,d=1500");
    program.metrics("edge_proxy_active 1");
    // Its connection may be a new one.
    program.metrics("edge_proxy_tries 7");
    drop(departing);
    let page = program.metrics("edge_proxy_active 0");
    release.send(()).expect("the host waits");
    expect![[r#"
        ok{kind="read"} 2
        ok{kind="put"} 0
        ok{kind="once"} 1
        shed{kind="read"} 1
        shed{kind="put"} 0
        shed{kind="once"} 0
        errors{kind="read"} 0
        errors{kind="put"} 0
        errors{kind="once"} 1
        tries 7
        active 0
        pool_size 1
        pool_ejected 0
        surplus_bytes{place="idle"} 0
        surplus_bytes{place="behind_response"} 0
        invariant_violations{name="reply_owed_at_close"} 0
        invariant_violations{name="answer_missing"} 0
        invariant_violations{name="answer_late"} 0
        invariant_violations{name="sent_for_departed_client"} 0
        invariant_violations{name="sent_after_deadline"} 0
        invariant_violations{name="unsafe_repeat"} 0
        invariant_violations{name="outstanding_past_window"} 0
        invariant_violations{name="sent_to_draining_host"} 0
        invariant_violations{name="stated_time_too_long"} 0
        invariant_violations{name="task_panicked"} 0
        invariant_violations{name="reply_length_wrong"} 0"#]]
    .assert_eq(&page);
}

#[test]
fn silent_host_counts_as_ejected_until_it_is_probed() {
    let (silent, healthy) = (Peer::host(|_| Reply::Nothing), Peer::host(|_| hit("v")));
    let program = program_with_admin(&[("a", &silent), ("b", &healthy)]);

    for nth in 0..4 {
        program.client().command(&["CACHE.GET", "k2", &format!("id{nth}"), "c=read,d=300"]);
    }
    assert!(program.metrics("edge_proxy_pool_ejected 1").contains("pool_size 2"));
    // It is probed after a pause and is no longer ejected.
    program.metrics("edge_proxy_pool_ejected 0");
}

#[test]
fn silent_callers_beyond_the_limit_do_not_block_other_callers() {
    let host = Peer::host(|_| hit("v"));
    let program = program_with_admin(&[("a", &host)]);
    let silent: Vec<TcpStream> = (0..40)
        .map(|nth| {
            let mut stream = TcpStream::connect(&program.mgmt).expect("the admin interface listens");
            let partial = if nth % 2 == 0 { "" } else { "GET /_va" };
            stream.write_all(partial.as_bytes()).expect("the caller writes");
            stream
        })
        .collect();

    assert_eq!(program.call(READY).0, 200);
    // A caller that sends single bytes and then closes its sending side is answered too.
    let mut pieces = TcpStream::connect(&program.mgmt).expect("the admin interface listens");
    READY.bytes().for_each(|byte| pieces.write_all(&[byte]).expect("the caller writes"));
    pieces.shutdown(Shutdown::Write).expect("open");
    let mut answer = String::new();
    pieces.read_to_string(&mut answer).expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_eq!(program.call("GET /_vars?x HTTP/1.1\r\n\r\n").0, 200);
    assert_eq!(program.call("GET /else HTTP/1.1\r\n\r\n").0, 404);
    drop(silent);
}

#[test]
fn lame_duck_mode_closes_connections_after_an_answer_until_it_is_switched_off() {
    let (release, host) = gated_host();
    let mut program = program_with_admin(&[("a", &host)]);
    let (mut idle, mut silent, mut busy) = (program.client(), program.client(), program.client());
    assert_eq!(idle.command(&["PING"]), "+PONG");
    busy.get("slow", "id1", "c=read,d=1900");
    host.next();
    assert_eq!([program.call(LAME_DUCK_ON).0, program.call(LAME_DUCK_ON).0], [200, 200]);
    let mut trace = vec![idle.answer()];
    // Clients that connect in lame-duck mode are served and closed; open requests are answered.
    let mut late = program.client();
    trace.extend([late.command(&["PING"]), late.answer()]);
    let mut late = program.client();
    trace.extend([late.command(&["CACHE.GET", "k", "id2", "c=read,d=900"]), late.answer()]);
    release.send(()).expect("the host waits");
    trace.extend([busy.answer(), busy.answer(), silent.answer()]);
    trace.push(program.call(READY).0.to_string());
    // Switched off once and twice, it serves as before.
    trace.push(program.call(LAME_DUCK_OFF).0.to_string());
    let mut returning = program.client();
    trace.push(returning.command(&["PING"]));
    trace.push(returning.command(&["CACHE.GET", "k", "id3", "c=read,d=900"]));
    trace.push(program.call(LAME_DUCK_OFF).0.to_string());
    trace.push(returning.command(&["PING"]));
    // SIGTERM in lame-duck mode ends the process as usual.
    program.call(LAME_DUCK_ON);
    program.signal("TERM");
    trace.push(format!("{:?}", program.wait_for_exit().code()));
    expect![[r#"
        closed
        -ERR draining
        closed
        v
        closed
        v
        closed
        closed
        200
        200
        +PONG
        v
        200
        +PONG
        Some(0)"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn pipelining_client_in_lame_duck_mode_is_closed_in_time() {
    // Each request takes 20 to 140 ms, so that there is always another one open.
    let host = Peer::host(|command| {
        let digits = command.bytes().filter(u8::is_ascii_digit);
        let sum = digits.fold(0, |sum, digit| sum + u64::from(digit - b'0'));
        std::thread::sleep(Duration::from_millis(20 + sum % 5 * 30));
        hit("v")
    });
    let program = program_with_admin(&[("a", &host)]);
    let mut client = program.client();
    let send = |client: &mut Client, nth: u32| {
        let id = format!("id{nth:08}");
        let text = format!("*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk\r\n$10\r\n{id}\r\n$12\r\nc=read,d=900\r\n");
        client.writing.write_all(text.as_bytes()).is_ok()
    };
    let mut sent = 0;
    while sent < 4 && send(&mut client, sent) {
        sent += 1;
    }

    program.call(LAME_DUCK_ON);
    let (began, mut answered) = (Instant::now(), 0);
    loop {
        match &client.answer()[..] {
            "closed" => break,
            "v" | "-BUSY 400" => answered += 1,
            other => panic!("{other}"),
        }
        send(&mut client, sent);
        sent += 1;
    }
    assert!(answered >= 4 && began.elapsed() < Duration::from_secs(4), "{answered}, {:?}", began.elapsed());
    program.metrics("edge_proxy_active 0");
}

#[test]
fn hosts_of_a_silent_zone_count_as_ejected() {
    let silent: Vec<Peer> = (0..4).map(|_| Peer::host(|_| Reply::Nothing)).collect();
    let healthy = Peer::host(|_| hit("v"));
    let mut known: Vec<String> = silent
        .iter()
        .enumerate()
        .map(|(nth, peer)| entry(&format!("dark{nth}"), peer.address, "active"))
        .collect();
    known.push(entry("light", healthy.address, "active").replace(r#""zone":"a""#, r#""zone":"b""#));
    let program = Program::managed(BINARY, &known, [192, 1024]);
    let waiting: Vec<_> = (0..40)
        .map(|nth| {
            let mut client = program.client();
            client.get(&format!("k{nth}"), &format!("id{nth}"), "c=read,d=400");
            client
        })
        .collect();
    // Once three hosts of the zone have lost an attempt, the fourth is suspected too.
    assert!(program.metrics("edge_proxy_pool_ejected 4").contains("pool_size 5"));
    drop(waiting);
}

#[test]
fn admin_address_that_is_invalid_or_taken_ends_the_start_with_one_line() {
    let taken = Peer::host(|_| hit("v"));
    let mut lines = Vec::new();
    for address in ["nowhere", &taken.address.to_string()] {
        let config = managed_config(&[], [192, 1024]);
        let config = config.replace(r#""mgmt":"127.0.0.1:0""#, &format!(r#""mgmt":"{address}""#));
        let mut program = Program::with_config(BINARY, &config);
        let code = program.wait_for_exit().code();
        let log = program.remaining_log();
        let line = log.last().expect("a line").replace(address, "ADDRESS");
        let cause = line.split_once(": ").expect("a cause").1;
        lines.push(format!("{code:?} {}", cause.rsplit(".json: ").next().unwrap_or("")));
    }
    expect![[r#"
        Some(1) mgmt "ADDRESS" is not an IP address with a port
        Some(1) mgmt on ADDRESS: Address already in use (os error 98)"#]]
    .assert_eq(&lines.join("\n"));
}
