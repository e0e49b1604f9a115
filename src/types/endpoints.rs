//! Hosts as the endpoint list shows them, and what a balancer learns about them.

use super::{CellId, HostId, Micros, RingPosition, ZoneId};

/// The lifecycle state of a host in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lifecycle {
    /// The host accepts requests.
    Up,
    /// The host finishes its requests and accepts no new ones.
    Draining,
    /// The host is no longer listed.
    Gone,
}

/// A host as the endpoint list shows it.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The number of the host at this balancer.
    pub host: HostId,
    /// The ring position of the host's name.
    pub position: RingPosition,
    /// Whether this is an origin rather than a cache host.
    pub origin: bool,
    /// The failure domain of the host.
    pub zone: ZoneId,
    /// The cell of the host, which may bound deduplication.
    pub cell: CellId,
    /// The lifecycle state of the host.
    pub lifecycle: Lifecycle,
    /// The nominal size of the host relative to others.
    pub weight: f64,
    /// The start time of the host's process, if listed.
    pub started_at: Option<Micros>,
}

/// The concurrency limit that a balancer has learned for a host, handed to its successor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LearnedLimit {
    /// The ring position of the host's name.
    pub position: RingPosition,
    /// How many attempts may be in flight at the host.
    pub limit: f64,
}

/// The number of cache hosts by state, for operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PoolSize {
    /// Listed cache hosts, including draining ones.
    pub listed: usize,
    /// Listed cache hosts that are suspected, or avoided since their zone is unreachable. They get
    /// attempts only if no other host is usable, each host one at a time.
    pub ejected: usize,
    /// Listed cache hosts that are in slow start.
    pub warming_up: usize,
}

/// The cost of selecting hosts for attempts, in steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SelectionWork {
    /// Hosts that were assessed.
    pub hosts: u64,
    /// Ring points and hot-key holders that were visited.
    pub points: u64,
}
