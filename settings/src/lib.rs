//! The settings object as operators hand it out, read into `PolicyConfig` and the words for ids: once, for the
//! simulator's adapter and for the balancer on sockets. The raw object is not kept.

use std::collections::{BTreeMap, HashMap};

use basaltwood::types::*;
use serde::Deserialize;

/// Milliseconds with fractions to the nearest whole microsecond: the simulator counts in these.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}

/// Numbers texts in the order in which they are first met; numbers that were forgotten go first.
#[derive(Default)]
pub struct IdTable {
    numbers: HashMap<String, u32>,
    pub names: Vec<String>,
    /// Numbers that stand for nothing at the moment.
    free: Vec<u32>,
}

impl IdTable {
    pub fn intern(&mut self, text: &str) -> u32 {
        if let Some(&number) = self.numbers.get(text) {
            return number;
        }
        let number = self.free.pop().unwrap_or(self.names.len() as u32);
        self.numbers.insert(text.to_owned(), number);
        match self.names.get_mut(number as usize) {
            Some(place) => text.clone_into(place),
            None => self.names.push(text.to_owned()),
        }
        number
    }

    /// The number stands for nothing from now on, until a new text gets it; whether it stood for one until
    /// now. The text that it stood for last may have another number since.
    pub fn release(&mut self, number: u32) -> bool {
        let text = &self.names[number as usize];
        let stands = self.numbers.get(text) == Some(&number);
        if stands {
            self.numbers.remove(text);
            self.free.push(number);
        }
        stands
    }

    pub fn lookup(&self, text: &str, what: &str) -> Result<u32, String> {
        self.numbers.get(text).copied().ok_or_else(|| format!("unknown {what} {text}"))
    }
}

fn names(texts: impl IntoIterator<Item = String>) -> IdTable {
    let mut names = IdTable::default();
    texts.into_iter().for_each(|text| {
        names.intern(&text);
    });
    names
}

/// The words of a deployment and the ids that the module knows them by.
pub struct NameTable {
    pub hosts: IdTable,
    zones: IdTable,
    categories: IdTable,
    customers: IdTable,
    origin: Option<String>,
}

/// A host as a list words it.
pub struct EndpointRecord<'a> {
    pub host: &'a str,
    pub zone: Option<&'a str>,
    pub kind: Option<&'a str>,
    pub cell: Option<u32>,
    pub lifecycle: Lifecycle,
    pub weight: Option<f64>,
    pub started_at: Option<Micros>,
}

impl NameTable {
    pub fn new(info: &OperatorSettings) -> NameTable {
        let kind = info.domain.as_ref().and_then(|domain| domain.origin_kind).unwrap_or(-1);
        NameTable {
            hosts: IdTable::default(),
            zones: names(info.dcs.iter().cloned()),
            categories: names(info.categories.iter().map(|category| category.name.clone())),
            customers: names(info.tenants.iter().flatten().map(|tenant| tenant.name.clone())),
            origin: usize::try_from(kind).ok().and_then(|kind| info.machine_types.get(kind).cloned()),
        }
    }

    /// The classes' names, in the order of their ids.
    pub fn class_names(&self) -> Vec<String> {
        self.categories.names.clone()
    }

    pub fn class_id(&self, name: &str) -> Result<RequestClassId, String> {
        self.categories.lookup(name, "category").map(|number| RequestClassId(number as u16))
    }

    pub fn tenant_id(&self, name: &str) -> Option<TenantId> {
        self.customers.lookup(name, "customer").ok().map(|number| TenantId(number as u16))
    }

    /// Whether machines of this kind are the origin's.
    pub fn is_origin(&self, kind: Option<&str>) -> bool {
        self.origin.is_some() && kind == self.origin.as_deref()
    }

    pub fn endpoint(&mut self, entry: &EndpointRecord) -> Endpoint {
        Endpoint {
            host: HostId(self.hosts.intern(entry.host)),
            position: RingPosition::of(entry.host),
            origin: self.is_origin(entry.kind),
            zone: ZoneId(entry.zone.map_or(0, |zone| self.zones.intern(zone))),
            cell: CellId(entry.cell.unwrap_or(0)),
            lifecycle: entry.lifecycle,
            weight: entry.weight.unwrap_or(1.0),
            started_at: entry.started_at,
        }
    }
}

