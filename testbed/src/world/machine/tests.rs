//! Tests of the machine's queue, warm-up and overload.

use super::*;
use crate::time::{MS, SECOND};

const SETTINGS: MachineSettings = MachineSettings {
    cores: 1,
    speed: 1.0,
    max_queue: 2,
    initial_capacity: 0.25,
    warm_up: 10 * SECOND,
    overload_multiple: 2.0,
    overload_window: SECOND,
    overloads_only_while_warming: true,
};

fn job(id: u64) -> Job {
    Job { id, work: 100 * MS, start_by: 5 * SECOND }
}

#[test]
fn pause_delays_running_jobs_by_its_length_and_drops_queued_ones_past_start_by() {
    let mut machine = Machine::new(SETTINGS, None);
    for id in 0..3 {
        assert_eq!(machine.submit(0, Job { start_by: 250 * MS, ..job(id) }), Admission::Accepted);
    }
    assert_eq!(machine.submit(0, job(3)), Admission::QueueFull);
    machine.freeze(50 * MS);
    assert_eq!(machine.next_completion_at(), None);
    assert_eq!(machine.take_completed(2 * SECOND), []);
    machine.thaw(2_050 * MS);
    let completed = machine.take_completed(2_100 * MS);
    assert_eq!(completed[0], CompletedJob { id: 0, ran: true });
    assert!(completed[1..].iter().all(|job| !job.ran) && completed.len() == 3, "{completed:?}");
}

#[test]
fn warming_machine_works_slower_and_is_overloaded_where_a_warm_one_is_not() {
    let mut warming = Machine::new(SETTINGS, Some(0));
    warming.submit(0, job(0));
    assert_eq!(warming.next_completion_at(), Some(400 * MS));
    let overloaded = (1..20).position(|id| warming.submit(id as Micros, job(id)) == Admission::Overloaded);
    // The limit is twice a quarter of a second's work: 500 ms, exceeded by the sixth job of 100 ms.
    assert_eq!(overloaded, Some(4));
    let mut warm = Machine::new(SETTINGS, None);
    assert!((0..20).all(|id| warm.submit(id as Micros, job(id)) != Admission::Overloaded));
}
