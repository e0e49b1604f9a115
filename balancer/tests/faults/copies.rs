//! Hosts that answer twice: nobody gets what was not made for it, and no other host's requests pay.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::common::*;
use crate::BINARY;

const READS: usize = 800;
/// Between two reads: all of them fall into the time in which copies are suspected.
const READ_INTERVAL: Duration = Duration::from_millis(2);

/// Values are alike at all three hosts, as flags and empty values are; one host sends one answer
/// twice, once.
#[test]
fn one_copy_of_an_answer_costs_no_other_request_its_own() {
    let has_copied = Arc::new(AtomicBool::new(false));
    let copied = has_copied.clone();
    let copies_once = Peer::host(move |request| match hit("v") {
        Reply::Text(text) if request.contains("copied") && !copied.swap(true, Ordering::Relaxed) => {
            Reply::Text(text.repeat(2))
        }
        reply => reply,
    });
    let others: Vec<Peer> = (0..2).map(|_| Peer::host(|_| hit("v"))).collect();
    let known = [
        entry("a", copies_once.address, "active"),
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
        if has_copied.load(Ordering::Relaxed) {
            break;
        }
    }

    let mut failed = 0;
    for nth in 0..READS {
        let answer = client.command(&["CACHE.GET", &format!("k{nth}"), &format!("id{nth}"), "c=read,d=1900"]);
        failed += usize::from(answer != "v");
        thread::sleep(READ_INTERVAL);
    }
    assert_eq!(failed, 0, "of {READS} reads after one copy");
}
