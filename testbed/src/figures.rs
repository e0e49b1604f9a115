//! What a run comes to: figures over the whole and by second, from the generator's records and the
//! ledger. Pure.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::audit::Breach;
use crate::balancers::ResourceUsage;
use crate::experiment::Experiment;
use crate::lateness::{self, part_over, LatenessHistograms};
use crate::ledger::{Event, HostNo, Observation};
use crate::load::player::{RequestOutcome, RequestRecord};
use crate::time::{Micros, SECOND};
use crate::world::faults::FaultWindow;

/// The longest latency that histograms tell apart from longer ones: an hour, in microseconds.
const LONGEST_LATENCY: u64 = 3_600_000_000;
/// Up to which part of the requests a percentile curve goes: five nines.
const SMALLEST_PART_OF_CURVE: f64 = 1e-5;

/// Times in milliseconds by percentile.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// How many times there were.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 90th percentile.
    pub p90: f64,
    /// The 99th percentile.
    pub p99: f64,
    /// The 99.9th percentile.
    pub p999: f64,
    /// The 99.99th percentile.
    pub p9999: f64,
    /// The longest.
    #[serde(rename = "most")]
    pub max: f64,
    /// (percentile, milliseconds), for a plot.
    pub curve: Vec<(f64, f64)>,
}

impl Latency {
    /// Of times in microseconds.
    pub fn of(times: impl Iterator<Item = Micros>) -> Latency {
        // To three digits: an hour fits.
        let Ok(mut histogram) = Histogram::<u64>::new_with_bounds(1, LONGEST_LATENCY, 3) else {
            return Latency::default();
        };
        times.for_each(|time| histogram.saturating_record(time.max(1) as u64));
        let at = |percentile: f64| histogram.value_at_percentile(percentile) as f64 / 1e3;
        Latency {
            count: histogram.len(),
            p50: at(50.0),
            p90: at(90.0),
            p99: at(99.0),
            p999: at(99.9),
            p9999: at(99.99),
            max: histogram.max() as f64 / 1e3,
            curve: curve(at),
        }
    }
}

/// As many points for each further nine.
fn curve(at: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    let mut above: f64 = 1.0;
    while above > SMALLEST_PART_OF_CURVE {
        let percentile = 100.0 * (1.0 - above);
        points.push((percentile, at(percentile)));
        above *= 0.8;
    }
    points
}

/// What one host did.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostFigures {
    /// Attempts that reached it.
    #[serde(rename = "pushed")]
    pub attempts: u64,
    /// Those that ran.
    #[serde(rename = "ran")]
    pub executed: u64,
    /// Those whose key it lacked.
    #[serde(rename = "missed")]
    pub misses: u64,
    /// Those that it rejected.
    #[serde(rename = "turned")]
    pub rejected: u64,
}

/// A second of a run: the requests that were due in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Requests.
    #[serde(rename = "ops")]
    pub requests: u64,
    /// Benefit within the latency objective over the benefit that all could have earned.
    pub benefit: f64,
    /// Rejected requests.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Requests that ended otherwise without a value, but for those whose client went away.
    pub failed: u64,
    /// The median time until the end, in milliseconds.
    pub p50: f64,
    /// The 99th percentile of it.
    pub p99: f64,
    /// The longest.
    #[serde(rename = "most")]
    pub max: f64,
}

/// A run's figures. Results keep the names that fields had at first; a reader passes over fields
/// that it does not know.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// Requests.
    #[serde(rename = "ops")]
    pub requests: u64,
    /// Benefit earned over the benefit that all could have earned: 1 is all within the objective.
    pub benefit: f64,
    /// Requests that got their value.
    pub served: u64,
    /// Those that got it within the latency objective.
    pub in_target: u64,
    /// Requests that were rejected (`-BUSY`).
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Requests that got another error.
    pub failed: u64,
    /// Ended with the balancer's connection, or without an answer, or with another request's value.
    pub lost: u64,
    /// Requests whose client went away.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Requests that no balancer could be reached for.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
    /// What clients sent, their retries included.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Of requests that were served, from when they were due.
    pub latency: Latency,
    /// Of all requests, however they ended.
    pub until_end: Latency,
    /// Requests that took over a second.
    pub over_1s: u64,
    /// By how much requests left later than they were due, in milliseconds.
    pub late_p99_ms: f64,
    /// The most that one left late.
    #[serde(rename = "late_most_ms")]
    pub late_max_ms: f64,
    /// The part that left over `load.late_ms` late.
    pub late_part: f64,
    /// CPU of the generator.
    #[serde(rename = "generator_us_per_op")]
    pub generator_us_per_request: f64,
    /// CPU of the emulated hosts, origin and discovery.
    #[serde(default, rename = "world_us_per_op")]
    pub world_us_per_request: f64,
    /// The longest that the emulated fleet stood still.
    pub world_late_ms: f64,
    /// The part of its periods that came over `load.late_ms` late.
    #[serde(default)]
    pub world_late_part: f64,
    /// The same less the time for which it stood ready and had no core.
    #[serde(default)]
    pub world_own_part: f64,
    /// The lateness of a thread that only sleeps, a period of a millisecond: what the machine did
    /// to any thread in this run.
    #[serde(default, rename = "bare_p99_ms")]
    pub reference_p99_ms: f64,
    /// Its largest.
    #[serde(default, rename = "bare_most_ms")]
    pub reference_max_ms: f64,
    /// The part over `load.late_ms`.
    #[serde(default, rename = "bare_late_part")]
    pub reference_late_part: f64,
    /// Connections that hosts and origin accepted, a second of the run.
    #[serde(default)]
    pub opened_per_s: f64,
    /// Attempts at hosts and origin.
    #[serde(rename = "pushes_per_op")]
    pub attempts_per_request: f64,
    /// Attempts at the origin.
    #[serde(rename = "origin_pushes")]
    pub origin_attempts: u64,
    /// By the hosts' names.
    pub hosts: BTreeMap<String, HostFigures>,
    /// What each balancer used.
    pub balancers: Vec<ResourceUsage>,
    /// CPU of all balancers.
    #[serde(rename = "cpu_us_per_op")]
    pub cpu_us_per_request: f64,
    /// Second by second, from the first.
    pub seconds: Vec<Second>,
}

