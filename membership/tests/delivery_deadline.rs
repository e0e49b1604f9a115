//! A change counts as delivered 6 s after discovery had it and could be reached, whatever was
//! refused, unanswered, given up or invalid before: by then the list is in force, at every
//! balancer.

use basaltwood::types::Micros;
use basaltwood_membership::{WatchConfig, WatchError, WatchSchedule, MAX_CALL_INTERVAL};
use proptest::prelude::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const DELIVERY_DEADLINE: Micros = 6 * SECOND;

/// What happens to a call that is made before discovery can be reached. Times are in milliseconds
/// from the call's beginning.
#[derive(Clone, Debug)]
enum CallOutcome {
    /// Its connection does not come up.
    DialTimedOut,
    /// Its connection comes up after `dial`, and nothing comes on it, or an answer that only drips.
    NoAnswer { dial: Micros },
    /// Discovery closes the connection.
    Closed { after: Micros },
    /// Discovery refuses the call.
    Refused { after: Micros, retry_after: Option<Micros> },
    /// The answer can't be used.
    InvalidResponse { after: Micros },
    /// The answer brings no change, at the end of the call's hold or right away where it is not
    /// held.
    Unchanged { late: Micros },
}

fn any_outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        Just(CallOutcome::DialTimedOut),
        (0..500i64).prop_map(|dial| CallOutcome::NoAnswer { dial }),
        (0..4_000i64).prop_map(|after| CallOutcome::Closed { after }),
        (0..4_000i64, proptest::option::of(0..90_000i64))
            .prop_map(|(after, retry_after)| CallOutcome::Refused { after, retry_after }),
        (0..4_000i64).prop_map(|after| CallOutcome::InvalidResponse { after }),
        (0..500i64).prop_map(|late| CallOutcome::Unchanged { late }),
    ]
}

fn timed_out() -> WatchError {
    WatchError::TimedOut("no answer".to_owned())
}

/// How long the call takes with this outcome, and its error; none where it succeeds with nothing
/// new.
fn play(schedule: &WatchSchedule, outcome: &CallOutcome) -> (Micros, Option<WatchError>) {
    let call_timeout = schedule.call_timeout();
    match *outcome {
        CallOutcome::DialTimedOut => (schedule.response_timeout().min(call_timeout), Some(timed_out())),
        CallOutcome::NoAnswer { dial } => {
            let hold = schedule.hold_for(dial * MS);
            assert!(hold + dial * MS <= call_timeout, "the dial takes a part of the call's own time");
            (call_timeout, Some(timed_out()))
        }
        CallOutcome::Closed { after } => ((after * MS).min(call_timeout), Some(timed_out())),
        CallOutcome::Refused { after, .. } | CallOutcome::InvalidResponse { after }
            if after * MS >= call_timeout =>
        {
            (call_timeout, Some(timed_out()))
        }
        CallOutcome::Refused { after, retry_after } => {
            let retry_after = retry_after.map(|ms| ms * MS);
            let refused = WatchError::Unavailable { cause: "status 503".to_owned(), retry_after };
            (after * MS, Some(refused))
        }
        CallOutcome::InvalidResponse { after } => {
            (after * MS, Some(WatchError::InvalidResponse("no list".to_owned())))
        }
        CallOutcome::Unchanged { late } => {
            let hold = if schedule.known_version().is_some() { schedule.hold_for(0) } else { 0 };
            (hold + (late * MS).min(schedule.response_timeout()), None)
        }
    }
}

/// What a balancer's calls came to.
struct Delivery {
    /// When the changed list is in force.
    in_force_at: Micros,
    /// The longest time between the beginnings of two calls.
    longest_interval: Micros,
}

