//! The verdict on runs with synthetic lateness, and the reference thread itself.

use std::time::{Duration, Instant};

use basaltwood_testbed::lateness::{
    fraction_over, fraction_over_after_two, histogram, judge, CpuWaits, Lateness, LatenessBounds,
    LatenessHistograms, ReferenceThread, Responsible, Verdict,
};
use basaltwood_testbed::time::{Micros, MS};
use hdrhistogram::Histogram;

const BOUNDS: LatenessBounds = LatenessBounds { late: 2 * MS, target: 150 * MS, missed: 0.5 };

/// A histogram with the given counts of a thousand at each lateness, in microseconds; the others
/// are 0.1 ms late.
fn late_by(parts: &[(u64, Micros)]) -> Histogram<u64> {
    let mut histogram = histogram();
    parts
        .iter()
        .for_each(|&(count, late)| histogram.record_n(late as u64, 20 * count).expect("within bounds"));
    let rest = 1_000 - parts.iter().map(|part| part.0).sum::<u64>();
    histogram.record_n(100, 20 * rest).expect("within bounds");
    histogram
}

/// A thread that was late by this without waits for a core.
fn late_by_work(parts: &[(u64, Micros)]) -> LatenessHistograms {
    LatenessHistograms { late: late_by(parts), own: late_by(parts) }
}

/// A thread that was late by this only through waits for a core.
fn late_by_waits(parts: &[(u64, Micros)]) -> LatenessHistograms {
    LatenessHistograms { late: late_by(parts), own: late_by(&[]) }
}

fn assert_void(verdict: &Verdict, expected: Responsible, text: &str) {
    match verdict {
        Verdict::Void(responsible, line) => {
            assert_eq!(*responsible, expected, "{line}");
            assert!(line.contains(text) && !line.contains('\n'), "{line}");
        }
        other => panic!("{text}: {other:?}"),
    }
}

#[test]
fn run_in_time_is_valid() {
    let calm = late_by_work(&[(4, 5 * MS)]);
    assert_eq!(judge(BOUNDS, &late_by(&[(4, 5 * MS)]), &calm, &calm), Verdict::Valid);
}

#[test]
fn slow_generator_on_a_calm_or_late_machine_voids_by_the_testbed() {
    let slow = late_by(&[(150, 8 * MS)]);
    let calm = late_by_work(&[]);
    assert_void(&judge(BOUNDS, &slow, &calm, &calm), Responsible::Testbed, "the generator was late: 15.0%");
    // Two wakeups of a thread that is over 2 ms late in 3% of its periods explain 6%; the other 9%
    // are the generator's own.
    let late = late_by_work(&[(30, 5 * MS)]);
    let verdict = judge(BOUNDS, &slow, &late, &late);
    assert_void(&verdict, Responsible::Testbed, "the machine explains 5.9%");
    // Just over 1% of the generator's own is enough.
    let slower = late_by(&[(70, 8 * MS)]);
    assert_void(&judge(BOUNDS, &slower, &late, &late), Responsible::Testbed, "the generator was late: 7.0%");
}

#[test]
fn lateness_that_the_reference_thread_shares_is_a_warning() {
    let late = late_by_work(&[(30, 5 * MS)]);
    let requests = late_by(&[(60, 6 * MS)]);
    match judge(BOUNDS, &requests, &late, &late) {
        Verdict::Warned(line) => {
            assert!(line.starts_with("the machine was late: the reference thread's p99"), "{line}")
        }
        other => panic!("{other:?}"),
    }
    let later = late_by_waits(&[(100, 5 * MS)]);
    let verdict = judge(BOUNDS, &late_by(&[(150, 6 * MS)]), &later, &later);
    assert!(matches!(&verdict, Verdict::Warned(line) if line.contains("all percentiles are")), "{verdict:?}");
    // The requests' lateness is judged by the fraction over the bound, not by its maximum.
    assert!(matches!(judge(BOUNDS, &late_by(&[(8, 40 * MS)]), &late, &late), Verdict::Warned(_)));
}

#[test]
fn uncertain_benefit_on_a_late_machine_voids_by_the_machine() {
    // Half of 150 ms divided by seven wakeups is 10.7 ms: two in a thousand periods are over it.
    let (requests, late) = (late_by(&[(2, 20 * MS)]), late_by_work(&[(2, 20 * MS)]));
    assert_void(
        &judge(BOUNDS, &requests, &late, &late),
        Responsible::Machine,
        "up to 1.4% of the benefit is uncertain",
    );
    // Lateness can only reduce the benefit: only the fraction that was not earned is in doubt.
    let earned = LatenessBounds { missed: 0.009, ..BOUNDS };
    assert_eq!(judge(earned, &requests, &late, &late), Verdict::Valid);
    // With a longer latency objective the same machine is good enough.
    let slack = LatenessBounds { target: 800 * MS, ..BOUNDS };
    assert_eq!(judge(slack, &requests, &late, &late), Verdict::Valid);
}

