//! Rule 2: a request with an idempotency key that may have run is repeated inside its window alone,
//! whatever the repeat waits for.

use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::stand_ins::{long_deadline_settings, StalledListener};
use crate::BINARY;

/// How long hosts remember a key, in the settings of these tests.
const WINDOW: Duration = Duration::from_millis(600);

fn settings_with_short_window() -> String {
    let settings = long_deadline_settings();
    let short = settings.replace("\"windowMs\":5000.0", &format!("\"windowMs\":{}.0", WINDOW.as_millis()));
    assert_ne!(short, settings);
    short
}

/// One host reads the request and resets; the handshake with the other comes up after the window.
#[test]
fn keyed_retry_whose_connection_comes_after_its_window_is_not_sent() {
    let a = Peer::host(|_| Reply::Last(String::new()));
    let b = StalledListener::start();
    let known = [entry("a", a.address, "active"), entry("b", b.address, "active")];
    let program = Program::start_by(BINARY, nowhere(), &known, [192, 1024], &settings_with_short_window());
    let mut client = program.client();

    client.get(HOME_A, "id", "c=put,d=9000,k=5c0f6e1a");
    assert!(a.next().starts_with("CACHE.GET k2 id"));
    program.wait_for_counter("attempts", 2);
    // What has to pass is the window.
    thread::sleep(WINDOW * 2);
    let (_, wrote) = b.accept_all();

    assert!(wrote.recv_timeout(WINDOW * 2).is_err(), "a retry was sent after its window");
    assert_eq!(
        client.answer(),
        "-ERR dead-lettered",
        "a rejection would ask for a repeat, and it is too late"
    );
}
