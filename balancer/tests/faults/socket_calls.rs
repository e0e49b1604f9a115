//! Reads, writes and accepts that are interrupted, partial, or fail for a moment.

use std::thread;
use std::time::Duration;

use basaltwood_fault_control::{Call, ALWAYS};

use crate::common::*;
use crate::FaultyProgram;

const REQUESTS: usize = 50;
/// Number of failing calls per thousand.
const FAILURES_PER_THOUSAND: u32 = 400;

fn faulty_program(host: &Peer) -> FaultyProgram {
    FaultyProgram::start(unreachable_address(), &[entry("a", host.address, "active")], SETTINGS)
}

fn all_are_served(faulty: &FaultyProgram, condition: &str) {
    let mut client = faulty.program.client();
    for nth in 0..REQUESTS {
        let answer =
            client.command(&["CACHE.GET", &format!("k{nth}"), &format!("{condition}{nth}"), "c=once,d=1900"]);
        assert_eq!(answer, "some value", "request {nth} while {condition}");
    }
}

#[test]
fn interrupted_and_partial_reads_and_writes_lose_no_request() {
    let host = Peer::host(|_| hit("some value"));
    let faulty = faulty_program(&host);
    for call in [Call::Receive, Call::Send] {
        faulty.faults.fail(call, libc::EINTR, FAILURES_PER_THOUSAND).expect("write the fault file");
        all_are_served(&faulty, &format!("interrupted-{call:?}"));
        faulty.faults.fail(call, libc::ENOBUFS, FAILURES_PER_THOUSAND).expect("write the fault file");
        all_are_served(&faulty, &format!("short-of-buffers-{call:?}"));
        faulty.faults.shorten(call, 3).expect("write the fault file");
        all_are_served(&faulty, &format!("short-{call:?}"));
        faulty.faults.restore(call).expect("write the fault file");
    }
}

/// Clients that connect while accepts fail, before or after SIGTERM, are all served.
#[test]
fn accepts_that_fail_for_a_moment_lose_no_client() {
    for errno in [libc::ECONNABORTED, libc::EMFILE, libc::ENFILE, libc::ENOBUFS, libc::EINTR] {
        for is_shutting_down in [false, true] {
            let host = Peer::host(|_| hit("some value"));
            let mut faulty = faulty_program(&host);
            assert_eq!(faulty.program.client().command(&["PING"]), "+PONG");
            faulty.faults.fail(Call::Accept, errno, ALWAYS).expect("write the fault file");
            let mut clients: Vec<Client> = (0..5).map(|_| faulty.program.client()).collect();
            for (nth, client) in clients.iter_mut().enumerate() {
                client.get("k", &format!("id{nth}"), "c=once,d=1900");
            }
            if is_shutting_down {
                faulty.program.signal("TERM");
                faulty.program.wait_for_log("Closing");
            }
            thread::sleep(Duration::from_millis(100));
            faulty.faults.restore(Call::Accept).expect("write the fault file");
            let served =
                clients.iter_mut().filter_map(|client| (client.answer() == "some value").then_some(()));
            assert_eq!(
                served.count(),
                5,
                "errno {errno}, {}",
                if is_shutting_down { "shutting down" } else { "serving" }
            );
            if is_shutting_down {
                drop(clients);
                assert!(faulty.program.wait_for_exit().success());
            }
        }
    }
}

/// Each signal that comes while reads are interrupted is handled and has no other effect.
#[test]
fn signals_while_reads_are_interrupted_are_handled() {
    let host = Peer::host(|_| hit("some value"));
    let mut faulty = faulty_program(&host);
    faulty.faults.fail(Call::Receive, libc::EINTR, ALWAYS).expect("write the fault file");
    faulty.program.signal("HUP");
    faulty.program.signal("USR1");
    thread::sleep(Duration::from_millis(300));
    faulty.faults.restore(Call::Receive).expect("write the fault file");
    faulty.program.wait_for_log("configuration reloaded");
    all_are_served(&faulty, "after-signals");

    faulty.faults.fail(Call::Receive, libc::EINTR, ALWAYS).expect("write the fault file");
    faulty.program.signal("TERM");
    thread::sleep(Duration::from_millis(300));
    faulty.faults.restore(Call::Receive).expect("write the fault file");
    assert!(faulty.program.wait_for_exit().success());
}
