//! A property test of when attempts that are still out are cancelled: for random events in random
//! order, no keyed request takes effect twice however late its attempts arrive.

use basaltwood::policy::BegunAttempts;
use basaltwood::types::*;
use proptest::prelude::*;

const MS: Micros = 1_000;
const DEADLINE: Micros = 2_500 * MS;
/// How long the process may be stalled before it cancels.
const MAX_PROCESS_STALL: Micros = 150 * MS;

fn keyed(window: Micros) -> RetrySafety {
    RetrySafety::IdempotencyKey { scope: DeduplicationScope::All, window }
}

/// An attempt: when it begins, and how long the network would hold it back.
fn attempts() -> impl Strategy<Value = Vec<(Micros, Micros)>> {
    prop::collection::vec((0..2_500 * MS, 0..8_000 * MS), 1..5)
}

/// When each attempt arrives that is not cancelled before.
fn arrivals(begun: &BegunAttempts, attempts: &[(Micros, Micros)]) -> Vec<Micros> {
    let arrival = |(index, (began_at, held_back)): (usize, &(Micros, Micros))| {
        let arrives_at = began_at + held_back;
        let cancel_at = begun.cancel_at(AttemptNumber(index as u32)).expect("the request is keyed");
        // A stalled process cancels late; nothing is cancelled before it has begun.
        let cancelled_at = (cancel_at + MAX_PROCESS_STALL).max(*began_at);
        (arrives_at < cancelled_at).then_some(arrives_at)
    };
    attempts.iter().enumerate().filter_map(arrival).collect()
}

proptest! {
    /// Each attempt begins inside the window of the first, as retry safety has it.
    #[test]
    fn no_attempt_arrives_after_the_window_of_an_earlier_run(
        mut attempts in attempts(),
        window in 200 * MS..6_000 * MS,
        ended_at in prop::option::of(0..2_500 * MS),
    ) {
        attempts.sort_unstable();
        let first = attempts[0].0;
        attempts.retain(|(began_at, _)| *began_at < first + window);
        let mut begun = BegunAttempts::new(keyed(window), DEADLINE);
        for (index, (began_at, _)) in attempts.iter().enumerate() {
            begun.begin(AttemptNumber(index as u32), *began_at);
        }
        let last_begun = attempts.last().map_or(0, |(began_at, _)| *began_at);
        if let Some(ended_at) = ended_at.map(|at| at.max(last_begun)) {
            begun.end_request(ended_at);
        }
        let client_repeats_at = ended_at.map_or(DEADLINE, |at| at.max(last_begun));

        let mut runs = arrivals(&begun, &attempts);
        runs.sort_unstable();
        if let (Some(earliest), Some(latest)) = (runs.first(), runs.last()) {
            prop_assert!(latest - earliest <= window, "the request runs at {earliest} and at {latest}");
            // The client's repeat runs no earlier than it is sent.
            prop_assert!(latest - client_repeats_at <= window, "{latest} is after the client's repeat");
        }
    }
}

#[test]
fn only_requests_with_a_window_are_cancelled() {
    for safety in [RetrySafety::Idempotent, RetrySafety::AtMostOnce] {
        let mut begun = BegunAttempts::new(safety, DEADLINE);
        begun.begin(AttemptNumber(0), 0);
        begun.begin(AttemptNumber(1), MS);
        assert_eq!(begun.cancel_at(AttemptNumber(0)), None);
    }
}

#[test]
fn attempt_is_not_cancelled_for_one_that_never_ran() {
    let mut begun = BegunAttempts::new(keyed(1_000 * MS), DEADLINE);
    begun.begin(AttemptNumber(0), 0);
    begun.begin(AttemptNumber(1), 100 * MS);
    assert_eq!(begun.cancel_at(AttemptNumber(0)), Some(1_100 * MS - MAX_PROCESS_STALL));
    begun.prove_not_run(AttemptNumber(1));
    assert_eq!(begun.cancel_at(AttemptNumber(0)), Some(DEADLINE + 1_000 * MS - MAX_PROCESS_STALL));
}
