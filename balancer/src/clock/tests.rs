//! The process's clock compared with the system's.

use super::*;

#[test]
fn unix_now_follows_the_wall_clock_and_now_counts_from_the_start() {
    let clock = Clock::start();
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_micros() as Micros;
    assert!((clock.unix_now() - unix).abs() < 1_000_000);
    assert!((0..1_000_000).contains(&clock.now()));
}
