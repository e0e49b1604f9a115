//! A changed list has to be in force at every balancer 6 s after discovery has it and is reachable,
//! whatever calls before were refused, unanswered or abandoned, or got an invalid answer.

use basaltwood::types::Micros;
use basaltwood_membership::{WatchConfig, WatchError, WatchSchedule, MAX_CALL_INTERVAL};
use proptest::prelude::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const DELIVERY_DEADLINE: Micros = 6 * SECOND;

/// The outcome of a call that is made before discovery is reachable. Times are in milliseconds from
/// the start of the call.
#[derive(Clone, Debug)]
enum CallOutcome {
    /// The connection is not established.
    DialTimedOut,
    /// The connection is established after `dial`, and no complete answer arrives: nothing at all,
    /// or an answer that comes byte by byte.
    NoAnswer { dial: Micros },
    /// Discovery closes the connection.
    Closed { after: Micros },
    /// Discovery refuses the call.
    Refused { after: Micros, retry_after: Option<Micros> },
    /// The answer is invalid.
    InvalidResponse { after: Micros },
    /// The answer contains no change. It comes at the end of the call's hold, or at once if the
    /// call is not held.
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

/// Returns how long the call takes with this outcome, and its error; `None` if it succeeds without
/// a change.
fn simulate_call(schedule: &WatchSchedule, outcome: &CallOutcome) -> (Micros, Option<WatchError>) {
    let call_timeout = schedule.call_timeout();
    match *outcome {
        CallOutcome::DialTimedOut => (schedule.response_timeout().min(call_timeout), Some(timed_out())),
        CallOutcome::NoAnswer { dial } => {
            let hold = schedule.hold_for(dial * MS);
            assert!(hold + dial * MS <= call_timeout, "hold and dial together exceed the call timeout");
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

/// The result of simulating one balancer's calls.
struct Delivery {
    /// When the changed list is in force.
    in_force_at: Micros,
    /// The longest time between the starts of two calls.
    longest_interval: Micros,
}

/// Simulates one balancer from its start. Discovery has the change and is reachable from
/// `reachable_at` on: a call that is open then keeps its outcome, and each later call is answered
/// after `answer_time`.
fn simulate_delivery(
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
        assert!(time_to_answer <= call_timeout, "a held call has no time left for its answer");
        if now >= reachable_at {
            // The call has to stay open for any answer time within the bound.
            assert!(call_timeout >= answer_time, "call timed out after {call_timeout} us");
            return Delivery { in_force_at: now + answer_time, longest_interval };
        }
        let (call_duration, error) = simulate_call(&schedule, outcome);
        // The change ends the hold.
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
    unreachable!("the outcomes repeat without end")
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

        let delivery = simulate_delivery(config, &outcomes, reachable_at, answer_time * MS);

        let delay = delivery.in_force_at - reachable_at;
        prop_assert!(delay <= DELIVERY_DEADLINE, "in force {delay} us after discovery became reachable");
        let interval = delivery.longest_interval;
        prop_assert!(interval <= MAX_CALL_INTERVAL + 50 * MS, "{interval} us between two call starts");
    }
}

/// The worst case of the property above: a call whose answer comes byte by byte, started just
/// before discovery becomes reachable.
#[test]
fn dripping_answer_after_refusals_times_out_before_the_deadline() {
    for refusals in 0..12 {
        // Given
        let outcomes: Vec<CallOutcome> = (0..refusals)
            .map(|_| CallOutcome::Refused { after: 10, retry_after: Some(90_000) })
            .chain([CallOutcome::NoAnswer { dial: 499 }])
            .collect();
        let config =
            WatchConfig { seed: 7, balancers: 14_000, known_version: Some(41), drain_grace: 9 * SECOND };
        let last_start = start_of_call_after(refusals, config);

        // When
        let delivery = simulate_delivery(config, &outcomes, last_start + 1, 2 * SECOND);

        // Then
        let delay = delivery.in_force_at - last_start;
        assert!(delay <= DELIVERY_DEADLINE, "after {refusals} refusals: {delay} us");
    }
}

/// The start time of the call after `refusals` refused calls that took 10 ms each.
fn start_of_call_after(refusals: usize, config: WatchConfig) -> Micros {
    let mut schedule = WatchSchedule::new(config);
    let refused = WatchError::Unavailable { cause: "status 503".to_owned(), retry_after: Some(90 * SECOND) };
    (0..refusals).map(|_| 10 * MS + schedule.failed(&refused, 10 * MS)).sum()
}
