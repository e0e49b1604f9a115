//! Whose lateness it was: the judging with lateness made up, and the reference thread itself.

use std::time::{Duration, Instant};

use basaltwood_testbed::lateness::{
    histogram, judge, part_over, part_over_twice, CpuWaits, Lateness, LatenessBounds, LatenessHistograms,
    ReferenceThread, Responsible, Verdict,
};
use basaltwood_testbed::time::{Micros, MS};
use hdrhistogram::Histogram;

const BOUNDS: LatenessBounds = LatenessBounds { late: 2 * MS, target: 150 * MS, missed: 0.5 };

/// So many of a thousand at each lateness, in microseconds; the others come 0.1 ms late.
fn late_by(parts: &[(u64, Micros)]) -> Histogram<u64> {
    let mut histogram = histogram();
    parts
        .iter()
        .for_each(|&(count, late)| histogram.record_n(late as u64, 20 * count).expect("within bounds"));
    let rest = 1_000 - parts.iter().map(|part| part.0).sum::<u64>();
    histogram.record_n(100, 20 * rest).expect("within bounds");
    histogram
}

/// A thread that was late by this, and not for want of a core.
fn thread(parts: &[(u64, Micros)]) -> LatenessHistograms {
    LatenessHistograms { late: late_by(parts), own: late_by(parts) }
}

/// One that was late by this for want of a core alone.
fn waiting(parts: &[(u64, Micros)]) -> LatenessHistograms {
    LatenessHistograms { late: late_by(parts), own: late_by(&[]) }
}

fn void(verdict: &Verdict, cause: Responsible, says: &str) {
    match verdict {
        Verdict::Void(whose, line) => {
            assert_eq!(*whose, cause, "{line}");
            assert!(line.contains(says) && !line.contains('\n'), "{line}");
        }
        other => panic!("{says}: {other:?}"),
    }
}

#[test]
fn run_in_time_is_sound() {
    let calm = thread(&[(4, 5 * MS)]);
    assert_eq!(judge(BOUNDS, &late_by(&[(4, 5 * MS)]), &calm, &calm), Verdict::Sound);
}

#[test]
fn slow_generator_on_a_calm_or_late_machine_voids_by_the_testbed() {
    let slow = late_by(&[(150, 8 * MS)]);
    let calm = thread(&[]);
    void(&judge(BOUNDS, &slow, &calm, &calm), Responsible::Testbed, "the generator was late: 15.0%");
    // Two wakes of a thread that is over 2 ms late in 3% of its turns make 6%: 9% are the
    // generator's.
    let late = thread(&[(30, 5 * MS)]);
    let verdict = judge(BOUNDS, &slow, &late, &late);
    void(&verdict, Responsible::Testbed, "the machine explains 5.9%");
    // Just over a hundredth of its own is enough.
    let slower = late_by(&[(70, 8 * MS)]);
    void(&judge(BOUNDS, &slower, &late, &late), Responsible::Testbed, "the generator was late: 7.0%");
}

#[test]
fn lateness_that_the_reference_thread_shares_is_a_warning() {
    let late = thread(&[(30, 5 * MS)]);
    let ops = late_by(&[(60, 6 * MS)]);
    match judge(BOUNDS, &ops, &late, &late) {
        Verdict::Warned(line) => {
            assert!(line.starts_with("the machine was late: a bare thread's p99"), "{line}")
        }
        other => panic!("{other:?}"),
    }
    let later = waiting(&[(100, 5 * MS)]);
    let verdict = judge(BOUNDS, &late_by(&[(150, 6 * MS)]), &later, &later);
    assert!(matches!(&verdict, Verdict::Warned(line) if line.contains("all percentiles are")), "{verdict:?}");
    // The ops' own lateness is judged by its part over the bound, whatever its most.
    assert!(matches!(judge(BOUNDS, &late_by(&[(8, 40 * MS)]), &late, &late), Verdict::Warned(_)));
}

