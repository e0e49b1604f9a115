//! Rule 4 under steps of the wall clock: a host that has just started still counts as warming up,
//! because the balancer uses its own monotonic time.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::common::*;
use crate::FaultyProgram;

const HOUR_MS: i64 = 3_600_000;
/// Number of reads before a host's restart, and again after it.
const READS: usize = 400;
const READ_INTERVAL: Duration = Duration::from_millis(4);
/// Lower bound of the reads that one of four warm hosts gets: half of its even share, to allow for
/// deviation.
const MIN_WARM_READS: usize = READS / 8;

/// Returns how many reads go to a host right after its restart is listed, with the wall clock
/// stepped by `step_ms` while the balancer runs.
fn reads_at_restarted_host(step_ms: i64) -> usize {
    let discovery = Discovery::start();
    let reads: Vec<Arc<AtomicUsize>> = (0..4).map(|_| Arc::default()).collect();
    let counted = |count: &Arc<AtomicUsize>| {
        let count = count.clone();
        Peer::host(move |_| {
            count.fetch_add(1, Ordering::Relaxed);
            hit("v")
        })
    };
    let hosts: Vec<Peer> = reads.iter().map(counted).collect();
    let entries = |started_at_ms: i64| -> Vec<String> {
        let named = ["a", "b", "c", "d"].into_iter().zip(&hosts);
        let entries = named.map(|(name, host)| (name, entry(name, host.address, "active")));
        let started = format!("\"startedAtMs\":{started_at_ms}");
        let restarted = |(name, entry): (&str, String)| match name {
            "d" => entry.replace("\"startedAtMs\":0", &started),
            _ => entry,
        };
        entries.map(restarted).collect()
    };
    let faulty = FaultyProgram::start(discovery.peer.address, &entries(0), SETTINGS);
    let program = &faulty.program;
    read_many(program, "warm");

    faulty.faults.step_wall_clock(step_ms).expect("write the fault file");
    let unix = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    let before = reads[3].load(Ordering::Relaxed);
    assert!(before >= MIN_WARM_READS, "{before} of {READS} reads went to the host while it was warm");
    discovery.publish(&entries(unix.as_millis() as i64 + step_ms));
    program.wait_for_counter("endpoint_lists", 2);
    read_many(program, "cold");
    reads[3].load(Ordering::Relaxed) - before
}

fn read_many(program: &Program, prefix: &str) {
    let mut client = program.client();
    for nth in 0..READS {
        let answer =
            client.command(&["CACHE.GET", &format!("k{nth}"), &format!("{prefix}{nth}"), "c=read,d=1900"]);
        assert_eq!(answer, "v");
        thread::sleep(READ_INTERVAL);
    }
}

/// The balancer and its hosts share one clock, so the start is listed by the stepped clock.
#[test]
fn host_that_restarts_after_a_step_of_the_wall_clock_is_warming_up() {
    let steps = [0, -HOUR_MS, HOUR_MS, 2 * HOUR_MS];
    let reads: Vec<(i64, usize)> =
        steps.into_iter().map(|step| (step / HOUR_MS, reads_at_restarted_host(step))).collect();
    for &(hours, count) in &reads {
        assert!(count > 0, "no read went to the host after a step of {hours} h; hours and reads: {reads:?}");
        assert!(
            count < MIN_WARM_READS,
            "as many reads as at a warm host after a step of {hours} h; hours and reads: {reads:?}"
        );
    }
}
