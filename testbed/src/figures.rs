//! What a run comes to: figures over the whole and by second, from the generator's records and the ledger. Pure.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::audit::Breach;
use crate::balancers::ResourceUsage;
use crate::lateness::{self, part_over, Seen};
use crate::ledger::{Event, HostNo, What};
use crate::load::player::{RequestOutcome, RequestRecord};
use crate::script::Experiment;
use crate::time::{Micros, SECOND};
use crate::world::faults::FaultWindow;

/// Times in milliseconds by percentile.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    pub count: u64,
    pub p50: f64,
    pub p90: f64,
    pub p99: f64,
    pub p999: f64,
    pub p9999: f64,
    pub most: f64,
    /// (percentile, milliseconds), for a plot.
    pub curve: Vec<(f64, f64)>,
}

impl Latency {
    pub fn of(times: impl Iterator<Item = Micros>) -> Latency {
        // Microseconds to three digits: an hour fits.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, 3_600_000_000, 3) else {
            return Latency::default();
        };
        times.for_each(|time| histogram.saturating_record(time.max(1) as u64));
        let at = |percentile: f64| histogram.value_at_percentile(percentile) as f64 / 1e3;
        let mut curve = Vec::new();
        // As many points for each further nine.
        let mut left: f64 = 1.0;
        while left > 1e-5 {
            curve.push((100.0 * (1.0 - left), at(100.0 * (1.0 - left))));
            left *= 0.8;
        }
        Latency {
            count: histogram.len(),
            p50: at(50.0),
            p90: at(90.0),
            p99: at(99.0),
            p999: at(99.9),
            p9999: at(99.99),
            most: histogram.max() as f64 / 1e3,
            curve,
        }
    }
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostFigures {
    pub pushed: u64,
    pub ran: u64,
    pub missed: u64,
    pub turned: u64,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    pub ops: u64,
    /// Benefit within target latency over benefit asked for.
    pub benefit: f64,
    pub nacked: u64,
    pub failed: u64,
    pub p50: f64,
    pub p99: f64,
    pub most: f64,
}

/// A run's figures. A later reader passes over what it does not know.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    pub ops: u64,
    /// Benefit earned over benefit asked for: 1 is all within target latency.
    pub benefit: f64,
    pub served: u64,
    pub in_target: u64,
    pub nacked: u64,
    pub failed: u64,
    /// Ended with the balancer's connection, or without an answer, or with another op's value.
    pub lost: u64,
    pub left: u64,
    pub unreached: u64,
    pub tries: u64,
    /// Of ops that were served, from when they were due.
    pub latency: Latency,
    /// Of all ops, however they ended.
    pub until_end: Latency,
    pub over_1s: u64,
    /// By how much ops left later than they were due, in milliseconds.
    pub late_p99_ms: f64,
    pub late_most_ms: f64,
    pub late_part: f64,
    pub generator_us_per_op: f64,
    /// CPU of the emulated hosts, origin and discovery.
    #[serde(default)]
    pub world_us_per_op: f64,
    /// The longest that the emulated fleet stood still, and the part of its turns that came over `load.late_ms` late.
    pub world_late_ms: f64,
    #[serde(default)]
    pub world_late_part: f64,
    /// The same beside the time for which it stood ready and had no core.
    #[serde(default)]
    pub world_own_part: f64,
    /// The same of a thread that only sleeps, a turn a millisecond: what the machine did to any thread in this run.
    #[serde(default)]
    pub bare_p99_ms: f64,
    #[serde(default)]
    pub bare_most_ms: f64,
    #[serde(default)]
    pub bare_late_part: f64,
    /// Connections that hosts and origin took, a second of the run.
    #[serde(default)]
    pub opened_per_s: f64,
    pub pushes_per_op: f64,
    pub origin_pushes: u64,
    pub hosts: BTreeMap<String, HostFigures>,
    pub balancers: Vec<ResourceUsage>,
    pub cpu_us_per_op: f64,
    pub seconds: Vec<Second>,
}

/// One run: an arm with a seed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Run {
    pub experiment: String,
    pub arm: String,
    pub seed: u64,
    /// Why it counts for nothing, where it does.
    pub void: Option<String>,
    /// What is to be known of one that counts: the machine was late.
    #[serde(default)]
    pub warning: Option<String>,
    pub figures: Figures,
    pub breaches: Vec<Breach>,
    /// Faults: what, from and to, in seconds.
    pub faults: Vec<(String, f64, f64)>,
    /// What the balancers say they have counted, summed, by name.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
}

impl Run {
    pub fn in_breach(&self) -> bool {
        !self.breaches.is_empty()
    }
}

/// What an op earned, and what it asked for.
pub fn earned(record: &RequestRecord, experiment: &Experiment) -> (f64, f64) {
    let category = &experiment.categories[usize::from(record.category)];
    let part = match record.outcome {
        RequestOutcome::Served if record.latency() <= category.target() => 1.0,
        RequestOutcome::Served if record.latency() <= category.ttl() => category.late_benefit,
        _ => 0.0,
    };
    (part * category.benefit, category.benefit)
}

