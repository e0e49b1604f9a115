//! A scale experiment as its file writes it (TOML). An unknown field is refused with its line.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{ExperimentError, RunError};
use crate::experiment::Experiment;

/// How long a run looks on after a fault, in seconds.
pub(super) const RECOVERY_S: f64 = 4.0;
/// How long changes of the list may still come into force after the last of them, in seconds.
pub(super) const FINAL_CHANGES_S: f64 = 1.5;

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// Simulated balancers.
    Balancers,
    /// Cache hosts.
    Hosts,
    /// Requests a second of each simulated balancer.
    Rate,
    /// Changes of the list a second.
    Changes,
    /// Zones of the hosts.
    Zones,
}

impl Axis {
    /// As tables and drawings name it, with its unit.
    pub fn name(self) -> &'static str {
        match self {
            Axis::Balancers => "balancers",
            Axis::Hosts => "hosts",
            Axis::Rate => "ops/s a balancer",
            Axis::Changes => "changes/s",
            Axis::Zones => "zones",
        }
    }
}

/// A scale experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScaleExperiment {
    /// Its name, also of the folder of its result.
    pub name: String,
    /// What it is for, for people.
    #[serde(default)]
    pub about: String,
    /// What is varied.
    pub axis: Axis,
    /// The axis' values, in the order in which they are played.
    pub points: Vec<f64>,
    /// How often each is played.
    #[serde(default = "two_repeats")]
    pub repeats: usize,
    /// Before anything counts, in seconds.
    #[serde(default = "two_seconds")]
    pub settle_s: f64,
    /// Without requests, in seconds: what control costs.
    #[serde(default = "six_seconds")]
    pub quiet_s: f64,
    /// With requests, in seconds.
    #[serde(default = "six_seconds", rename = "seconds")]
    pub load_s: f64,
    /// What goes wrong.
    #[serde(default)]
    pub faults: Faults,
    /// What stands while the axis varies.
    #[serde(default, rename = "held")]
    pub conditions: Conditions,
    /// Over how many processes it is spread.
    #[serde(default)]
    pub processes: Processes,
    /// The size to which the lines are extrapolated.
    #[serde(default, rename = "plan")]
    pub planned: PlannedSizes,
    /// What a balancer may spend.
    #[serde(default)]
    pub budget: Budget,
    /// What `--quick` plays instead.
    pub quick: Option<Quick>,
}

fn two_repeats() -> usize {
    2
}

fn one_second() -> f64 {
    1.0
}

fn two_seconds() -> f64 {
    2.0
}

fn six_seconds() -> f64 {
    6.0
}

/// What stands while the axis varies; the axis' own value is replaced by each point's.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Held")]
pub struct Conditions {
    /// Simulated balancers.
    pub balancers: u32,
    /// Cache hosts.
    pub hosts: u32,
    /// Requests a second of each simulated balancer.
    pub rate: f64,
    /// Changes of the list a second.
    pub changes_per_s: f64,
    /// Zones of the hosts.
    pub zones: u32,
    /// How many different keys.
    pub keys: u64,
    /// The exponent of the keys' popularity; 0 for all alike.
    pub zipf: f64,
    /// Descriptors that a simulated balancer's connections to hosts may take.
    #[serde(rename = "sockets")]
    pub max_connections: usize,
    /// How long a host takes for a command.
    pub service_ms: f64,
    /// The size of a value.
    pub value_bytes: usize,
    /// Hosts close a connection that is idle for so long.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: f64,
    /// The latency objective.
    pub target_ms: f64,
    /// From a request's arrival to its deadline.
    pub ttl_ms: f64,
    /// Requests a second through one real balancer beside the simulated ones; 0 for none.
    pub real_rate: f64,
    /// Its descriptors, for clients and hosts.
    #[serde(rename = "real_sockets")]
    pub real_descriptors: usize,
}

impl Default for Conditions {
    fn default() -> Conditions {
        Conditions {
            balancers: 30,
            hosts: 63,
            rate: 20.0,
            changes_per_s: 0.5,
            zones: 27,
            keys: 1_000_000,
            zipf: 0.9,
            max_connections: 128,
            service_ms: 5.0,
            value_bytes: 128,
            idle_timeout_ms: 15_000.0,
            target_ms: 150.0,
            ttl_ms: 600.0,
            real_rate: 0.0,
            real_descriptors: 1_024,
        }
    }
}

impl Conditions {
    /// Whether one real balancer runs beside the simulated ones.
    pub fn has_real_balancer(&self) -> bool {
        self.real_rate > 0.0
    }

    /// All balancers of a run, simulated and real.
    pub fn all_balancers(&self) -> u32 {
        self.balancers + u32::from(self.has_real_balancer())
    }
}

