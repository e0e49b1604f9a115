//! Rule 2: a request with an idempotency key that may have run is retried only within its
//! deduplication window, whatever the retry waits for.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::channel;
use std::thread;
use std::time::{Duration, Instant};

use crate::common::*;
use crate::stand_ins::{long_deadline_settings, StalledListener};
use crate::BINARY;

/// The deduplication window of hosts in these tests.
const WINDOW: Duration = Duration::from_millis(600);

fn with_short_window(settings: &str) -> String {
    let short = settings.replace("\"windowMs\":5000.0", &format!("\"windowMs\":{}.0", WINDOW.as_millis()));
    assert_ne!(short, settings);
    short
}

/// One host closes the connection after reading the request; the handshake with the other completes
/// after the window.
#[test]
fn keyed_retry_that_gets_its_connection_after_the_window_is_not_sent() {
    let a = Peer::host(|_| Reply::ThenClose(String::new()));
    let b = StalledListener::start();
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start_with(
        BINARY,
        unreachable_address(),
        &known,
        [192, 1024],
        &with_short_window(&long_deadline_settings()),
    );
    let mut client = program.client();

    client.get(HOME_A, "id", "c=put,d=9000,k=5c0f6e1a");
    assert!(a.next().starts_with("CACHE.GET k2 id"));
    program.wait_for_counter("attempts", 2);
    // The window has to pass.
    thread::sleep(WINDOW * 2);
    let (_, wrote) = b.accept_all();

    assert!(wrote.recv_timeout(WINDOW * 2).is_err(), "a retry was sent after its window");
    assert_eq!(
        client.answer(),
        "-ERR dead-lettered",
        "a rejection would ask the client for a retry, which is too late"
    );
}

/// Guards against a copy that reaches its host after the window in which hosts know its key: it was
/// left out when the request was answered through its repeat, and would have run a second time.
#[test]
fn copy_left_out_is_cancelled_before_the_window_of_its_repeat_ends() {
    let (arrived, arrivals) = channel();
    let copies = AtomicU32::new(0);
    let host = Peer::host(move |request| {
        if !request.contains("c=put") {
            return hit("value");
        }
        let _ = arrived.send(Instant::now());
        match copies.fetch_add(1, Ordering::Relaxed) {
            0 => Reply::Nothing,
            _ => hit("receipt"),
        }
    });
    let known = [entry("a", host.address, "active")];
    let settings = with_short_window(&long_deadline_settings());
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &settings);
    let (mut writer, mut reader) = (program.client(), program.client());

    writer.get("k", "id", "c=put,d=9000,k=5c0f6e1a");
    arrivals.recv_timeout(TEST_TIMEOUT).expect("the first copy");
    // Later requests are answered, which puts the first copy in doubt.
    for nth in 0..4 {
        assert_eq!(reader.command(&["CACHE.GET", "k", &format!("r{nth}"), "c=read,d=9000"]), "value");
    }
    assert_eq!(writer.answer(), "receipt");
    let repeated_at = arrivals.try_recv().expect("the request was repeated");
    while host.next() != "closed" {}

    let out_for = repeated_at.elapsed();
    assert!(out_for < WINDOW, "the copy was out for {out_for:?} after the repeat");
    program.wait_for_counter("attempts_overdue", 1);
}

/// Guards against the same where the client repeats its request: the balancer has ended it, and
/// keeps the connection for a late response.
#[test]
fn copy_of_an_ended_request_is_cancelled_before_the_window_of_the_clients_repeat_ends() {
    let a = Peer::host(|_| Reply::Nothing);
    let known = [entry("a", a.address, "active")];
    let settings = with_short_window(SETTINGS);
    let program = Program::start_with(BINARY, unreachable_address(), &known, [192, 1024], &settings);

    // Late responses are awaited of a host that does not answer at all.
    let mut client = program.client();
    for id in ["id1", "id2"] {
        assert_eq!(client.command(&["CACHE.GET", HOME_A, id, "c=read,d=300"]), "-ERR dead-lettered");
    }
    let answer = client.command(&["CACHE.GET", HOME_A, "id", "c=put,d=300,k=5c0f6e1a"]);
    assert_eq!(answer, "-ERR dead-lettered");
    let ended_at = Instant::now();
    while !a.next().starts_with("CACHE.GET k2 id c=put") {}
    assert_eq!(a.next(), "closed");

    let out_for = ended_at.elapsed();
    assert!(out_for < WINDOW, "the copy was out for {out_for:?} after the end of its request");
    program.wait_for_counter("attempts_overdue", 1);
}
