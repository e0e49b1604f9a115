//! The consistent ring of the cache hosts, built alike by every balancer from the hosts' names and
//! weights.
//!
//! It orders what it is given; how many points a host gets is the policy's decision.

use crate::ring_points::{RingPoint, RingPoints};
use crate::types::{HostId, RingPosition};

#[cfg(test)]
mod tests;

/// A host as the ring takes it.
pub(crate) struct RingHost {
    /// The position of its name.
    pub(crate) position: RingPosition,
    pub(crate) host: HostId,
    pub(crate) weight: f64,
}

/// A host's place on the ring; no points for one that is not on it.
#[derive(Clone, Copy, PartialEq)]
struct HostPoints {
    position: RingPosition,
    weight: f64,
    count: u64,
}

impl HostPoints {
    const NONE: HostPoints = HostPoints { position: RingPosition(0), weight: 0.0, count: 0 };

    /// Where its name puts its points.
    fn points(&self, host: HostId) -> impl Iterator<Item = RingPoint> {
        let position = self.position;
        (1..=self.count).map(move |nth| RingPoint { position: position.mixed(nth).0, host })
    }
}

/// More changed hosts than one in so many have all points placed anew.
const FULL_REBUILD_DIVISOR: usize = 4;

/// The hosts' points in the order of their positions.
#[derive(Default)]
pub(crate) struct Ring {
    /// By [`HostId`].
    hosts: Vec<HostPoints>,
    /// Those of them that have points.
    host_count: usize,
    /// Each host's points where its name put them.
    raw: RingPoints,
    /// The same after Equation 1; none where all hosts have one weight, as it moves no point then.
    moved: Option<RingPoints>,
}

impl Ring {
    /// Takes the hosts as they now are, and the number of points that a weight gets. Only what came
    /// or went is placed anew: in a large fleet that grows, the list changes by a few hosts again
    /// and again. It costs a step for each host and for each point of those that changed, and where
    /// weights differ one for each point.
    pub(crate) fn set(&mut self, hosts: &[RingHost], points_of: impl Fn(f64) -> u64) {
        let named = hosts.iter().map(|host| host.host.index() + 1).max().unwrap_or(0);
        let mut now = vec![HostPoints::NONE; named.max(self.hosts.len())];
        for &RingHost { position, host, weight } in hosts {
            now[host.index()] = HostPoints { position, weight, count: points_of(weight) };
        }
        self.hosts.resize(now.len(), HostPoints::NONE);
        let before = std::mem::replace(&mut self.hosts, now);
        self.host_count = self.hosts.iter().filter(|host| host.count > 0).count();
        self.place(&before);
        self.moved = match has_one_weight(hosts) {
            true => None,
            false => Some(self.move_points()),
        };
    }

    /// Places the points of the hosts that are not as they were before.
    fn place(&mut self, before: &[HostPoints]) {
        let changed: Vec<usize> = (0..before.len()).filter(|&at| self.hosts[at] != before[at]).collect();
        if changed.len() > self.host_count / FULL_REBUILD_DIVISOR {
            let hosts = (0..).map(HostId).zip(&self.hosts);
            self.raw.replace_all(hosts.flat_map(|(host, place)| place.points(host)));
            return;
        }
        for at in changed {
            let host = HostId(at as u32);
            before[at].points(host).for_each(|point| self.raw.remove(point));
            self.hosts[at].points(host).for_each(|point| self.raw.insert(point));
        }
    }

    /// All points after Equation 1: MH_i = (H_i + H_{i+1}) / 2 for a host weighted above its next.
    fn move_points(&mut self) -> RingPoints {
        let weight = |point: RingPoint| self.hosts[point.host.index()].weight;
        let previous_points = self.raw.iter().last().into_iter().chain(self.raw.iter());
        let next_points = self.raw.iter().skip(1).chain(self.raw.iter().take(1));
        let moved = previous_points.zip(self.raw.iter()).zip(next_points).map(|((before, here), next)| {
            if here.host == next.host || weight(here) <= weight(next) {
                return here;
            }
            let halfway = next.position.wrapping_sub(before.position) / 2;
            RingPoint { position: before.position.wrapping_add(halfway), host: here.host }
        });
        let mut points = self.moved.take().unwrap_or_default();
        points.replace_all(moved);
        points
    }

    /// Whether a host is on it.
    pub(crate) fn holds(&self, host: HostId) -> bool {
        self.hosts.get(host.index()).is_some_and(|host| host.count > 0)
    }

    /// How many hosts are on it.
    pub(crate) fn host_count(&self) -> usize {
        self.host_count
    }

    /// The first host from a position on.
    pub(crate) fn home(&self, key: RingPosition) -> Option<HostId> {
        self.walk(key).next()
    }

    /// The hosts clockwise from a position; a host comes once for each of its points.
    pub(crate) fn walk(&self, from: RingPosition) -> impl Iterator<Item = HostId> + '_ {
        self.points_from(from).map(|point| point.host)
    }

    /// The same for the points that lie less than a length away.
    pub(crate) fn walk_range(&self, from: RingPosition, length: u64) -> impl Iterator<Item = HostId> + '_ {
        let points = self.points_from(from);
        let in_range = points.take_while(move |point| point.position.wrapping_sub(from.0) < length);
        in_range.map(|point| point.host)
    }

    fn points_from(&self, from: RingPosition) -> impl Iterator<Item = RingPoint> + '_ {
        self.moved.as_ref().unwrap_or(&self.raw).clockwise_from(from.0)
    }
}

fn has_one_weight(hosts: &[RingHost]) -> bool {
    hosts.windows(2).all(|pair| pair[0].weight == pair[1].weight)
}
