//! Shutdown by SIGTERM.

use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::{program, selected_counters, BINARY};

#[test]
fn shutdown_answers_requests_in_flight_and_late_arrivals() {
    let (release, host) = gated_host();
    let mut program = program(&[("a", &host)]);
    let (mut idle, mut slow) = (program.client(), program.client());
    let mut trace = vec![idle.command(&["PING"])];
    slow.get("slow", "id1", "c=read,d=1500");
    host.next();

    program.signal("TERM");
    program.wait_for_log("Draining");

    let mut late = program.client();
    trace.push(format!("idle: {}", idle.answer()));
    trace.push(format!("late: {}", late.command(&["CACHE.GET", "k", "id2", "c=read,d=600"])));
    trace.push(format!("late: {}", late.answer()));

    release.send(()).expect("the host waits");
    trace.push(format!("slow: {}", slow.answer()));
    trace.push(format!("slow: {}", slow.answer()));
    trace.push(format!("{:?}", program.wait_for_exit().code()));

    let log = program.remaining_log();
    let phases = log.iter().filter_map(|line| line.split_once("process] ")).map(|found| found.1);
    trace.extend(phases.map(|line| {
        if line.contains('=') {
            selected_counters(line, &["requests", "succeeded"])
        } else {
            line.to_owned()
        }
    }));

    expect![[r#"
        +PONG
        idle: closed
        late: v
        late: closed
        slow: v
        slow: closed
        Some(0)
        phase: Closing
        phase: Ended
        requests=2 succeeded=2"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn shutdown_does_not_wait_for_a_stalled_partial_command() {
    let mut program = Program::start_with(BINARY, unreachable_address(), &[], [192, 1024], SETTINGS);
    let (mut stalled, mut slow) = (program.client(), program.client());
    assert_eq!(stalled.command(&["PING"]), "+PONG");
    stalled.raw(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk");
    slow.raw(b"*1\r\n$4\r\nPI");

    let started_at = Instant::now();
    program.signal("TERM");
    program.wait_for_log("Draining");

    // A command that is still being sent is read to its end.
    slow.raw(b"NG\r\n");

    assert_eq!([slow.answer(), stalled.answer()], ["+PONG", "closed"]);
    assert_eq!(program.wait_for_exit().code(), Some(0));
    // New clients are accepted for 0.6 s; the longest request would take 2 s more.
    assert!(started_at.elapsed() < Duration::from_millis(2_300), "exit after {:?}", started_at.elapsed());
}
