//! Conversion of the settings to the policy's configuration.

use basaltwood::types::{
    Capabilities, DeduplicationScope, Micros, PolicyConfig, RequestClass, RetrySafety, SlowStart,
    TailObjective, Tenant,
};

use crate::operator_settings::{Category, ObjectiveMix};
use crate::runtime_limits::MAX_DURATION_MS;
use crate::{micros, OperatorSettings, SettingsError};

/// Prices at or above this are rejected as mistakes.
const MAX_PRICE: f64 = 1e10;

const REPORT_SOURCES: [&str; 3] = ["inline", REPORT_ON_PROBE, REPORT_OFF];
const REPORT_ON_PROBE: &str = "on_probe";
const REPORT_OFF: &str = "off";

impl OperatorSettings {
    /// The policy's configuration, with the seed of its random draws.
    ///
    /// # Errors
    /// The first value in the settings that can't be used.
    pub fn policy_config(&self, seed: u64) -> Result<PolicyConfig, SettingsError> {
        self.check()?;
        Ok(PolicyConfig {
            seed,
            balancers: self.balancers.unwrap_or(1).max(1),
            capabilities: self.capabilities(),
            max_retry_after: self.max_retry_after()?,
            tick: duration("tickMs", self.tick_ms.unwrap_or(1.0))?,
            over_quota_weight: self.over_quota_weight.unwrap_or(1.0),
            tail_objective: self.objective_mix.tail_objective(),
            slow_start: self.slow_start()?,
            classes: self.categories.iter().map(Category::request_class).collect::<Result<_, _>>()?,
            tenants: self.policy_tenants(),
        })
    }

    /// The mechanisms that the deployment allows but the policy does not use, one log line each.
    pub fn ignored_capabilities(&self) -> Vec<String> {
        let mut ignored = Vec::new();
        if self.limits.peer_messages {
            ignored.push("messages between balancers: each balancer decides on its own".to_owned());
        }
        if self.limits.probes && self.report.source.as_deref() == Some(REPORT_ON_PROBE) {
            let columns = self.report.columns.join(", ");
            ignored.push(format!(
                "load reports to probes ({columns}): the policy relies on response times instead"
            ));
        }
        ignored
    }

    /// Checks the settings that the conversion itself does not check.
    fn check(&self) -> Result<(), SettingsError> {
        if self.categories.is_empty() {
            return Err(SettingsError::NoCategories);
        }
        self.objective_mix.check()?;
        let is_invalid = |price: f64| !(0.0..MAX_PRICE).contains(&price);
        if let Some((name, &price)) = self.costs.iter().find(|(_, &price)| is_invalid(price)) {
            return Err(SettingsError::InvalidPrice { name: name.clone(), price });
        }
        let source = self.report.source.as_deref().unwrap_or(REPORT_OFF);
        if !REPORT_SOURCES.contains(&source) {
            return Err(SettingsError::UnknownReportSource { source_name: source.to_owned() });
        }
        Ok(())
    }

    fn capabilities(&self) -> Capabilities {
        let mode = self.domain.as_ref().and_then(|domain| domain.mode.as_deref());
        Capabilities {
            cache_aside: mode == Some("aside"),
            polls_discovery: self.discovery.as_deref() == Some("ask"),
            steady_weights: !matches!(self.weights.as_deref(), Some("live" | "off") | None),
            max_attempts: self.limits.max_attempts,
            hedging: self.limits.hedging,
            cancellation: self.limits.cancellation,
            keeps_dropped_hosts: self.invariants.keeps_dropped_hosts,
        }
    }

    /// `None` if rejections carry no Retry-After.
    fn max_retry_after(&self) -> Result<Option<Micros>, SettingsError> {
        if !self.limits.retry_after {
            return Ok(None);
        }
        let max_ms = self.limits.max_retry_after_ms.filter(|&ms| ms > 0.0);
        max_ms.map(|ms| duration("maxRetryAfterMs", ms)).transpose()
    }

    fn slow_start(&self) -> Result<SlowStart, SettingsError> {
        Ok(SlowStart {
            initial_capacity: self.invariants.initial_capacity,
            warm_up_time: duration("warmWithinMs", self.invariants.warm_up_time_ms)?,
            overload_multiple: self.invariants.overload_multiple,
            overload_window: duration("tipAfterMs", self.invariants.overload_window_ms)?,
        })
    }

    fn policy_tenants(&self) -> Vec<Tenant> {
        let tenants = self.tenants.iter().flatten();
        tenants.map(|tenant| Tenant { quota_per_s: tenant.quota_per_s.unwrap_or(0.0) }).collect()
    }
}

impl ObjectiveMix {
    fn check(&self) -> Result<(), SettingsError> {
        for (field, value) in [("keptPromises", self.tail_objective_weight), ("tailMiss", self.tail_miss)] {
            if let Some(value) = value.filter(|value| !(0.0..=1.0).contains(value)) {
                return Err(SettingsError::InvalidObjectiveFraction { field, value });
            }
        }
        Ok(())
    }

    /// `None` if the tail objective has no weight.
    fn tail_objective(&self) -> Option<TailObjective> {
        let weight = self.tail_objective_weight.filter(|&weight| weight > 0.0)?;
        Some(TailObjective { weight, miss_share: self.tail_miss.unwrap_or(0.0) })
    }
}

impl Category {
    fn request_class(&self) -> Result<RequestClass, SettingsError> {
        let retry_safety = self.retry_safety()?;
        Ok(RequestClass {
            latency_objective: duration(&self.name, self.latency_objective_ms)?,
            time_limit: duration(&self.name, self.time_limit_ms)?,
            priority_weight: self.priority_weight.unwrap_or(1.0),
            late_weight: self.late_weight.unwrap_or(0.0),
            retry_safety,
        })
    }

    fn retry_safety(&self) -> Result<RetrySafety, SettingsError> {
        let window = self.deduplication_window_ms.map(|ms| duration(&self.name, ms)).transpose()?;
        match self.semantics.as_str() {
            "retryable" => Ok(RetrySafety::Idempotent),
            "fragile" => Ok(RetrySafety::AtMostOnce),
            "dedup" => match window.filter(|&window| window > 0) {
                Some(window) => Ok(RetrySafety::IdempotencyKey { scope: self.scope(), window }),
                None => Err(SettingsError::NoDeduplicationWindow { category: self.name.clone() }),
            },
            unknown => Err(SettingsError::UnknownSemantics {
                category: self.name.clone(),
                semantics: unknown.to_owned(),
            }),
        }
    }

    fn scope(&self) -> DeduplicationScope {
        match self.deduplication_scope.as_deref() {
            Some("zone") => DeduplicationScope::Zone,
            Some("cell") => DeduplicationScope::Cell,
            _ => DeduplicationScope::All,
        }
    }
}

/// Converts a duration of the settings to microseconds. In the error, `what` names the field, or
/// for the three durations of a category only the category.
fn duration(what: &str, ms: f64) -> Result<Micros, SettingsError> {
    if (0.0..MAX_DURATION_MS).contains(&ms) {
        Ok(micros(ms))
    } else {
        Err(SettingsError::InvalidDuration { what: what.to_owned(), ms })
    }
}
