//! An experiment as its file writes it (TOML), and what is checked before anything starts. Times bear their unit in the
//! field's name: `_s` seconds, `_ms` milliseconds. An unknown field is refused with its line.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

use crate::lateness::LatenessBounds;
use crate::time::{millis, seconds, Micros};

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    pub name: String,
    #[serde(default)]
    pub about: String,
    pub seconds: f64,
    #[serde(default = "one_seed")]
    pub seeds: Vec<u64>,
    #[serde(default = "two")]
    pub balancers: usize,
    /// `aside`: the balancer asks the origin for what hosts lack, and writes go there. `through`: hosts do.
    #[serde(default)]
    pub mode: Mode,
    #[serde(default)]
    pub limits: Limits,
    pub categories: Vec<Category>,
    #[serde(default)]
    pub customers: Vec<Customer>,
    #[serde(default)]
    pub cold: Cold,
    pub fleet: Fleet,
    #[serde(default)]
    pub origin: Origin,
    #[serde(default)]
    pub discovery: Discovery,
    pub load: Load,
    #[serde(default)]
    pub faults: Vec<Fault>,
    #[serde(default)]
    pub arms: Vec<Arm>,
}

fn one_seed() -> Vec<u64> {
    vec![1]
}

fn two() -> usize {
    2
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Mode {
    #[default]
    Aside,
    Through,
}

/// What a balancer is given.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    pub memory_mb: f64,
    pub sockets: usize,
    pub max_pushes: u32,
    /// Two pushes of one op may be out together.
    pub second_copies: bool,
    /// The longest time after which a nack may have clients come back; 0 for no word of it.
    pub come_back_ms: f64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits { memory_mb: 48.0, sockets: 384, max_pushes: 4, second_copies: true, come_back_ms: 2_000.0 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Category {
    pub name: String,
    /// Its part of the arrivals, in proportion to the others'.
    #[serde(default = "one")]
    pub share: f64,
    #[serde(default)]
    pub write: bool,
    pub target_ms: f64,
    pub ttl_ms: f64,
    #[serde(default = "one")]
    pub benefit: f64,
    #[serde(default)]
    pub late_benefit: f64,
    pub repeats: Repeats,
    #[serde(default)]
    pub group: Group,
    #[serde(default)]
    pub window_ms: f64,
    /// How long a host works on one; the fleet's otherwise.
    pub service: Option<Service>,
}

fn one() -> f64 {
    1.0
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeats {
    Redeliverable,
    Deduplicated,
    AtMostOnce,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Group {
    #[default]
    All,
    Zone,
    Cell,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    pub name: String,
    #[serde(default = "one")]
    pub share: f64,
    /// Ops a second over all balancers that fall within its share; 0 for no bound.
    #[serde(default)]
    pub quota_per_s: f64,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Cold {
    /// A host starts with this part of its capacity,
    pub from: f64,
    /// and has all of it after this.
    pub warm_ms: f64,
    /// It falls over when asked for more than this many times its present capacity
    pub multiple: f64,
    /// for this long.
    pub window_ms: f64,
}

impl Default for Cold {
    fn default() -> Cold {
        Cold { from: 0.2, warm_ms: 9_000.0, multiple: 3.0, window_ms: 3_000.0 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    pub hosts: usize,
    pub zones: usize,
    pub cores: usize,
    /// 1 is the speed that service times are given for.
    pub speed: f64,
    /// Commands that wait for a core; more are turned away.
    pub queue: usize,
    pub connections: usize,
    pub idle_ms: f64,
    /// What the first command on a new connection costs more.
    pub open_ms: f64,
    /// Keys a host holds.
    pub store: usize,
    /// The part of those that it holds at the start of the run.
    pub filled: f64,
    /// How old a load report may be; 0 for none.
    pub report_ms: f64,
    pub service: Service,
}

impl Default for Fleet {
    fn default() -> Fleet {
        Fleet {
            hosts: 8,
            zones: 1,
            cores: 2,
            speed: 1.0,
            queue: 64,
            connections: 512,
            idle_ms: 15_000.0,
            open_ms: 0.5,
            store: 50_000,
            filled: 1.0,
            report_ms: 0.0,
            service: Service { kind: Spread::LogNormal, mean_ms: 4.0, sigma: 0.5 },
        }
    }
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    pub kind: Spread,
    pub mean_ms: f64,
    /// Of the logarithm, for `log-normal`.
    #[serde(default)]
    pub sigma: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Spread {
    Constant,
    Exponential,
    LogNormal,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    pub cores: usize,
    pub queue: usize,
    pub connections: usize,
    /// Asked for more than this many times its capacity (0: any)
    pub fall_multiple: f64,
    /// for this long, it stops
    pub fall_ms: f64,
    /// for this long.
    pub down_ms: f64,
    pub service: Service,
}

impl Default for Origin {
    fn default() -> Origin {
        Origin {
            cores: 8,
            queue: 64,
            connections: 512,
            fall_multiple: 4.0,
            fall_ms: 3_000.0,
            down_ms: 4_000.0,
            service: Service { kind: Spread::LogNormal, mean_ms: 40.0, sigma: 0.4 },
        }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// Until a change reaches a balancer, at least;
    pub lag_ms: f64,
    /// each has this much more at most, drawn for it.
    pub spread_ms: f64,
    /// Nothing new goes to a host so long after its drain was told.
    pub grace_ms: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { lag_ms: 200.0, spread_ms: 300.0, grace_ms: 2_000.0 }
    }
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Ops a second where the shape stands at 1.
    pub rate: f64,
    #[serde(default)]
    pub arrivals: Arrivals,
    #[serde(default)]
    pub shape: Shape,
    #[serde(default = "keys")]
    pub keys: usize,
    /// The exponent of the keys' popularity; 0 for all alike.
    #[serde(default = "zipf")]
    pub zipf: f64,
    #[serde(default = "value")]
    pub value_bytes: usize,
    /// Connections to each balancer at most.
    #[serde(default = "connections")]
    pub connections: usize,
    /// Commands that one of them carries at a time.
    #[serde(default = "alone")]
    pub pipeline: usize,
    #[serde(default)]
    pub retry: Retry,
    pub flood: Option<Flood>,
    pub hot: Option<Hot>,
    pub shift: Option<Shift>,
    pub give_up: Option<GiveUp>,
    /// The part of the answers after which the client closes its connection.
    #[serde(default)]
    pub close: f64,
    /// A dead balancer is noticed so late by the front.
    #[serde(default = "notice")]
    pub notice_s: f64,
    /// An op that leaves later than this is late by the lab's fault; more than a hundredth of them void the run.
    #[serde(default = "late")]
    pub late_ms: f64,
    /// How not to measure: each connection asks again only once it has its answer, and times count from then. For comparison.
    #[serde(default)]
    pub closed_loop: bool,
    /// Arrivals from this file instead, played at `speed` times its pace.
    pub trace: Option<PathBuf>,
    #[serde(default = "one")]
    pub speed: f64,
}

fn keys() -> usize {
    10_000
}

fn zipf() -> f64 {
    0.9
}

fn value() -> usize {
    128
}

fn connections() -> usize {
    96
}

fn alone() -> usize {
    1
}

fn late() -> f64 {
    2.0
}

fn notice() -> f64 {
    2.0
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    #[default]
    Poisson,
    Even,
}

/// The rate over time, as a multiple of `rate`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Shape {
    #[default]
    Steady,
    Ramp {
        from: f64,
        to: f64,
    },
    Step {
        at_s: f64,
        level: f64,
    },
    /// A salary day: it rises to `peak` from `at_s` within `rise_s`, holds, and falls back.
    Surge {
        at_s: f64,
        rise_s: f64,
        hold_s: f64,
        fall_s: f64,
        peak: f64,
    },
    /// A day's curve with this period, between `low` and 1.
    Daily {
        period_s: f64,
        low: f64,
    },
}

#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum Retry {
    #[default]
    None,
    AtOnce {
        times: u32,
    },
    After {
        times: u32,
        pause_ms: f64,
    },
    /// The pause doubles each time and is drawn from its upper half.
    BackOff {
        times: u32,
        pause_ms: f64,
    },
}

/// One customer's arrivals `times` as many.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Flood {
    pub customer: String,
    pub from_s: f64,
    pub to_s: f64,
    pub times: f64,
}

/// One key gets this part of the reads, on and off with a period (0: all the time).
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Hot {
    pub from_s: f64,
    pub to_s: f64,
    pub part: f64,
    #[serde(default)]
    pub period_s: f64,
}

/// A set of keys with this part of the reads, another set every so often.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shift {
    pub every_s: f64,
    pub set: usize,
    pub part: f64,
}

/// This part of the clients goes away after so long.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GiveUp {
    pub part: f64,
    pub after_ms: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Works `factor` times as long on all.
    Slow,
    /// Takes connections and commands and does nothing until the end.
    Hang,
    /// Says nothing more: open connections stay open and dead, new ones never come up; both are reset at the end.
    Silent,
    /// Connections opened before are dead from then on, new ones work.
    Stale,
    /// Connections opened before are gone at the host: the next command on one is met by a reset and never runs.
    StaleReset,
    /// All connections are reset, and further commands with probability `part` once they have run.
    Reset,
    /// Not there: connections are reset, new ones refused, until the end. What it held stays.
    Refuse,
    /// Commands run, their answers get lost with probability `part`, and their connection is mute from then on.
    Lost,
    /// Commands are turned away with probability `part`.
    Busy,
    /// Commands run and are answered -ERR failed with probability `part`.
    Error,
    /// Commands run and are answered by noise with probability `part`.
    Spoil,
    /// Dies, and is back at the end: empty, cold.
    Die,
    /// Dies, and another one comes up at its address at the end, under a new id.
    Replace,
    /// Drains, and is gone at the end.
    Drain,
    /// Hosts one after the other: drained for a third of their time, restarted empty and cold.
    RollOut,
    /// As many new hosts, cold.
    Grow,
    /// The origin works `factor` times as long.
    OriginSlow,
    OriginDown,
    /// Discovery is silent.
    DiscoveryDown,
    /// Discovery answers, but tells no change.
    DiscoveryStale,
    /// Discovery names addresses where nothing listens, for these hosts.
    DiscoveryWrong,
    /// A balancer is killed, and started again at the end.
    BalancerKill,
    /// The generator itself stops: this voids the run, and shows that it does.
    GeneratorStop,
    /// Each op costs the generator's thread `factor` milliseconds more: this voids the run, and shows that it does.
    GeneratorSlow,
}

#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: Kind,
    #[serde(default)]
    pub hosts: Which,
    /// Seen by this balancer only; for `balancer-kill` the one that is killed.
    pub balancer: Option<usize>,
    pub from_s: f64,
    /// The end of the run otherwise.
    pub to_s: Option<f64>,
    #[serde(default = "one")]
    pub part: f64,
    #[serde(default = "ten")]
    pub factor: f64,
    /// It begins again so often, each time for as long.
    pub every_s: Option<f64>,
}

fn ten() -> f64 {
    10.0
}

#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum Which {
    /// So many, drawn from the seed.
    Count(usize),
    These(Vec<usize>),
    Named(All),
}

#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum All {
    All,
}

