//! A change counts as told 6 s after discovery had it and could be reached, whatever was refused, silent, given up or of no sense
//! before: by then the list is in force, at every balancer.

use basaltwood::types::Micros;
use basaltwood_membership::{WatchConfig, WatchError, WatchSchedule, MAX_CALL_INTERVAL};
use proptest::prelude::*;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;
const TOLD: Micros = 6 * SECOND;

/// What becomes of a call that is made before discovery can be reached. Times are in milliseconds from its beginning.
#[derive(Clone, Debug)]
enum Fate {
    /// Its connection does not come up.
    NoDial,
    /// Its connection comes up as late as this, and nothing comes on it, or an answer that only drips.
    Silent {
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
    Nothing {
        late: Micros,
    },
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        Just(Fate::NoDial),
        (0..500i64).prop_map(|dial| Fate::Silent { dial }),
        (0..4_000i64).prop_map(|after| Fate::Closed { after }),
        (0..4_000i64, proptest::option::of(0..90_000i64))
            .prop_map(|(after, retry_after)| Fate::Refused { after, retry_after }),
        (0..4_000i64).prop_map(|after| Fate::InvalidResponse { after }),
        (0..500i64).prop_map(|late| Fate::Nothing { late }),
    ]
}

/// One balancer from its start: what the calls before meet, and when discovery has the change and can be reached. A call that is
/// open then keeps its fate; each one after it has its answer as late as `answers`. When the list is in force, and the most
/// between the beginnings of two calls.
fn in_force(terms: WatchConfig, fates: &[Fate], reached: Micros, answers: Micros) -> (Micros, Micros) {
    let mut schedule = WatchSchedule::new(terms);
    let (mut now, mut apart) = (0, 0);
    for nth in 0.. {
        let patience = schedule.call_timeout();
        assert!(
            schedule.hold_for(0) + schedule.response_timeout() <= patience,
            "a held call has time to be answered"
        );
        if now >= reached {
            // The answer may be any within the bound, and the call has to be open for as long.
            assert!(patience >= answers, "given up after {patience} us");
            return (now + answers, apart);
        }
        let silent = || WatchError::TimedOut("it is silent".to_owned());
        let given_up = |after: Micros| (after * MS).min(patience);
        let (took, trouble) = match &fates[nth % fates.len()] {
            Fate::NoDial => (schedule.response_timeout().min(patience), Some(silent())),
            // The dial takes a part of the call's own time.
            Fate::Silent { dial } => {
                assert!(schedule.hold_for(dial * MS) + dial * MS <= patience);
                (patience, Some(silent()))
            }
            Fate::Closed { after } => (given_up(*after), Some(silent())),
            Fate::Refused { after, .. } | Fate::InvalidResponse { after } if after * MS >= patience => {
                (patience, Some(silent()))
            }
            Fate::Refused { after, retry_after } => {
                let retry_after = retry_after.map(|ms| ms * MS);
                (after * MS, Some(WatchError::Unavailable { cause: "status 503".to_owned(), retry_after }))
            }
            Fate::InvalidResponse { after } => {
                (after * MS, Some(WatchError::InvalidResponse("no list".to_owned())))
            }
            Fate::Nothing { late } => {
                let held = if schedule.known_version().is_some() { schedule.hold_for(0) } else { 0 };
                let took = held + (late * MS).min(schedule.response_timeout());
                // The change would have ended the hold.
                if now + took >= reached && took < patience {
                    return (reached.max(now) + answers, apart);
                }
                (took, None)
            }
        };
        let pause = match &trouble {
            Some(trouble) => schedule.failed(trouble, took),
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
    fn a_change_is_in_force_6_s_after_discovery_had_it_and_could_be_reached(
        seed in any::<u64>(),
        balancers in prop_oneof![Just(1u32), Just(20), Just(300), Just(14_000)],
        grace in prop_oneof![Just(0i64), Just(250), Just(1_000), Just(9_000)],
        known in proptest::option::of(Just(41u64)),
        fates in proptest::collection::vec(fate(), 1..12),
        reached in 0..60_000i64,
        answers in 0..=2_000i64,
    ) {
        let terms = WatchConfig { seed, balancers, known_version: known, drain_grace: grace * MS };
        let reached = reached * MS;
        let (at, apart) = in_force(terms, &fates, reached, answers * MS);
        prop_assert!(at - reached <= TOLD, "in force {} us after it could be reached", at - reached);
        prop_assert!(apart <= MAX_CALL_INTERVAL + 50 * MS, "{apart} us between two calls");
    }
}

/// The worst that the property may meet, by hand: a call of which the answer drips, begun just before.
#[test]
fn a_call_that_drips_since_just_before_is_given_up_in_time_however_many_failed_before_it() {
    for failures in 0..12 {
        let fates: Vec<Fate> = (0..failures)
            .map(|_| Fate::Refused { after: 10, retry_after: Some(90_000) })
            .chain([Fate::Silent { dial: 499 }])
            .collect();
        let terms =
            WatchConfig { seed: 7, balancers: 14_000, known_version: Some(41), drain_grace: 9 * SECOND };
        // The last of them begins when all others are over.
        let mut schedule = WatchSchedule::new(terms);
        let mut begins = 0;
        for _ in 0..failures {
            let retry_after = Some(90 * SECOND);
            let refused = WatchError::Unavailable { cause: "status 503".to_owned(), retry_after };
            begins += 10 * MS + schedule.failed(&refused, 10 * MS);
        }
        let (at, _) = in_force(terms, &fates, begins + 1, 2 * SECOND);
        assert!(at - begins <= TOLD, "after {failures} refusals: {} us", at - begins);
    }
}