/// What goes wrong after the stretch with requests, one after the other; 0 for nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The first host reads commands and answers none, for so long.
    pub hang_s: f64,
    /// Discovery answers nothing for so long, while the list goes on changing; there are no
    /// requests.
    pub discovery_down_s: f64,
}

/// Over how many processes simulated balancers and hosts are spread.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processes {
    /// Of simulated balancers.
    #[serde(rename = "hollow")]
    pub simulated: u32,
    /// Of hosts.
    pub fleet: u32,
    /// Simulated balancers of a process, instead of a number of processes: what a process costs by
    /// itself is then the same part of a balancer's figures at every point.
    #[serde(rename = "each")]
    pub balancers_per_process: Option<u32>,
}

impl Default for Processes {
    fn default() -> Processes {
        Processes { simulated: 2, fleet: 2, balancers_per_process: None }
    }
}

/// The planned size on each axis.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Plan")]
pub struct PlannedSizes {
    /// Balancers.
    pub balancers: f64,
    /// Cache hosts.
    pub hosts: f64,
    /// Requests a second of a balancer.
    pub rate: f64,
    /// Changes of the list a second.
    pub changes_per_s: f64,
    /// Zones of the hosts.
    pub zones: f64,
}

impl Default for PlannedSizes {
    fn default() -> PlannedSizes {
        PlannedSizes { balancers: 14_000.0, hosts: 1_700.0, rate: 1_143.0, changes_per_s: 0.5, zones: 94.0 }
    }
}

/// What a balancer may spend on control.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Part of a core.
    pub core: f64,
    /// Resident memory.
    pub memory_mb: f64,
    /// To and from discovery together.
    pub bytes_per_s: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { core: 0.021, memory_mb: 128.0, bytes_per_s: 5_000.0 }
    }
}

/// What `--quick` plays instead, once each.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quick {
    /// The axis' values.
    pub points: Vec<f64>,
    /// Before anything counts, in seconds.
    #[serde(default = "one_second")]
    pub settle_s: f64,
    /// Without requests, in seconds.
    #[serde(default = "two_seconds")]
    pub quiet_s: f64,
    /// With requests, in seconds.
    #[serde(default = "two_seconds", rename = "seconds")]
    pub load_s: f64,
}

impl Quick {
    /// What an experiment that says nothing of it plays: its first two points.
    fn default_of(experiment: &ScaleExperiment) -> Quick {
        Quick {
            points: experiment.points.iter().copied().take(2).collect(),
            settle_s: one_second(),
            quiet_s: two_seconds(),
            load_s: two_seconds(),
        }
    }
}

