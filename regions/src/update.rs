//! What goes into [`Regions`](crate::Regions) and what comes out.

use basaltwood::types::Lifecycle;

/// A host as a list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost<T> {
    /// Its name.
    pub host: Box<str>,
    /// Its zone, where the list names one.
    pub zone: Option<Box<str>>,
    /// Whether it is the origin's.
    pub origin: bool,
    /// Whether it is up, draining or gone.
    pub lifecycle: Lifecycle,
    /// What the caller wants back with it: address, weight and the like.
    pub details: T,
}

/// Something that is worth a line of the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegionEvent {
    /// No region names this zone, or an entry names none; reported once for each zone.
    UnknownZone(Option<Box<str>>),
    /// The ring is another region's hosts from now on.
    RingChanged {
        /// The region whose hosts were the ring.
        before: String,
        /// The region whose hosts are the ring.
        now: String,
    },
}

/// What the policy is to see, in this order; a full list where a full list came in.
#[derive(Debug, PartialEq)]
pub struct RingUpdate<T> {
    /// The entries for the policy.
    pub entries: Vec<ListedHost<T>>,
    /// Events for the log.
    pub events: Vec<RegionEvent>,
    /// Hosts that are up and came into the ring, including those of the first list.
    pub hosts_added: usize,
    /// Hosts that are up and were taken out of it: they moved, or the ring did.
    pub hosts_removed: usize,
}

impl<T> Default for RingUpdate<T> {
    fn default() -> RingUpdate<T> {
        RingUpdate { entries: Vec::new(), events: Vec::new(), hosts_added: 0, hosts_removed: 0 }
    }
}

/// The number of cache hosts on the list by where they are; the origin's hosts are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionCounts {
    /// Hosts of the ring's region, including those that drain.
    pub in_ring: usize,
    /// All other hosts.
    pub outside_ring: usize,
    /// Those of the other hosts whose zone is in no region.
    pub unmapped_hosts: usize,
    /// Zones without a region that the list has named so far.
    pub unmapped_zones: usize,
}
