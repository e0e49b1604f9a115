//! The clock against the system's.

use super::*;

#[test]
fn unix_time_now_is_the_wall_clocks_and_times_on_this_clock_are_spans_since_its_start() {
    let clock = Clock::start();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("it is past 1970").as_micros() as Micros;
    assert!((clock.unix_now() - unix).abs() < 1_000_000);
    assert!((0..1_000_000).contains(&clock.now()));
}