#[test]
fn late_world_voids_by_the_testbed_unless_the_machine_was_late_too() {
    let (requests, calm, late) = (late_by(&[]), late_by_work(&[]), late_by_work(&[(20, 5 * MS)]));
    assert_void(
        &judge(BOUNDS, &requests, &late, &calm),
        Responsible::Testbed,
        "the emulated fleet was late: 2.0%",
    );
    assert!(matches!(judge(BOUNDS, &requests, &late, &late), Verdict::Warned(_)));
    // Waits for a core are the machine's fault, although the reference thread waited less.
    let waited = late_by_waits(&[(60, 5 * MS)]);
    assert!(matches!(judge(BOUNDS, &requests, &waited, &calm), Verdict::Warned(_)));
    // Waits that make the benefit uncertain void the run all the same.
    let waited_long = late_by_waits(&[(2, 20 * MS)]);
    assert_void(
        &judge(BOUNDS, &requests, &waited_long, &calm),
        Responsible::Machine,
        "up to 1.4% of the benefit is uncertain",
    );
    // The reference thread's waits do not excuse lateness through the fleet's own work.
    assert_void(
        &judge(BOUNDS, &requests, &late, &waited),
        Responsible::Testbed,
        "2.0% without waits for a core",
    );
    let mut stalled = late_by_work(&[]);
    stalled.late.record(300 * MS as u64).expect("within bounds");
    assert_void(&judge(BOUNDS, &requests, &stalled, &calm), Responsible::Testbed, "stalled for 300 ms");
    assert_void(
        &judge(BOUNDS, &requests, &stalled, &stalled),
        Responsible::Machine,
        "the machine's lateness",
    );
}

#[test]
fn reference_thread_without_records_excuses_nothing() {
    let slow = late_by(&[(20, 5 * MS)]);
    assert_void(
        &judge(BOUNDS, &slow, &late_by_work(&[]), &LatenessHistograms::default()),
        Responsible::Testbed,
        "the machine explains 0.0%",
    );
}

#[test]
fn fraction_over_after_two_adds_two_wakeups() {
    // A tenth is 1.5 ms late and the rest is in time: only 1.5 ms twice is over 2 ms.
    let mut one = histogram();
    one.record_n(1_500, 100).expect("within bounds");
    one.record_n(1, 900).expect("within bounds");
    assert_eq!(fraction_over(&one, 2 * MS), 0.0);
    assert!(
        (fraction_over_after_two(&one, 2 * MS) - 0.01).abs() < 1e-9,
        "{}",
        fraction_over_after_two(&one, 2 * MS)
    );
    assert!((fraction_over_after_two(&one, MS) - 0.19).abs() < 1e-9, "{}", fraction_over_after_two(&one, MS));
}

#[test]
fn reference_thread_keeps_to_its_schedule() {
    let reference = ReferenceThread::start().expect("a thread");
    let began = Instant::now();
    std::thread::sleep(Duration::from_millis(200));
    let recorded = reference.stop();
    let max_periods = began.elapsed().as_millis() as u64 + 20;
    // Late periods are caught up at once, so the count follows the elapsed time.
    assert!(
        (150..=max_periods).contains(&recorded.late.len()),
        "{} periods in {max_periods} ms",
        recorded.late.len()
    );
}

#[test]
fn cpu_waits_of_a_busy_thread_are_within_the_elapsed_time() {
    let mut waits = CpuWaits::default();
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(100) {}
    // Work does not count as a wait: waiting and working together take the elapsed time.
    let waited = waits.since(began);
    assert!((0..=began.elapsed().as_micros() as Micros).contains(&waited), "{waited} us");
}

#[test]
fn lateness_is_empty_after_clear() {
    let late = Lateness::default();
    late.record(5 * MS);
    late.record(-3);
    assert!((late.snapshot().late.len(), late.max()) == (2, late.snapshot().late.max() as Micros));
    assert!((late.max() - 5 * MS).abs() < 10);
    late.clear();
    assert_eq!((late.snapshot().late.len(), late.snapshot().own.len(), late.max()), (0, 0, 0));
}
