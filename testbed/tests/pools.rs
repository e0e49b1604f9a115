//! Tests of the balancer's connection pools on real sockets, against hosts that lose connections in
//! various ways; checked by the audit and the balancer's counters.

mod common;

use std::collections::BTreeMap;

use basaltwood_testbed::figures::Run;
use common::*;

/// An experiment of reads only, on six warm hosts; most requests use pooled connections.
fn reads(faults: &str) -> basaltwood_testbed::experiment::Experiment {
    let load = "[load]\nrate = 240\nkeys = 300\n";
    let mut experiment = larger("seconds = 3.0", &format!("{load}{faults}"));
    experiment.categories.truncate(1);
    experiment
}

fn fault(kind: &str, more: &str) -> String {
    format!("[[faults]]\nkind = \"{kind}\"\n{more}\n")
}

fn checked_counters(run: &Run) -> &BTreeMap<String, u64> {
    assert!(breaches(run).is_empty(), "{:#?}", breaches(run));
    assert!(!run.counters.is_empty(), "the balancer did not log its counters");
    &run.counters
}

fn describe(run: &Run) -> String {
    format!("{:?}\n{:?}", run.counters, run.figures)
}

#[test]
fn requests_are_served_after_all_pooled_connections_die_at_once() {
    let run = played(&reads(&fault("stale", "hosts = \"all\"\nfrom_s = 1.0")), &balancer());

    let counters = checked_counters(&run);
    // At most one attempt times out for each pooled connection, and a hedge brings its value.
    assert!(counters["attempts_timed_out"] <= counters["connections_opened"], "{}", describe(&run));
    assert!(run.figures.served * 100 >= run.figures.requests * 97, "{}", describe(&run));
}

#[test]
fn pooled_connections_reset_under_an_attempt_count_as_connection_faults() {
    // Commands on earlier connections are answered by a reset; new connections work. This happens
    // twice, so that the balancer can learn from the first time.
    let resets = fault("stale-reset", "hosts = \"all\"\nfrom_s = 1.0\nto_s = 1.1\nevery_s = 1.0");

    let run = played(&reads(&resets), &balancer());

    let counters = checked_counters(&run);
    assert!(
        counters["attempts_connection_fault"] > 0 && counters["connection_faults"] > 0,
        "{}",
        describe(&run)
    );
    assert_eq!(
        counters["attempts_connection_lost"],
        0,
        "no fault is attributed to a host: {}",
        describe(&run)
    );
    assert!(run.figures.served * 100 >= run.figures.requests * 99, "{}", describe(&run));
    assert_eq!(run.figures.rejected, 0, "{}", describe(&run));
}

#[test]
fn hung_host_and_dead_connections_of_another_are_distinguished() {
    let hang = fault("hang", "hosts = [0]\nfrom_s = 1.0\nto_s = 2.0");
    let both = hang + &fault("stale-reset", "hosts = [3]\nfrom_s = 1.0");

    let run = played(&reads(&both), &balancer());

    checked_counters(&run);
    let host = |no: usize| &run.figures.hosts[&format!("host {no}")];
    // Host 3, with dead connections, stays in use; host 0 hangs, is ejected and used again later.
    assert!(host(3).executed * 10 >= host(4).executed.min(host(5).executed) * 3, "{}", describe(&run));
    assert!(run.figures.served * 100 >= run.figures.requests * 95, "{}", describe(&run));
}

#[test]
fn repeatedly_hanging_hosts_leave_descriptors_for_the_others() {
    let some = "hosts = [0, 1]\n";
    let hangs = fault("hang", &format!("{some}from_s = 0.5\nto_s = 1.0\nevery_s = 0.9"));
    let resets = fault("reset", &format!("{some}from_s = 0.99\nto_s = 1.0\nevery_s = 0.9\npart = 0.0"));
    let mut experiment = reads(&(hangs + &resets));
    // With few descriptors, hanging hosts must not use up those of the others.
    experiment.limits.sockets = 64;
    experiment.load.connections = 20;

    let run = played(&experiment, &balancer());

    checked_counters(&run);
    assert!(run.figures.served * 100 >= run.figures.requests * 85, "{}", describe(&run));
}

#[test]
fn silent_host_costs_few_connect_time_outs() {
    let run = played(&reads(&fault("silent", "hosts = [2]\nfrom_s = 0.8")), &balancer());

    let counters = checked_counters(&run);
    assert!(run.figures.served * 100 >= run.figures.requests * 95, "{}", describe(&run));
    assert!(counters["attempts_unreachable"] < run.figures.requests / 10, "{}", describe(&run));
}