impl Default for Which {
    fn default() -> Which {
        Which::Count(1)
    }
}

/// What is played: a program, or a baseline of ours.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Arm {
    pub name: String,
    /// A balancer that reads PROXY_CONFIG; the one beside the lab where neither is given.
    pub program: Option<PathBuf>,
    pub baseline: Option<Baseline>,
    /// An operators' file with a map of zones to regions, beside the experiment's; the balancer finds its path in the
    /// variable `BASALTWOOD_REGIONS`. Absent, the variable is not set.
    pub regions: Option<PathBuf>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, clap::ValueEnum)]
#[serde(rename_all = "kebab-case")]
pub enum Baseline {
    Random,
    LeastInFlight,
    PlainRing,
}

impl Baseline {
    pub const ALL: [Baseline; 3] = [Baseline::Random, Baseline::LeastInFlight, Baseline::PlainRing];

    pub fn name(self) -> &'static str {
        match self {
            Baseline::Random => "random",
            Baseline::LeastInFlight => "least-in-flight",
            Baseline::PlainRing => "plain-ring",
        }
    }
}

impl Fault {
    pub fn from(&self) -> Micros {
        seconds(self.from_s)
    }
}

impl Load {
    /// An op that leaves later than this is late, in microseconds.
    pub fn late(&self) -> Micros {
        millis(self.late_ms)
    }
}

