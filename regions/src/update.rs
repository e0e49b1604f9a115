//! Input and output of [`Regions`](crate::Regions).

use basaltwood::types::Lifecycle;

/// A host as the endpoint list describes it.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedHost<T> {
    /// The host's name.
    pub host: Box<str>,
    /// Its zone, if the list names one.
    pub zone: Option<Box<str>>,
    /// Whether it is an origin host.
    pub origin: bool,
    /// Whether it is up, draining or gone.
    pub lifecycle: Lifecycle,
    /// Data that the caller gets back with the entry, such as address and weight.
    pub details: T,
}

/// An event for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RegionEvent {
    /// A cache host is up in a zone that no region has, or in none (`None`). Reported once per
    /// zone.
    UnknownZone(Option<Box<str>>),
    /// Another region became the ring.
    RingChanged {
        /// The former ring region.
        before: String,
        /// The new ring region.
        now: String,
    },
}

/// The result of [`Regions::apply`](crate::Regions::apply).
#[derive(Debug, PartialEq)]
pub struct RingUpdate<T> {
    /// Entries for the policy, in this order; a full list if a full list was applied.
    pub entries: Vec<ListedHost<T>>,
    /// Events for the log.
    pub events: Vec<RegionEvent>,
    /// The number of up hosts that entered the ring, including those of the first list.
    pub hosts_added: usize,
    /// The number of up hosts that left the ring, because their zone or the ring changed.
    pub hosts_removed: usize,
}

impl<T> Default for RingUpdate<T> {
    fn default() -> RingUpdate<T> {
        RingUpdate { entries: Vec::new(), events: Vec::new(), hosts_added: 0, hosts_removed: 0 }
    }
}

/// Numbers of listed cache hosts by region; origin hosts are not counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RegionCounts {
    /// Hosts in the ring's region, including draining ones.
    pub in_ring: usize,
    /// Hosts outside the ring's region.
    pub outside_ring: usize,
    /// Hosts outside the ring's region whose zone is in no region.
    pub unmapped_hosts: usize,
    /// Zones without a region that were reported so far.
    pub unmapped_zones: usize,
}
