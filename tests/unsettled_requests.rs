//! How long requests that nobody heard the answer of are remembered.

use basaltwood::policy::{must_not_begin_again, UnsettledRequests};
use basaltwood::types::RetrySafety;

const SECOND: i64 = 1_000_000;

/// Guards against memory that grows with clients that leave, and against an id that is never free again.
#[test]
fn ended_requests_are_forgotten_by_time_and_by_number() {
    let mut ended = UnsettledRequests::default();
    ended.record(0, 1);
    assert!(ended.contains(59 * SECOND, 1));
    assert!(!ended.contains(60 * SECOND, 1));

    for id in 0..20_000 {
        ended.record(61 * SECOND, id);
    }
    let remembered = (0..20_000).filter(|&id| ended.contains(61 * SECOND, id)).count();
    assert!((8_000..=8_192).contains(&remembered), "{remembered}");
    assert!(ended.contains(61 * SECOND, 19_999) && !ended.contains(61 * SECOND, 0));
}

#[test]
fn only_at_most_once_requests_that_may_have_run_are_remembered() {
    assert!(must_not_begin_again(RetrySafety::AtMostOnce, true));
    assert!(!must_not_begin_again(RetrySafety::AtMostOnce, false));
    assert!(!must_not_begin_again(RetrySafety::Idempotent, true));
}

/// Guards against memory that grows with what another process has begun, and against an id that is never free
/// again.
#[test]
fn unsettled_requests_are_forgotten_when_settled_and_by_time_and_by_number() {
    let mut unsettled = UnsettledRequests::default();
    unsettled.record(0, 1);
    unsettled.record(0, 2);
    unsettled.settle(2);
    assert!(unsettled.contains(59 * SECOND, 1) && !unsettled.contains(0, 2));
    assert!(!unsettled.contains(60 * SECOND, 1));

    for id in 0..20_000 {
        unsettled.record(61 * SECOND + id as i64, id);
    }
    let remembered = (0..20_000).filter(|&id| unsettled.contains(62 * SECOND, id)).count();
    assert!((4_096..=8_192).contains(&remembered), "{remembered}");
    assert!(unsettled.contains(62 * SECOND, 19_999) && !unsettled.contains(62 * SECOND, 0));
}
