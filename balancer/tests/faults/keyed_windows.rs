//! Rule 2: a request with an idempotency key that may have run is retried only within its
//! deduplication window, whatever the retry waits for.

use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::stand_ins::{long_deadline_settings, StalledListener};
use crate::BINARY;

/// The deduplication window of hosts in these tests.
const WINDOW: Duration = Duration::from_millis(600);

fn settings_with_short_window() -> String {
    let settings = long_deadline_settings();
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
        &settings_with_short_window(),
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
