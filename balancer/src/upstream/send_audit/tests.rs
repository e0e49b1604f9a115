//! Each invariant is violated on purpose; an attempt that keeps all of them reports none.

use std::rc::Rc;

use basaltwood::types::{AttemptOutcome, DeduplicationScope, RetrySafety};
use bytes::Bytes;
use tokio::sync::watch;

use super::*;
use crate::clock::Clock;
use crate::outstanding::OutstandingAttempts;
use crate::pipeline_slot::PipelineSlot;
use crate::presence::PresenceGuard;
use crate::request::RequestMemory;
use crate::write_log::WriteLog;

const MS: Micros = 1_000;
const WINDOW: RetrySafety = RetrySafety::IdempotencyKey { scope: DeduplicationScope::All, window: 600 * MS };

fn after(start: Instant, milliseconds: u64) -> Instant {
    start + Duration::from_millis(milliseconds)
}

fn request(client: &PresenceGuard, retry_safety: RetrySafety) -> ClientRequest {
    ClientRequest {
        command: Bytes::from_static(b"CACHE.GET"),
        key: Bytes::from_static(b"k"),
        id: Bytes::from_static(b"id"),
        facts: Bytes::from_static(b"c=read,d=500"),
        value: None,
        _memory: RequestMemory { _value: None, _words: None },
        turn: Rc::default(),
        retry_safety,
        write_log: WriteLog::default(),
        outstanding: OutstandingAttempts::new(Rc::new(Clock::start()), retry_safety, 500 * MS),
        slot: Rc::new(PipelineSlot::new(false, Rc::default())),
        client: client.presence(),
        finished: watch::Sender::new(false),
    }
}

/// An attempt written at `at`, 0.5 s before its deadline.
fn sent(request: &ClientRequest, number: u32, at: Instant) -> SentAttempt<'_> {
    SentAttempt {
        request,
        number: AttemptNumber(number),
        first_byte_at: at,
        last_byte_at: at,
        deadline: after(at, 500),
        stated_time: 500 * MS,
        draining_since: None,
    }
}

fn violations_of(attempt: &SentAttempt<'_>) -> Vec<Invariant> {
    attempt.violations(Duration::from_millis(250))
}

#[test]
fn attempt_within_all_limits_violates_no_invariant() {
    let client = PresenceGuard::default();
    let now = Instant::now();
    let request = request(&client, RetrySafety::AtMostOnce);
    let draining = SentAttempt { draining_since: Some(now), ..sent(&request, 0, after(now, 249)) };
    assert_eq!(violations_of(&draining), []);
}

#[test]
fn attempt_for_a_departed_client_is_a_violation() {
    let client = PresenceGuard::default();
    let request = request(&client, RetrySafety::Idempotent);
    drop(client);
    let now = Instant::now();
    assert_eq!(violations_of(&sent(&request, 0, after(now, 50))), []);
    assert_eq!(violations_of(&sent(&request, 1, after(now, 101))), [Invariant::SentForDepartedClient]);
}

#[test]
fn attempt_past_its_deadline_or_at_a_draining_host_is_a_violation() {
    let client = PresenceGuard::default();
    let request = request(&client, RetrySafety::Idempotent);
    let now = Instant::now();
    let late = SentAttempt { last_byte_at: after(now, 651), ..sent(&request, 0, now) };
    assert_eq!(violations_of(&late), [Invariant::SentAfterDeadline]);
    let stated_time = SentAttempt { stated_time: 651 * MS, ..sent(&request, 1, now) };
    assert_eq!(violations_of(&stated_time), [Invariant::StatedTimeTooLong]);
    let draining = SentAttempt { draining_since: Some(now), ..sent(&request, 2, after(now, 251)) };
    assert_eq!(violations_of(&draining), [Invariant::SentToDrainingHost]);
}

#[test]
fn repeat_that_could_take_effect_twice_is_a_violation() {
    let client = PresenceGuard::default();
    let now = Instant::now();
    let once = request(&client, RetrySafety::AtMostOnce);
    assert_eq!(violations_of(&sent(&once, 0, now)), []);
    once.write_log.ended(AttemptNumber(0), AttemptOutcome::Rejected);
    assert_eq!(violations_of(&sent(&once, 1, now)), [], "the first attempt never ran");
    once.write_log.ended(AttemptNumber(1), AttemptOutcome::ConnectionLost);
    assert_eq!(violations_of(&sent(&once, 2, now)), [Invariant::UnsafeRepeat]);

    let keyed = request(&client, WINDOW);
    assert_eq!(violations_of(&sent(&keyed, 0, now)), []);
    assert_eq!(violations_of(&sent(&keyed, 1, after(now, 599))), []);
    assert_eq!(violations_of(&sent(&keyed, 2, after(now, 601))), [Invariant::UnsafeRepeat]);
}
