//! A new process at the address of a cache host that has gone.

#[path = "../../tests/common/mod.rs"]
mod common;

use std::thread::sleep;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use common::*;

const BINARY: &str = env!("CARGO_BIN_EXE_basaltwood-balancer");
const KEYS: usize = 40;
/// Longer than the grace in which a host that leaves may still get requests.
const GRACE: Duration = Duration::from_millis(1_200);

/// Hosts that a list drops stay in use while they answer.
fn settings_that_keep_dropped_hosts() -> String {
    SETTINGS.replace("\"invariants\":{", "\"invariants\":{\"droppedStayOpen\":true,")
}

/// Reads all keys; each is served by some host.
fn read_all(program: &Program, round: &str) {
    let mut client = program.client();
    for nth in 0..KEYS {
        let answer =
            client.command(&["CACHE.GET", &format!("k{nth}"), &format!("{round}-{nth}"), "c=read,d=1900"]);
        assert!(answer.starts_with("from "), "{round}: {answer}");
    }
}

fn received(host: &Peer) -> usize {
    std::iter::from_fn(|| host.try_next()).filter(|line| line.contains("CACHE.GET")).count()
}

/// In which order the list tells that host a has gone and that b is at its address.
#[derive(Clone, Copy, Debug)]
enum Order {
    Together,
    GoneFirst,
    NewFirst,
}

/// Guards against a new process being taken for the host that had its address before: as long as that one
/// counts as alive, its keys go to the new process, past its slow start and its drain.
#[test]
fn new_process_at_the_address_of_a_dropped_host_is_not_taken_for_it() {
    for order in [Order::Together, Order::GoneFirst, Order::NewFirst] {
        let (reused, other) = (Peer::host(|_| hit("from reused")), Peer::host(|_| hit("from other")));
        let discovery = Discovery::start();
        let at = |name: &str, lifecycle: &str| entry(name, reused.address, lifecycle);
        let (b, c) = (at("b", "active"), entry("c", other.address, "active"));
        let known = [at("a", "active"), c.clone()];
        let settings = settings_that_keep_dropped_hosts();
        let program = Program::start_with(BINARY, discovery.peer.address, &known, [192, 256], &settings);
        read_all(&program, "before");
        assert!(received(&reused) > 0, "host a has keys");

        match order {
            Order::Together => discovery.publish(&[b.clone(), c.clone()]),
            Order::GoneFirst => {
                discovery.publish(std::slice::from_ref(&c));
                program.wait_for_counter("endpoint_lists", 2);
                read_all(&program, "dropped");
                assert!(received(&reused) > 0, "host a stays in use while nobody has its address");
                discovery.publish_changes(std::slice::from_ref(&b));
            }
            Order::NewFirst => {
                discovery.publish_changes(std::slice::from_ref(&b));
                program.wait_for_counter("endpoint_lists", 2);
                discovery.publish(&[b.clone(), c.clone()]);
            }
        }
        let lists = if matches!(order, Order::Together) { 2 } else { 3 };
        program.wait_for_counter("endpoint_lists", lists);
        discovery.publish_changes(&[at("b", "leaving")]);
        program.wait_for_counter("endpoint_lists", lists + 1);
        sleep(GRACE);
        received(&reused);
        read_all(&program, "after");
        assert_eq!(received(&reused), 0, "{order:?}: requests to a host that leaves, for the one before");
    }
}

/// An entry of an active host that started at this Unix time, in milliseconds; 0 for long ago.
fn started(name: &str, host: &Peer, started_at_ms: u128) -> String {
    entry(name, host.address, "active")
        .replace("\"startedAtMs\":0", &format!("\"startedAtMs\":{started_at_ms}"))
}

fn unix_now_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970").as_millis()
}

/// Guards against a listed host being taken for replaced by one that the list dropped, which would leave nobody at
/// their address.
#[test]
fn listed_host_is_used_although_a_dropped_one_at_its_address_started_later() {
    let (reused, other) = (Peer::host(|_| hit("from reused")), Peer::host(|_| hit("from other")));
    let discovery = Discovery::start();
    let c = entry("c", other.address, "active");
    // Past its slow start.
    let known = [started("a", &reused, unix_now_ms() - 3_600_000), c.clone()];
    let settings = settings_that_keep_dropped_hosts();
    let program = Program::start_with(BINARY, discovery.peer.address, &known, [192, 256], &settings);
    read_all(&program, "before");
    assert!(received(&reused) > 0, "host a has keys");

    discovery.publish(&[started("b", &reused, 0), c]);
    program.wait_for_counter("endpoint_lists", 2);
    read_all(&program, "after");
    assert!(received(&reused) > 0, "host b has keys");
}

/// Guards against a new process getting the traffic of the host that had its address before, past its own slow
/// start and its drain, as long as the list has not told that that one has gone, or tells of it once more.
#[test]
fn new_process_at_the_address_of_a_listed_host_is_not_taken_for_it() {
    let (reused, other) = (Peer::host(|_| hit("from reused")), Peer::host(|_| hit("from other")));
    let discovery = Discovery::start();
    let known = [started("a", &reused, 0), entry("c", other.address, "active")];
    let program = Program::start(BINARY, discovery.peer.address, &known, 256);
    read_all(&program, "before");
    assert!(received(&reused) > 0, "host a has keys");

    let now = unix_now_ms();
    discovery.publish_changes(&[started("b", &reused, now)]);
    program.wait_for_counter("endpoint_lists", 2);
    discovery
        .publish_changes(&[entry("b", reused.address, "leaving")
            .replace("\"startedAtMs\":0", &format!("\"startedAtMs\":{now}"))]);
    program.wait_for_counter("endpoint_lists", 3);
    sleep(GRACE);
    received(&reused);
    read_all(&program, "after");
    assert_eq!(received(&reused), 0, "requests to a host that leaves, under the name of the one before");

    // A late copy of an older change.
    discovery.publish_changes(&[started("a", &reused, 0)]);
    program.wait_for_counter("endpoint_lists", 4);
    read_all(&program, "again");
    assert_eq!(received(&reused), 0, "requests to a host that leaves, after the one before was told again");
}
