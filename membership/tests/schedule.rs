//! Calls for the list: one balancer's pauses, and the sum over many that were started in one instant.

use std::collections::BTreeSet;

use basaltwood::types::Micros;
use basaltwood_membership::{WatchConfig, WatchError, WatchSchedule, MAX_CALL_INTERVAL};
use expect_test::expect;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

fn schedule(seed: u64, balancers: u32) -> WatchSchedule {
    WatchSchedule::new(WatchConfig { seed, balancers, known_version: Some(41), drain_grace: 300 * MS })
}

fn refused() -> WatchError {
    WatchError::Unavailable { cause: "status 503".to_owned(), retry_after: None }
}

#[test]
fn pauses_after_refusals_grow_and_fall_back_with_the_first_success() {
    let mut schedule = schedule(3, 2);
    let mut trace = Vec::new();
    let mut failed = |schedule: &mut WatchSchedule, error: WatchError| {
        let pause = schedule.failed(&error, 10 * MS);
        trace.push(format!(
            "{:<10} pause {:>4} ms, known version {:?}",
            error.cause(),
            pause / MS,
            schedule.known_version()
        ));
    };
    (0..8).for_each(|_| failed(&mut schedule, refused()));
    failed(
        &mut schedule,
        WatchError::Unavailable { cause: "overloaded".to_owned(), retry_after: Some(90 * SECOND) },
    );
    schedule.discovery_moved();
    failed(&mut schedule, WatchError::TimedOut("it moved".to_owned()));
    schedule.succeeded(43, false);
    failed(&mut schedule, WatchError::TimedOut("timed out".to_owned()));
    failed(&mut schedule, WatchError::InvalidResponse("no list".to_owned()));
    expect![[r#"
        status 503 pause   99 ms, known version Some(41)
        status 503 pause  169 ms, known version Some(41)
        status 503 pause  325 ms, known version Some(41)
        status 503 pause  671 ms, known version Some(41)
        status 503 pause 1256 ms, known version Some(41)
        status 503 pause 3674 ms, known version Some(41)
        status 503 pause 3454 ms, known version Some(41)
        status 503 pause 3474 ms, known version Some(41)
        overloaded pause 3890 ms, known version Some(41)
        it moved   pause   51 ms, known version None
        timed out  pause   69 ms, known version Some(43)
        no list    pause  154 ms, known version None"#]]
    .assert_eq(&trace.join("\n"));
}

/// How long a refusal takes to come.
const REFUSED_AFTER: Micros = 30 * MS;

/// Calls in the tenth of a second with most, over how long a time all have their first answer, and for how long the one that
/// waited longest had no call open, where discovery serves one call in 10 ms, and refuses a call that would wait longer than 2 s.
fn start_together(balancers: u32, pauses: impl Fn(&mut WatchSchedule) -> Micros) -> (usize, Micros, Micros) {
    let mut all: Vec<WatchSchedule> = (0..balancers).map(|nth| schedule(u64::from(nth), balancers)).collect();
    // Each asks in the instant of its start.
    let mut due: BTreeSet<(Micros, usize)> = (0..balancers as usize).map(|nth| (0, nth)).collect();
    let (mut free_at, mut tenths, mut last, mut longest_pause) = (0, vec![0; 1_200], 0, 0);
    while let Some((now, nth)) = due.first().copied().filter(|next| next.0 < 120 * SECOND) {
        due.pop_first();
        tenths[(now / (100 * MS)) as usize] += 1;
        // Even a refusal takes it a tenth of what an answer does.
        if free_at - now > 2 * SECOND {
            free_at += MS;
            let pause = pauses(&mut all[nth]);
            longest_pause = longest_pause.max(pause);
            due.insert((now + REFUSED_AFTER + pause, nth));
        } else {
            free_at = free_at.max(now) + 10 * MS;
            last = last.max(free_at);
        }
    }
    (
        tenths.iter().copied().max().unwrap_or(0),
        if due.is_empty() { last } else { Micros::MAX },
        longest_pause,
    )
}

#[test]
fn balancers_started_in_one_instant_all_get_the_list() {
    let mut table =
        vec!["balancers  calls in 100 ms  all served after  longest with no call open".to_owned()];
    // The last: 14,000 before 15 discoveries.
    for balancers in [1, 2, 20, 100, 200, 300, 900, 934] {
        let (most, after, longest_pause) =
            start_together(balancers, |schedule| schedule.failed(&refused(), REFUSED_AFTER));
        table.push(format!(
            "{balancers:<9}  {most:<15}  {:<16}  {} ms",
            format!("{} ms", after / MS),
            longest_pause / MS
        ));
        assert!(after < 30 * SECOND, "{table:?}");
        // What discovery has to tell counts as told after 6 s, and an answer may take 2 s.
        assert!(
            REFUSED_AFTER + longest_pause <= MAX_CALL_INTERVAL && MAX_CALL_INTERVAL + 2 * SECOND < 6 * SECOND,
            "{table:?}"
        );
    }
    expect![[r#"
        balancers  calls in 100 ms  all served after  longest with no call open
        1          1                10 ms             0 ms
        2          2                20 ms             0 ms
        20         20               200 ms            0 ms
        100        100              1000 ms           0 ms
        200        200              2000 ms           0 ms
        300        300              3918 ms           3864 ms
        900        900              11076 ms          3870 ms
        934        934              11076 ms          3870 ms"#]]
    .assert_eq(&table.join("\n"));
}

#[test]
fn pauses_after_timeouts_do_not_grow_with_the_number_of_balancers() {
    let mut lines = Vec::new();
    for balancers in [1, 2, 20, 100, 300, 900] {
        let (mut silent, mut refusing) = (schedule(7, balancers), schedule(7, balancers));
        let pauses = |schedule: &mut WatchSchedule, error: &WatchError| {
            let pauses: Vec<String> =
                (0..7).map(|_| (schedule.failed(error, 10 * MS) / MS).to_string()).collect();
            pauses.join(" ")
        };
        let quiet = pauses(&mut silent, &WatchError::TimedOut("it is silent".to_owned()));
        lines.push(format!("{balancers}: timed out {quiet}; refused {}", pauses(&mut refusing, &refused())));
    }
    expect![[r#"
        1: timed out 58 103 113 142 110 118 89; refused 58 103 213 617 1410 1843 2264
        2: timed out 58 103 113 142 110 118 89; refused 88 223 413 937 1730 2803 2264
        20: timed out 58 103 113 142 110 118 89; refused 808 1303 3113 3817 3710 3043 2264
        100: timed out 58 103 113 142 110 118 89; refused 2758 3703 3113 3817 3710 3043 2264
        300: timed out 58 103 113 142 110 118 89; refused 2758 3703 3113 3817 3710 3043 2264
        900: timed out 58 103 113 142 110 118 89; refused 2758 3703 3113 3817 3710 3043 2264"#]]
    .assert_eq(&lines.join("\n"));
}

/// A watch that falls silent as it begins, of a discovery that then takes so long to answer: when the news are here. They count
/// as told 6 s after.
#[test]
fn news_missed_by_an_unanswered_call_arrives_before_it_counts_as_delivered() {
    let silent = WatchError::TimedOut("it is silent".to_owned());
    for (balancers, grace) in [(1, 250), (6, 300), (300, 1_000), (900, 1_500)] {
        for seed in 0..50 {
            let known = Some(41);
            let mut schedule = WatchSchedule::new(WatchConfig {
                seed,
                balancers,
                known_version: known,
                drain_grace: grace * MS,
            });
            let call_timeout = schedule.call_timeout();
            let answer = call_timeout + schedule.failed(&silent, call_timeout) + 2 * SECOND;
            // The grace is not used.
            assert!(answer <= 6 * SECOND, "{balancers} balancers: {answer} us");
        }
    }
}

/// What discovery has to tell in the instant in which it is back counts at once: however long it was down, no pause outlasts the
/// grace, and a call that is open then is waited for.
#[test]
fn pauses_while_discovery_is_down_never_outlast_the_grace() {
    let silent = WatchError::TimedOut("it closed the connection".to_owned());
    let mut lines = Vec::new();
    for grace in [250, 300, 1_000, 8_000] {
        let mut schedule = WatchSchedule::new(WatchConfig {
            seed: 5,
            balancers: 300,
            known_version: Some(41),
            drain_grace: grace * MS,
        });
        let failed = (0..60).map(|_| {
            let call_timeout = schedule.call_timeout();
            (schedule.failed(&silent, 10 * MS), call_timeout)
        });
        let failed: Vec<(Micros, Micros)> = failed.collect();
        let longest = failed.iter().map(|one| one.0).max().unwrap_or(0);
        assert!(longest <= grace / 2 * MS, "{longest} us of {grace} ms");
        let waits: Vec<String> = failed.iter().take(6).map(|one| (one.1 / MS).to_string()).collect();
        lines.push(format!("{grace}: pauses up to {} ms, calls open for {}", longest / MS, waits.join(" ")));
    }
    expect![[r#"
        250: pauses up to 123 ms, calls open for 3600 3600 3600 3600 3600 3600
        300: pauses up to 148 ms, calls open for 3600 3600 3600 3600 3600 3600
        1000: pauses up to 298 ms, calls open for 3600 3600 3600 3600 3600 3600
        8000: pauses up to 298 ms, calls open for 3600 3600 3600 3600 3600 3600"#]]
    .assert_eq(&lines.join("\n"));
}
