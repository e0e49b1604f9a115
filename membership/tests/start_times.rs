//! Starts given by a wall clock that is stepped, converted to a monotonic clock.

use basaltwood::types::Micros;
use basaltwood_membership::StartTimes;
use proptest::prelude::*;

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3_600 * SECOND;
/// The Unix time at which the process's clock is 0.
const EPOCH: Micros = 1_800_000_000 * SECOND;
/// The longest time until a start is listed.
const MAX_CHANGE_DELAY: Micros = 6 * SECOND;

/// A wall clock that is stepped once.
#[derive(Clone, Copy, Debug)]
struct WallClock {
    stepped_at: Micros,
    step: Micros,
}

impl WallClock {
    fn unix(self, now: Micros) -> Micros {
        EPOCH + now + if now >= self.stepped_at { self.step } else { 0 }
    }
}

/// Reads a list of changes that names no host.
fn read_empty_list(times: &mut StartTimes, clock: WallClock, now: Micros) {
    times.read_wall_clock(now, clock.unix(now));
    times.list_read(now, None);
}

#[test]
fn start_is_kept_when_the_wall_clock_is_stepped_after_it_was_listed() {
    let clock = WallClock { stepped_at: 10 * SECOND, step: -HOUR };
    let mut times = StartTimes::new();
    read_empty_list(&mut times, clock, 0);
    let start = clock.unix(SECOND);
    let before = times.start_of("a", start, 2 * SECOND);
    read_empty_list(&mut times, clock, 20 * SECOND);
    assert_eq!(before, SECOND);
    assert_eq!(times.start_of("a", start, 20 * SECOND), before);
}

#[test]
fn start_in_the_future_is_now() {
    let clock = WallClock { stepped_at: 0, step: 0 };
    let mut times = StartTimes::new();
    read_empty_list(&mut times, clock, 0);
    assert_eq!(times.start_of("a", clock.unix(2 * HOUR), 5 * SECOND), 5 * SECOND);
}

#[test]
fn start_of_a_host_that_left_the_list_is_converted_anew() {
    let clock = WallClock { stepped_at: 10 * SECOND, step: HOUR };
    let mut times = StartTimes::new();
    read_empty_list(&mut times, clock, 0);
    let start = clock.unix(0);
    assert_eq!(times.start_of("a", start, SECOND), 0);
    times.forget("a");
    read_empty_list(&mut times, clock, 20 * SECOND);
    // By both offsets it is older than the last list without it, so the host may have restarted.
    assert_eq!(times.start_of("a", start, 30 * SECOND), 30 * SECOND);
}

proptest! {
    /// The converted start of a host that starts while this process runs is not before its start,
    /// except for the error of a clock reading, and not later than its start by more than a change
    /// may take to arrive.
    #[test]
    fn converted_start_is_never_before_the_start(
        step_seconds in -4_000i64..4_000,
        stepped_at in 0i64..60,
        started_at in 1i64..60,
        delay_ms in 0i64..6_000,
        list_interval_ms in 100i64..5_000,
    ) {
        let clock = WallClock { stepped_at: stepped_at * SECOND, step: step_seconds * SECOND };
        let start = started_at * SECOND;
        let known_at = start + delay_ms * 1_000;
        let mut times = StartTimes::new();
        let mut now = 0;
        while now < known_at {
            read_empty_list(&mut times, clock, now);
            now += list_interval_ms * 1_000;
        }
        times.read_wall_clock(now, clock.unix(now));
        let converted = times.start_of("a", clock.unix(start), now);
        let tolerance = SECOND / 2;
        prop_assert!(converted >= start - tolerance, "converted to {converted}, started at {start}");
        prop_assert!(converted <= now, "converted to a time in the future");
        let max_delay = MAX_CHANGE_DELAY + list_interval_ms * 1_000;
        prop_assert!(converted <= start + max_delay, "converted to {converted}, started at {start}");
    }
}

/// A host whose machine's clock was set back by an hour restarts: it is treated as cold.
#[test]
fn start_that_changes_in_the_list_is_no_older_than_the_last_list() {
    let clock = WallClock { stepped_at: 0, step: 0 };
    let mut times = StartTimes::new();
    read_empty_list(&mut times, clock, 0);
    times.listed_without_start("a");
    times.start_of("b", clock.unix(0), SECOND);
    read_empty_list(&mut times, clock, 20 * SECOND);
    let an_hour_ago = clock.unix(21 * SECOND) - HOUR;
    for host in ["a", "b"] {
        assert_eq!(times.start_of(host, an_hour_ago, 21 * SECOND), 21 * SECOND, "{host}");
    }
    // A host that is new in the list may have been running for any time.
    assert_eq!(times.start_of("c", an_hour_ago, 21 * SECOND), 21 * SECOND - HOUR);
}
