//! Clients that leave and come again with the same request id.

#[path = "../../tests/common/mod.rs"]
mod common;
mod stand_ins;

use common::*;
use stand_ins::EACH_DEPARTURE;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const MAY_HAVE_RUN: &str = "-ERR an op with this id may have run";

/// An origin that holds back its answers to the key `slow`, and a balancer.
fn gated_origin() -> (std::sync::mpsc::Sender<()>, Peer, Program) {
    let (release, wait) = gate();
    let origin = Peer::http(move |request| {
        wait(request);
        http_answer(200, "receipt")
    });
    let host = Peer::host(|_| miss());
    let known = [entry("a", host.address, "active"), entry("origin", origin.address, "active")];
    let program = Program::start(BINARY, unreachable_address(), &known, 256);
    (release, origin, program)
}

/// Guards against an at-most-once write running twice because its client left before the answer and came
/// again with the same id.
#[test]
fn write_whose_client_left_does_not_run_again_under_its_id() {
    for departure in EACH_DEPARTURE {
        let (release, origin, program) = gated_origin();
        let write = ["CACHE.SET", "slow", "id", "c=once,d=1900", "v"];
        let mut first = program.client();
        first.send(&write);
        assert!(origin.next().contains("slow"));
        departure.apply(first);
        program.wait_for_counter("abandoned", 1);
        assert_eq!(program.client().command(&write), "-ERR an op with this id is open");
        release.send(()).expect("the origin waits");
        program.wait_for_counter("attempts_succeeded", 1);

        for _ in 0..3 {
            assert_eq!(program.client().command(&write), MAY_HAVE_RUN, "{departure:?}");
        }
        assert!(origin.received_nothing(), "{departure:?}: the write ran again");
        // Another id, and one whose client heard its answer, are free.
        let mut client = program.client();
        for _ in 0..2 {
            let other = client.command(&["CACHE.SET", "k", "other", "c=once,d=1900", "v"]);
            assert_eq!(other, "receipt");
        }
    }
}

/// Guards against the same where the answer was there, behind another one that the client did not wait for.
#[test]
fn write_whose_answer_was_never_written_does_not_run_again_under_its_id() {
    let (release, origin, program) = gated_origin();
    let mut first = program.client();
    // Both are writes: they begin at once, and the second is answered while the first is not.
    first.send(&["CACHE.SET", "slow", "id1", "c=put,d=1900,k=1", "v"]);
    first.send(&["CACHE.SET", "k", "id2", "c=once,d=1900", "v"]);
    program.wait_for_counter("attempts_succeeded", 1);
    first.disconnect();
    program.wait_for_counter("abandoned", 1);
    release.send(()).expect("the origin waits");
    assert_eq!((0..2).map(|_| origin.next()).filter(|request| request.contains("PUT /k ")).count(), 1);

    let repeated = program.client().command(&["CACHE.SET", "k", "id2", "c=once,d=1900", "v"]);
    assert_eq!(repeated, MAY_HAVE_RUN);
    assert!(origin.received_nothing(), "the write ran again");
}

/// Guards against a request being refused under an id that never ran.
#[test]
fn write_that_never_ran_may_come_again_under_its_id() {
    let (_release, origin, program) = gated_origin();
    let write = ["CACHE.SET", "k", "id", "c=once,d=1900", "v"];
    let mut first = program.client();
    // The write waits for the read before it, which is never answered.
    first.get("slow", "id-read", "c=read,d=1900");
    first.send(&write);
    program.wait_for_counter("requests_held", 1);
    first.disconnect();
    program.wait_for_counter("abandoned", 2);
    assert_eq!(program.client().command(&write), "receipt");
    drop(origin);
}
