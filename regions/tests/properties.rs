//! Properties of the ring after any sequence of lists and changes.

mod common;

use std::collections::BTreeMap;

use basaltwood::types::{Lifecycle, RingPosition};
use basaltwood_regions::ListedHost;
use common::*;
use proptest::prelude::*;

/// The minimum numbers of hosts in a map, if set: west, north, south.
type MinHosts = [Option<u32>; 3];

fn any_min_hosts() -> impl Strategy<Value = MinHosts> {
    proptest::array::uniform3(proptest::option::of(1..4_u32))
}

/// One update of the endpoint list.
#[derive(Clone, Debug)]
struct Step {
    full_list: bool,
    entries: Vec<Listed>,
    /// Whether the caller forgets gone hosts at the end of the step.
    forgets: bool,
    /// The index of the host that stops answering after the update.
    unresponsive: usize,
}

const HOSTS: [&str; 8] = ["a", "b", "c", "d", "e", "f", "origin", "h"];
const ZONES: [Option<&str>; 7] =
    [Some("n1"), Some("n2"), Some("s1"), Some("s2"), Some("w1"), Some("x"), None];

fn step() -> impl Strategy<Value = Step> {
    let lifecycle = prop_oneof![
        4 => Just(Lifecycle::Up),
        2 => Just(Lifecycle::Draining),
        1 => Just(Lifecycle::Gone)
    ];
    let entry =
        (0..HOSTS.len(), 0..ZONES.len(), lifecycle, 0..9_u32).prop_map(|(host, zone, lifecycle, details)| {
            let (host, zone) = (HOSTS[host], ZONES[zone].map(Into::into));
            ListedHost { host: host.into(), zone, origin: host == "origin", lifecycle, details }
        });
    let entries = proptest::collection::vec(entry, 0..7);
    (prop::bool::weighted(0.3), entries, any::<bool>(), 0..HOSTS.len()).prop_map(
        |(full_list, entries, forgets, unresponsive)| Step { full_list, entries, forgets, unresponsive },
    )
}

/// Applies a step to the complete list, as discovery would hold it.
fn apply_step(list: &mut BTreeMap<Box<str>, Listed>, step: &Step) {
    if step.full_list {
        list.clear();
    }
    for entry in &step.entries {
        list.insert(entry.host.clone(), entry.clone());
    }
}

/// The expected ring: up hosts of the first region with its minimum, or else of the first with any,
/// and origin hosts.
fn ring_of(list: &BTreeMap<Box<str>, Listed>, min_hosts: MinHosts) -> BTreeMap<Box<str>, Listed> {
    let up = |entry: &&Listed| entry.lifecycle == Lifecycle::Up;
    let in_zones = |zones: &[&str]| -> BTreeMap<Box<str>, Listed> {
        let listed_there = |entry: &&Listed| entry.zone.as_deref().is_some_and(|zone| zones.contains(&zone));
        let hosts = list.values().filter(up).filter(|entry| !entry.origin).filter(listed_there);
        hosts.map(|entry| (entry.host.clone(), entry.clone())).collect()
    };
    let regions = [&["n1", "n2"][..], &["s1", "s2"], &["w1"]];
    let rings = regions.map(in_zones);
    let [west, north, south] = min_hosts.map(|minimum| minimum.unwrap_or(1) as usize);
    let with_minimum = rings.iter().zip([north, south, west]).find(|(ring, minimum)| ring.len() >= *minimum);
    let with_any = rings.iter().find(|ring| !ring.is_empty());
    let mut ring = with_minimum.map(|found| found.0).or(with_any).cloned().unwrap_or_default();
    let origins = list.values().filter(up).filter(|entry| entry.origin);
    ring.extend(origins.map(|entry| (entry.host.clone(), entry.clone())));
    ring
}

/// The entries of the list in an order that depends on `seed`.
fn shuffled(list: &BTreeMap<Box<str>, Listed>, seed: u64) -> Vec<Listed> {
    let mut entries: Vec<Listed> = list.values().cloned().collect();
    entries.sort_by_key(|entry| RingPosition::of(&entry.host).mixed(seed));
    entries
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(2_000) })]

    /// All balancers of a region have the same ring: it depends only on the current list, not on
    /// the lists and changes before it or on the order of the entries in a full list.
    #[test]
    fn ring_after_any_lists_equals_the_ring_of_the_final_list(
        min_hosts in any_min_hosts(),
        steps in proptest::collection::vec(step(), 1..24),
        order in any::<u64>(),
    ) {
        let mut regions = regions_with(min_hosts);
        let mut policy = StandInPolicy::default();
        let mut list = BTreeMap::new();
        for step in steps {
            let update = regions.apply(step.full_list, step.entries.clone());
            policy.apply(step.full_list, &update);
            apply_step(&mut list, &step);
            let mut other = StandInPolicy::default();
            other.apply(true, &regions_with(min_hosts).apply(true, shuffled(&list, order)));
            prop_assert_eq!(policy.up(), ring_of(&list, min_hosts));
            prop_assert_eq!(other.up(), ring_of(&list, min_hosts));
            if step.forgets {
                policy.forget_gone().iter().for_each(|name| regions.forget(name));
            }
        }
    }

    /// Also with `keeps_dropped_hosts`, the policy sends nothing to a draining host, whatever zone
    /// its entry names and whether or not a list still names the host (rule 3). It uses no host
    /// outside the ring, listed or not.
    #[test]
    fn draining_or_outside_host_is_never_used(
        min_hosts in any_min_hosts(),
        steps in proptest::collection::vec(step(), 1..24),
    ) {
        let mut regions = regions_with(min_hosts);
        let mut policy = StandInPolicy { keeps_dropped_hosts: true, ..StandInPolicy::default() };
        let mut list = BTreeMap::new();
        // The zone in the last entry of each host that named a known zone or was up.
        let mut zones = BTreeMap::new();
        for step in steps {
            let update = regions.apply(step.full_list, step.entries.clone());
            policy.apply(step.full_list, &update);
            apply_step(&mut list, &step);
            let up = policy.up();
            for entry in list.values().filter(|entry| entry.lifecycle == Lifecycle::Draining) {
                prop_assert!(!up.contains_key(&entry.host), "{} is draining", entry.host);
            }
            for (name, entry) in ring_of(&list, min_hosts) {
                prop_assert_eq!(up.get(&name), Some(&entry));
            }
            for entry in &step.entries {
                let in_region = entry.zone.as_deref().is_some_and(|zone| zone != "x");
                if in_region || entry.lifecycle == Lifecycle::Up {
                    zones.insert(entry.host.clone(), entry.zone.clone());
                }
            }
            for name in up.iter().filter(|(_, entry)| !entry.origin).map(|(name, _)| name) {
                let in_ring = ring_of(&list, min_hosts).contains_key(name);
                prop_assert!(
                    in_ring || policy.hosts[name].dropped,
                    "{name} is neither in the ring nor dropped by the list"
                );
                // A region's name and its zones begin with the same letter.
                let zone = zones[name].as_deref().and_then(|zone| zone.chars().next());
                prop_assert_eq!(zone, regions.ring().chars().next(), "{} is outside the ring", name);
            }
            policy.stop_answering(HOSTS[step.unresponsive]);
            if step.forgets {
                policy.forget_gone().iter().for_each(|name| regions.forget(name));
            }
        }
    }
}