/// A fault's time, for plots. Stored as an array of these three.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64)", into = "(String, f64, f64)")]
pub struct ShadedFault {
    /// What went wrong.
    pub title: String,
    /// When it began, in seconds.
    pub from_s: f64,
    /// When it ended.
    pub to_s: f64,
}

impl From<(String, f64, f64)> for ShadedFault {
    fn from((title, from_s, to_s): (String, f64, f64)) -> ShadedFault {
        ShadedFault { title, from_s, to_s }
    }
}

impl From<ShadedFault> for (String, f64, f64) {
    fn from(fault: ShadedFault) -> (String, f64, f64) {
        (fault.title, fault.from_s, fault.to_s)
    }
}

/// One run: an arm with a seed.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Run {
    /// The experiment's name.
    pub experiment: String,
    /// The arm's name.
    pub arm: String,
    /// The seed.
    pub seed: u64,
    /// Why it counts for nothing, where it does.
    pub void: Option<String>,
    /// What is to be known of one that counts: the machine was late.
    #[serde(default)]
    pub warning: Option<String>,
    /// What it comes to.
    pub figures: Figures,
    /// The rules that were broken.
    pub breaches: Vec<Breach>,
    /// What went wrong by the experiment's will.
    pub faults: Vec<ShadedFault>,
    /// The balancers' own counters, summed, by name.
    #[serde(default)]
    pub counters: BTreeMap<String, u64>,
}

impl Run {
    /// Whether a rule was broken.
    pub fn in_breach(&self) -> bool {
        !self.breaches.is_empty()
    }
}

/// Benefit, in the experiment's units.
#[derive(Clone, Copy, Default)]
struct Benefit {
    earned: f64,
    possible: f64,
}

impl Benefit {
    /// Of one request.
    fn of(record: &RequestRecord, experiment: &Experiment) -> Benefit {
        let category = &experiment.categories[usize::from(record.category)];
        let part = match record.outcome {
            RequestOutcome::Served if record.latency() <= category.target() => 1.0,
            RequestOutcome::Served if record.latency() <= category.ttl() => category.late_benefit,
            _ => 0.0,
        };
        Benefit { earned: part * category.benefit, possible: category.benefit }
    }

    /// Of several, added in their order.
    fn sum<'a>(records: impl Iterator<Item = &'a RequestRecord>, experiment: &Experiment) -> Benefit {
        let mut sum = Benefit::default();
        for record in records {
            let benefit = Benefit::of(record, experiment);
            sum.earned += benefit.earned;
            sum.possible += benefit.possible;
        }
        sum
    }

    /// The part that was earned, or this where none was possible.
    fn part_or(self, none_possible: f64) -> f64 {
        if self.possible > 0.0 {
            self.earned / self.possible
        } else {
            none_possible
        }
    }
}

/// The figures of a run that records and events give; the caller adds what it knows of lateness
/// and of the balancers.
pub fn figures(
    experiment: &Experiment,
    records: &[RequestRecord],
    events: &[Event],
    generator_cpu_s: f64,
) -> Figures {
    let requests = records.len().max(1) as f64;
    let served = records.iter().filter(|record| record.outcome == RequestOutcome::Served);
    let late = request_lateness(records);
    let mut figures = Figures {
        requests: records.len() as u64,
        benefit: Benefit::sum(records.iter(), experiment).part_or(0.0),
        latency: Latency::of(served.map(RequestRecord::latency)),
        until_end: Latency::of(records.iter().map(RequestRecord::latency)),
        late_p99_ms: late.value_at_quantile(0.99) as f64 / 1e3,
        late_max_ms: late.max() as f64 / 1e3,
        late_part: part_over(&late, experiment.load.late()),
        generator_us_per_request: generator_cpu_s * 1e6 / requests,
        seconds: by_second(records, experiment),
        ..Figures::default()
    };
    for record in records {
        figures.count(record, experiment);
    }
    figures.add_hosts(events, requests);
    figures
}

