//! The end by SIGTERM.

use std::time::{Duration, Instant};

use expect_test::expect;

use crate::common::*;
use crate::{counted, program, BINARY};

#[test]
fn told_to_end_it_answers_what_it_took_and_what_still_comes() {
    let (release, host) = gated_host();
    let mut program = program(&[("a", &host)]);
    let (mut idle, mut slow) = (program.client(), program.client());
    let mut trace = vec![idle.asks(&["PING"])];
    slow.get("slow", "id1", "c=read,d=1500");
    host.next();
    program.signal("TERM");
    program.logged("Draining");
    let mut late = program.client();
    trace.push(format!("idle: {}", idle.answer()));
    trace.push(format!("late: {}", late.asks(&["CACHE.GET", "k", "id2", "c=read,d=600"])));
    trace.push(format!("late: {}", late.answer()));
    release.send(()).expect("it waits");
    trace.push(format!("slow: {}", slow.answer()));
    trace.push(format!("slow: {}", slow.answer()));
    trace.push(format!("{:?}", program.ended().code()));
    let log = program.rest();
    let phases = log.iter().filter_map(|line| line.split_once("process] ")).map(|found| found.1);
    trace.extend(phases.map(|line| {
        if line.contains('=') {
            counted(line, &["requests", "succeeded"])
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
        Closing
        Ended
        requests=2 succeeded=2"#]]
    .assert_eq(&trace.join("\n"));
}

#[test]
fn told_to_end_it_stays_away_for_no_half_command_that_nothing_is_added_to() {
    let mut program = Program::start_by(BINARY, nowhere(), &[], [192, 1024], SETTINGS);
    let (mut half, mut slow) = (program.client(), program.client());
    assert_eq!(half.asks(&["PING"]), "+PONG");
    half.raw(b"*4\r\n$9\r\nCACHE.GET\r\n$1\r\nk");
    slow.raw(b"*1\r\n$4\r\nPI");
    let began = Instant::now();
    program.signal("TERM");
    program.logged("Draining");
    // One that is being written is heard to its end.
    slow.raw(b"NG\r\n");
    assert_eq!([slow.answer(), half.answer()], ["+PONG", "closed"]);
    assert_eq!(program.ended().code(), Some(0));
    // 0.6 s in which clients still come; the longest op would take 2 s more.
    assert!(began.elapsed() < Duration::from_millis(2_300), "after {:?}", began.elapsed());
}
