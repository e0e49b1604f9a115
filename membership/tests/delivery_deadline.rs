//! A change counts as told 6 s after discovery had it and could be reached, whatever was refused, silent, given up or of no sense
//! before: by then the list is in force, at every balancer.

use basaltwood::types::Micros;
use basaltwood_membership::{WatchConfig, WatchError, WatchSchedule, MAX_CALL_INTERVAL};
use proptest::prelude::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const DELIVERY_DEADLINE: Micros = 6 * SECOND;

/// What becomes of a call that is made before discovery can be reached. Times are in milliseconds from its beginning.
#[derive(Clone, Debug)]
enum CallOutcome {
    /// Its connection does not come up.
    DialTimedOut,
    /// Its connection comes up as late as this, and nothing comes on it, or an answer that only drips.
    NoAnswer {
        dial: Micros,
    },
    Closed {
        after: Micros,
    },
    Refused {
        after: Micros,
        retry_after: Option<Micros>,
    },
    InvalidResponse {
        after: Micros,
    },
    /// It is answered at the end of its hold, or right away where it is not held, with nothing new.
    Unchanged {
        late: Micros,
    },
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

/// One balancer from its start: what the calls before meet, and when discovery has the change and can be reached. A call that is
/// open then keeps its fate; each one after it has its answer as late as `answers`. When the list is in force, and the most
/// between the beginnings of two calls.
fn deliver(
    config: WatchConfig,
    outcomes: &[CallOutcome],
    reachable_at: Micros,
    answers: Micros,
) -> (Micros, Micros) {
    let mut schedule = WatchSchedule::new(config);
    let (mut now, mut apart) = (0, 0);
    for nth in 0.. {
        let call_timeout = schedule.call_timeout();
        assert!(
            schedule.hold_for(0) + schedule.response_timeout() <= call_timeout,
            "a held call has time to be answered"
        );
        if now >= reachable_at {
            // The answer may be any within the bound, and the call has to be open for as long.
            assert!(call_timeout >= answers, "given up after {call_timeout} us");
            return (now + answers, apart);
        }
        let silent = || WatchError::TimedOut("it is silent".to_owned());
        let given_up = |after: Micros| (after * MS).min(call_timeout);
        let (took, error) = match &outcomes[nth % outcomes.len()] {
            CallOutcome::DialTimedOut => (schedule.response_timeout().min(call_timeout), Some(silent())),
            // The dial takes a part of the call's own time.
            CallOutcome::NoAnswer { dial } => {
                assert!(schedule.hold_for(dial * MS) + dial * MS <= call_timeout);
                (call_timeout, Some(silent()))
            }
            CallOutcome::Closed { after } => (given_up(*after), Some(silent())),
            CallOutcome::Refused { after, .. } | CallOutcome::InvalidResponse { after }
                if after * MS >= call_timeout =>
            {
                (call_timeout, Some(silent()))
            }
            CallOutcome::Refused { after, retry_after } => {
                let retry_after = retry_after.map(|ms| ms * MS);
                (after * MS, Some(WatchError::Unavailable { cause: "status 503".to_owned(), retry_after }))
            }
            CallOutcome::InvalidResponse { after } => {
                (after * MS, Some(WatchError::InvalidResponse("no list".to_owned())))
            }
            CallOutcome::Unchanged { late } => {
                let held = if schedule.known_version().is_some() { schedule.hold_for(0) } else { 0 };
                let took = held + (late * MS).min(schedule.response_timeout());
                // The change would have ended the hold.
                if now + took >= reachable_at && took < call_timeout {
                    return (reachable_at.max(now) + answers, apart);
                }
                (took, None)
            }
        };
        let pause = match &error {
            Some(error) => schedule.failed(error, took),
            None => {
                schedule.succeeded(41, true);
                20 * MS
            }
        };
        apart = apart.max(took + pause);
        now += took + pause;
    }
    unreachable!("the series goes round")
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4_000, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn change_after_any_call_outcomes_is_in_force_within_6_s(
        seed in any::<u64>(),
        balancers in prop_oneof![Just(1u32), Just(20), Just(300), Just(14_000)],
        grace in prop_oneof![Just(0i64), Just(250), Just(1_000), Just(9_000)],
        known in proptest::option::of(Just(41u64)),
        outcomes in proptest::collection::vec(any_outcome(), 1..12),
        reachable_at in 0..60_000i64,
        answers in 0..=2_000i64,
    ) {
        let config = WatchConfig { seed, balancers, known_version: known, drain_grace: grace * MS };
        let reachable_at = reachable_at * MS;
        let (at, apart) = deliver(config, &outcomes, reachable_at, answers * MS);
        prop_assert!(at - reachable_at <= DELIVERY_DEADLINE, "in force {} us after it could be reached", at - reachable_at);
        prop_assert!(apart <= MAX_CALL_INTERVAL + 50 * MS, "{apart} us between two calls");
    }
}

/// The worst that the property may meet, by hand: a call of which the answer drips, begun just before.
#[test]
fn dripping_answer_after_any_number_of_refusals_is_given_up_in_time() {
    for failures in 0..12 {
        let outcomes: Vec<CallOutcome> = (0..failures)
            .map(|_| CallOutcome::Refused { after: 10, retry_after: Some(90_000) })
            .chain([CallOutcome::NoAnswer { dial: 499 }])
            .collect();
        let config =
            WatchConfig { seed: 7, balancers: 14_000, known_version: Some(41), drain_grace: 9 * SECOND };
        // The last of them begins when all others are over.
        let mut schedule = WatchSchedule::new(config);
        let mut begins = 0;
        for _ in 0..failures {
            let retry_after = Some(90 * SECOND);
            let refused = WatchError::Unavailable { cause: "status 503".to_owned(), retry_after };
            begins += 10 * MS + schedule.failed(&refused, 10 * MS);
        }
        let (at, _) = deliver(config, &outcomes, begins + 1, 2 * SECOND);
        assert!(at - begins <= DELIVERY_DEADLINE, "after {failures} refusals: {} us", at - begins);
    }
}