/// What bounds a balancer's connections, where the settings say.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeLimits {
    /// A connection to a host that is not up by then will not come up.
    pub connect_timeout: Micros,
    /// Hosts close a connection that has stood idle for so long.
    pub idle_timeout: Micros,
    /// Ops open at a time.
    pub max_open_requests: usize,
    /// How long a host that leaves may still be sent to. Nothing is; but the news must be here by then.
    pub drain_grace: Micros,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct OperatorSettings {
    categories: Vec<Category>,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    discovery: Option<String>,
    #[serde(default)]
    domain: Option<Domain>,
    #[serde(default)]
    excess_benefit: Option<f64>,
    #[serde(default)]
    group_size: Option<u32>,
    invariants: Invariants,
    #[serde(default)]
    objective_mix: ObjectiveMix,
    #[serde(default)]
    costs: BTreeMap<String, f64>,
    #[serde(default)]
    report: Report,
    limits: Limits,
    #[serde(default)]
    machine_types: Vec<String>,
    #[serde(default)]
    tenants: Option<Vec<Tenant>>,
    #[serde(default)]
    tick_ms: Option<f64>,
    #[serde(default)]
    weights: Option<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Category {
    name: String,
    target_latency_ms: f64,
    ttl_ms: f64,
    semantics: String,
    #[serde(default)]
    group: Option<String>,
    #[serde(default)]
    window_ms: Option<f64>,
    #[serde(default)]
    benefit: Option<f64>,
    #[serde(default)]
    tardy_benefit: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Domain {
    #[serde(default)]
    mode: Option<String>,
    #[serde(default)]
    origin_kind: Option<i64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Invariants {
    cold_from: f64,
    warm_within_ms: f64,
    tip_multiple: f64,
    tip_after_ms: f64,
    #[serde(default)]
    stop_sending_within_ms: Option<f64>,
    #[serde(default)]
    dropped_stay_open: bool,
}

/// Of what counts where the worst stretches count by themselves.
#[derive(Default, Deserialize)]
#[serde(rename_all = "camelCase")]
struct ObjectiveMix {
    #[serde(default)]
    kept_promises: Option<f64>,
    #[serde(default)]
    tail_miss: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Limits {
    max_pushes: u32,
    #[serde(default)]
    may_duplicate: bool,
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    probes: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_ms: Option<f64>,
    #[serde(default)]
    connect_timeout_ms: Option<f64>,
    #[serde(default)]
    keepalive_ms: Option<f64>,
    #[serde(default)]
    most_held: Option<usize>,
}

/// What hosts tell of their load, and when.
#[derive(Default, Deserialize)]
struct Report {
    #[serde(default)]
    source: Option<String>,
    /// None where a probe tells only that the host answers.
    #[serde(default)]
    columns: Vec<String>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: String,
    #[serde(default)]
    quota_per_s: Option<f64>,
}

/// A span of time that makes sense: from nothing to months.
fn span(what: &str, ms: f64) -> Result<Micros, String> {
    if (0.0..1e10).contains(&ms) {
        Ok(micros(ms))
    } else {
        Err(format!("{what}: {ms:?} ms is no span of time"))
    }
}

impl OperatorSettings {
    pub fn runtime_limits(&self) -> RuntimeLimits {
        let given =
            |ms: Option<f64>, default: Micros| ms.filter(|&ms| ms > 0.0 && ms < 1e10).map_or(default, micros);
        RuntimeLimits {
            connect_timeout: given(self.limits.connect_timeout_ms, 250_000),
            idle_timeout: given(self.limits.keepalive_ms, 15_000_000),
            max_open_requests: self.limits.most_held.filter(|&most| most > 0).unwrap_or(20_000),
            drain_grace: given(self.invariants.stop_sending_within_ms, 250_000),
        }
    }

    /// What the deployment allows and no decision makes use of, a line each.
    pub fn ignored_capabilities(&self) -> Vec<String> {
        let told = self.limits.may_tell.then(|| "messages between balancers: each decides alone".to_owned());
        let probed = self.limits.probes && self.report.source.as_deref() == Some("on_probe");
        let columns = self.report.columns.join(", ");
        let load = probed.then(|| format!("load reports to probes ({columns}): answer times tell enough"));
        told.into_iter().chain(load).collect()
    }

    pub fn policy_config(&self, seed: u64) -> Result<PolicyConfig, String> {
        if self.categories.is_empty() {
            return Err("no categories".to_owned());
        }
        let mix = &self.objective_mix;
        for (name, part) in [("keptPromises", mix.kept_promises), ("tailMiss", mix.tail_miss)] {
            if part.is_some_and(|part| !(0.0..=1.0).contains(&part)) {
                return Err(format!("objectiveMix.{name} is no part from 0 to 1"));
            }
        }
        if let Some((name, price)) = self.costs.iter().find(|(_, price)| !(0.0..1e10).contains(*price)) {
            return Err(format!("costs.{name} is {price:?}: a price is 0 or more, leave it out for none"));
        }
        let source = self.report.source.as_deref().unwrap_or("off");
        if !["inline", "on_probe", "off"].contains(&source) {
            return Err(format!("report.source is {source}: say inline, on_probe or off"));
        }
        let category = |category: &Category| {
            let name = &category.name;
            let window = category.window_ms.map(|ms| span(name, ms)).transpose()?;
            let repeats = match (category.semantics.as_str(), window) {
                ("retryable", _) => RetrySafety::Idempotent,
                ("fragile", _) => RetrySafety::AtMostOnce,
                ("dedup", Some(window)) if window > 0 => RetrySafety::IdempotencyKey {
                    scope: match category.group.as_deref() {
                        Some("zone") => DeduplicationScope::Zone,
                        Some("cell") => DeduplicationScope::Cell,
                        _ => DeduplicationScope::All,
                    },
                    window,
                },
                ("dedup", _) => return Err(format!("category {name}: no window for repeats")),
                (other, _) => return Err(format!("category {name}: unknown kind {other}")),
            };
            Ok(RequestClass {
                latency_objective: span(name, category.target_latency_ms)?,
                time_limit: span(name, category.ttl_ms)?,
                priority_weight: category.benefit.unwrap_or(1.0),
                late_weight: category.tardy_benefit.unwrap_or(0.0),
                retry_safety: repeats,
            })
        };
        Ok(PolicyConfig {
            seed,
            balancers: self.group_size.unwrap_or(1).max(1),
            capabilities: Capabilities {
                cache_aside: self.domain.as_ref().and_then(|domain| domain.mode.as_deref()) == Some("aside"),
                polls_discovery: self.discovery.as_deref() == Some("ask"),
                steady_weights: !matches!(self.weights.as_deref(), Some("live" | "off") | None),
                max_attempts: self.limits.max_pushes,
                hedging: self.limits.may_duplicate,
                cancellation: self.limits.cancel,
                keeps_dropped_hosts: self.invariants.dropped_stay_open,
            },
            max_retry_after: self
                .limits
                .max_retry_after_ms
                .filter(|&ms| self.limits.retry_after && ms > 0.0)
                .map(|ms| span("maxRetryAfterMs", ms))
                .transpose()?,
            tick: span("tickMs", self.tick_ms.unwrap_or(1.0))?,
            over_quota_weight: self.excess_benefit.unwrap_or(1.0),
            tail_objective: mix
                .kept_promises
                .filter(|&weight| weight > 0.0)
                .map(|weight| TailObjective { weight, miss: mix.tail_miss.unwrap_or(0.0) }),
            slow_start: SlowStart {
                initial_capacity: self.invariants.cold_from,
                warm_up_time: span("warmWithinMs", self.invariants.warm_within_ms)?,
                overload_multiple: self.invariants.tip_multiple,
                overload_window: span("tipAfterMs", self.invariants.tip_after_ms)?,
            },
            classes: self.categories.iter().map(category).collect::<Result<_, _>>()?,
            tenants: self
                .tenants
                .iter()
                .flatten()
                .map(|tenant| basaltwood::types::Tenant { quota_per_s: tenant.quota_per_s.unwrap_or(0.0) })
                .collect(),
        })
    }
}
