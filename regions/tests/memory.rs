//! What a host outside the ring costs. Alone in its process, which it looks at from outside.

use basaltwood::types::Lifecycle;
use basaltwood_regions::{ListedHost, RegionMap, Regions};

/// The resident memory of this process, in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/smaps_rollup").expect("it runs");
    let line = text.lines().find_map(|line| line.strip_prefix("Rss:")).expect("a figure");
    line.trim().trim_end_matches(" kB").parse::<usize>().expect("a number") * 1024
}

/// With 64 bytes of details: an address, a weight, a cell, a start. Names are of 19 letters, and
/// come sorted, which leaves the most memory unused.
#[test]
fn host_outside_the_ring_takes_under_256_bytes() {
    const MANY: usize = 20_000;
    const MAP: &str =
        "own = \"n\"\nregion = [{ name = \"n\", zones = [\"n1\"] }, { name = \"s\", zones = [\"s1\"] }]";
    let mut regions = Regions::new(RegionMap::parse("regions.toml", MAP).expect("it is valid"));
    let entry = |nth: usize, zone: &str| {
        let (host, zone) = (format!("cache-host-{nth:08}").into_boxed_str(), Some(zone.into()));
        ListedHost { host, zone, origin: false, lifecycle: Lifecycle::Up, details: [nth; 8] }
    };
    assert_eq!(regions.apply(false, vec![entry(MANY, "n1")]).entries.len(), 1);
    let before = resident_bytes();
    for nth in 0..MANY / 100 {
        let update = regions.apply(false, (0..100).map(|at| entry(nth * 100 + at, "s1")).collect());
        assert!(update.entries.is_empty());
    }
    let each = (resident_bytes() - before) / MANY;
    println!("{each} bytes a host outside");
    assert!((100..256).contains(&each), "{each} bytes a host outside");
    assert_eq!(regions.counts().outside_ring, MANY);
}
