//! The messages between the coordinator of a scale run and its worker processes, each one line of
//! JSON on the worker's standard input or output.
//!
//! The first line is a [`WorkerSpec`]; the worker replies with the `...Ready` message of its role.
//! Each further line is a [`WorkerCommand`]; the worker replies with a snapshot. A reply is encoded
//! as a `Result`, whose error is one line of text.

use std::net::SocketAddr;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::lateness;

/// The role of a worker process and its parameters.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(tag = "role", rename_all = "kebab-case")]
pub enum WorkerSpec {
    /// Some of the cache hosts.
    Fleet(FleetSpec),
    /// The only discovery service of the run.
    Discovery(DiscoverySpec),
    /// Some of the simulated balancers.
    #[serde(rename = "hollow")]
    Simulated(SimulatedSpec),
    /// Kills a process that would outlive the coordinator. The guard does so when its own input
    /// ends and that process still runs.
    Guard {
        /// The process to kill.
        pid: u32,
    },
}

/// A command to a running worker, which replies with a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerCommand {
    /// Only take a snapshot.
    #[serde(rename = "mark")]
    Snapshot,
    /// Start requests (simulated balancers) or list changes (discovery).
    #[serde(rename = "begin")]
    Start,
    /// Stop requests or list changes.
    #[serde(rename = "rest")]
    Stop,
    /// Inject a fault: accept requests and answer none.
    #[serde(rename = "silent")]
    StopResponding,
    /// End the fault of `StopResponding`.
    #[serde(rename = "speak")]
    ResumeResponding,
}

/// The parameters of a process with consecutive cache hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetSpec {
    /// The number of the first host.
    #[serde(rename = "first")]
    pub first_host: u32,
    /// The number of hosts.
    pub hosts: u32,
    /// The service time of a command.
    pub service_ms: f64,
    /// The size of each value.
    pub value_bytes: usize,
    /// The time after which an idle connection is closed.
    #[serde(rename = "idle_ms")]
    pub idle_timeout_ms: f64,
}

/// Sent when the hosts of a fleet process listen.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FleetReady {
    /// The address of each host.
    pub addresses: Vec<SocketAddr>,
}

/// The state of a fleet process: counters since the start, lateness since the last snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetSnapshot {
    /// CPU time of the thread, in seconds.
    pub cpu_s: f64,
    /// Commands received, by host.
    #[serde(rename = "requests")]
    pub requests_by_host: Vec<u64>,
    /// Connections accepted, by host.
    #[serde(rename = "opened")]
    pub accepted_by_host: Vec<u64>,
    /// Connections that are open now, by host.
    #[serde(rename = "open")]
    pub open_by_host: Vec<u64>,
    /// By how much the thread woke up late, in microseconds.
    #[serde(rename = "late")]
    pub lateness: ValueCounts,
    /// The lateness of the thread without the time for which it waited for a core.
    #[serde(rename = "own")]
    pub own_lateness: ValueCounts,
}

/// The parameters of the discovery service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoverySpec {
    /// The entries of the list, one for each host.
    pub entries: Vec<Value>,
    /// List changes per second, at even intervals, between `Start` and `Stop`.
    pub changes_per_s: f64,
    /// The seed for drawing the hosts that change.
    pub seed: u64,
}

/// Sent when discovery listens.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct DiscoveryReady {
    /// The address of the listener.
    pub address: SocketAddr,
}

/// The state of discovery: counters since the start, changes since the last snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct DiscoverySnapshot {
    /// CPU time of the thread, in seconds.
    pub cpu_s: f64,
    /// Calls received.
    pub calls: u64,
    /// Bytes of calls, without TCP overhead.
    pub bytes_in: u64,
    /// Bytes of responses, without TCP overhead.
    pub bytes_out: u64,
    /// Each version of the list, and its publication time (Unix time in microseconds).
    pub changes: Vec<(u64, i64)>,
}

/// The parameters of a process with consecutive simulated balancers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SimulatedSpec {
    /// The operators' settings, in the form of a balancer's configuration.
    pub settings: Value,
    /// The list at the start, in the form of a discovery response.
    #[serde(rename = "known")]
    pub initial_list: Value,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The number of the first balancer.
    #[serde(rename = "first")]
    pub first_balancer: u32,
    /// The number of balancers.
    pub balancers: u32,
    /// The seed of the run, from which each balancer derives its own.
    pub seed: u64,
    /// Requests per second of each balancer.
    pub rate: f64,
    /// The number of distinct keys.
    pub keys: u64,
    /// The exponent of the Zipf distribution of keys; 0 for a uniform one.
    pub zipf: f64,
    /// The most connections to hosts of a balancer.
    #[serde(rename = "sockets")]
    pub max_connections: usize,
    /// The latency objective.
    pub target_ms: f64,
    /// The time from a request's arrival to its deadline.
    pub ttl_ms: f64,
}

/// Sent when the simulated balancers run.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SimulatedReady {
    /// The number of balancers.
    pub balancers: u32,
}

/// The state of all simulated balancers of a process: counters since the start, lists and
/// histograms since the last snapshot.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SimulatedSnapshot {
    /// CPU time of the thread, in seconds.
    pub cpu_s: f64,
    /// Resident memory of the process, in kB.
    pub resident_kb: u64,
    /// Resident memory before the balancers were created, in kB.
    #[serde(rename = "base_kb")]
    pub initial_resident_kb: u64,
    /// Bytes sent to discovery, without TCP overhead.
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
    /// Requests started.
    #[serde(rename = "ops")]
    pub requests: u64,
    /// Requests answered with a value.
    #[serde(rename = "acked")]
    pub succeeded: u64,
    /// Successful requests that met the latency objective.
    pub in_target: u64,
    /// Requests that the policy rejected.
    #[serde(rename = "nacked")]
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts started.
    #[serde(rename = "pushes")]
    pub attempts: u64,
    /// Connections opened to hosts.
    #[serde(rename = "opened")]
    pub connections_opened: u64,
    /// Connections to hosts that are open now.
    #[serde(rename = "open")]
    pub connections_open: u64,
    /// Applied list changes: the number of the balancer, the version of the list, and when the
    /// balancer had applied it (Unix time in microseconds).
    pub applied: Vec<(u32, u64, i64)>,
    /// By how much requests started after they were due, less the timer's resolution, in
    /// microseconds.
    #[serde(rename = "late")]
    pub lateness: ValueCounts,
    /// The time from when a request was due to its success, in microseconds.
    #[serde(rename = "took")]
    pub latency: ValueCounts,
}

impl SimulatedSnapshot {
    /// Requests that have ended with any result.
    pub fn ended(&self) -> u64 {
        self.succeeded + self.rejected + self.failed
    }

    /// Requests that ended without a success within the latency objective.
    pub fn missed_target(&self) -> u64 {
        self.ended() - self.in_target
    }
}

/// The values of a histogram, and how often each was recorded.
pub type ValueCounts = Vec<(u64, u64)>;

/// Converts a histogram for a message.
pub fn value_counts(histogram: &Histogram<u64>) -> ValueCounts {
    histogram.iter_recorded().map(|step| (step.value_iterated_to(), step.count_at_value())).collect()
}

/// Merges the histograms of several messages.
pub fn merge_histograms<'a>(all: impl Iterator<Item = &'a ValueCounts>) -> Histogram<u64> {
    let mut merged = lateness::histogram();
    for &(value, count) in all.flatten() {
        merged.saturating_record_n(value, count);
    }
    merged
}