fn by_second(records: &[RequestRecord], experiment: &Experiment) -> Vec<Second> {
    let mut seconds: BTreeMap<i64, Vec<&RequestRecord>> = BTreeMap::new();
    for record in records {
        seconds.entry(record.due_at / SECOND).or_default().push(record);
    }
    let last = seconds.keys().next_back().copied().unwrap_or(0);
    let records_of = |nth: i64| seconds.get(&nth).map_or(&[][..], Vec::as_slice);
    (0..=last).map(|nth| second(records_of(nth), experiment)).collect()
}

fn second(records: &[&RequestRecord], experiment: &Experiment) -> Second {
    let count =
        |outcome: RequestOutcome| records.iter().filter(|record| record.outcome == outcome).count() as u64;
    let requests = records.len() as u64;
    let (served, rejected) = (count(RequestOutcome::Served), count(RequestOutcome::Rejected));
    let latency = Latency::of(records.iter().map(|record| record.latency()));
    Second {
        requests,
        benefit: Benefit::sum(records.iter().copied(), experiment).part_or(1.0),
        rejected,
        failed: requests - served - rejected - count(RequestOutcome::Abandoned),
        p50: latency.p50,
        p99: latency.p99,
        max: latency.max,
    }
}

impl Figures {
    fn count(&mut self, record: &RequestRecord, experiment: &Experiment) {
        let category = &experiment.categories[usize::from(record.category)];
        self.client_attempts += u64::from(record.attempts);
        self.over_1s += u64::from(record.latency() > SECOND);
        match record.outcome {
            RequestOutcome::Served => {
                self.served += 1;
                self.in_target += u64::from(record.latency() <= category.target());
            }
            RequestOutcome::Rejected => self.rejected += 1,
            RequestOutcome::Failed => self.failed += 1,
            RequestOutcome::WrongValue | RequestOutcome::ConnectionLost | RequestOutcome::TimedOut => {
                self.lost += 1;
            }
            RequestOutcome::Abandoned => self.abandoned += 1,
            RequestOutcome::Unreachable => self.unreachable += 1,
        }
    }

    fn add_hosts(&mut self, events: &[Event], requests: f64) {
        let mut hosts: BTreeMap<HostNo, HostFigures> = BTreeMap::new();
        for event in events {
            match event.observation {
                Observation::AttemptReceived { host, .. } => hosts.entry(host).or_default().attempts += 1,
                Observation::Executed { host, .. } => hosts.entry(host).or_default().executed += 1,
                Observation::KeyMissing { host, .. } => hosts.entry(host).or_default().misses += 1,
                Observation::AttemptRejected { host, .. } => hosts.entry(host).or_default().rejected += 1,
                _ => {}
            }
        }
        let attempts: u64 = hosts.values().map(|host| host.attempts).sum();
        self.attempts_per_request = attempts as f64 / requests;
        self.origin_attempts = hosts.get(&HostNo::ORIGIN).map_or(0, |host| host.attempts);
        self.hosts = hosts.into_iter().map(|(no, figures)| (no.to_string(), figures)).collect();
    }

    /// Adds how late the machine woke the reference thread, and how late the world's thread was.
    pub fn note_late(&mut self, reference: &LatenessHistograms, world: &LatenessHistograms, bound: Micros) {
        self.reference_p99_ms = reference.late.value_at_quantile(0.99) as f64 / 1e3;
        self.reference_max_ms = reference.late.max() as f64 / 1e3;
        self.reference_late_part = part_over(&reference.late, bound);
        self.world_late_ms = world.late.max() as f64 / 1e3;
        self.world_late_part = part_over(&world.late, bound);
        self.world_own_part = part_over(&world.own, bound);
    }
}

/// By how much each request left later than it was due.
pub fn request_lateness(records: &[RequestRecord]) -> Histogram<u64> {
    let mut late = lateness::histogram();
    for record in records {
        late.saturating_record((record.sent_at - record.due_at).max(0) as u64);
    }
    late
}

/// The faults as plots show them.
pub fn shaded(windows: &[FaultWindow]) -> Vec<ShadedFault> {
    let shade = |window: &FaultWindow| ShadedFault {
        title: window.title(),
        from_s: window.from as f64 / 1e6,
        to_s: window.to as f64 / 1e6,
    };
    windows.iter().map(shade).collect()
}
