//! What the coordinator of a scale run and its worker processes say to each other: a line of JSON
//! each on the worker's standard input and output.
//!
//! The first line is a [`WorkerSpec`]; the worker replies with its role's `...Ready` message. Each
//! further line is a [`WorkerCommand`], and its reply is the role's snapshot. A reply is written as
//! a `Result`, whose error is one line of text.

use std::net::SocketAddr;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::lateness;

/// What a worker process is to be.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum WorkerSpec {
    /// A slice of the cache hosts.
    Fleet(FleetSpec),
    /// The one discovery of the run.
    Discovery(DiscoverySpec),
    /// A slice of the simulated balancers.
    #[serde(rename = "hollow")]
    Simulated(SimulatedSpec),
    /// Kills a process that knows nothing of the run, when this worker's own input ends and that
    /// process still runs.
    Guard {
        /// The process to kill.
        pid: u32,
    },
}

/// What a worker is told to do while it runs; it replies to each with a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Nothing but the snapshot.
    #[serde(rename = "mark")]
    Snapshot,
    /// Start what takes time: requests, changes of the list.
    #[serde(rename = "begin")]
    Start,
    /// Stop that again.
    #[serde(rename = "rest")]
    Stop,
    /// A fault: accept requests and answer none.
    #[serde(rename = "silent")]
    StopResponding,
    /// The end of that fault.
    #[serde(rename = "speak")]
    ResumeResponding,
}

/// A slice of the cache hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSpec {
    /// The number of its first host.
    #[serde(rename = "first")]
    pub first_host: u32,
    /// How many hosts, numbered from there on.
    pub hosts: u32,
    /// How long a command takes.
    pub service_ms: f64,
    /// The size of a value.
    pub value_bytes: usize,
    /// A connection that is idle for so long is closed.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: f64,
}

/// The hosts of a fleet listen.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetReady {
    /// By host.
    pub addresses: Vec<SocketAddr>,
}

/// Counters since the start; lateness since the last snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// CPU time of the thread, in seconds.
    pub cpu_s: f64,
    /// Commands, by host.
    #[serde(rename = "requests")]
    pub requests_by_host: Vec<u64>,
    /// Connections accepted, by host.
    #[serde(rename = "opened")]
    pub accepted_by_host: Vec<u64>,
    /// Connections that are open now, by host.
    #[serde(rename = "open")]
    pub open_by_host: Vec<u64>,
    /// How late the thread was, in microseconds.
    #[serde(rename = "late")]
    pub lateness: ValueCounts,
    /// The same without the time for which it waited for a core.
    #[serde(rename = "own")]
    pub own_lateness: ValueCounts,
}

/// The discovery of a run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoverySpec {
    /// The hosts as entries of the list.
    pub entries: Vec<Value>,
    /// Changes of the list a second, evenly, between `Start` and `Stop`.
    pub changes_per_s: f64,
    /// Draws which host changes.
    pub seed: u64,
}

/// Discovery listens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryReady {
    /// Where.
    pub address: SocketAddr,
}

/// Counters since the start; changes since the last snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoverySnapshot {
    /// CPU time of the thread, in seconds.
    pub cpu_s: f64,
    /// Requests read.
    pub calls: u64,
    /// Bytes of requests, without what TCP adds.
    pub bytes_in: u64,
    /// Bytes of responses, without what TCP adds.
    pub bytes_out: u64,
    /// Each version of the list, and when it came (Unix time in microseconds).
    pub changes: Vec<(u64, i64)>,
}

/// A slice of the simulated balancers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SimulatedSpec {
    /// The operators' settings, as a balancer's configuration has them.
    pub settings: Value,
    /// The list at the start, as discovery writes it.
    #[serde(rename = "known")]
    pub initial_list: Value,
    /// Where discovery listens.
    pub discovery: SocketAddr,
    /// The number of its first balancer.
    #[serde(rename = "first")]
    pub first_balancer: u32,
    /// How many balancers, numbered from there on.
    pub balancers: u32,
    /// Of the run; each balancer derives its own.
    pub seed: u64,
    /// Requests a second of each balancer.
    pub rate: f64,
    /// How many different keys.
    pub keys: u64,
    /// The exponent of the keys' popularity; 0 for all alike.
    pub zipf: f64,
    /// Descriptors that a balancer's connections to hosts may take.
    #[serde(rename = "sockets")]
    pub max_connections: usize,
    /// The latency objective.
    pub target_ms: f64,
    /// From arrival to deadline.
    pub ttl_ms: f64,
}

/// The simulated balancers run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SimulatedReady {
    /// How many.
    pub balancers: u32,
}

/// Counters since the start over all balancers of the process; lists and histograms since the last
/// snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SimulatedSnapshot {
    /// CPU time of the thread, in seconds.
    pub cpu_s: f64,
    /// Resident memory of the process.
    pub resident_kb: u64,
    /// The same before there were balancers in it.
    #[serde(rename = "base_kb")]
    pub initial_resident_kb: u64,
    /// Bytes sent to discovery, without what TCP adds.
    #[serde(rename = "control_out")]
    pub discovery_bytes_out: u64,
    /// Bytes received from discovery.
    #[serde(rename = "control_in")]
    pub discovery_bytes_in: u64,
    /// Bytes sent to hosts.
    #[serde(rename = "host_out")]
    pub host_bytes_out: u64,
    /// Bytes received from hosts.
    #[serde(rename = "host_in")]
    pub host_bytes_in: u64,
    /// Requests begun.
    #[serde(rename = "ops")]
    pub requests: u64,
    /// Requests that were answered with a value.
    #[serde(rename = "acked")]
    pub succeeded: u64,
    /// Those of them that met the latency objective.
    pub in_target: u64,
    /// Requests that the policy rejected.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts begun.
    #[serde(rename = "pushes")]
    pub attempts: u64,
    /// Connections to hosts that were opened.
    #[serde(rename = "opened")]
    pub connections_opened: u64,
    /// Connections to hosts that are open now.
    #[serde(rename = "open")]
    pub connections_open: u64,
    /// A balancer's number, a version of the list, and when that was in force there (Unix time in
    /// microseconds).
    pub applied: Vec<(u32, u64, i64)>,
    /// By how much requests began later than they were due, less the timer's resolution, in
    /// microseconds.
    #[serde(rename = "late")]
    pub lateness: ValueCounts,
    /// From when a request was due to its success, in microseconds.
    #[serde(rename = "took")]
    pub latency: ValueCounts,
}

impl SimulatedSnapshot {
    /// Requests that have ended, however they did.
    pub fn ended(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// Requests that ended without a success within the objective.
    pub fn missed_target(&self) -> u64 {
        self.ended() - self.in_target
    }
}

/// A histogram's values, and how often each was recorded.
pub type ValueCounts = Vec<(u64, u64)>;

/// A histogram as a message carries it.
pub fn value_counts(histogram: &Histogram<u64>) -> ValueCounts {
    histogram.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
}

/// All of these in one histogram.
pub fn merge_histograms<'a>(all: impl Iterator<Item = &'a ValueCounts>) -> Histogram<u64> {
    let mut merged = lateness::histogram();
    for &(value, count) in all.flatten() {
        merged.saturating_record_n(value, count);
    }
    merged
}
