//! The settings object as operators write it. Struct names and the names that serde reads are the
//! file's; fields have the names of the router's own terms. Fields that the router makes no use of
//! are skipped.

use std::collections::BTreeMap;

use serde::Deserialize;

/// The settings of a deployment, as operators hand them out.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OperatorSettings {
    pub(crate) categories: Vec<Category>,
    /// In the order of their ids.
    #[serde(default, rename = "dcs")]
    pub(crate) zones: Vec<String>,
    /// How the endpoint list comes; `ask` where it comes only when asked for.
    #[serde(default)]
    pub(crate) discovery: Option<String>,
    #[serde(default)]
    pub(crate) domain: Option<Domain>,
    #[serde(default, rename = "excessBenefit")]
    pub(crate) over_quota_weight: Option<f64>,
    /// How many balancers share the hosts.
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
    /// What the listed weights are: live load, `off`, or nominal sizes.
    #[serde(default)]
    pub(crate) weights: Option<String>,
}

impl OperatorSettings {
    /// The machine type of the origin's hosts, where the settings name one.
    pub(crate) fn origin_machine_type(&self) -> Option<&str> {
        let index = self.domain.as_ref()?.origin_kind?;
        let index = usize::try_from(index).ok()?;
        self.machine_types.get(index).map(String::as_str)
    }
}

/// A class of requests.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct Category {
    pub(crate) name: String,
    #[serde(rename = "targetLatencyMs")]
    pub(crate) latency_objective_ms: f64,
    #[serde(rename = "ttlMs")]
    pub(crate) time_limit_ms: f64,
    /// When a request may be sent again: `retryable`, `fragile` or `dedup`.
    pub(crate) semantics: String,
    /// Which hosts deduplicate together: those of a `zone`, of a `cell`, or all.
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
    /// `aside` where the balancer asks the origin for what a cache host lacks.
    #[serde(default)]
    pub(crate) mode: Option<String>,
    /// The place of the origin's machine type among the machine types; negative for no origin.
    #[serde(default)]
    origin_kind: Option<i64>,
}

/// What holds for all hosts.
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

/// The parts of the result where the worst stretches count by themselves.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(crate) struct ObjectiveMix {
    #[serde(default, rename = "keptPromises")]
    pub(crate) tail_objective_weight: Option<f64>,
    #[serde(default)]
    pub(crate) tail_miss: Option<f64>,
}

/// What the deployment allows, and its bounds.
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

/// What hosts report of their load, and when.
#[derive(Default, Deserialize)]
pub(crate) struct Report {
    /// `inline`, `on_probe` or `off`.
    #[serde(default)]
    pub(crate) source: Option<String>,
    /// Empty where a probe shows only that the host answers.
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
