//! What a balancer is told, in the form in which PROXY_CONFIG names it.

use std::net::SocketAddr;

use serde_json::{json, Value};

use crate::script::{zone_name, Experiment, Group, Mode, Repeats};

/// What a balancer of a run has to know of the world before it starts.
#[derive(Clone, Debug)]
pub struct BalancerBootstrap {
    /// Where its discovery agent listens.
    pub discovery: SocketAddr,
    /// The endpoint list as it stands, in the form of a discovery response.
    pub known: Value,
}

/// The whole file for one balancer.
pub fn balancer_config(
    experiment: &Experiment,
    name: &str,
    listen: SocketAddr,
    seat: &BalancerBootstrap,
    seed: u64,
) -> Value {
    json!({
        "name": name,
        "listen": listen.to_string(),
        "discovery": seat.discovery.to_string(),
        "seed": format!("{seed:016x}"),
        "limits": {
            "cores": 1.0,
            "memory_mb": experiment.limits.memory_mb,
            "sockets": experiment.limits.sockets,
        },
        "known": seat.known,
        "settings": settings(experiment),
    })
}

fn settings(experiment: &Experiment) -> Value {
    let Experiment { limits, cold, .. } = experiment;
    let categories: Vec<Value> = experiment
        .categories
        .iter()
        .map(|category| {
            json!({
                "name": category.name,
                "targetLatencyMs": category.target_ms,
                "ttlMs": category.ttl_ms,
                "benefit": category.benefit,
                "tardyBenefit": category.late_benefit,
                "semantics": match category.repeats {
                    Repeats::Redeliverable => "retryable",
                    Repeats::Deduplicated => "dedup",
                    Repeats::AtMostOnce => "fragile",
                },
                "group": match category.group {
                    Group::All => "all",
                    Group::Zone => "zone",
                    Group::Cell => "cell",
                },
                "windowMs": category.window_ms,
            })
        })
        .collect();
    let customers: Vec<Value> = experiment
        .customers
        .iter()
        .map(|customer| json!({"name": customer.name, "quotaPerS": customer.quota_per_s}))
        .collect();
    let zones: Vec<String> = (0..experiment.fleet.zones).map(|zone| zone_name(zone as u32)).collect();
    json!({
        "categories": categories,
        "tenants": customers,
        "dcs": zones,
        "discovery": "push",
        "domain": {
            "mode": if experiment.mode == Mode::Aside { "aside" } else { "through" },
            "originKind": if experiment.mode == Mode::Aside { 1 } else { -1 },
        },
        "machineTypes": ["host", "origin"],
        "groupSize": experiment.balancers,
        "excessBenefit": 0.1,
        "tickMs": 1.0,
        "weights": "nominal",
        "invariants": {
            "coldFrom": cold.from,
            "warmWithinMs": cold.warm_ms,
            "tipMultiple": cold.multiple,
            "tipAfterMs": cold.window_ms,
            "stopSendingWithinMs": experiment.discovery.grace_ms,
            "graceToAnswerMs": 20.0,
        },
        "limits": {
            "maxPushes": limits.max_pushes,
            "mayDuplicate": limits.second_copies,
            "cancel": true,
            "probes": false,
            "retryAfter": limits.come_back_ms > 0.0,
            "maxRetryAfterMs": limits.come_back_ms,
            "connectTimeoutMs": 250.0,
            "keepaliveMs": experiment.fleet.idle_ms,
            "mostHeld": 20_000,
        },
    })
}
