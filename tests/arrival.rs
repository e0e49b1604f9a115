//! When requests count as arrived whose bytes lay unread.

use basaltwood::policy::UnreadBytes;
use basaltwood::types::Micros;

const MS: Micros = 1_000;

#[test]
fn request_read_as_it_comes_arrives_now() {
    let mut unread = UnreadBytes::default();
    unread.bytes_read(0);
    assert_eq!(unread.arrived_at(500 * MS), 500 * MS);
    assert_eq!(unread.reject_at(900 * MS), None);
}

#[test]
fn request_that_lay_unread_may_have_arrived_when_reading_was_paused() {
    let mut unread = UnreadBytes::default();
    unread.reading_paused(100 * MS);
    unread.reading_paused(400 * MS);
    assert_eq!(unread.reject_at(900 * MS), Some(1_000 * MS));
    unread.reading_resumed(700 * MS);
    // The client's system sends on as its window opens again.
    for waited in [0, 5 * MS, 40 * MS] {
        unread.bytes_read(waited);
        assert_eq!(unread.arrived_at(800 * MS), 100 * MS);
    }
}

#[test]
fn bytes_that_a_client_takes_long_to_send_were_not_there_before() {
    let mut unread = UnreadBytes::default();
    unread.reading_paused(100 * MS);
    unread.reading_resumed(700 * MS);
    unread.bytes_read(0);
    unread.bytes_read(200 * MS);
    assert_eq!(unread.arrived_at(1_000 * MS), 1_000 * MS);
}

#[test]
fn short_pause_and_the_wait_for_earlier_requests_do_not_count() {
    let mut unread = UnreadBytes::default();
    unread.reading_paused(100 * MS);
    unread.reading_resumed(150 * MS);
    unread.bytes_read(0);
    assert_eq!(unread.arrived_at(150 * MS), 150 * MS);

    unread.reading_paused(200 * MS);
    unread.wait_for_others();
    unread.bytes_read(0);
    assert_eq!(unread.arrived_at(900 * MS), 900 * MS);
}
