//! The settings object as operators write it. Struct names and serde names are those of the
//! settings file; field names are the router's own terms. Fields that the router does not use are
//! skipped.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The settings of a deployment, as operators write them.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OperatorSettings {
    pub(crate) categories: Vec<Category>,
    /// In the order of their ids.
    #[serde(default, rename = "dcs")]
    pub(crate) zones: Vec<String>,
    /// How the balancer gets the endpoint list: `ask` means that it has to poll discovery.
    #[serde(default)]
    pub(crate) discovery: Option<String>,
    #[serde(default)]
    pub(crate) domain: Option<Domain>,
    #[serde(default, rename = "excessBenefit")]
    pub(crate) over_quota_weight: Option<f64>,
    /// The number of balancers that share the hosts.
    #[serde(default, rename = "groupSize")]
    pub(crate) balancers: Option<u32>,
    pub(crate) invariants: Invariants,
    #[serde(default)]
    pub(crate) objective_mix: ObjectiveMix,
    #[serde(default)]
    pub(crate) costs: BTreeMap<String, f64>,
    #[serde(default)]
    pub(crate) report: Report,
    pub(crate) limits: Limits,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    pub(crate) tenants: Option<Vec<Tenant>>,
    #[serde(default)]
    pub(crate) tick_ms: Option<f64>,
    /// What the weights on the endpoint list are: `live` for current load, `off` for none, anything
    /// else for nominal sizes.
    #[serde(default)]
    pub(crate) weights: Option<String>,
}

impl OperatorSettings {
    /// The machine type of the origin's hosts, if the settings name one.
    pub(crate) fn origin_machine_type(&self) -> Option<&str> {
        let index = self.domain.as_ref()?.origin_kind?;
        let index = usize::try_from(index).ok()?;
        self.machine_types.get(index).map(String::as_str)
    }
}

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Category {
    pub(crate) name: String,
    #[serde(rename = "targetLatencyMs")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "ttlMs")]
    pub(crate) time_limit_ms: f64,
    /// When a request may be retried: `retryable` (always), `fragile` (not once an attempt may have
    /// run) or `dedup` (within the deduplication window).
    pub(crate) semantics: String,
    /// Which hosts share a deduplication record: those of a `zone`, those of a `cell`, or all.
    #[serde(default, rename = "group")]
    pub(crate) deduplication_scope: Option<String>,
    #[serde(default, rename = "windowMs")]
    pub(crate) deduplication_window_ms: Option<f64>,
    #[serde(default, rename = "benefit")]
    pub(crate) priority_weight: Option<f64>,
    #[serde(default, rename = "tardyBenefit")]
    pub(crate) late_weight: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Domain {
    /// `aside` if the balancer itself fetches from the origin what a cache host misses.
    #[serde(default)]
    pub(crate) mode: Option<String>,
    /// The index of the origin's machine type in `machineTypes`; negative for no origin.
    #[serde(default)]
    origin_kind: Option<i64>,
}

/// Settings that hold for all hosts: slow start, overload and drain.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Invariants {
    #[serde(rename = "coldFrom")]
    pub(crate) initial_capacity: f64,
    #[serde(rename = "warmWithinMs")]
    pub(crate) warm_up_time_ms: f64,
    #[serde(rename = "tipMultiple")]
    pub(crate) overload_multiple: f64,
    #[serde(rename = "tipAfterMs")]
    pub(crate) overload_window_ms: f64,
    #[serde(default, rename = "stopSendingWithinMs")]
    pub(crate) drain_grace_ms: Option<f64>,
    #[serde(default, rename = "droppedStayOpen")]
    pub(crate) keeps_dropped_hosts: bool,
}

/// The tail objective: the part of a class's value that is earned in full only while few of its
/// requests miss the latency objective.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ObjectiveMix {
    #[serde(default, rename = "keptPromises")]
    pub(crate) tail_objective_weight: Option<f64>,
    #[serde(default)]
    pub(crate) tail_miss: Option<f64>,
}

/// The mechanisms that the deployment allows, and their limits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Limits {
    #[serde(rename = "maxPushes")]
    pub(crate) max_attempts: u32,
    #[serde(default, rename = "mayDuplicate")]
    pub(crate) hedging: bool,
    #[serde(default, rename = "mayTell")]
    pub(crate) peer_messages: bool,
    #[serde(default)]
    pub(crate) probes: bool,
    #[serde(default, rename = "cancel")]
    pub(crate) cancellation: bool,
    #[serde(default)]
    pub(crate) retry_after: bool,
    #[serde(default)]
    pub(crate) max_retry_after_ms: Option<f64>,
    #[serde(default)]
    pub(crate) connect_timeout_ms: Option<f64>,
    #[serde(default, rename = "keepaliveMs")]
    pub(crate) idle_timeout_ms: Option<f64>,
    #[serde(default, rename = "mostHeld")]
    pub(crate) max_open_requests: Option<usize>,
}

/// Which load figures hosts report, and how.
#[derive(Default, Deserialize)]
pub(crate) struct Report {
    /// `inline`, `on_probe` or `off`.
    #[serde(default)]
    pub(crate) source: Option<String>,
    /// The reported load figures; empty if a probe shows only that the host answers.
    #[serde(default)]
    pub(crate) columns: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Tenant {
    pub(crate) name: String,
    #[serde(default)]
    pub(crate) quota_per_s: Option<f64>,
}