/// One balancer from its start. Discovery has the change and can be reached from `reachable_at` on:
/// a call that is open then keeps its outcome, and each one after it is answered after
/// `answer_time`.
fn deliver(
    config: WatchConfig,
    outcomes: &[CallOutcome],
    reachable_at: Micros,
    answer_time: Micros,
) -> Delivery {
    let mut schedule = WatchSchedule::new(config);
    let mut now = 0;
    let mut longest_interval = 0;
    for outcome in outcomes.iter().cycle() {
        let call_timeout = schedule.call_timeout();
        let time_to_answer = schedule.hold_for(0) + schedule.response_timeout();
        assert!(time_to_answer <= call_timeout, "a held call has time to be answered");
        if now >= reachable_at {
            // The answer may be any within the bound, and the call has to be open for as long.
            assert!(call_timeout >= answer_time, "given up after {call_timeout} us");
            return Delivery { in_force_at: now + answer_time, longest_interval };
        }
        let (call_duration, error) = play(&schedule, outcome);
        // The change would have ended the hold.
        let held_until_change = now + call_duration >= reachable_at && call_duration < call_timeout;
        if error.is_none() && held_until_change {
            return Delivery { in_force_at: reachable_at.max(now) + answer_time, longest_interval };
        }
        let pause = match &error {
            Some(error) => schedule.failed(error, call_duration),
            None => {
                schedule.succeeded(41, true);
                20 * MS
            }
        };
        longest_interval = longest_interval.max(call_duration + pause);
        now += call_duration + pause;
    }
    unreachable!("the outcomes repeat")
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(4_000) })]

    #[test]
    fn change_after_any_call_outcomes_is_in_force_within_6_s(
        seed in any::<u64>(),
        balancers in prop_oneof![Just(1u32), Just(20), Just(300), Just(14_000)],
        grace in prop_oneof![Just(0i64), Just(250), Just(1_000), Just(9_000)],
        known_version in proptest::option::of(Just(41u64)),
        outcomes in proptest::collection::vec(any_outcome(), 1..12),
        reachable_at in 0..60_000i64,
        answer_time in 0..=2_000i64,
    ) {
        let config = WatchConfig { seed, balancers, known_version, drain_grace: grace * MS };
        let reachable_at = reachable_at * MS;

        let delivery = deliver(config, &outcomes, reachable_at, answer_time * MS);

        let delay = delivery.in_force_at - reachable_at;
        prop_assert!(delay <= DELIVERY_DEADLINE, "in force {delay} us after it could be reached");
        let interval = delivery.longest_interval;
        prop_assert!(interval <= MAX_CALL_INTERVAL + 50 * MS, "{interval} us between two calls");
    }
}

/// The worst that the property may meet, by hand: a call whose answer drips, begun just before
/// discovery can be reached.
#[test]
fn dripping_answer_after_any_number_of_refusals_is_given_up_in_time() {
    for refusals in 0..12 {
        // Given
        let outcomes: Vec<CallOutcome> = (0..refusals)
            .map(|_| CallOutcome::Refused { after: 10, retry_after: Some(90_000) })
            .chain([CallOutcome::NoAnswer { dial: 499 }])
            .collect();
        let config =
            WatchConfig { seed: 7, balancers: 14_000, known_version: Some(41), drain_grace: 9 * SECOND };
        let last_begins_at = begin_of_call_after(refusals, config);

        // When
        let delivery = deliver(config, &outcomes, last_begins_at + 1, 2 * SECOND);

        // Then
        let delay = delivery.in_force_at - last_begins_at;
        assert!(delay <= DELIVERY_DEADLINE, "after {refusals} refusals: {delay} us");
    }
}

/// When the call begins that follows so many refusals, each of which took 10 ms.
fn begin_of_call_after(refusals: usize, config: WatchConfig) -> Micros {
    let mut schedule = WatchSchedule::new(config);
    let refused = WatchError::Unavailable { cause: "status 503".to_owned(), retry_after: Some(90 * SECOND) };
    (0..refusals).map(|_| 10 * MS + schedule.failed(&refused, 10 * MS)).sum()
}
