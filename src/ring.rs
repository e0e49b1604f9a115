//! The consistent-hash ring of the cache hosts. All balancers build the same ring from the hosts'
//! names and weights.
//!
//! The number of points per host is the policy's decision.

use crate::ring_points::{RingPoint, RingPoints};
use crate::types::{HostId, RingPosition};

#[cfg(test)]
mod tests;

/// A host that is to be on the ring.
pub(crate) struct RingHost {
    /// The ring position of the host's name.
    pub(crate) position: RingPosition,
    pub(crate) host: HostId,
    pub(crate) weight: f64,
}

/// The points of a host on the ring; `count` is 0 if the host is not on the ring.
#[derive(Clone, Copy, PartialEq)]
struct HostPoints {
    position: RingPosition,
    weight: f64,
    count: u64,
}

impl HostPoints {
    const NONE: HostPoints = HostPoints { position: RingPosition(0), weight: 0.0, count: 0 };

    /// The points at the positions that derive from the host's name.
    fn points(&self, host: HostId) -> impl Iterator<Item = RingPoint> {
        let position = self.position;
        (1..=self.count).map(move |nth| RingPoint { position: position.mixed(nth).0, host })
    }
}

/// If more than one in this many hosts changed, all points are placed again.
const FULL_REBUILD_DIVISOR: usize = 4;

/// The points of the hosts, ordered by position.
#[derive(Default)]
pub(crate) struct Ring {
    /// Indexed by [`HostId`].
    hosts: Vec<HostPoints>,
    /// The number of hosts that have points.
    host_count: usize,
    /// The points at the positions that derive from the hosts' names.
    raw: RingPoints,
    /// The points as moved by `move_points`; `None` if all hosts have the same weight, since no
    /// point moves then.
    moved: Option<RingPoints>,
}

impl Ring {
    /// Sets the hosts on the ring; `points_of` gives the number of points for a weight. Only the
    /// points of changed hosts are placed again: the list of a growing large fleet changes often by
    /// a few hosts. The cost is one step per host and per point of the changed hosts, plus one per
    /// point if weights differ.
    pub(crate) fn set(&mut self, hosts: &[RingHost], points_of: impl Fn(f64) -> u64) {
        let len = hosts.iter().map(|host| host.host.index() + 1).max().unwrap_or(0);
        let mut current = vec![HostPoints::NONE; len.max(self.hosts.len())];
        for &RingHost { position, host, weight } in hosts {
            current[host.index()] = HostPoints { position, weight, count: points_of(weight) };
        }
        self.hosts.resize(current.len(), HostPoints::NONE);
        let before = std::mem::replace(&mut self.hosts, current);
        self.host_count = self.hosts.iter().filter(|host| host.count > 0).count();
        self.place(&before);
        self.moved = match has_one_weight(hosts) {
            true => None,
            false => Some(self.move_points()),
        };
    }

    /// Places the points of the hosts that changed.
    fn place(&mut self, before: &[HostPoints]) {
        let changed: Vec<usize> = (0..before.len()).filter(|&at| self.hosts[at] != before[at]).collect();
        if changed.len() > self.host_count / FULL_REBUILD_DIVISOR {
            let hosts = (0..).map(HostId).zip(&self.hosts);
            self.raw.replace_all(hosts.flat_map(|(host, points)| points.points(host)));
            return;
        }
        for at in changed {
            let host = HostId(at as u32);
            before[at].points(host).for_each(|point| self.raw.remove(point));
            self.hosts[at].points(host).for_each(|point| self.raw.insert(point));
        }
    }

    /// Moves each point whose host has a higher weight than that of the next point to the middle
    /// between the previous and the next point. Equation 1 of the paper on which the ring is
    /// based is MH_i = (H_i + H_{i+1}) / 2.
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

    /// Whether a host is on the ring.
    pub(crate) fn contains(&self, host: HostId) -> bool {
        self.hosts.get(host.index()).is_some_and(|host| host.count > 0)
    }

    /// The number of hosts on the ring.
    pub(crate) fn host_count(&self) -> usize {
        self.host_count
    }

    /// The first host clockwise from a position.
    pub(crate) fn home(&self, key: RingPosition) -> Option<HostId> {
        self.walk(key).next()
    }

    /// The hosts clockwise from a position; each host appears once per point.
    pub(crate) fn walk(&self, from: RingPosition) -> impl Iterator<Item = HostId> + '_ {
        self.points_from(from).map(|point| point.host)
    }

    /// The hosts clockwise from a position whose points are less than `length` away.
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
