//! The points of a ring ordered by position, in buckets by the leading bits of the position.
//!
//! Positions are hashes, so buckets fill evenly: adding or removing a point takes a search and a
//! shift within one bucket, independent of the total number of points.

use crate::types::HostId;

/// The number of leading bits of a position that select its bucket.
const BUCKET_BITS: u32 = 12;
const BUCKETS: usize = 1 << BUCKET_BITS;

/// A point of a host. Points are ordered by position, and at the same position by host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RingPoint {
    pub(crate) position: u64,
    pub(crate) host: HostId,
}

impl RingPoint {
    fn bucket(self) -> usize {
        bucket_of(self.position)
    }
}

fn bucket_of(position: u64) -> usize {
    (position >> (u64::BITS - BUCKET_BITS)) as usize
}

/// The points of a ring, in order.
#[derive(Default)]
pub(crate) struct RingPoints {
    /// All `BUCKETS` buckets, or none if no point was ever added.
    buckets: Vec<Vec<RingPoint>>,
}

impl RingPoints {
    /// Adds a point.
    pub(crate) fn insert(&mut self, point: RingPoint) {
        self.buckets.resize_with(BUCKETS, Vec::new);
        let bucket = &mut self.buckets[point.bucket()];
        let at = bucket.partition_point(|other| *other < point);
        bucket.insert(at, point);
    }

    /// Removes a point, if present.
    pub(crate) fn remove(&mut self, point: RingPoint) {
        let Some(bucket) = self.buckets.get_mut(point.bucket()) else { return };
        if let Ok(at) = bucket.binary_search(&point) {
            bucket.remove(at);
        }
    }

    /// Replaces all points; the new ones may be in any order.
    pub(crate) fn replace_all(&mut self, points: impl Iterator<Item = RingPoint>) {
        self.buckets.resize_with(BUCKETS, Vec::new);
        self.buckets.iter_mut().for_each(Vec::clear);
        points.for_each(|point| self.buckets[point.bucket()].push(point));
        self.buckets.iter_mut().for_each(|bucket| bucket.sort());
    }

    /// All points in the order of their positions.
    pub(crate) fn iter(&self) -> impl Iterator<Item = RingPoint> + Clone + '_ {
        self.buckets.iter().flatten().copied()
    }

    /// All points clockwise from a position.
    pub(crate) fn clockwise_from(&self, position: u64) -> impl Iterator<Item = RingPoint> + '_ {
        let bucket = bucket_of(position);
        let here = self.buckets.get(bucket).map_or(&[][..], Vec::as_slice);
        let (passed, ahead) = here.split_at(here.partition_point(|point| point.position < position));
        let (wrapped, later) = if self.buckets.is_empty() {
            (&[][..], &[][..])
        } else {
            (&self.buckets[..bucket], &self.buckets[bucket + 1..])
        };
        let around = later.iter().chain(wrapped).flatten();
        ahead.iter().chain(around).chain(passed).copied()
    }
}
