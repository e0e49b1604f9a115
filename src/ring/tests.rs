//! Compares a ring that is changed step by step with one that is built from scratch.

use proptest::prelude::*;

use super::{Ring, RingHost};
use crate::types::{HostId, RingPosition};

/// The number of points of a host with this weight.
fn points_of(weight: f64) -> u64 {
    (4.0 * weight) as u64
}

fn host(number: u32, weight: f64) -> RingHost {
    RingHost { position: RingPosition::of(&format!("host-{number}")), host: HostId(number), weight }
}

/// The points of the hosts after `Ring::move_points`, computed directly from its definition.
fn reference(hosts: &[RingHost]) -> Vec<(u64, HostId)> {
    let mut raw: Vec<(u64, HostId, f64)> = Vec::new();
    for host in hosts {
        let points = (1..=points_of(host.weight)).map(|nth| host.position.mixed(nth).0);
        raw.extend(points.map(|position| (position, host.host, host.weight)));
    }
    raw.sort_by_key(|point| (point.0, point.1));
    let count = raw.len();
    let moved = (0..count).map(|at| {
        let (before, here, next) = (raw[(at + count - 1) % count], raw[at], raw[(at + 1) % count]);
        if here.1 == next.1 || here.2 <= next.2 {
            return (here.0, here.1);
        }
        (before.0.wrapping_add(next.0.wrapping_sub(before.0) / 2), here.1)
    });
    let mut moved: Vec<(u64, HostId)> = moved.collect();
    moved.sort_unstable();
    moved
}

/// The weights of the hosts on the ring; `None` for hosts that are not on it.
fn fleet() -> impl Strategy<Value = Vec<Option<u8>>> {
    proptest::collection::vec(proptest::option::of(1_u8..4), 0..12)
}

proptest! {
    #[test]
    fn ring_changed_step_by_step_equals_ring_built_from_scratch(fleets in proptest::collection::vec(fleet(), 1..6)) {
        let mut ring = Ring::default();
        for fleet in fleets {
            let present = fleet.iter().enumerate().filter_map(|(at, weight)| Some((at as u32, (*weight)?)));
            let hosts: Vec<RingHost> =
                present.map(|(number, weight)| host(number, f64::from(weight))).collect();
            ring.set(&hosts, points_of);

            let points: Vec<(u64, HostId)> =
                ring.points_from(RingPosition(0)).map(|point| (point.position, point.host)).collect();
            prop_assert_eq!(points, reference(&hosts));
            prop_assert_eq!(ring.host_count(), hosts.len());
        }
    }

    #[test]
    fn walk_from_any_position_visits_each_point_once(from in any::<u64>(), hosts in 0_u32..12) {
        let mut ring = Ring::default();
        let hosts: Vec<RingHost> = (0..hosts).map(|number| host(number, 2.0)).collect();
        ring.set(&hosts, points_of);

        let reference = reference(&hosts);
        let start = reference.partition_point(|point| point.0 < from);
        let around: Vec<HostId> =
            reference[start..].iter().chain(&reference[..start]).map(|point| point.1).collect();
        prop_assert_eq!(ring.walk(RingPosition(from)).collect::<Vec<_>>(), around);
    }
}
