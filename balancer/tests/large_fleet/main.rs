//! The program before thousands of cache hosts, on a small share of a core: every request gets its
//! final answer by its deadline, whatever a decision, a list or a pass over all hosts costs.

mod clients;
#[path = "../../../tests/common/mod.rs"]
mod common;
mod core_share;
mod fleet;
mod held_up;

use std::time::Duration;

use clients::{Outcomes, RequestLoad};
use common::*;
use core_share::CoreShare;
use fleet::{Behavior, Fleet};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
/// Sixteen times the usual size.
const HOSTS: usize = 3_200;
/// A final answer may come so long after its deadline and only earns nothing; later it is lost.
/// Source: the operators' page on real days.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// One of 300 balancers, as on the operators' large days.
fn settings() -> String {
    SETTINGS.replace("\"groupSize\":2", "\"groupSize\":300")
}

fn start(fleet: &Fleet, discovery: &Discovery) -> Program {
    Program::start_with(BINARY, discovery.peer.address, &fleet.entries(), [192, 1024], &settings())
}

/// Each request comes to another host, so each needs a connection of its own. They are all served,
/// and no host is blamed for what this balancer lets its own requests wait.
#[test]
fn healthy_hosts_that_are_each_used_seldom_serve_every_request() {
    let (fleet, discovery) = (Fleet::start(HOSTS), Discovery::start());
    let program = start(&fleet, &discovery);

    let load = RequestLoad { per_second: 60, wait: Duration::from_millis(368), span: Duration::from_secs(4) };
    let outcomes = load.run(&program.address);

    assert_eq!(outcomes.served, outcomes.sent, "{outcomes:?}");
}

/// No host can serve: each request is answered in time all the same.
#[test]
fn requests_are_answered_in_time_while_every_host_resets_them() {
    answers_in_time_while(|fleet, _| fleet.set(Behavior::Resets));
}

/// As after a partition that only this balancer sees: what it sent is not answered.
#[test]
fn requests_are_answered_in_time_while_every_host_hangs() {
    answers_in_time_while(|fleet, _| fleet.set(Behavior::Hangs));
}

/// Hosts are replaced step by step, each step a change of the list.
#[test]
fn requests_are_answered_in_time_while_hosts_are_replaced() {
    answers_in_time_while(|fleet, discovery| {
        for _ in 0..30 {
            discovery.publish_changes(&fleet.replace(30));
            std::thread::sleep(Duration::from_millis(100));
        }
    });
}

fn answers_in_time_while(trouble: impl FnOnce(&Fleet, &Discovery) + Send) {
    let (fleet, discovery) = (Fleet::start(HOSTS), Discovery::start());
    let program = start(&fleet, &discovery);
    let share = CoreShare::limit(program.id(), CoreShare::TENTH);

    let load = RequestLoad { per_second: 30, wait: Duration::from_millis(800), span: Duration::from_secs(5) };
    let outcomes: Outcomes = std::thread::scope(|scope| {
        let outcomes = scope.spawn(|| load.run(&program.address));
        std::thread::sleep(Duration::from_secs(1));
        trouble(&fleet, &discovery);
        outcomes.join().expect("clients end")
    });
    drop(share);

    let lost = load.wait + LOST_AFTER;
    assert!(outcomes.unanswered == 0 && outcomes.slowest < lost, "lost after {lost:?}: {outcomes:?}");
}
