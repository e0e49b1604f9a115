//! Calls for the list: the pauses of one balancer, and the sum over many balancers that start at
//! the same instant.

use std::collections::BTreeSet;

use basaltwood::types::Micros;
use basaltwood_membership::{WatchConfig, WatchError, WatchSchedule, MAX_CALL_INTERVAL};
use expect_test::expect;

const MS: Micros = 1_000;
const SECOND: Micros = 1_000_000;

// A change counts as delivered after 6 s, and an answer may take 2 s.
const _: () = assert!(MAX_CALL_INTERVAL + 2 * SECOND < 6 * SECOND);

fn schedule(seed: u64, balancers: u32) -> WatchSchedule {
    schedule_with_grace(seed, balancers, 300 * MS)
}

fn schedule_with_grace(seed: u64, balancers: u32, drain_grace: Micros) -> WatchSchedule {
    WatchSchedule::new(WatchConfig { seed, balancers, known_version: Some(41), drain_grace })
}

fn refused() -> WatchError {
    WatchError::Unavailable { cause: "status 503".to_owned(), retry_after: None }
}

#[test]
fn pauses_after_refusals_grow_and_are_reset_by_a_success() {
    let mut schedule = schedule(3, 2);
    let mut trace = Vec::new();
    let mut failed = |schedule: &mut WatchSchedule, error: WatchError| {
        let pause = schedule.failed(&error, 10 * MS) / MS;
        let version = schedule.known_version();
        trace.push(format!("{:<10} pause {pause:>4} ms, known version {version:?}", error.cause()));
    };

    for _ in 0..8 {
        failed(&mut schedule, refused());
    }
    let retry_after = Some(90 * SECOND);
    failed(&mut schedule, WatchError::Unavailable { cause: "overloaded".to_owned(), retry_after });
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

/// The time from a call to its refusal.
const REFUSED_AFTER: Micros = 30 * MS;
/// When the simulation ends.
const END: Micros = 120 * SECOND;

/// The load on a discovery that serves one call in 10 ms and refuses calls that would wait longer
/// than 2 s.
struct StartResult {
    /// The number of calls in the busiest 100 ms.
    max_calls_per_100_ms: usize,
    /// When the last balancer has its first answer; `None` if a balancer has none at the end.
    all_served_after: Option<Micros>,
    /// The longest time for which a balancer had no call open.
    longest_pause: Micros,
}

/// Simulates balancers that all start, and make their first call, at the same instant.
fn start_together(balancers: u32) -> StartResult {
    let mut schedules: Vec<WatchSchedule> =
        (0..balancers).map(|nth| schedule(u64::from(nth), balancers)).collect();
    let mut due_calls: BTreeSet<(Micros, usize)> = (0..schedules.len()).map(|nth| (0, nth)).collect();
    let mut calls_per_100_ms = vec![0; (END / (100 * MS)) as usize];
    let mut free_at = 0;
    let mut last_served_at = 0;
    let mut longest_pause = 0;
    while let Some((now, nth)) = due_calls.first().copied().filter(|next| next.0 < END) {
        due_calls.pop_first();
        calls_per_100_ms[(now / (100 * MS)) as usize] += 1;
        let refuses = free_at - now > 2 * SECOND;
        if refuses {
            // Discovery needs a tenth of the time of an answer for a refusal.
            free_at += MS;
            let pause = schedules[nth].failed(&refused(), REFUSED_AFTER);
            longest_pause = longest_pause.max(pause);
            due_calls.insert((now + REFUSED_AFTER + pause, nth));
        } else {
            free_at = free_at.max(now) + 10 * MS;
            last_served_at = last_served_at.max(free_at);
        }
    }
    StartResult {
        max_calls_per_100_ms: calls_per_100_ms.iter().copied().max().unwrap_or(0),
        all_served_after: due_calls.is_empty().then_some(last_served_at),
        longest_pause,
    }
}

#[test]
fn balancers_started_at_the_same_instant_all_get_the_list() {
    let mut table =
        vec!["balancers  calls in 100 ms  all served after  longest with no call open".to_owned()];
    // The last number: 14,000 balancers on 15 discoveries.
    for balancers in [1, 2, 20, 100, 200, 300, 900, 934] {
        let result = start_together(balancers);

        let all_served_after = result.all_served_after.expect("all are served");
        let longest_pause = result.longest_pause;
        table.push(format!(
            "{balancers:<9}  {:<15}  {:<16}  {} ms",
            result.max_calls_per_100_ms,
            format!("{} ms", all_served_after / MS),
            longest_pause / MS
        ));
        assert!(all_served_after < 30 * SECOND, "{table:?}");
        assert!(REFUSED_AFTER + longest_pause <= MAX_CALL_INTERVAL, "{table:?}");
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

/// The pauses in milliseconds after seven failures in a row.
fn seven_pauses(mut schedule: WatchSchedule, error: &WatchError) -> String {
    let pauses: Vec<String> = (0..7).map(|_| (schedule.failed(error, 10 * MS) / MS).to_string()).collect();
    pauses.join(" ")
}

#[test]
fn pauses_after_timeouts_do_not_grow_with_the_number_of_balancers() {
    let timed_out = WatchError::TimedOut("no answer".to_owned());
    let mut lines = Vec::new();
    for balancers in [1, 2, 20, 100, 300, 900] {
        let after_timeouts = seven_pauses(schedule(7, balancers), &timed_out);
        let after_refusals = seven_pauses(schedule(7, balancers), &refused());
        lines.push(format!("{balancers}: timed out {after_timeouts}; refused {after_refusals}"));
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

/// Discovery has a change from the start of a call that it never answers, and takes 2 s to answer
/// the next one. The change counts as delivered after 6 s.
#[test]
fn change_missed_by_an_unanswered_call_arrives_before_it_counts_as_delivered() {
    let timed_out = WatchError::TimedOut("no answer".to_owned());
    for (balancers, grace) in [(1, 250), (6, 300), (300, 1_000), (900, 1_500)] {
        for seed in 0..50 {
            let mut schedule = schedule_with_grace(seed, balancers, grace * MS);

            let call_timeout = schedule.call_timeout();
            let pause = schedule.failed(&timed_out, call_timeout);

            // The bound holds without the drain grace.
            let answered_after = call_timeout + pause + 2 * SECOND;
            assert!(answered_after <= 6 * SECOND, "{balancers} balancers: {answered_after} us");
        }
    }
}

/// Changes that discovery has when it becomes reachable again count as delivered at once. So
/// however long it was down, no pause may be longer than half of the drain grace, and the timeout
/// of calls does not change.
#[test]
fn pauses_while_discovery_is_down_are_at_most_half_of_the_drain_grace() {
    let closed = WatchError::TimedOut("connection closed".to_owned());
    let mut lines = Vec::new();
    for grace in [250, 300, 1_000, 8_000] {
        let mut schedule = schedule_with_grace(5, 300, grace * MS);
        let mut pauses = Vec::new();
        let mut call_timeouts = Vec::new();
        for _ in 0..60 {
            call_timeouts.push((schedule.call_timeout() / MS).to_string());
            pauses.push(schedule.failed(&closed, 10 * MS));
        }
        let longest = pauses.iter().copied().max().unwrap_or(0);
        assert!(longest <= grace / 2 * MS, "a pause of {longest} us at a grace of {grace} ms");
        let first_timeouts = call_timeouts[..6].join(" ");
        lines.push(format!("{grace}: pauses up to {} ms, calls open for {first_timeouts}", longest / MS));
    }
    expect![[r#"
        250: pauses up to 123 ms, calls open for 3600 3600 3600 3600 3600 3600
        300: pauses up to 148 ms, calls open for 3600 3600 3600 3600 3600 3600
        1000: pauses up to 298 ms, calls open for 3600 3600 3600 3600 3600 3600
        8000: pauses up to 298 ms, calls open for 3600 3600 3600 3600 3600 3600"#]]
    .assert_eq(&lines.join("\n"));
}
