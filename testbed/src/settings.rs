//! The PROXY_CONFIG file of a balancer that takes part in a run.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::experiment::{
    zone_name, CacheMode, Category, DeduplicationScope, Experiment, RetrySafety, Tenant,
};

/// The part of a balancer's configuration that depends on the running world.
#[derive(Clone, Debug)]
pub struct BalancerBootstrap {
    /// The address of its discovery agent.
    pub discovery: SocketAddr,
    /// The current endpoint list, in the form of a discovery response.
    pub known: Value,
}

/// The whole configuration of one balancer, which listens on `listen` and seeds its random numbers
/// with `seed`.
pub fn balancer_config(
    experiment: &Experiment,
    name: &str,
    listen: SocketAddr,
    bootstrap: &BalancerBootstrap,
    seed: u64,
) -> Value {
    json!({
        "name": name,
        "listen": listen.to_string(),
        "discovery": bootstrap.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {
            "cores": 1.0,
            "memory_mb": experiment.limits.memory_mb,
            "sockets": experiment.limits.sockets,
        },
        "known": bootstrap.known,
        "settings": settings(experiment),
    })
}

/// The `settings` object, which operators write in production.
fn settings(experiment: &Experiment) -> Value {
    let Experiment { slow_start, .. } = experiment;
    let classes: Vec<Value> = experiment.categories.iter().map(class_settings).collect();
    let zones: Vec<String> = (0..experiment.fleet.zones).map(|zone| zone_name(zone as u32)).collect();
    json!({
        "categories": classes,
        "tenants": experiment.customers.iter().map(tenant_settings).collect::<Vec<Value>>(),
        "dcs": zones,
        "discovery": "push",
        "domain": {
            "mode": if experiment.mode == CacheMode::Aside { "aside" } else { "through" },
            "originKind": if experiment.mode == CacheMode::Aside { 1 } else { -1 },
        },
        "machineTypes": ["host", "origin"],
        "groupSize": experiment.balancers,
        "excessBenefit": 0.1,
        "tickMs": 1.0,
        "weights": "nominal",
        "invariants": {
            "coldFrom": slow_start.from,
            "warmWithinMs": slow_start.warm_ms,
            "tipMultiple": slow_start.multiple,
            "tipAfterMs": slow_start.window_ms,
            "stopSendingWithinMs": experiment.discovery.grace_ms,
            "graceToAnswerMs": 20.0,
        },
        "limits": limit_settings(experiment),
    })
}

fn class_settings(class: &Category) -> Value {
    json!({
        "name": class.name,
        "targetLatencyMs": class.target_ms,
        "ttlMs": class.ttl_ms,
        "benefit": class.benefit,
        "tardyBenefit": class.late_benefit,
        "semantics": match class.retry_safety {
            RetrySafety::Idempotent => "retryable",
            RetrySafety::Deduplicated => "dedup",
            RetrySafety::AtMostOnce => "fragile",
        },
        "group": match class.deduplication_scope {
            DeduplicationScope::All => "all",
            DeduplicationScope::Zone => "zone",
            DeduplicationScope::Cell => "cell",
        },
        "windowMs": class.window_ms,
    })
}

fn tenant_settings(tenant: &Tenant) -> Value {
    json!({"name": tenant.name, "quotaPerS": tenant.quota_per_s})
}

fn limit_settings(experiment: &Experiment) -> Value {
    let limits = &experiment.limits;
    json!({
        "maxPushes": limits.max_attempts,
        "mayDuplicate": limits.may_hedge,
        "cancel": true,
        "probes": false,
        "retryAfter": limits.max_retry_after_ms > 0.0,
        "maxRetryAfterMs": limits.max_retry_after_ms,
        "connectTimeoutMs": experiment.fleet.connect_timeout_ms,
        "keepaliveMs": experiment.fleet.idle_ms,
        "mostHeld": 20_000,
    })
}
