//! The experiment file (TOML) and its checks. The suffix of a field's name gives its unit: `_s`
//! seconds, `_ms` milliseconds. Unknown fields are rejected with their line.

mod arms;
mod check;
mod error;
mod faults;
mod fleet;
mod load;

use std::path::Path;

use serde::Deserialize;

pub use self::arms::{Arm, Baseline};
pub use self::check::allowed_descriptors;
pub use self::error::{ExperimentError, InvalidExperiment};
pub use self::faults::{AllHosts, Fault, FaultKind, HostSelection};
pub use self::fleet::{Discovery, Fleet, Origin, ServiceTime, SlowStart, TimeDistribution};
pub use self::load::{Arrivals, ClientRetry, GiveUp, HotKey, Load, RateShape, TenantFlood, WorkingSetShift};
use crate::lateness::LatenessBounds;
use crate::time::{millis, seconds, Micros};

/// An experiment, as written in its file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of the experiment and of its result folder.
    pub name: String,
    /// A description of the experiment's purpose.
    #[serde(default)]
    pub about: String,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// The seeds; each arm is played with each seed.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// The number of balancers that share the load.
    #[serde(default = "default_balancers")]
    pub balancers: usize,
    /// Who fetches missing keys from the origin.
    #[serde(default)]
    pub mode: CacheMode,
    /// The balancers' resource and retry limits.
    #[serde(default)]
    pub limits: BalancerLimits,
    /// The request classes.
    pub categories: Vec<Category>,
    /// The tenants; if empty, requests name no tenant.
    #[serde(default)]
    pub customers: Vec<Tenant>,
    /// How hosts warm up after their start.
    #[serde(default, rename = "cold")]
    pub slow_start: SlowStart,
    /// The cache hosts.
    pub fleet: Fleet,
    /// The origin.
    #[serde(default)]
    pub origin: Origin,
    /// Discovery.
    #[serde(default)]
    pub discovery: Discovery,
    /// The requests that clients send.
    pub load: Load,
    /// The injected faults.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// The arms to compare; if empty, the balancer in the testbed's own folder is the only arm.
    #[serde(default)]
    pub arms: Vec<Arm>,
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

fn default_balancers() -> usize {
    2
}

/// Who fetches missing keys from the origin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheMode {
    /// Cache-aside: the balancer fetches them, and writes go to the origin.
    #[default]
    Aside,
    /// Read-through: the cache hosts fetch them.
    Through,
}

/// A balancer's resource and retry limits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancerLimits {
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Sockets: the sum of listeners and connections.
    pub sockets: usize,
    /// The largest number of attempts for one request.
    #[serde(rename = "max_pushes")]
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight at the same time.
    #[serde(rename = "second_copies")]
    pub may_hedge: bool,
    /// The longest Retry-After of a rejection; 0 for rejections without one.
    #[serde(rename = "come_back_ms")]
    pub max_retry_after_ms: f64,
}

impl Default for BalancerLimits {
    fn default() -> BalancerLimits {
        BalancerLimits {
            memory_mb: 48.0,
            sockets: 384,
            max_attempts: 4,
            may_hedge: true,
            max_retry_after_ms: 2_000.0,
        }
    }
}

/// A request class.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    /// The class's name; it is unique.
    pub name: String,
    /// The class's weight in the distribution of arrivals over classes.
    #[serde(default = "one")]
    pub share: f64,
    /// Whether requests of the class write.
    #[serde(default)]
    pub write: bool,
    /// The latency objective.
    pub target_ms: f64,
    /// The deadline, from when a request is due; a later reply earns no benefit.
    pub ttl_ms: f64,
    /// The benefit of a reply within the latency objective.
    #[serde(default = "one")]
    pub benefit: f64,
    /// The fraction of `benefit` that a reply between objective and deadline earns.
    #[serde(default)]
    pub late_benefit: f64,
    /// Whether a request may be retried.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// The hosts that share one deduplication table.
    #[serde(default, rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// The deduplication window.
    #[serde(default)]
    pub window_ms: f64,
    /// The service time of the class's commands; if absent, the fleet's.
    pub service: Option<ServiceTime>,
}

impl Category {
    /// The latency objective, in microseconds.
    pub fn target(&self) -> Micros {
        millis(self.target_ms)
    }

    /// The time from when a request is due to its deadline, in microseconds.
    pub fn ttl(&self) -> Micros {
        millis(self.ttl_ms)
    }
}

/// Whether a request may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    /// It may always be retried.
    #[serde(rename = "redeliverable")]
    Idempotent,
    /// It may be retried within the deduplication window and scope.
    Deduplicated,
    /// It may be retried only if it is known not to have run.
    AtMostOnce,
}

/// The hosts that share one deduplication table.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All hosts.
    #[default]
    All,
    /// The hosts of a zone.
    Zone,
    /// A single host.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// The tenant's name.
    pub name: String,
    /// The tenant's weight in the distribution of arrivals over tenants.
    #[serde(default = "one")]
    pub share: f64,
    /// The tenant's quota, in requests per second over all balancers; 0 for no bound.
    #[serde(default)]
    pub quota_per_s: f64,
}

fn one() -> f64 {
    1.0
}

/// The name of the zone with this number in endpoint lists: `z01` for 0, `z02` for 1.
pub fn zone_name(nth: u32) -> String {
    format!("z{:02}", nth + 1)
}

impl Experiment {
    /// Reads and checks an experiment's file.
    ///
    /// # Errors
    /// The message is one line with the file, the line number if known, the problem and its remedy.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let in_file = |cause| ExperimentError::InFile { path: path.to_owned(), cause: Box::new(cause) };
        let text = std::fs::read_to_string(path)
            .map_err(|cause| ExperimentError::Unreadable { path: path.to_owned(), cause })?;
        let mut experiment = Experiment::parse(&text).map_err(in_file)?;
        experiment.resolve_paths(path)?;
        Ok(experiment)
    }

    /// Resolves paths relative to the experiment file's folder.
    fn resolve_paths(&mut self, file: &Path) -> Result<(), ExperimentError> {
        let folder = file.parent().unwrap_or(Path::new(""));
        if let Some(trace) = &mut self.load.trace {
            *trace = folder.join(&*trace);
        }
        for regions in self.arms.iter_mut().filter_map(|arm| arm.regions.as_mut()) {
            *regions = folder.join(&*regions);
            if !regions.is_file() {
                return Err(ExperimentError::NoRegionsFile {
                    path: file.to_owned(),
                    regions: regions.clone(),
                });
            }
        }
        Ok(())
    }

    /// Parses and checks the text of an experiment's file.
    ///
    /// # Errors
    /// The message is that of [`Experiment::read`] without the file's name.
    pub fn parse(text: &str) -> Result<Experiment, ExperimentError> {
        let experiment: Experiment = toml::from_str(text).map_err(|cause| {
            let line = cause.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            ExperimentError::Syntax { line, message: cause.message().replace('\n', " ") }
        })?;
        experiment.check()?;
        Ok(experiment)
    }

    /// How long requests arrive, in microseconds.
    pub fn length(&self) -> Micros {
        seconds(self.seconds)
    }

    /// The bounds on lateness for a run in which this fraction of the benefit was earned.
    pub fn bounds(&self, benefit: f64) -> LatenessBounds {
        let target = self.categories.iter().map(Category::target).min().unwrap_or(0);
        LatenessBounds { late: self.load.late(), target, missed: 1.0 - benefit }
    }
}
