//! A scale experiment as its file writes it (TOML), and what is refused before anything starts. An unknown field
//! is refused with its line.

use std::path::Path;

use serde::{Deserialize, Serialize};

use crate::script::{allowed_descriptors, Experiment};

/// Processes of a run at most: hollow ones, fleets, discovery, a real balancer.
const MAX_PROCESSES: usize = 40;
/// What a process takes by itself, and a hollow balancer for itself, for each host that it knows and for each
/// connection, in kB: measured once with room to spare, so that a refusal comes before anything starts.
const PROCESS_KB: f64 = 12_000.0;
const BALANCER_KB: f64 = 200.0;
const KNOWN_KB: f64 = 6.0;
const CONNECTION_KB: f64 = 8.0;
/// How long is looked on after a fault, in seconds.
pub const RECOVERY_S: f64 = 4.0;
/// Descriptors beside connections.
const OTHER_DESCRIPTORS: usize = 64;
/// How much more than its part of the connections one process of a fleet may get.
const SKEW: f64 = 1.25;

/// What is varied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Axis {
    /// SimulatedBalancer balancers.
    Balancers,
    Hosts,
    /// Ops a second of each hollow balancer.
    Rate,
    /// Changes of the list a second.
    Changes,
    Zones,
}

impl Axis {
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
    pub name: String,
    #[serde(default)]
    pub about: String,
    pub axis: Axis,
    /// The axis' values, in the order in which they are played.
    pub points: Vec<f64>,
    /// How often each is played.
    #[serde(default = "twice")]
    pub repeats: usize,
    /// Before anything counts.
    #[serde(default = "settle")]
    pub settle_s: f64,
    /// Without ops: what control costs.
    #[serde(default = "stretch")]
    pub quiet_s: f64,
    /// With ops.
    #[serde(default = "stretch")]
    pub seconds: f64,
    #[serde(default)]
    pub faults: Faults,
    #[serde(default)]
    pub held: Conditions,
    #[serde(default)]
    pub processes: Processes,
    /// The size to which the lines are drawn on.
    #[serde(default)]
    pub plan: Plan,
    #[serde(default)]
    pub budget: Budget,
    pub quick: Option<Quick>,
}

fn twice() -> usize {
    2
}

fn settle() -> f64 {
    2.0
}

fn stretch() -> f64 {
    6.0
}

/// What stands while the axis varies; the axis' own value is replaced by each point's.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Conditions {
    pub balancers: u32,
    pub hosts: u32,
    /// Ops a second of each hollow balancer.
    pub rate: f64,
    pub changes_per_s: f64,
    pub zones: u32,
    pub keys: u64,
    pub zipf: f64,
    /// Descriptors that a hollow balancer's connections to hosts may take.
    pub sockets: usize,
    pub service_ms: f64,
    pub value_bytes: usize,
    pub idle_ms: f64,
    pub target_ms: f64,
    pub ttl_ms: f64,
    /// Ops a second through one real balancer beside the hollow ones; 0 for none.
    pub real_rate: f64,
    /// Its descriptors, clients' and hosts'.
    pub real_sockets: usize,
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
            sockets: 128,
            service_ms: 5.0,
            value_bytes: 128,
            idle_ms: 15_000.0,
            target_ms: 150.0,
            ttl_ms: 600.0,
            real_rate: 0.0,
            real_sockets: 1_024,
        }
    }
}

/// What goes wrong after the stretch with ops, one after the other; 0 for nothing.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Faults {
    /// The first host takes commands and says nothing for so long.
    pub hang_s: f64,
    /// Discovery says nothing for so long, while the list goes on changing; ops rest.
    pub discovery_down_s: f64,
}

/// Over how many processes hollow balancers and hosts are spread.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Processes {
    pub hollow: u32,
    pub fleet: u32,
    /// SimulatedBalancer balancers of a process, instead of `hollow` processes: then what a process costs by itself is the
    /// same part of a balancer's figures at every point.
    pub each: Option<u32>,
}

impl Default for Processes {
    fn default() -> Processes {
        Processes { hollow: 2, fleet: 2, each: None }
    }
}

/// The plan's size on each axis.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Plan {
    pub balancers: f64,
    pub hosts: f64,
    pub rate: f64,
    pub changes_per_s: f64,
    pub zones: f64,
}

impl Default for Plan {
    fn default() -> Plan {
        Plan { balancers: 14_000.0, hosts: 1_700.0, rate: 1_143.0, changes_per_s: 0.5, zones: 94.0 }
    }
}

