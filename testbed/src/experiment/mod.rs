//! An experiment as its file writes it (TOML), and what is checked before anything starts. Times
//! bear their unit in the field's name: `_s` seconds, `_ms` milliseconds. An unknown field is
//! refused with its line.

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

/// An experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// The name of its result's folder.
    pub name: String,
    /// What it is for, in words.
    #[serde(default)]
    pub about: String,
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// Each arm is played with each of these.
    #[serde(default = "default_seeds")]
    pub seeds: Vec<u64>,
    /// How many balancers share the load.
    #[serde(default = "default_balancers")]
    pub balancers: usize,
    /// Who asks the origin for what a cache host lacks.
    #[serde(default)]
    pub mode: CacheMode,
    /// What a balancer is given.
    #[serde(default)]
    pub limits: BalancerLimits,
    /// The request classes.
    pub categories: Vec<Category>,
    /// The tenants; none for a single nameless one.
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
    /// What goes wrong, and when.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// What is compared; none for the balancer beside the testbed.
    #[serde(default)]
    pub arms: Vec<Arm>,
}

fn default_seeds() -> Vec<u64> {
    vec![1]
}

fn default_balancers() -> usize {
    2
}

/// Who asks the origin for what a cache host lacks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum CacheMode {
    /// The balancer does, and writes go to the origin.
    #[default]
    Aside,
    /// The hosts do.
    Through,
}

/// What a balancer is given.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct BalancerLimits {
    /// Memory, in MB.
    pub memory_mb: f64,
    /// Sockets, listeners and connections together.
    pub sockets: usize,
    /// Attempts for one request.
    #[serde(rename = "max_pushes")]
    pub max_attempts: u32,
    /// Whether two attempts of one request may be in flight together.
    #[serde(rename = "second_copies")]
    pub may_hedge: bool,
    /// The longest time after which a rejection may ask clients to retry; 0 for no such hint.
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
    /// Its name; no two are alike.
    pub name: String,
    /// Its part of the arrivals, in proportion to the others'.
    #[serde(default = "one")]
    pub share: f64,
    /// Whether its requests write.
    #[serde(default)]
    pub write: bool,
    /// The latency objective.
    pub target_ms: f64,
    /// The time limit: an answer after it counts for nothing.
    pub ttl_ms: f64,
    /// What an answer within the objective is worth.
    #[serde(default = "one")]
    pub benefit: f64,
    /// The part of that which an answer between objective and time limit earns.
    #[serde(default)]
    pub late_benefit: f64,
    /// Whether a request may be sent again.
    #[serde(rename = "repeats")]
    pub retry_safety: RetrySafety,
    /// Which hosts deduplicate together.
    #[serde(default, rename = "group")]
    pub deduplication_scope: DeduplicationScope,
    /// For how long they do.
    #[serde(default)]
    pub window_ms: f64,
    /// How long a host works on one; the fleet's otherwise.
    pub service: Option<ServiceTime>,
}

impl Category {
    /// The latency objective, in microseconds.
    pub fn target(&self) -> Micros {
        millis(self.target_ms)
    }

    /// The time limit, in microseconds.
    pub fn ttl(&self) -> Micros {
        millis(self.ttl_ms)
    }
}

/// Whether a request may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RetrySafety {
    /// Always.
    #[serde(rename = "redeliverable")]
    Idempotent,
    /// Within the time and the group of hosts that deduplicate.
    Deduplicated,
    /// Only where it is known not to have run.
    AtMostOnce,
}

/// Which hosts deduplicate together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DeduplicationScope {
    /// All.
    #[default]
    All,
    /// Those of a zone.
    Zone,
    /// Each for itself.
    Cell,
}

/// A tenant.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of the arrivals, in proportion to the others'.
    #[serde(default = "one")]
    pub share: f64,
    /// Requests a second over all balancers that fall within its share; 0 for no bound.
    #[serde(default)]
    pub quota_per_s: f64,
}

fn one() -> f64 {
    1.0
}

/// A zone's name in the list, from its number (0 is the first): `z01` and on.
pub fn zone_name(nth: u32) -> String {
    format!("z{:02}", nth + 1)
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Names the file, the line where there is one, what is wrong and the way out, in one line.
    pub fn read(path: &Path) -> Result<Experiment, ExperimentError> {
        let in_file = |cause| ExperimentError::InFile { path: path.to_owned(), cause: Box::new(cause) };
        let text = std::fs::read_to_string(path)
            .map_err(|cause| ExperimentError::Unreadable { path: path.to_owned(), cause })?;
        let mut experiment = Experiment::parse(&text).map_err(in_file)?;
        experiment.resolve_paths(path)?;
        Ok(experiment)
    }

    /// What a file names lies beside it.
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

    /// Reads and checks a file's text.
    ///
    /// # Errors
    /// As [`Experiment::read`], without the file's name.
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

    /// What its figures need of testbed and machine, where so much of the benefit was earned.
    pub fn bounds(&self, benefit: f64) -> LatenessBounds {
        let target = self.categories.iter().map(Category::target).min().unwrap_or(0);
        LatenessBounds { late: self.load.late(), target, missed: 1.0 - benefit }
    }
}
