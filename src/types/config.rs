//! What a policy starts from: what the deployment allows, and what the operators' settings say.

use super::{Endpoint, Micros};

/// Which hosts share a deduplication table, and so drop a repeat of a request that one of them has
/// executed.
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
    /// Whether two hosts drop each other's repeats.
    pub fn joins(self, one: &Endpoint, other: &Endpoint) -> bool {
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
    /// Executing it twice does no harm.
    Idempotent,
    /// Hosts drop repeats inside the scope for the window, counted from when the attempt that may
    /// have run was sent.
    IdempotencyKey {
        /// The hosts that drop each other's repeats.
        scope: DeduplicationScope,
        /// How long they do.
        window: Micros,
    },
    /// Never again once an attempt may have run.
    AtMostOnce,
}

/// What the operators' settings say of a class of requests.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// An answer by then earns its whole value.
    pub latency_objective: Micros,
    /// The longest time that a client of this class waits.
    pub time_limit: Micros,
    /// The value of an answer in time, against that of other classes.
    pub priority_weight: f64,
    /// The part of that value which an answer past the objective still earns, 0 to 1.
    pub late_weight: f64,
    /// When a request of this class may be sent again.
    pub retry_safety: RetrySafety,
}

/// What the operators' settings say of a tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Requests per second inside its quota, over all balancers; 0 for no bound.
    pub quota_per_s: f64,
}

/// A part of the value that a class earns in full only while few of its requests miss the latency
/// objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TailObjective {
    /// Its weight in the result.
    pub weight: f64,
    /// The part of the requests that may miss without loss; nothing is left at five times as much.
    pub miss_share: f64,
}

/// How a host warms up after its start, and what overloads it meanwhile.
#[derive(Clone, Debug, Default)]
pub struct SlowStart {
    /// The part of its capacity that a host has as it starts, 0 to 1.
    pub initial_capacity: f64,
    /// By then it has all of it.
    pub warm_up_time: Micros,
    /// A host fails that gets over so many times its present capacity in a window.
    pub overload_multiple: f64,
    /// The length of that window.
    pub overload_window: Micros,
}

impl SlowStart {
    /// The least part of its capacity that a host has at an age.
    pub fn minimum_capacity(&self, age: Micros) -> f64 {
        let gained = (1.0 - self.initial_capacity) * age as f64 / self.warm_up_time.max(1) as f64;
        (self.initial_capacity + gained).clamp(self.initial_capacity, 1.0)
    }
}

/// What the deployment is like and allows.
#[derive(Clone, Copy, Debug, Default)]
pub struct Capabilities {
    /// A host that lacks a key answers with a miss, and the balancer fetches from the origin
    /// (cache-aside).
    pub cache_aside: bool,
    /// The endpoint list comes only on request.
    pub polls_discovery: bool,
    /// Listed weights are nominal sizes, not live load.
    pub steady_weights: bool,
    /// Attempts that a request may have, the first included.
    pub max_attempts: u32,
    /// Two attempts of one request may be in flight at a time.
    pub hedging: bool,
    /// An attempt in flight can be cancelled.
    pub cancellation: bool,
    /// Only draining binds: a host that the list drops without that may still be sent to.
    pub keeps_dropped_hosts: bool,
}

/// All that a policy starts from.
#[derive(Clone, Debug)]
pub struct PolicyConfig {
    /// The seed of every random draw.
    pub seed: u64,
    /// Balancers that share the hosts, this one included.
    pub balancers: u32,
    /// What the deployment allows.
    pub capabilities: Capabilities,
    /// The longest Retry-After that a client honours; `None` where rejections carry none.
    pub max_retry_after: Option<Micros>,
    /// Events come in steps of this length.
    pub tick: Micros,
    /// The part of the value left for requests past a tenant's quota, 0 to 1.
    pub over_quota_weight: f64,
    /// None where the tail has no objective of its own.
    pub tail_objective: Option<TailObjective>,
    /// How hosts warm up.
    pub slow_start: SlowStart,
    /// The classes of requests, by [`RequestClassId`](super::RequestClassId).
    pub classes: Vec<RequestClass>,
    /// The tenants, by [`TenantId`](super::TenantId).
    pub tenants: Vec<Tenant>,
}
