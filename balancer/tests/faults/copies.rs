//! Hosts that answer twice: each request gets its own response, and requests to other hosts are not
//! affected.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::BINARY;

const READS: usize = 800;
/// Interval between reads; all reads fall into the time in which duplicates are suspected.
const READ_INTERVAL: Duration = Duration::from_millis(2);

/// All three hosts return equal values, as is common for flags and empty values. One host sends one
/// response twice.
#[test]
fn one_duplicate_response_fails_no_other_request() {
    let has_duplicated = Arc::new(AtomicBool::new(false));
    let duplicated = has_duplicated.clone();
    let duplicating_host = Peer::host(move |request| match hit("v") {
        Reply::Text(text) if request.contains("copied") && !duplicated.swap(true, Ordering::Relaxed) => {
            Reply::Text(text.repeat(2))
        }
        reply => reply,
    });
    let others: Vec<Peer> = (0..2).map(|_| Peer::host(|_| hit("v"))).collect();
    let known = [
        entry("a", duplicating_host.address, "active"),
        entry("b", others[0].address, "active"),
        entry("c", others[1].address, "active"),
    ];
    let program = Program::start(BINARY, unreachable_address(), &known, 1024);
    let mut client = program.client();
    for nth in 0.. {
        assert_eq!(
            client.command(&["CACHE.GET", &format!("copied{nth}"), &format!("c{nth}"), "c=read,d=1900"]),
            "v"
        );
        if has_duplicated.load(Ordering::Relaxed) {
            break;
        }
    }

    let mut failed = 0;
    for nth in 0..READS {
        let answer = client.command(&["CACHE.GET", &format!("k{nth}"), &format!("id{nth}"), "c=read,d=1900"]);
        failed += usize::from(answer != "v");
        thread::sleep(READ_INTERVAL);
    }
    assert_eq!(failed, 0, "{failed} of {READS} reads failed after one duplicate response");
}
