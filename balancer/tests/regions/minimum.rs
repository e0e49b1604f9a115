//! Regions that lose and regain hosts, with and without a minimum number of hosts.

use expect_test::expect;

use crate::common::*;
use crate::fleet::*;

const NORTH: [&str; 6] = ["n0", "n1", "n2", "n3", "n4", "n5"];
const SOUTH: [&str; 2] = ["s0", "s1"];

/// Starts with all six hosts of the north up, and applies lists in which only the named ones are
/// up. Returns the hosts that serve after each list, and the counters of regions.
fn trace_of_six_hosts(map: &str, lists: &[&[&str]]) -> String {
    let (north, south) = (NORTH.map(host_named), SOUTH.map(host_named));
    let discovery = Discovery::start();
    let list = |up: &[&str]| -> Vec<String> {
        let lifecycle = |name| if up.contains(name) { "active" } else { "leaving" };
        let north = NORTH
            .iter()
            .zip(&north)
            .map(|(name, peer)| zoned_entry(name, "n1", peer.address, lifecycle(name)));
        let south =
            SOUTH.iter().zip(&south).map(|(name, peer)| zoned_entry(name, "s1", peer.address, "active"));
        north.chain(south).collect()
    };
    let program = start_with_map(map, discovery.peer.address, &list(&NORTH), SETTINGS);
    let mut trace = vec![answering_hosts(&program, &NORTH)];
    for (round, up) in lists.iter().enumerate() {
        discovery.publish(&list(up));
        wait_until_read(&discovery.peer, round + 2);
        let min_hosts = if map.contains("hosts = 4") { 4 } else { 1 };
        let awaited = if up.len() < min_hosts { &SOUTH[..] } else { up };
        trace.push(format!("{}: {}", up.len(), answering_hosts(&program, awaited)));
    }
    let line = program.wait_for_counter("endpoint_lists", lists.len() as u64 + 1);
    trace.extend(line.split(' ').filter(|word| word.starts_with("regions_")).map(str::to_owned));
    trace.join("\n")
}

#[test]
fn region_that_loses_and_regains_hosts_serves_with_any_that_is_up() {
    let lists = [&["n0", "n1", "n2", "n3", "n4"][..], &["n0"], &[], &["n3"], &["n3", "n1"], &NORTH];
    expect![[r#"
        n0 n1 n2 n3 n4 n5
        5: n0 n1 n2 n3 n4
        1: n0
        0: s0 s1
        1: n3
        2: n1 n3
        6: n0 n1 n2 n3 n4 n5
        regions_rings=2
        regions_hosts_in=9
        regions_hosts_out=2
        regions_zones_unnamed=0"#]]
    .assert_eq(&trace_of_six_hosts(MAP, &lists));
}

/// With a minimum of hosts, the next region serves whenever fewer are up.
#[test]
fn region_below_its_minimum_of_hosts_is_served_by_the_next() {
    let lists = [
        &["n0", "n1", "n2", "n3"][..],
        &["n0", "n1", "n2"],
        &[],
        &["n3"],
        &["n3", "n1"],
        &["n3", "n1", "n0"],
        &["n3", "n1", "n0", "n5"],
        &NORTH,
    ];
    expect![[r#"
        n0 n1 n2 n3 n4 n5
        4: n0 n1 n2 n3
        3: s0 s1
        0: s0 s1
        1: s0 s1
        2: s0 s1
        3: s0 s1
        4: n0 n1 n3 n5
        6: n0 n1 n2 n3 n4 n5
        regions_rings=2
        regions_hosts_in=12
        regions_hosts_out=5
        regions_zones_unnamed=0"#]]
    .assert_eq(&trace_of_six_hosts(&map_with_min_hosts(4), &lists));
}

/// The first host that is up again gets all keys of the region, but is limited to its minimum
/// capacity: requests beyond it are rejected.
#[test]
fn region_back_with_one_cold_host_rejects_what_exceeds_its_capacity() {
    let (a, b) = (host_named("a"), host_named("b"));
    let discovery = Discovery::start();
    let south = zoned_entry("b", "s1", b.address, "active");
    let program = start(
        discovery.peer.address,
        &[zoned_entry("a", "n1", a.address, "leaving"), south.clone()],
        SETTINGS,
    );
    let mut trace = vec![answering_hosts(&program, &["b"])];
    discovery.publish(&[just_started(&zoned_entry("a", "n1", a.address, "active")), south]);
    wait_until_read(&discovery.peer, 2);
    trace.push(answering_hosts(&program, &["-BUSY 400", "a"]));
    expect![[r#"
        b
        -BUSY 400 a"#]]
    .assert_eq(&trace.join("\n"));
}

/// With a minimum of hosts, the first host that is up again gets no connection.
#[test]
fn first_cold_host_of_a_region_below_its_minimum_gets_no_connection() {
    let (first, b) = (UntouchedListener::start(), host_named("b"));
    let discovery = Discovery::start();
    let south = zoned_entry("b", "s1", b.address, "active");
    let known = [zoned_entry("a", "n1", first.address, "leaving"), south.clone()];
    let program = start_with_map(&map_with_min_hosts(2), discovery.peer.address, &known, SETTINGS);
    let mut trace = vec![answering_hosts(&program, &["b"])];
    discovery.publish(&[just_started(&zoned_entry("a", "n1", first.address, "active")), south]);
    wait_until_read(&discovery.peer, 2);
    trace.push(answering_hosts(&program, &["b"]));
    assert!(first.is_untouched(), "a connection was opened to a host of a region below its minimum");
    assert_eq!(trace, ["b", "b"]);
}