impl ScaleExperiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line that names the file, the line where there is one, what is wrong and the way out.
    pub fn read(path: &Path, quick: bool) -> Result<ScaleExperiment, ExperimentError> {
        let text = std::fs::read_to_string(path)
            .map_err(|cause| ExperimentError::Unreadable { path: path.to_owned(), cause })?;
        ScaleExperiment::parse(&text, quick)
            .map_err(|cause| ExperimentError::InFile { path: path.to_owned(), cause: Box::new(cause) })
    }

    /// Reads and checks the text of a file.
    ///
    /// # Errors
    /// As [`ScaleExperiment::read`], without the file's name.
    pub fn parse(text: &str, quick: bool) -> Result<ScaleExperiment, ExperimentError> {
        let mut experiment: ScaleExperiment = toml::from_str(text).map_err(|cause| {
            let line_at = |start: usize| text[..start].matches('\n').count() + 1;
            let line = cause.span().map_or(0, |span| line_at(span.start));
            ExperimentError::Syntax { line, message: cause.message().replace('\n', " ") }
        })?;
        if quick {
            experiment.make_quick();
        }
        experiment.check()?;
        Ok(experiment)
    }

    fn make_quick(&mut self) {
        let quick = self.quick.clone().unwrap_or_else(|| Quick::default_of(self));
        self.points = quick.points;
        self.repeats = 1;
        self.settle_s = quick.settle_s;
        self.quiet_s = quick.quiet_s;
        self.load_s = quick.load_s;
    }

    fn check(&self) -> Result<(), ExperimentError> {
        if self.points.is_empty() {
            return Err(ExperimentError::NoPoints);
        }
        check_range("repeats", self.repeats as f64, 1.0, 20.0)?;
        check_range("settle_s", self.settle_s, 0.1, 60.0)?;
        check_range("quiet_s", self.quiet_s, 0.5, 120.0)?;
        check_range("seconds", self.load_s, 0.5, 120.0)?;
        check_range("faults.hang_s", self.faults.hang_s, 0.0, 60.0)?;
        check_range("faults.discovery_down_s", self.faults.discovery_down_s, 0.0, 60.0)?;
        check_range("processes.hollow", f64::from(self.processes.simulated), 1.0, 32.0)?;
        check_range("processes.fleet", f64::from(self.processes.fleet), 1.0, 32.0)?;
        self.points.iter().try_for_each(|&point| self.check_point(point))
    }

    fn check_point(&self, point: f64) -> Result<(), ExperimentError> {
        let conditions = self.conditions_at(point);
        let check = |field: &str, value, min, max| {
            let field = format!("point {point}: {field}");
            check_range(&field, value, min, max)
        };
        check("balancers", f64::from(conditions.balancers), 1.0, 20_000.0)?;
        check("hosts", f64::from(conditions.hosts), 1.0, 20_000.0)?;
        check("zones", f64::from(conditions.zones), 1.0, 256.0)?;
        check("rate", conditions.rate, 0.0, 50_000.0)?;
        check("changes_per_s", conditions.changes_per_s, 0.0, 1_000.0)?;
        check("sockets", conditions.max_connections as f64, 8.0, 20_000.0)?;
        check("real_rate", conditions.real_rate, 0.0, 50_000.0)?;
        check("target_ms", conditions.target_ms, 1.0, conditions.ttl_ms)
    }

    /// What holds at a point of the axis.
    pub fn conditions_at(&self, point: f64) -> Conditions {
        let mut conditions = self.conditions.clone();
        match self.axis {
            Axis::Balancers => conditions.balancers = point as u32,
            Axis::Hosts => conditions.hosts = point as u32,
            Axis::Rate => conditions.rate = point,
            Axis::Changes => conditions.changes_per_s = point,
            Axis::Zones => conditions.zones = point as u32,
        }
        conditions
    }

    /// Over how many processes a point's simulated balancers are spread.
    pub fn simulated_processes(&self, conditions: &Conditions) -> u32 {
        let Processes { simulated, balancers_per_process, .. } = self.processes;
        match balancers_per_process {
            Some(balancers) => conditions.balancers.div_ceil(balancers.max(1)),
            None => simulated,
        }
    }

    /// The planned size on the axis.
    pub fn planned_size(&self) -> f64 {
        match self.axis {
            Axis::Balancers => self.planned.balancers,
            Axis::Hosts => self.planned.hosts,
            Axis::Rate => self.planned.rate,
            Axis::Changes => self.planned.changes_per_s,
            Axis::Zones => self.planned.zones,
        }
    }

    /// How long it plays at least, in seconds.
    pub fn length_s(&self) -> f64 {
        let Faults { hang_s, discovery_down_s } = self.faults;
        let faults = [hang_s, discovery_down_s].into_iter().filter(|&fault_s| fault_s > 0.0);
        let faults_s: f64 = faults.map(|fault_s| fault_s + RECOVERY_S).sum();
        let point_s = 2.0 * self.settle_s + self.quiet_s + self.load_s + FINAL_CHANGES_S + faults_s;
        point_s * (self.points.len() * self.repeats) as f64
    }

    /// The same world as an experiment of the testbed: for a balancer's settings, and for the load
    /// of a real one.
    ///
    /// # Errors
    /// The experiment's own checks refuse it.
    pub fn load_experiment(&self, conditions: &Conditions) -> Result<Experiment, RunError> {
        let text = format!(
            "name = {:?}\nseconds = {:?}\nbalancers = 1\n\
             [limits]\nsockets = {}\n\
             [[categories]]\nname = \"read\"\ntarget_ms = {:?}\nttl_ms = {:?}\nrepeats = \"redeliverable\"\n\
             [fleet]\nhosts = 1\nzones = {}\nidle_ms = {:?}\n\
             [load]\nrate = {:?}\nkeys = {}\nzipf = {:?}\nvalue_bytes = {}\n",
            self.name,
            self.load_s,
            conditions.real_descriptors,
            conditions.target_ms,
            conditions.ttl_ms,
            conditions.zones,
            conditions.idle_timeout_ms,
            conditions.real_rate.max(1.0),
            conditions.keys,
            conditions.zipf,
            conditions.value_bytes.max(48),
        );
        let mut experiment =
            Experiment::parse(&text).map_err(|cause| RunError::Experiment(cause.to_string()))?;
        // All balancers that use the same hosts: what is limited is limited for them together.
        experiment.balancers = conditions.all_balancers() as usize;
        Ok(experiment)
    }
}

fn check_range(field: &str, value: f64, min: f64, max: f64) -> Result<(), ExperimentError> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(ExperimentError::OutOfRange { field: field.to_owned(), value, min, max })
    }
}