#[test]
fn machine_too_late_to_tell_the_benefit_voids_by_the_machine() {
    // Half of 150 ms, shared by seven wakes, is 10.7 ms: two in a thousand turns are over it.
    let (ops, late) = (late_by(&[(2, 20 * MS)]), thread(&[(2, 20 * MS)]));
    void(&judge(BOUNDS, &ops, &late, &late), Responsible::Machine, "up to 1.4% of the benefit can't be told");
    // Lateness only takes: what was earned was, and only the rest is in doubt.
    let earned = LatenessBounds { missed: 0.009, ..BOUNDS };
    assert_eq!(judge(earned, &ops, &late, &late), Verdict::Sound);
    // With more time to spare the same machine does.
    let slack = LatenessBounds { target: 800 * MS, ..BOUNDS };
    assert_eq!(judge(slack, &ops, &late, &late), Verdict::Sound);
}

#[test]
fn late_world_voids_by_the_testbed_unless_the_reference_thread_was_late_alike() {
    let (ops, calm, late) = (late_by(&[]), thread(&[]), thread(&[(20, 5 * MS)]));
    void(&judge(BOUNDS, &ops, &late, &calm), Responsible::Testbed, "the emulated fleet was late: 2.0%");
    assert!(matches!(judge(BOUNDS, &ops, &late, &late), Verdict::Warned(_)));
    // What it waited for a core is the machine's, though a thread that does nothing waits for less;
    let waited = waiting(&[(60, 5 * MS)]);
    assert!(matches!(judge(BOUNDS, &ops, &waited, &calm), Verdict::Warned(_)));
    // where it waited so long that the benefit can't be told, the run is void all the same;
    let waited_long = waiting(&[(2, 20 * MS)]);
    void(
        &judge(BOUNDS, &ops, &waited_long, &calm),
        Responsible::Machine,
        "up to 1.4% of the benefit can't be told",
    );
    // and the bare thread's waits excuse no work of the fleet's.
    void(&judge(BOUNDS, &ops, &late, &waited), Responsible::Testbed, "2.0% also beside its waits for a core");
    let mut still = thread(&[]);
    still.late.record(300 * MS as u64).expect("within bounds");
    void(&judge(BOUNDS, &ops, &still, &calm), Responsible::Testbed, "stood still for 300 ms");
    void(&judge(BOUNDS, &ops, &still, &still), Responsible::Machine, "the machine's lateness");
}

#[test]
fn reference_thread_without_records_excuses_nothing() {
    let slow = late_by(&[(20, 5 * MS)]);
    void(
        &judge(BOUNDS, &slow, &thread(&[]), &LatenessHistograms::default()),
        Responsible::Testbed,
        "the machine explains 0.0%",
    );
}

#[test]
fn part_over_twice_adds_two_wakes() {
    // A tenth is 1.5 ms late, the rest not at all: only twice 1.5 ms is over 2 ms.
    let mut one = histogram();
    one.record_n(1_500, 100).expect("within bounds");
    one.record_n(1, 900).expect("within bounds");
    assert_eq!(part_over(&one, 2 * MS), 0.0);
    assert!((part_over_twice(&one, 2 * MS) - 0.01).abs() < 1e-9, "{}", part_over_twice(&one, 2 * MS));
    assert!((part_over_twice(&one, MS) - 0.19).abs() < 1e-9, "{}", part_over_twice(&one, MS));
}

#[test]
fn reference_thread_keeps_to_its_schedule() {
    let reference = ReferenceThread::start().expect("a thread");
    let began = Instant::now();
    std::thread::sleep(Duration::from_millis(200));
    let recorded = reference.stop();
    let most = began.elapsed().as_millis() as u64 + 20;
    // A turn that came late is made up for at once, so the count is that of the time.
    assert!((150..=most).contains(&recorded.late.len()), "{} turns in {most} ms", recorded.late.len());
}

#[test]
fn cpu_waits_of_a_busy_thread_are_within_the_elapsed_time() {
    let mut waits = CpuWaits::default();
    let began = Instant::now();
    while began.elapsed() < Duration::from_millis(100) {}
    // Whatever the machine does, work is no wait: what was waited and what was worked is the time
    // there was.
    let waited = waits.since(began);
    assert!((0..=began.elapsed().as_micros() as Micros).contains(&waited), "{waited} us");
}

#[test]
fn lateness_cleared_is_forgotten() {
    let late = Lateness::default();
    late.record(5 * MS);
    late.record(-3);
    assert!((late.snapshot().late.len(), late.max()) == (2, late.snapshot().late.max() as Micros));
    assert!((late.max() - 5 * MS).abs() < 10);
    late.clear();
    assert_eq!((late.snapshot().late.len(), late.snapshot().own.len(), late.max()), (0, 0, 0));
}