/// What a balancer may spend on control.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Budget {
    /// Of a core.
    pub core: f64,
    pub memory_mb: f64,
    /// Both ways together.
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
    pub points: Vec<f64>,
    #[serde(default = "one_second")]
    pub settle_s: f64,
    #[serde(default = "two_seconds")]
    pub quiet_s: f64,
    #[serde(default = "two_seconds")]
    pub seconds: f64,
}

fn one_second() -> f64 {
    1.0
}

fn two_seconds() -> f64 {
    2.0
}

/// The machine that it is to run on.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// Descriptors of one process, where the system says.
    pub descriptors: Option<usize>,
    /// All memory, in kB.
    pub memory_kb: f64,
}

impl MachineLimits {
    pub fn this() -> MachineLimits {
        let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
        let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
        let total = total.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok());
        MachineLimits { descriptors: allowed_descriptors(), memory_kb: total.unwrap_or(f64::INFINITY) }
    }
}

impl ScaleExperiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line that names the file, the line where there is one, what is wrong and the way out.
    pub fn read(path: &Path, quick: bool) -> Result<ScaleExperiment, String> {
        let text = std::fs::read_to_string(path).map_err(|cause| format!("{}: {cause}", path.display()))?;
        ScaleExperiment::parse(&text, quick).map_err(|cause| format!("{}:{cause}", path.display()))
    }

    /// # Errors
    /// As [`ScaleExperiment::read`], without the file's name.
    pub fn parse(text: &str, quick: bool) -> Result<ScaleExperiment, String> {
        let mut script: ScaleExperiment = toml::from_str(text).map_err(|cause| {
            let line = cause.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            format!("{line}: {}", cause.message().replace('\n', " "))
        })?;
        if quick {
            let points = script.points.iter().copied().take(2).collect();
            let of = Quick { points, settle_s: one_second(), quiet_s: two_seconds(), seconds: two_seconds() };
            let of = script.quick.clone().unwrap_or(of);
            (script.points, script.repeats) = (of.points, 1);
            (script.settle_s, script.quiet_s, script.seconds) = (of.settle_s, of.quiet_s, of.seconds);
        }
        script.check().map_err(|cause| format!(" {cause}"))?;
        Ok(script)
    }

    fn check(&self) -> Result<(), String> {
        let sane = |what: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!("{what} = {value} is not between {least} and {most}"))
            }
        };
        if self.points.is_empty() {
            return Err("points is empty: name one at least".to_owned());
        }
        sane("repeats", self.repeats as f64, 1.0, 20.0)?;
        sane("settle_s", self.settle_s, 0.1, 60.0)?;
        sane("quiet_s", self.quiet_s, 0.5, 120.0)?;
        sane("seconds", self.seconds, 0.5, 120.0)?;
        sane("faults.hang_s", self.faults.hang_s, 0.0, 60.0)?;
        sane("faults.discovery_down_s", self.faults.discovery_down_s, 0.0, 60.0)?;
        sane("processes.hollow", f64::from(self.processes.hollow), 1.0, 32.0)?;
        sane("processes.fleet", f64::from(self.processes.fleet), 1.0, 32.0)?;
        for &at in &self.points {
            let held = self.at(at);
            let what = |name: &str| format!("point {at}: {name}");
            sane(&what("balancers"), f64::from(held.balancers), 1.0, 20_000.0)?;
            sane(&what("hosts"), f64::from(held.hosts), 1.0, 20_000.0)?;
            sane(&what("zones"), f64::from(held.zones), 1.0, 256.0)?;
            sane(&what("rate"), held.rate, 0.0, 50_000.0)?;
            sane(&what("changes_per_s"), held.changes_per_s, 0.0, 1_000.0)?;
            sane(&what("sockets"), held.sockets as f64, 8.0, 20_000.0)?;
            sane(&what("real_rate"), held.real_rate, 0.0, 50_000.0)?;
            sane(&what("target_ms"), held.target_ms, 1.0, held.ttl_ms)?;
        }
        Ok(())
    }

    /// What holds at a point of the axis.
    pub fn at(&self, point: f64) -> Conditions {
        let mut held = self.held.clone();
        match self.axis {
            Axis::Balancers => held.balancers = point as u32,
            Axis::Hosts => held.hosts = point as u32,
            Axis::Rate => held.rate = point,
            Axis::Changes => held.changes_per_s = point,
            Axis::Zones => held.zones = point as u32,
        }
        held
    }

    /// Over how many processes a point's hollow balancers are spread.
    pub fn hollow_processes(&self, held: &Conditions) -> u32 {
        let Processes { hollow, each, .. } = self.processes;
        each.map_or(hollow, |each| held.balancers.div_ceil(each.max(1)))
    }

    /// Where the axis stands in the plan.
    pub fn planned(&self) -> f64 {
        match self.axis {
            Axis::Balancers => self.plan.balancers,
            Axis::Hosts => self.plan.hosts,
            Axis::Rate => self.plan.rate,
            Axis::Changes => self.plan.changes_per_s,
            Axis::Zones => self.plan.zones,
        }
    }

    /// Whether this machine can carry every point.
    ///
    /// # Errors
    /// The first want, in one line with the way out.
    pub fn fits(&self, machine: MachineLimits) -> Result<(), String> {
        let fleet = self.processes.fleet;
        for &point in &self.points {
            let held = self.at(point);
            let hollow = self.hollow_processes(&held);
            let at = format!("{} = {point}", self.axis.name());
            let real = held.real_rate > 0.0;
            let processes = (hollow + fleet) as usize + 1 + usize::from(real);
            if processes > MAX_PROCESSES {
                return Err(format!(
                    "{at}: {processes} processes and {MAX_PROCESSES} at most: fewer processes.hollow (or more processes.each) or \
                     processes.fleet"
                ));
            }
            let (balancers, hosts) = (held.balancers as usize, held.hosts as usize);
            let connections = balancers * held.sockets + if real { held.real_sockets } else { 0 };
            let wants = [
                (
                    "a hollow process",
                    balancers.div_ceil(hollow as usize) * (held.sockets + 1) + OTHER_DESCRIPTORS,
                    "more processes.hollow (or fewer processes.each), fewer held.sockets",
                ),
                (
                    "a process of the fleet",
                    hosts.div_ceil(fleet as usize)
                        + (connections as f64 / f64::from(fleet) * SKEW) as usize
                        + OTHER_DESCRIPTORS,
                    "more processes.fleet, fewer held.sockets",
                ),
                ("discovery", balancers + OTHER_DESCRIPTORS, "fewer balancers"),
            ];
            for (what, needed, way) in wants {
                if let Some(allowed) = machine.descriptors.filter(|&allowed| needed > allowed) {
                    return Err(format!(
                        "{at}: {what} needs up to {needed} descriptors and {allowed} are allowed: {way}, or a \
                         higher `ulimit -n`"
                    ));
                }
            }
            let needed = processes as f64 * PROCESS_KB
                + balancers as f64 * (BALANCER_KB + hosts as f64 * KNOWN_KB)
                + 2.0 * connections as f64 * CONNECTION_KB;
            if needed > machine.memory_kb / 2.0 {
                return Err(format!(
                    "{at}: it needs up to {:.0} MB of memory, more than half of this machine's {:.0} MB: fewer \
                     balancers, hosts or held.sockets",
                    needed / 1e3,
                    machine.memory_kb / 1e3
                ));
            }
        }
        Ok(())
    }

    /// How long it plays at the least, in seconds.
    pub fn length_s(&self) -> f64 {
        let Faults { hang_s, discovery_down_s } = self.faults;
        let faults = [hang_s, discovery_down_s].into_iter().filter(|&span| span > 0.0);
        let point = 2.0 * self.settle_s + self.quiet_s + self.seconds + 1.5;
        let point = point + faults.map(|span| span + RECOVERY_S).sum::<f64>();
        point * (self.points.len() * self.repeats) as f64
    }

    /// The same world as an experiment of the lab, for what a balancer is told and for a real one's load.
    ///
    /// # Errors
    /// Where the experiment's own checks refuse it.
    pub fn experiment(&self, held: &Conditions) -> Result<Experiment, String> {
        let text = format!(
            "name = {:?}\nseconds = {:?}\nbalancers = 1\n[limits]\nsockets = {}\n[[categories]]\nname = \"read\"\n\
             target_ms = {:?}\nttl_ms = {:?}\nrepeats = \"redeliverable\"\n[fleet]\nhosts = 1\nzones = {}\n\
             idle_ms = {:?}\n[load]\nrate = {:?}\nkeys = {}\nzipf = {:?}\nvalue_bytes = {}\n",
            self.name,
            self.seconds,
            held.real_sockets,
            held.target_ms,
            held.ttl_ms,
            held.zones,
            held.idle_ms,
            held.real_rate.max(1.0),
            held.keys,
            held.zipf,
            held.value_bytes.max(48),
        );
        let mut experiment = Experiment::parse(&text)?;
        // All that ask at the same hosts: what is bounded is bounded for them together.
        experiment.balancers = held.balancers as usize + usize::from(held.real_rate > 0.0);
        Ok(experiment)
    }
}
