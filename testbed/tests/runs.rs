//! Runs on real sockets: the generator's lateness, a killed balancer, and short experiments with
//! the real balancer. The checks are on rules and counts, which do not depend on the machine's
//! speed.

mod common;

use std::thread;

use basaltwood_testbed::figures::Figures;
use common::*;

#[test]
fn pause_shows_in_the_open_loop_tail_but_not_in_a_closed_loop() {
    let pause = "[[faults]]\nkind = \"hang\"\nhosts = \"all\"\nfrom_s = 1.0\nto_s = 3.0\n\
                 [[faults]]\nkind = \"hang\"\nhosts = \"all\"\nfrom_s = 3.99\nto_s = 4.0";
    let load =
        |more: &str| format!("[load]\nrate = 200\narrivals = \"even\"\nconnections = 1000\n{more}\n{pause}");
    let open = experiment("seconds = 4.0", &load(""));
    let closed = experiment("seconds = 4.0", &load("closed_loop = true").replace("1000", "2"));
    // Reads only: a write goes to the origin, which is not paused.
    let reads = |mut experiment: basaltwood_testbed::experiment::Experiment| {
        experiment.categories.truncate(1);
        experiment
    };
    let (open, closed) = (reads(open), reads(closed));
    let (open, closed) = thread::scope(|scope| {
        let open = scope.spawn(|| played(&open, &router("random", None)));
        let closed = scope.spawn(|| played(&closed, &router("random", None)));
        (open.join().expect("the open loop").figures, closed.join().expect("the closed loop").figures)
    });
    let describe = |figures: &Figures| {
        let end = &figures.until_end;
        format!(
            "{} requests, {} over 1 s, p99 {:.0} ms, max {:.0} ms",
            figures.requests, figures.over_1s, end.p99, end.max
        )
    };
    let both = format!("open: {}; closed: {}", describe(&open), describe(&closed));
    println!("{both}");
    // One request every 5 ms: those due in the first second of the pause wait for over a second.
    assert!((190..=260).contains(&open.over_1s), "{both}");
    assert!(open.until_end.p99 > 1_800.0 && open.until_end.max > 1_900.0, "{both}");
    assert!(closed.over_1s <= 2 && closed.until_end.p99 < 1_000.0, "{both}");
}

#[test]
fn stalled_generator_voids_its_run() {
    let stop = "[load]\nrate = 200\n[[faults]]\nkind = \"generator-stop\"\nfrom_s = 1.0\nto_s = 1.3";
    let run = played(&experiment("seconds = 2.0", stop), &router("random", None));
    let void = run.void.clone().expect("a void run");
    assert!(void.starts_with("the generator was late:"), "{void}");
    assert!(breaches(&run).is_empty(), "the generator's stop is no breach: {:#?}", breaches(&run));
}

#[test]
fn slow_generator_voids_its_run_by_the_testbeds_own_fault() {
    let slow = "[load]\nrate = 200\n[[faults]]\nkind = \"generator-slow\"\nfactor = 4.0\nfrom_s = 0.0";
    let run = played(&experiment("seconds = 2.0", slow), &router("random", None));
    let void = run.void.clone().expect("a void run");
    assert!(void.starts_with("the generator was late:") && void.ends_with("the testbed's own"), "{void}");
    assert!(run.warning.is_none() && run.figures.late_part > 0.2, "{void}");
}

#[test]
fn killed_balancer_loses_its_open_requests_and_the_run_ends() {
    // All hosts are slow, so that requests are open when the balancer is killed.
    let slow = "[load]\nrate = 200\nretry = { kind = \"RETRY\" }\n\
                [[faults]]\nkind = \"slow\"\nhosts = \"all\"\nfactor = 100\nfrom_s = 0.0\n\
                [[faults]]\nkind = \"balancer-kill\"\nbalancer = 0\nfrom_s = 1.0\nto_s = 1.5";
    let top = "seconds = 2.5";
    let with_retry = |retry: &str| larger(top, &slow.replace("kind = \"RETRY\"", retry));
    for (retry, retries) in [("kind = \"none\"", false), ("kind = \"after\", times = 5, pause_ms = 50", true)]
    {
        let run = played(&with_retry(retry), &router("least-in-flight", None));
        let figures = &run.figures;
        let sum = figures.served
            + figures.rejected
            + figures.failed
            + figures.lost
            + figures.abandoned
            + figures.unreachable;
        assert_eq!(sum, figures.requests, "every request has one outcome");
        assert!(breaches(&run).is_empty(), "a kill is no breach: {:#?}", breaches(&run));
        // At-most-once requests are not retried even with client retries.
        assert!(
            if retries { figures.client_attempts > figures.requests } else { figures.lost > 5 },
            "{retry}: {figures:?}"
        );
        assert!(figures.served * 2 > figures.requests, "{retry}: {figures:?}");
    }
}

#[test]
fn balancer_keeps_the_rules_through_short_faults() {
    let fault = |kind: &str, more: &str| format!("[[faults]]\nkind = \"{kind}\"\nfrom_s = 0.7\n{more}\n");
    let some = "hosts = [1, 4]\nto_s = 1.7";
    let cases = [
        ("calm", String::new()),
        ("hang", fault("hang", some)),
        ("silent", fault("silent", some)),
        ("stale", fault("stale", "hosts = \"all\"")),
        ("reset", fault("reset", "hosts = \"all\"\npart = 0.05\nto_s = 1.7")),
        (
            "lost and spoilt",
            fault("lost", "hosts = [0]\npart = 0.2") + &fault("spoil", "hosts = [2]\npart = 0.2"),
        ),
        ("die", fault("die", some)),
        ("replace", fault("replace", some)),
        ("roll-out", fault("roll-out", "hosts = [0, 1, 2]\nto_s = 2.2")),
        ("drain and grow", fault("drain", some) + &fault("grow", "hosts = 2")),
        (
            "busy and errors",
            fault("busy", "hosts = [1]\nto_s = 1.7") + &fault("error", "hosts = [3]\npart = 0.3"),
        ),
        ("discovery", fault("discovery-down", "to_s = 1.5") + &fault("refuse", "hosts = [2]\nto_s = 1.7")),
        ("wrong list", fault("discovery-wrong", "hosts = [0]\nto_s = 1.7")),
        ("origin", fault("origin-down", "to_s = 1.2") + &fault("origin-slow", "to_s = 2.0\nfactor = 5")),
        ("killed", fault("balancer-kill", "balancer = 1\nto_s = 1.2")),
    ];
    let program = balancer();
    // Four at a time, so as not to overload the machine.
    for batch in cases.chunks(4) {
        thread::scope(|scope| {
            for (name, faults) in batch {
                let program = &program;
                scope.spawn(move || {
                    let tables = format!(
                        "[load]\nrate = 150\nkeys = 500\nretry = {{ kind = \"back-off\", times = 3, pause_ms = 50 }}\n{faults}"
                    );
                    let run = played(&larger("seconds = 2.5", &tables), program);
                    assert!(breaches(&run).is_empty(), "{name}: {:#?}", breaches(&run));
                    let figures = &run.figures;
                    assert!(figures.requests > 200, "{name}: {} requests", figures.requests);
                    // Every case serves far more than half; the bound catches a balancer that
                    // serves nothing.
                    assert!(figures.served * 2 > figures.requests, "{name}: {} of {} served", figures.served, figures.requests);
                });
            }
        });
    }
}
