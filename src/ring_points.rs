//! Points of a ring in the order of their positions, in buckets by the first bits of a position.
//!
//! Positions are hashes, so buckets fill evenly: adding or removing a point costs a search and a
//! shift in one bucket, however many points there are.

use crate::types::HostId;

/// The first bits of a position that choose its bucket.
const BUCKET_BITS: u32 = 12;
const BUCKETS: usize = 1 << BUCKET_BITS;

/// One point of a host. Points order by position, and by host where two fall together.
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

/// The points, in order.
#[derive(Default)]
pub(crate) struct RingPoints {
    /// All of them, or none where there is no point yet.
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

    /// Takes a point out, if it is there.
    pub(crate) fn remove(&mut self, point: RingPoint) {
        let Some(bucket) = self.buckets.get_mut(point.bucket()) else { return };
        if let Ok(at) = bucket.binary_search(&point) {
            bucket.remove(at);
        }
    }

    /// Puts these in the place of all that are there, in any order.
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
