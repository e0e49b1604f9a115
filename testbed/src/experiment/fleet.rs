//! The machines of an experiment: cache hosts, the origin and discovery.

use serde::Deserialize;

/// How hosts warm up after their start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct SlowStart {
    /// The fraction of its capacity that a host starts with.
    pub from: f64,
    /// The time until a host has its full capacity.
    pub warm_ms: f64,
    /// A host that warms up stops when the work that arrived within the last `window_ms` exceeds
    /// this multiple of what it can do in that time.
    pub multiple: f64,
    /// The length of the window over which arriving work is summed.
    pub window_ms: f64,
}

impl Default for SlowStart {
    fn default() -> SlowStart {
        SlowStart { from: 0.2, warm_ms: 9_000.0, multiple: 3.0, window_ms: 3_000.0 }
    }
}

/// The cache hosts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Fleet {
    /// The number of cache hosts at the start.
    pub hosts: usize,
    /// The number of zones that the hosts are spread over.
    pub zones: usize,
    /// Cores per host.
    pub cores: usize,
    /// Relative speed; service times are given for a speed of 1.
    pub speed: f64,
    /// Commands that may wait for a core of a host; more are rejected.
    pub queue: usize,
    /// Connections that a host accepts.
    pub connections: usize,
    /// A host closes a connection after this time without a command.
    pub idle_ms: f64,
    /// Additional service time of the first command on a new connection.
    pub open_ms: f64,
    /// How long a balancer waits for a connection to be established.
    pub connect_timeout_ms: f64,
    /// The number of keys that a host can hold.
    pub store: usize,
    /// The fraction of the keys that a host holds at the start of the run.
    pub filled: f64,
    /// The largest age of a load report; 0 for no load reports.
    pub report_ms: f64,
    /// How long a host works on a command.
    pub service: ServiceTime,
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
            connect_timeout_ms: 250.0,
            store: 50_000,
            filled: 1.0,
            report_ms: 0.0,
            service: ServiceTime { kind: TimeDistribution::LogNormal, mean_ms: 4.0, sigma: 0.5 },
        }
    }
}

/// How long a machine works on a command.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceTime {
    /// The distribution.
    pub kind: TimeDistribution,
    /// The mean.
    pub mean_ms: f64,
    /// The standard deviation of the logarithm, for `log-normal`.
    #[serde(default)]
    pub sigma: f64,
}

/// The distribution of a service time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TimeDistribution {
    /// Always the mean.
    Constant,
    /// Exponential.
    Exponential,
    /// Log-normal, with the mean and `sigma`.
    LogNormal,
}

/// The origin.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Origin {
    /// The number of cores.
    pub cores: usize,
    /// Commands that may wait for a core of the origin; more are rejected.
    pub queue: usize,
    /// Connections that the origin accepts.
    pub connections: usize,
    /// The origin goes down when the work that arrived within the last `fall_ms` exceeds this
    /// multiple of what it can do in that time; 0 for never.
    pub fall_multiple: f64,
    /// The length of the window over which arriving work is summed.
    pub fall_ms: f64,
    /// How long the origin stays down.
    pub down_ms: f64,
    /// How long the origin works on a command.
    pub service: ServiceTime,
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
            service: ServiceTime { kind: TimeDistribution::LogNormal, mean_ms: 40.0, sigma: 0.4 },
        }
    }
}

/// Discovery.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Discovery {
    /// The shortest time until a change reaches a balancer.
    pub lag_ms: f64,
    /// The largest random delay on top of `lag_ms`, drawn for each balancer.
    pub spread_ms: f64,
    /// From this time after a host's drain was announced, no new attempt may go to it.
    pub grace_ms: f64,
}

impl Default for Discovery {
    fn default() -> Discovery {
        Discovery { lag_ms: 200.0, spread_ms: 300.0, grace_ms: 2_000.0 }
    }
}
