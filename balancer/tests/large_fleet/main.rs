//! The balancer with thousands of cache hosts, on a small share of a core: every request gets its
//! final answer in time, whatever CPU time decisions, endpoint lists and sweeps of all hosts take.

mod clients;
#[path = "../../../tests/common/mod.rs"]
mod common;
mod core_share;
mod fleet;
mod process_stall;

use std::time::Duration;

use clients::{Outcomes, RequestLoad};
use common::*;
use core_share::CoreShare;
use fleet::{Behavior, Fleet};

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
/// Sixteen times the usual size of a fleet.
const HOSTS: usize = 3_200;
/// How long after its deadline a final answer counts as lost; until then a late answer only earns
/// no benefit. Source: the operators' requirements.
const LOST_AFTER: Duration = Duration::from_millis(500);

/// The settings of one of 300 balancers, as on the operators' large days.
fn settings() -> String {
    SETTINGS.replace("\"groupSize\":2", "\"groupSize\":300")
}

fn start(fleet: &Fleet, discovery: &Discovery) -> Program {
    Program::start_with(BINARY, discovery.peer.address, &fleet.entries(), [192, 1024], &settings())
}

/// Each request goes to a different host and needs a new connection. The time that requests wait in
/// this balancer must not count against the hosts, so all requests are served.
#[test]
fn healthy_hosts_with_few_requests_each_serve_every_request() {
    let (fleet, discovery) = (Fleet::start(HOSTS), Discovery::start());
    let program = start(&fleet, &discovery);

    let load = RequestLoad { per_second: 60, wait: Duration::from_millis(368), span: Duration::from_secs(4) };
    let outcomes = load.run(&program.address);

    assert_eq!(outcomes.served, outcomes.sent, "{outcomes:?}");
}

/// No host can serve a request, and still each request is answered in time.
#[test]
fn requests_are_answered_in_time_while_every_host_resets_them() {
    answers_in_time_while(|fleet, _| fleet.set(Behavior::Resets));
}

/// No host answers, as after a partition that affects only this balancer.
#[test]
fn requests_are_answered_in_time_while_every_host_hangs() {
    answers_in_time_while(|fleet, _| fleet.set(Behavior::Hangs));
}

/// Hosts are replaced in steps, each a change of the endpoint list.
#[test]
fn requests_are_answered_in_time_while_hosts_are_replaced() {
    answers_in_time_while(|fleet, discovery| {
        for _ in 0..30 {
            discovery.publish_changes(&fleet.replace(30));
            std::thread::sleep(Duration::from_millis(100));
        }
    });
}

fn answers_in_time_while(disrupt: impl FnOnce(&Fleet, &Discovery) + Send) {
    let (fleet, discovery) = (Fleet::start(HOSTS), Discovery::start());
    let program = start(&fleet, &discovery);
    let share = CoreShare::limit(program.id(), CoreShare::TENTH);

    let load = RequestLoad { per_second: 30, wait: Duration::from_millis(800), span: Duration::from_secs(5) };
    let outcomes: Outcomes = std::thread::scope(|scope| {
        let outcomes = scope.spawn(|| load.run(&program.address));
        std::thread::sleep(Duration::from_secs(1));
        disrupt(&fleet, &discovery);
        outcomes.join().expect("the load ends")
    });
    drop(share);

    let lost = load.wait + LOST_AFTER;
    assert!(outcomes.unanswered == 0 && outcomes.slowest < lost, "lost after {lost:?}: {outcomes:?}");
}
