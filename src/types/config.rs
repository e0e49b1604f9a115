//! The configuration of a policy: what the deployment allows, and the operators' settings.

use super::{Endpoint, Micros};

/// The hosts that share a deduplication table: if one of them has executed a request, all of them
/// drop a repeat.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeduplicationScope {
    /// Every host.
    All,
    /// The hosts of one zone.
    Zone,
    /// The hosts of one cell.
    Cell,
}

impl DeduplicationScope {
    /// Whether two hosts drop repeats of each other's requests.
    pub fn includes_both(self, one: &Endpoint, other: &Endpoint) -> bool {
        match self {
            DeduplicationScope::All => true,
            DeduplicationScope::Zone => one.zone == other.zone,
            DeduplicationScope::Cell => one.cell == other.cell,
        }
    }
}

/// When a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Executing the request twice does no harm.
    Idempotent,
    /// Hosts in the scope drop repeats during the deduplication window, which starts when the
    /// attempt that may have run is sent.
    IdempotencyKey {
        /// The hosts that drop repeats of each other's requests.
        scope: DeduplicationScope,
        /// The length of the deduplication window.
        window: Micros,
    },
    /// The request is not sent again once an attempt may have run.
    AtMostOnce,
}

/// The operators' settings for a request class.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer within this latency earns its whole value.
    pub latency_objective: Micros,
    /// The longest time that a client of this class waits.
    pub time_limit: Micros,
    /// The value of an answer within the objective, relative to other classes.
    pub priority_weight: f64,
    /// The fraction of `priority_weight` that an answer past the objective still earns, 0 to 1.
    pub late_weight: f64,
    /// When a request of this class may be sent again.
    pub retry_safety: RetrySafety,
}

/// The operators' settings for a tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// The quota in requests per second over all balancers; 0 means unlimited.
    pub quota_per_s: f64,
}

/// An objective for the tail: its value is earned in full only while few of a class's requests miss
/// the latency objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TailObjective {
    /// The weight of this objective in the total value.
    pub weight: f64,
    /// The fraction of requests that may miss at no loss; at five times as many, nothing is earned.
    pub miss_share: f64,
}

/// How the capacity of a host grows after its start, and which load overloads the host meanwhile.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// The fraction of its full capacity that a host has when it starts, 0 to 1.
    pub initial_capacity: f64,
    /// The time from a host's start to its full capacity.
    pub warm_up_time: Micros,
    /// A host fails if it gets more than this multiple of its current capacity in a window.
    pub overload_multiple: f64,
    /// The length of the window that `overload_multiple` applies to.
    pub overload_window: Micros,
}

impl SlowStart {
    /// The fraction of its full capacity that a host has at least at a given age.
    pub fn minimum_capacity(&self, age: Micros) -> f64 {
        let gained = (1.0 - self.initial_capacity) * age as f64 / self.warm_up_time.max(1) as f64;
        (self.initial_capacity + gained).clamp(self.initial_capacity, 1.0)
    }
}

/// The properties of the deployment, and what it allows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capabilities {
    /// A host that lacks a key answers with a miss, and the balancer fetches from the origin
    /// (cache-aside).
    pub cache_aside: bool,
    /// The endpoint list is sent only to balancers that ask for it.
    pub polls_discovery: bool,
    /// Listed weights are nominal sizes, not live load.
    pub steady_weights: bool,
    /// The most attempts of a request, including the first.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at a time.
    pub hedging: bool,
    /// An attempt in flight can be cancelled.
    pub cancellation: bool,
    /// A host that is missing from the list, but was never listed as draining, may still get
    /// requests.
    pub keeps_dropped_hosts: bool,
}

/// The configuration of a policy.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// The seed of every random draw.
    pub seed: u64,
    /// The number of balancers that share the hosts, including this one.
    pub balancers: u32,
    /// What the deployment allows.
    pub capabilities: Capabilities,
    /// The longest Retry-After that a client honours; `None` where rejections carry none.
    pub max_retry_after: Option<Micros>,
    /// The time resolution of events.
    pub tick: Micros,
    /// The fraction of its value that a request over its tenant's quota earns, 0 to 1.
    pub over_quota_weight: f64,
    /// `None` if the tail has no objective of its own.
    pub tail_objective: Option<TailObjective>,
    /// How hosts warm up.
    pub slow_start: SlowStart,
    /// The classes of requests, by [`RequestClassId`](super::RequestClassId).
    pub classes: Vec<RequestClass>,
    /// The tenants, by [`TenantId`](super::TenantId).
    pub tenants: Vec<Tenant>,
}
