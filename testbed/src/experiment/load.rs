//! The load of an experiment: the rate of requests over time, their keys, and how clients retry.

use std::path::PathBuf;

use serde::Deserialize;

use crate::time::{millis, Micros};

/// The requests that clients send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests per second at a shape level of 1.
    pub rate: f64,
    /// The distribution of the times between arrivals.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// The rate over time.
    #[serde(default)]
    pub shape: RateShape,
    /// The number of keys.
    #[serde(default = "default_keys")]
    pub keys: usize,
    /// The Zipf exponent of the keys' popularity; 0 for equally popular keys.
    #[serde(default = "default_zipf")]
    pub zipf: f64,
    /// The size of a value, in bytes.
    #[serde(default = "default_value_bytes")]
    pub value_bytes: usize,
    /// The largest number of connections to each balancer.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// The largest number of commands in flight on one connection.
    #[serde(default = "default_pipeline")]
    pub pipeline: usize,
    /// What clients do after a rejection or a failure.
    #[serde(default)]
    pub retry: ClientRetry,
    /// A tenant that sends more than its share.
    pub flood: Option<TenantFlood>,
    /// A hot key.
    pub hot: Option<HotKey>,
    /// A working set that changes over time.
    pub shift: Option<WorkingSetShift>,
    /// Clients that disconnect before the reply.
    pub give_up: Option<GiveUp>,
    /// The fraction of replies after which the client closes its connection.
    #[serde(default)]
    pub close: f64,
    /// How long clients keep sending to a dead balancer.
    #[serde(default = "default_notice_s")]
    pub notice_s: f64,
    /// A request sent more than this after its due time is late. The run is void if over 1% of the
    /// requests are late through the testbed's own fault.
    #[serde(default = "default_late_ms")]
    pub late_ms: f64,
    /// Plays a closed loop, a faulty way to measure, for comparison: each connection sends its next
    /// request only after the reply to the last one, and latency counts from then.
    #[serde(default)]
    pub closed_loop: bool,
    /// A recorded trace to play instead of generated arrivals.
    pub trace: Option<PathBuf>,
    /// The factor by which the trace is played faster than recorded.
    #[serde(default = "super::one")]
    pub speed: f64,
}

fn default_keys() -> usize {
    10_000
}

fn default_zipf() -> f64 {
    0.9
}

fn default_value_bytes() -> usize {
    128
}

fn default_connections() -> usize {
    96
}

fn default_pipeline() -> usize {
    1
}

fn default_late_ms() -> f64 {
    2.0
}

fn default_notice_s() -> f64 {
    2.0
}

/// The distribution of the times between arrivals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// A Poisson process.
    #[default]
    Poisson,
    /// Evenly spaced.
    Even,
}

/// The rate over time, as a multiple of `rate`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum RateShape {
    /// A constant level of 1.
    #[default]
    Steady,
    /// A linear change from one level to another.
    Ramp {
        /// The level at the start.
        from: f64,
        /// The level at the end.
        to: f64,
    },
    /// A level of 1, then another one.
    Step {
        /// When the level changes.
        at_s: f64,
        /// The level after the change.
        level: f64,
    },
    /// A surge, as on a salary day: a rise from 1 to `peak`, a plateau, and a return to 1.
    Surge {
        /// When the rise begins.
        at_s: f64,
        /// How long the rise takes.
        rise_s: f64,
        /// How long the plateau lasts.
        hold_s: f64,
        /// How long the return to 1 takes.
        fall_s: f64,
        /// The level of the plateau.
        peak: f64,
    },
    /// A cosine between `low` and 1, as over a day.
    Daily {
        /// The length of one cycle.
        period_s: f64,
        /// The lowest level.
        low: f64,
    },
}

/// What clients do after a rejection or a failure.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ClientRetry {
    /// No retry.
    #[default]
    None,
    /// An immediate retry.
    AtOnce {
        /// The largest number of retries.
        times: u32,
    },
    /// A retry after a constant pause.
    After {
        /// The largest number of retries.
        times: u32,
        /// The pause before each retry.
        pause_ms: f64,
    },
    /// Exponential backoff: the bound doubles with each retry, and the pause is drawn from its
    /// upper half.
    BackOff {
        /// The largest number of retries.
        times: u32,
        /// The bound of the first pause.
        pause_ms: f64,
    },
}

/// A tenant that sends `times` its usual load for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantFlood {
    /// The tenant's name.
    pub customer: String,
    /// When the flood begins.
    pub from_s: f64,
    /// When the flood ends.
    pub to_s: f64,
    /// The multiple of the tenant's usual rate.
    pub times: f64,
}

/// A key that takes a fixed fraction of the reads.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    /// When the key becomes hot.
    pub from_s: f64,
    /// When the key stops being hot.
    pub to_s: f64,
    /// The fraction of the reads that go to the key.
    pub part: f64,
    /// The key is hot for this time and then not for the same time, in turns; 0 for always hot.
    #[serde(default)]
    pub period_s: f64,
}

/// A set of keys that takes a fixed fraction of the reads and is replaced at intervals.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkingSetShift {
    /// The interval between replacements of the set.
    pub every_s: f64,
    /// The number of keys in the set.
    pub set: usize,
    /// The fraction of the reads that go to the set.
    pub part: f64,
}

/// Clients that disconnect if the reply takes too long.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GiveUp {
    /// The fraction of requests whose client does so.
    pub part: f64,
    /// How long such a client waits after sending an attempt.
    pub after_ms: f64,
}

impl Load {
    /// The lateness, in microseconds, above which a request counts as late.
    pub fn late(&self) -> Micros {
        millis(self.late_ms)
    }
}