/// How many descriptors this process may hold, where the system says.
pub fn allowed_descriptors() -> Option<usize> {
    let limits = std::fs::read_to_string("/proc/self/limits").unwrap_or_default();
    let soft = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    soft.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok())
}

/// A zone's name in the list, from its number (0 is the first): `z01` and on.
pub fn zone_name(nth: u32) -> String {
    format!("z{:02}", nth + 1)
}

impl Category {
    pub fn target(&self) -> Micros {
        millis(self.target_ms)
    }

    pub fn ttl(&self) -> Micros {
        millis(self.ttl_ms)
    }
}

impl Experiment {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// One line that names the file, the line where there is one, what is wrong and the way out.
    pub fn read(path: &Path) -> Result<Experiment, String> {
        let text = std::fs::read_to_string(path).map_err(|cause| format!("{}: {cause}", path.display()))?;
        let mut experiment =
            Experiment::parse(&text).map_err(|cause| format!("{}:{cause}", path.display()))?;
        // What a file names lies beside it.
        let beside = path.parent().unwrap_or(Path::new(""));
        if let Some(trace) = &mut experiment.load.trace {
            *trace = beside.join(&*trace);
        }
        for regions in experiment.arms.iter_mut().filter_map(|arm| arm.regions.as_mut()) {
            *regions = beside.join(&*regions);
            if !regions.is_file() {
                return Err(format!(
                    "{}: arms: regions: there is no file {}",
                    path.display(),
                    regions.display()
                ));
            }
        }
        Ok(experiment)
    }

