//! The file format of scale experiments (TOML). An unknown field is an error with its line.

use std::path::Path;

use serde::{Deserialize, Serialize};

use super::error::{ExperimentError, RunError};
use crate::experiment::Experiment;

/// How long a run goes on measuring after a fault has ended, in seconds.
pub(super) const RECOVERY_S: f64 = 4.0;
/// How long balancers may take to apply the last list change before a run goes on, in seconds.
pub(super) const FINAL_CHANGES_S: f64 = 1.5;

/// The condition that is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// The number of simulated balancers.
    Balancers,
    /// The number of cache hosts.
    Hosts,
    /// Requests per second of each simulated balancer.
    Rate,
    /// List changes per second.
    Changes,
    /// The number of zones of the hosts.
    Zones,
}

impl Axis {
    /// The name in tables and charts, with the unit.
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
    /// The name of the experiment and of its result folder.
    pub name: String,
    /// A description for readers.
    #[serde(default)]
    pub about: String,
    /// The condition that is varied.
    pub axis: Axis,
    /// The values on the axis, in the order in which they run.
    pub points: Vec<f64>,
    /// How often each point runs.
    #[serde(default = "two_repeats")]
    pub repeats: usize,
    /// The length of the stages before measurements, in seconds.
    #[serde(default = "two_seconds")]
    pub settle_s: f64,
    /// The length of the stage without requests, in seconds. It measures the cost of control.
    #[serde(default = "six_seconds")]
    pub quiet_s: f64,
    /// The length of the stage with requests, in seconds.
    #[serde(default = "six_seconds", rename = "seconds")]
    pub load_s: f64,
    /// The injected faults.
    #[serde(default)]
    pub faults: Faults,
    /// The conditions held constant while the axis varies.
    #[serde(default, rename = "held")]
    pub conditions: Conditions,
    /// The number of worker processes.
    #[serde(default)]
    pub processes: Processes,
    /// The size to which the fitted lines are extrapolated.
    #[serde(default, rename = "plan")]
    pub planned: PlannedSizes,
    /// The resources that a balancer may use.
    #[serde(default)]
    pub budget: Budget,
    /// The points and lengths of a run with `--quick`.
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

/// The conditions of a run. Each point replaces the value of the axis.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default, expecting = "struct Held")]
pub struct Conditions {
    /// The number of simulated balancers.
    pub balancers: u32,
    /// The number of cache hosts.
    pub hosts: u32,
    /// Requests per second of each simulated balancer.
    pub rate: f64,
    /// List changes per second.
    pub changes_per_s: f64,
    /// The number of zones of the hosts.
    pub zones: u32,
    /// The number of distinct keys.
    pub keys: u64,
    /// The exponent of the Zipf distribution of keys; 0 for a uniform one.
    pub zipf: f64,
    /// The most connections to hosts of a simulated balancer.
    #[serde(rename = "sockets")]
    pub max_connections: usize,
    /// The service time of a host for a command.
    pub service_ms: f64,
    /// The size of each value.
    pub value_bytes: usize,
    /// The time after which hosts close an idle connection.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: f64,
    /// The latency objective.
    pub target_ms: f64,
    /// The time from a request's arrival to its deadline.
    pub ttl_ms: f64,
    /// Requests per second through one real balancer beside the simulated ones; 0 to run without
    /// it.
    pub real_rate: f64,
    /// The most descriptors of the real balancer, for clients and hosts.
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
    /// Whether a real balancer runs beside the simulated ones.
    pub fn has_real_balancer(&self) -> bool {
        self.real_rate > 0.0
    }

    /// The number of all balancers of a run, simulated and real.
    pub fn all_balancers(&self) -> u32 {
        self.balancers + u32::from(self.has_real_balancer())
    }
}

/// The faults injected after the stage with requests, one after the other; 0 leaves one out.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// For how long the first host of the first fleet process reads commands and answers none.
    pub hang_s: f64,
    /// For how long discovery answers no call while the list goes on changing. There are no
    /// requests during this fault.
    pub discovery_down_s: f64,
}

/// The number of processes over which simulated balancers and hosts are divided.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processes {
    /// Processes of simulated balancers.
    #[serde(rename = "hollow")]
    pub simulated: u32,
    /// Processes of hosts.
    pub fleet: u32,
    /// The number of simulated balancers in each process, instead of the number of processes. The
    /// fixed cost of a process is then the same fraction of a balancer's figures at every point.
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
    /// The number of balancers.
    pub balancers: f64,
    /// The number of cache hosts.
    pub hosts: f64,
    /// Requests per second of a balancer.
    pub rate: f64,
    /// List changes per second.
    pub changes_per_s: f64,
    /// The number of zones of the hosts.
    pub zones: f64,
}

impl Default for PlannedSizes {
    fn default() -> PlannedSizes {
        PlannedSizes { balancers: 14_000.0, hosts: 1_700.0, rate: 1_143.0, changes_per_s: 0.5, zones: 94.0 }
    }
}

/// The resources that a balancer may use: CPU time and bytes in the stage without requests, memory
/// in the stage with requests.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// CPU time, as a fraction of a core.
    pub core: f64,
    /// Resident memory, in MB.
    pub memory_mb: f64,
    /// Bytes per second to and from discovery together.
    pub bytes_per_s: f64,
}

impl Default for Budget {
    fn default() -> Budget {
        Budget { core: 0.021, memory_mb: 128.0, bytes_per_s: 5_000.0 }
    }
}

/// The points and lengths of a run with `--quick`. Each point runs once.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quick {
    /// The values on the axis.
    pub points: Vec<f64>,
    /// The length of the stages before measurements, in seconds.
    #[serde(default = "one_second")]
    pub settle_s: f64,
    /// The length of the stage without requests, in seconds.
    #[serde(default = "two_seconds")]
    pub quiet_s: f64,
    /// The length of the stage with requests, in seconds.
    #[serde(default = "two_seconds", rename = "seconds")]
    pub load_s: f64,
}

impl Quick {
    /// The default for an experiment without a `quick` section: its first two points.
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
    /// One line with the file, the line if known, and the error.
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
            experiment.apply_quick();
        }
        experiment.check()?;
        Ok(experiment)
    }

    fn apply_quick(&mut self) {
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

    /// The conditions at a point of the axis.
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

    /// The number of processes over which a point's simulated balancers are divided.
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

    /// The length of the run in seconds, without the time to start processes.
    pub fn length_s(&self) -> f64 {
        let Faults { hang_s, discovery_down_s } = self.faults;
        let faults = [hang_s, discovery_down_s].into_iter().filter(|&fault_s| fault_s > 0.0);
        let faults_s: f64 = faults.map(|fault_s| fault_s + RECOVERY_S).sum();
        let point_s = 2.0 * self.settle_s + self.quiet_s + self.load_s + FINAL_CHANGES_S + faults_s;
        point_s * (self.points.len() * self.repeats) as f64
    }

    /// An ordinary testbed experiment with the same conditions, for the settings of balancers and
    /// the load of a real one.
    ///
    /// # Errors
    /// The derived experiment is invalid.
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
        // The limits on hosts hold for all balancers of the run together, also the simulated ones.
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
