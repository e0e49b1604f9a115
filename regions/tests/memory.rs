//! Memory per host outside the ring. It measures the whole process, so it is the only test in its
//! binary.

use basaltwood::types::Lifecycle;
use basaltwood_regions::{ListedHost, RegionMap, Regions};

/// The resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/smaps_rollup").expect("smaps_rollup");
    let line = text.lines().find_map(|line| line.strip_prefix("Rss:")).expect("a line with Rss");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
}

/// Each host has 64 bytes of details, enough for address, weight, cell and start time, and a name
/// of 19 letters. Names are inserted in sorted order, which leaves the most memory of a B-tree
/// unused.
#[test]
fn host_outside_the_ring_takes_under_256_bytes() {
    const HOSTS: usize = 20_000;
    const MAP: &str =
        "own = \"n\"\nregion = [{ name = \"n\", zones = [\"n1\"] }, { name = \"s\", zones = [\"s1\"] }]";
    let mut regions = Regions::new(RegionMap::parse("regions.toml", MAP).expect("a valid region file"));
    let entry = |nth: usize, zone: &str| {
        let (host, zone) = (format!("cache-host-{nth:08}").into_boxed_str(), Some(zone.into()));
        ListedHost { host, zone, origin: false, lifecycle: Lifecycle::Up, details: [nth; 8] }
    };
    assert_eq!(regions.apply(false, vec![entry(HOSTS, "n1")]).entries.len(), 1);
    let before = resident_bytes();
    for nth in 0..HOSTS / 100 {
        let update = regions.apply(false, (0..100).map(|at| entry(nth * 100 + at, "s1")).collect());
        assert!(update.entries.is_empty());
    }
    let bytes_per_host = (resident_bytes() - before) / HOSTS;
    println!("{bytes_per_host} bytes per host outside the ring");
    assert!((100..256).contains(&bytes_per_host), "{bytes_per_host} bytes per host outside the ring");
    assert_eq!(regions.counts().outside_ring, HOSTS);
}