pub fn figures(
    experiment: &Experiment,
    records: &[RequestRecord],
    events: &[Event],
    generator_cpu_s: f64,
) -> Figures {
    let mut figures = Figures { ops: records.len() as u64, ..Figures::default() };
    let ops = records.len().max(1) as f64;
    let mut seconds: BTreeMap<i64, Vec<&RequestRecord>> = BTreeMap::new();
    let (mut got, mut asked) = (0.0, 0.0);
    for record in records {
        seconds.entry(record.due_at / SECOND).or_default().push(record);
        let (gained, worth) = earned(record, experiment);
        (got, asked) = (got + gained, asked + worth);
        figures.tries += u64::from(record.attempts);
        figures.over_1s += u64::from(record.latency() > SECOND);
        let category = &experiment.categories[usize::from(record.category)];
        let count = match record.outcome {
            RequestOutcome::Served => &mut figures.served,
            RequestOutcome::Rejected => &mut figures.nacked,
            RequestOutcome::Failed => &mut figures.failed,
            RequestOutcome::WrongValue | RequestOutcome::ConnectionLost | RequestOutcome::TimedOut => {
                &mut figures.lost
            }
            RequestOutcome::Abandoned => &mut figures.left,
            RequestOutcome::Unreachable => &mut figures.unreached,
        };
        *count += 1;
        figures.in_target +=
            u64::from(record.outcome == RequestOutcome::Served && record.latency() <= category.target());
    }
    figures.benefit = if asked > 0.0 { got / asked } else { 0.0 };
    let served = records.iter().filter(|record| record.outcome == RequestOutcome::Served);
    figures.latency = Latency::of(served.map(RequestRecord::latency));
    figures.until_end = Latency::of(records.iter().map(RequestRecord::latency));
    let late = late(records);
    figures.late_p99_ms = late.value_at_quantile(0.99) as f64 / 1e3;
    figures.late_most_ms = late.max() as f64 / 1e3;
    figures.late_part = part_over(&late, experiment.load.late());
    figures.generator_us_per_op = generator_cpu_s * 1e6 / ops;
    let mut hosts: BTreeMap<HostNo, HostFigures> = BTreeMap::new();
    let mut pushes = 0_u64;
    for event in events {
        match event.what {
            What::Pushed { host, .. } => {
                hosts.entry(host).or_default().pushed += 1;
                pushes += 1;
            }
            What::Ran { host, .. } => hosts.entry(host).or_default().ran += 1,
            What::Missed { host, .. } => hosts.entry(host).or_default().missed += 1,
            What::Turned { host, .. } => hosts.entry(host).or_default().turned += 1,
            _ => {}
        }
    }
    figures.pushes_per_op = pushes as f64 / ops;
    figures.origin_pushes = hosts.get(&HostNo::ORIGIN).map_or(0, |host| host.pushed);
    figures.hosts = hosts.into_iter().map(|(no, figures)| (no.to_string(), figures)).collect();
    let last = seconds.keys().next_back().copied().unwrap_or(0);
    figures.seconds =
        (0..=last).map(|nth| second(seconds.get(&nth).map_or(&[][..], Vec::as_slice), experiment)).collect();
    figures
}

fn second(records: &[&RequestRecord], experiment: &Experiment) -> Second {
    let sums = records.iter().map(|record| earned(record, experiment));
    let (got, asked) = sums.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
    let count = |end: RequestOutcome| records.iter().filter(|record| record.outcome == end).count() as u64;
    let latency = Latency::of(records.iter().map(|record| record.latency()));
    Second {
        ops: records.len() as u64,
        benefit: if asked > 0.0 { got / asked } else { 1.0 },
        nacked: count(RequestOutcome::Rejected),
        failed: records.len() as u64
            - count(RequestOutcome::Served)
            - count(RequestOutcome::Rejected)
            - count(RequestOutcome::Abandoned),
        p50: latency.p50,
        p99: latency.p99,
        most: latency.most,
    }
}

impl Figures {
    /// How late the machine woke a bare thread, and how late the world's thread was.
    pub fn note_late(&mut self, bare: &Seen, world: &Seen, bound: Micros) {
        let (Seen { late: bare, .. }, Seen { late: world, own }) = (bare, world);
        self.bare_p99_ms = bare.value_at_quantile(0.99) as f64 / 1e3;
        self.bare_most_ms = bare.max() as f64 / 1e3;
        self.bare_late_part = part_over(bare, bound);
        self.world_late_ms = world.max() as f64 / 1e3;
        self.world_late_part = part_over(world, bound);
        self.world_own_part = part_over(own, bound);
    }
}

/// By how much each op left later than it was due.
pub fn late(records: &[RequestRecord]) -> Histogram<u64> {
    let mut late = lateness::histogram();
    records.iter().for_each(|record| late.saturating_record((record.sent_at - record.due_at).max(0) as u64));
    late
}

pub fn shaded(spans: &[FaultWindow]) -> Vec<(String, f64, f64)> {
    spans.iter().map(|span| (span.title(), span.from as f64 / 1e6, span.to as f64 / 1e6)).collect()
}
