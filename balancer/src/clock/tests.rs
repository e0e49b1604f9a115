//! The clock against the system's.

use super::*;

#[test]
fn unix_time_on_this_clock_is_as_far_from_now_as_on_the_wall_clock() {
    let clock = Clock::start();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("it is past 1970").as_micros() as Micros;
    let apart = |ahead: Micros| (clock.time_at_unix(unix + ahead) - clock.now() - ahead).abs();
    assert!(apart(0) < 1_000_000 && apart(-3_600_000_000) < 1_000_000);
}
