//! The figures of a run, in total and by second, computed from the generator's records and the
//! ledger. No input or output.

use std::collections::BTreeMap;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::audit::Breach;
use crate::balancers::ResourceUsage;
use crate::experiment::Experiment;
use crate::lateness::{self, fraction_over, LatenessHistograms};
use crate::ledger::{Event, HostNo, Observation};
use crate::load::player::{RequestOutcome, RequestRecord};
use crate::time::{Micros, SECOND};
use crate::world::faults::FaultWindow;

/// The longest latency that histograms can record, in microseconds: an hour.
const LONGEST_LATENCY: u64 = 3_600_000_000;
/// A percentile curve ends at the 99.999th percentile, which this fraction of the requests exceeds.
const MIN_CURVE_FRACTION: f64 = 1e-5;

/// The percentiles of a set of times, in milliseconds.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Latency {
    /// The number of times in the set.
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
    /// Pairs of percentile and milliseconds, for a plot.
    pub curve: Vec<(f64, f64)>,
}

impl Latency {
    /// Computes the percentiles of times in microseconds.
    pub fn of(times: impl Iterator<Item = Micros>) -> Latency {
        // Three significant digits; longer times are recorded as LONGEST_LATENCY.
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

/// The points of a percentile curve, evenly spaced on the axis of nines.
fn curve(at: impl Fn(f64) -> f64) -> Vec<(f64, f64)> {
    let mut points = Vec::new();
    let mut above: f64 = 1.0;
    while above > MIN_CURVE_FRACTION {
        let percentile = 100.0 * (1.0 - above);
        points.push((percentile, at(percentile)));
        above *= 0.8;
    }
    points
}

/// Counts of the attempts at one host.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HostFigures {
    /// Attempts that reached the host.
    #[serde(rename = "pushed")]
    pub attempts: u64,
    /// Attempts that ran.
    #[serde(rename = "ran")]
    pub executed: u64,
    /// Attempts whose key the host did not hold.
    #[serde(rename = "missed")]
    pub misses: u64,
    /// Attempts that the host rejected.
    #[serde(rename = "turned")]
    pub rejected: u64,
}

/// The figures of one second of a run, over the requests that were due in it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// The number of requests.
    #[serde(rename = "ops")]
    pub requests: u64,
    /// The earned fraction of the possible benefit.
    pub benefit: f64,
    /// Rejected requests.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Requests that were neither served, rejected nor abandoned by their client.
    pub failed: u64,
    /// The median time until a request ended, in milliseconds.
    pub p50: f64,
    /// The 99th percentile of the time until a request ended, in milliseconds.
    pub p99: f64,
    /// The longest time until a request ended, in milliseconds.
    #[serde(rename = "most")]
    pub max: f64,
}

/// The figures of a run. The `rename` attributes keep the field names of results written by older
/// versions; readers ignore unknown fields.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Figures {
    /// The number of requests.
    #[serde(rename = "ops")]
    pub requests: u64,
    /// The earned fraction of the possible benefit; 1 if all were served within the objective.
    pub benefit: f64,
    /// Requests that were served with their value.
    pub served: u64,
    /// Requests that were served within the latency objective.
    pub in_target: u64,
    /// Requests that were rejected (`-BUSY`).
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Requests that ended with another error.
    pub failed: u64,
    /// Requests that ended with a lost connection, no reply, or the value of another request.
    pub lost: u64,
    /// Requests whose client disconnected before a reply.
    #[serde(rename = "left")]
    pub abandoned: u64,
    /// Requests for which no balancer could be reached.
    #[serde(rename = "unreached")]
    pub unreachable: u64,
    /// Attempts by clients, retries included.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// The time from when served requests were due until their reply.
    pub latency: Latency,
    /// The time from when requests were due until they ended, over all outcomes.
    pub until_end: Latency,
    /// Requests that took over a second.
    pub over_1s: u64,
    /// The 99th percentile of the requests' lateness when sent, in milliseconds.
    pub late_p99_ms: f64,
    /// The largest lateness of a request when sent, in milliseconds.
    #[serde(rename = "late_most_ms")]
    pub late_max_ms: f64,
    /// The fraction of the requests that were sent more than `load.late_ms` late.
    pub late_part: f64,
    /// CPU time of the generator per request.
    #[serde(rename = "generator_us_per_op")]
    pub generator_us_per_request: f64,
    /// CPU time of the emulated hosts, origin and discovery per request.
    #[serde(default, rename = "world_us_per_op")]
    pub world_us_per_request: f64,
    /// The largest lateness of the emulated world's thread.
    pub world_late_ms: f64,
    /// The fraction of the world thread's periods that were more than `load.late_ms` late.
    #[serde(default)]
    pub world_late_part: f64,
    /// The same fraction without the time for which the thread was runnable but had no core.
    #[serde(default)]
    pub world_own_part: f64,
    /// The 99th percentile of the reference thread's lateness. The thread only sleeps, with a
    /// period of a millisecond, and so shows the lateness that the machine causes in any thread.
    #[serde(default, rename = "bare_p99_ms")]
    pub reference_p99_ms: f64,
    /// The largest lateness of the reference thread.
    #[serde(default, rename = "bare_most_ms")]
    pub reference_max_ms: f64,
    /// The fraction of the reference thread's periods that were more than `load.late_ms` late.
    #[serde(default, rename = "bare_late_part")]
    pub reference_late_part: f64,
    /// Connections that hosts and origin accepted, per second of the run.
    #[serde(default)]
    pub opened_per_s: f64,
    /// Attempts at hosts and origin per request.
    #[serde(rename = "pushes_per_op")]
    pub attempts_per_request: f64,
    /// Attempts at the origin.
    #[serde(rename = "origin_pushes")]
    pub origin_attempts: u64,
    /// The figures of each host by its name.
    pub hosts: BTreeMap<String, HostFigures>,
    /// The resources that each balancer used.
    pub balancers: Vec<ResourceUsage>,
    /// CPU time of all balancers per request.
    #[serde(rename = "cpu_us_per_op")]
    pub cpu_us_per_request: f64,
    /// The figures of each second, from the first.
    pub seconds: Vec<Second>,
}