    pub fn parse(text: &str) -> Result<Experiment, String> {
        let experiment: Experiment = toml::from_str(text).map_err(|cause| {
            let line = cause.span().map_or(0, |span| text[..span.start].matches('\n').count() + 1);
            format!("{line}: {}", cause.message().replace('\n', " "))
        })?;
        experiment.check().map_err(|cause| format!(" {cause}"))?;
        Ok(experiment)
    }

    pub fn length(&self) -> Micros {
        seconds(self.seconds)
    }

    /// What its figures ask of lab and machine, where so much of the benefit was earned.
    pub fn bounds(&self, benefit: f64) -> LatenessBounds {
        let target = self.categories.iter().map(Category::target).min().unwrap_or(0);
        LatenessBounds { late: self.load.late(), target, missed: 1.0 - benefit }
    }

    /// # Errors
    /// The first thing that can't be played, and what to change.
    pub fn check(&self) -> Result<(), String> {
        let sane = |what: &str, value: f64, least: f64, most: f64| {
            if (least..=most).contains(&value) {
                Ok(())
            } else {
                Err(format!("{what} = {value} is not between {least} and {most}"))
            }
        };
        sane("seconds", self.seconds, 0.5, 3_600.0)?;
        sane("balancers", self.balancers as f64, 1.0, 64.0)?;
        sane("fleet.hosts", self.fleet.hosts as f64, 1.0, 4_000.0)?;
        sane("fleet.zones", self.fleet.zones as f64, 1.0, 256.0)?;
        sane("fleet.cores", self.fleet.cores as f64, 1.0, 1_024.0)?;
        sane("fleet.speed", self.fleet.speed, 0.001, 1_000.0)?;
        sane("fleet.filled", self.fleet.filled, 0.0, 1.0)?;
        sane("fleet.store", self.fleet.store as f64, 1.0, 1e7)?;
        sane("origin.cores", self.origin.cores as f64, 1.0, 1_024.0)?;
        sane("cold.from", self.cold.from, 0.001, 1.0)?;
        sane("load.rate", self.load.rate, 0.1, 200_000.0)?;
        sane("load.rate times seconds", self.load.rate * self.seconds, 1.0, 2e7)?;
        sane("load.keys", self.load.keys as f64, 1.0, 1e7)?;
        sane("load.zipf", self.load.zipf, 0.0, 5.0)?;
        sane("load.value_bytes", self.load.value_bytes as f64, 48.0, 65_536.0)?;
        sane("load.pipeline", self.load.pipeline as f64, 1.0, 1_024.0)?;
        sane("load.late_ms", self.load.late_ms, 0.1, 1_000.0)?;
        sane("load.connections", self.load.connections as f64, 1.0, 100_000.0)?;
        sane("load.speed", self.load.speed, 0.01, 1_000.0)?;
        if self.seeds.is_empty() {
            return Err("seeds is empty: name one at least".to_owned());
        }
        if self.categories.is_empty() {
            return Err("there are no categories: write one [[categories]] at least".to_owned());
        }
        for (nth, category) in self.categories.iter().enumerate() {
            let name = &category.name;
            if self.categories[..nth].iter().any(|other| other.name == *name) {
                return Err(format!("two categories are named {name}: rename one"));
            }
            sane(&format!("category {name}: share"), category.share, 0.0, 1e6)?;
            sane(&format!("category {name}: ttl_ms"), category.ttl_ms, 1.0, 600_000.0)?;
            sane(&format!("category {name}: target_ms"), category.target_ms, 1.0, category.ttl_ms)?;
            if category.repeats == Repeats::Deduplicated && category.window_ms <= 0.0 {
                return Err(format!("category {name} is deduplicated: give its window_ms"));
            }
        }
        if let Some(flood) = &self.load.flood {
            if !self.customers.iter().any(|customer| customer.name == flood.customer) {
                return Err(format!("load.flood: there is no customer {}", flood.customer));
            }
        }
        for (nth, fault) in self.faults.iter().enumerate() {
            let what = format!("fault {} ({:?})", nth + 1, fault.kind);
            sane(&format!("{what}: from_s"), fault.from_s, 0.0, self.seconds)?;
            if let Some(to) = fault.to_s {
                sane(&format!("{what}: to_s"), to, fault.from_s, self.seconds)?;
            }
            sane(&format!("{what}: part"), fault.part, 0.0, 1.0)?;
            sane(&format!("{what}: factor"), fault.factor, 0.01, 10_000.0)?;
            if fault.every_s.is_some_and(|every| every <= fault.to_s.unwrap_or(every) - fault.from_s) {
                return Err(format!(
                    "{what}: every_s must be longer than the fault itself, which needs to_s"
                ));
            }
            if fault.balancer.is_some_and(|balancer| balancer >= self.balancers) {
                return Err(format!("{what}: there are balancers 0 to {} only", self.balancers - 1));
            }
            use Kind::*;
            let one_way = [Silent, Stale, StaleReset, Reset, Refuse, Lost, Busy, Error, Spoil, BalancerKill];
            let one_way = one_way.contains(&fault.kind)
                || [DiscoveryDown, DiscoveryStale, DiscoveryWrong].contains(&fault.kind);
            if fault.balancer.is_some() && !one_way {
                return Err(format!("{what}: it is the same for every balancer, so leave `balancer` out"));
            }
            match &fault.hosts {
                Which::These(hosts) if hosts.iter().any(|&host| host >= self.fleet.hosts) => {
                    return Err(format!("{what}: there are hosts 0 to {} only", self.fleet.hosts - 1));
                }
                Which::Count(count) if fault.kind != Kind::Grow && *count > self.fleet.hosts => {
                    return Err(format!("{what}: there are {} hosts only", self.fleet.hosts));
                }
                _ => {}
            }
        }
        self.descriptors()
    }

    /// Whether this process can hold all listeners and connections: both ends of clients' and the hosts' end of pushes.
    fn descriptors(&self) -> Result<(), String> {
        let grown =
            self.faults.iter().filter(|fault| fault.kind == Kind::Grow).map(|fault| match fault.hosts {
                Which::Count(count) => count,
                _ => 0,
            });
        let hosts = self.fleet.hosts + grown.sum::<usize>() + 1;
        // A balancer holds half of its descriptors at the most for clients, and all others may go to hosts.
        let needed = self.balancers * (hosts + 1 + self.load.connections + self.limits.sockets) + 64;
        let allowed = allowed_descriptors();
        match allowed {
            Some(allowed) if needed > allowed => Err(format!(
                "it needs up to {needed} descriptors and {allowed} are allowed: fewer hosts, balancers, \
                 load.connections or limits.sockets, or a higher `ulimit -n`"
            )),
            _ => Ok(()),
        }
    }
}
