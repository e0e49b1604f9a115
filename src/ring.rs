//! The ring of homes, built alike by every balancer from the hosts' names and weights. It orders what it is given:
//! how many points a host gets `rules` decides.

use crate::types::{HostId, RingPosition};

#[derive(Default)]
pub struct Ring {
    /// Each host's weight and number of points; no points for those that are not on the ring.
    hosts: Vec<(f64, u64)>,
    /// Each host's points where its name put them, in the ring's order.
    raw: Vec<(u64, HostId)>,
    /// The same after Equation 1.
    points: Vec<(u64, HostId)>,
}

impl Ring {
    /// Takes the hosts as they now are, each with its weight, and the points that a weight gets. Only what came
    /// or went is sorted anew: in a large fleet that grows the list tells of a few hosts again and again.
    pub fn set(&mut self, hosts: &[(RingPosition, HostId, f64)], points: impl Fn(f64) -> u64) {
        let known = hosts.iter().map(|host| host.1 .0 as usize + 1).max().unwrap_or(0).max(self.hosts.len());
        let mut now = vec![(0.0, 0); known];
        hosts.iter().for_each(|host| now[host.1 .0 as usize] = (host.2, points(host.2)));
        self.hosts.resize(known, (0.0, 0));
        let stays = |host: HostId| now[host.0 as usize] == self.hosts[host.0 as usize];
        self.raw.retain(|point| stays(point.1));
        for &(position, host, _) in hosts.iter().filter(|host| !stays(host.1)) {
            let points = now[host.0 as usize].1;
            self.raw.extend((1..=points).map(|nth| (position.mixed(nth).0, host)));
        }
        self.hosts = now;
        self.raw.sort();
        let (raw, count) = (&self.raw, self.raw.len());
        let points = (0..count).map(|i| {
            let (before, here, next) = (raw[(i + count - 1) % count], raw[i], raw[(i + 1) % count]);
            // Equation 1: MH_i = (H_i + H_{i+1}) / 2 for a host weighted above its next.
            let weight = |host: HostId| self.hosts[host.0 as usize].0;
            let moved = if here.1 != next.1 && weight(here.1) > weight(next.1) {
                before.0.wrapping_add(next.0.wrapping_sub(before.0) / 2)
            } else {
                here.0
            };
            (moved, here.1)
        });
        self.points = points.collect();
        self.points.sort();
    }

    pub fn holds(&self, host: HostId) -> bool {
        self.hosts.get(host.0 as usize).is_some_and(|host| host.1 > 0)
    }

    /// How many hosts are on it.
    pub fn hosts(&self) -> usize {
        self.hosts.iter().filter(|host| host.1 > 0).count()
    }

    /// The hosts clockwise from a place; a host comes once for each of its points.
    pub fn walk(&self, from: RingPosition) -> impl Iterator<Item = (u64, HostId)> + '_ {
        let start = self.points.partition_point(|point| point.0 < from.0);
        self.points[start..].iter().chain(&self.points[..start]).copied()
    }
}