/// The time span of a fault, shaded in plots. Stored as an array of the three fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(from = "(String, f64, f64)", into = "(String, f64, f64)")]
pub struct ShadedFault {
    /// The fault's title.
    pub title: String,
    /// When the fault began, in seconds since the start of the run.
    pub from_s: f64,
    /// When the fault ended.
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
    /// Why the run is void, that is its figures are invalid; absent for a valid run.
    pub void: Option<String>,
    /// A warning about a valid run: how late the machine was.
    #[serde(default)]
    pub warning: Option<String>,
    /// The run's figures.
    pub figures: Figures,
    /// Breaches of the four rules.
    pub breaches: Vec<Breach>,
    /// The injected faults.
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
    /// The benefit of one request.
    fn of(record: &RequestRecord, experiment: &Experiment) -> Benefit {
        let category = &experiment.categories[usize::from(record.category)];
        let part = match record.outcome {
            RequestOutcome::Served if record.latency() <= category.target() => 1.0,
            RequestOutcome::Served if record.latency() <= category.ttl() => category.late_benefit,
            _ => 0.0,
        };
        Benefit { earned: part * category.benefit, possible: category.benefit }
    }

    /// The benefit of several requests, added in their order.
    fn sum<'a>(records: impl Iterator<Item = &'a RequestRecord>, experiment: &Experiment) -> Benefit {
        let mut sum = Benefit::default();
        for record in records {
            let benefit = Benefit::of(record, experiment);
            sum.earned += benefit.earned;
            sum.possible += benefit.possible;
        }
        sum
    }

    /// The earned fraction, or `none_possible` if no benefit was possible.
    fn earned_fraction_or(self, none_possible: f64) -> f64 {
        if self.possible > 0.0 {
            self.earned / self.possible
        } else {
            none_possible
        }
    }
}

/// Computes the figures that follow from records and events. The caller adds those of lateness and
/// of the balancers.
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
        benefit: Benefit::sum(records.iter(), experiment).earned_fraction_or(0.0),
        latency: Latency::of(served.map(RequestRecord::latency)),
        until_end: Latency::of(records.iter().map(RequestRecord::latency)),
        late_p99_ms: late.value_at_quantile(0.99) as f64 / 1e3,
        late_max_ms: late.max() as f64 / 1e3,
        late_part: fraction_over(&late, experiment.load.late()),
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
        benefit: Benefit::sum(records.iter().copied(), experiment).earned_fraction_or(1.0),
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

    /// Adds the lateness of the reference thread and of the world's thread.
    pub fn add_lateness(
        &mut self,
        reference: &LatenessHistograms,
        world: &LatenessHistograms,
        bound: Micros,
    ) {
        self.reference_p99_ms = reference.late.value_at_quantile(0.99) as f64 / 1e3;
        self.reference_max_ms = reference.late.max() as f64 / 1e3;
        self.reference_late_part = fraction_over(&reference.late, bound);
        self.world_late_ms = world.late.max() as f64 / 1e3;
        self.world_late_part = fraction_over(&world.late, bound);
        self.world_own_part = fraction_over(&world.own, bound);
    }
}

/// The lateness of each request when it was sent.
pub fn request_lateness(records: &[RequestRecord]) -> Histogram<u64> {
    let mut late = lateness::histogram();
    for record in records {
        late.saturating_record((record.sent_at - record.due_at).max(0) as u64);
    }
    late
}

/// The time spans of faults, for plots.
pub fn shaded_faults(windows: &[FaultWindow]) -> Vec<ShadedFault> {
    let shade = |window: &FaultWindow| ShadedFault {
        title: window.title(),
        from_s: window.from as f64 / 1e6,
        to_s: window.to as f64 / 1e6,
    };
    windows.iter().map(shade).collect()
}
