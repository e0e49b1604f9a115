//! The load of an experiment: how many requests arrive when, for which keys, and what clients do
//! where they get no answer.

use std::path::PathBuf;

use serde::Deserialize;

use crate::time::{millis, Micros};

/// The requests that clients send.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Requests a second where the shape stands at 1.
    pub rate: f64,
    /// How arrivals are spread.
    #[serde(default)]
    pub arrivals: Arrivals,
    /// The rate over time.
    #[serde(default)]
    pub shape: RateShape,
    /// How many keys there are.
    #[serde(default = "default_keys")]
    pub keys: usize,
    /// The exponent of the keys' popularity; 0 for all alike.
    #[serde(default = "default_zipf")]
    pub zipf: f64,
    /// The size of a value.
    #[serde(default = "default_value_bytes")]
    pub value_bytes: usize,
    /// Connections to each balancer at most.
    #[serde(default = "default_connections")]
    pub connections: usize,
    /// Commands in flight on one of them at a time.
    #[serde(default = "default_pipeline")]
    pub pipeline: usize,
    /// What clients do after a rejection or a failure.
    #[serde(default)]
    pub retry: ClientRetry,
    /// A tenant that sends more than its share.
    pub flood: Option<TenantFlood>,
    /// A key that is read far more than others.
    pub hot: Option<HotKey>,
    /// A working set that changes.
    pub shift: Option<WorkingSetShift>,
    /// Clients that go away before the answer.
    pub give_up: Option<GiveUp>,
    /// The part of the answers after which the client closes its connection.
    #[serde(default)]
    pub close: f64,
    /// How late clients notice that a balancer is dead.
    #[serde(default = "default_notice_s")]
    pub notice_s: f64,
    /// A request that leaves later than this is late; more than a hundredth of them by the
    /// testbed's own fault void the run.
    #[serde(default = "default_late_ms")]
    pub late_ms: f64,
    /// How not to measure: each connection sends only once it has its answer, and times count from
    /// then. For comparison.
    #[serde(default)]
    pub closed_loop: bool,
    /// Arrivals from this file instead, played at `speed` times its pace.
    pub trace: Option<PathBuf>,
    /// How many times as fast as recorded the trace is played.
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

/// How arrivals are spread.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Arrivals {
    /// A Poisson process.
    #[default]
    Poisson,
    /// At even distances.
    Even,
}

/// The rate over time, as a multiple of `rate`.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum RateShape {
    /// 1 throughout.
    #[default]
    Steady,
    /// From one level to another, evenly.
    Ramp {
        /// At the start.
        from: f64,
        /// At the end.
        to: f64,
    },
    /// 1, then another level.
    Step {
        /// When it changes.
        at_s: f64,
        /// The level from then on.
        level: f64,
    },
    /// A salary day: it rises to `peak` from `at_s` within `rise_s`, holds, and falls back.
    Surge {
        /// When it begins to rise.
        at_s: f64,
        /// How long it rises.
        rise_s: f64,
        /// How long it holds.
        hold_s: f64,
        /// How long it falls back to 1.
        fall_s: f64,
        /// The level that it holds.
        peak: f64,
    },
    /// A day's curve with this period, between `low` and 1.
    Daily {
        /// The period.
        period_s: f64,
        /// The lowest level.
        low: f64,
    },
}

/// What clients do after a rejection or a failure.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(tag = "kind", rename_all = "kebab-case", deny_unknown_fields)]
pub enum ClientRetry {
    /// Nothing.
    #[default]
    None,
    /// They send again at once.
    AtOnce {
        /// How often at most.
        times: u32,
    },
    /// They send again after a pause.
    After {
        /// How often at most.
        times: u32,
        /// The pause.
        pause_ms: f64,
    },
    /// The pause doubles each time and is drawn from its upper half.
    BackOff {
        /// How often at most.
        times: u32,
        /// The first pause.
        pause_ms: f64,
    },
}

/// `times` as many arrivals of one tenant, for a time.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TenantFlood {
    /// The tenant's name.
    pub customer: String,
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
    /// How many times its usual arrivals.
    pub times: f64,
}

/// One key gets this part of the reads, on and off with a period (0: all the time).
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HotKey {
    /// When it begins.
    pub from_s: f64,
    /// When it ends.
    pub to_s: f64,
    /// The part of the reads.
    pub part: f64,
    /// The period with which it goes on and off; 0 for no pause.
    #[serde(default)]
    pub period_s: f64,
}

/// A set of keys with this part of the reads, another set every so often.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkingSetShift {
    /// How often the set changes.
    pub every_s: f64,
    /// How many keys it has.
    pub set: usize,
    /// The part of the reads.
    pub part: f64,
}

/// This part of the clients goes away after so long.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GiveUp {
    /// The part of the clients.
    pub part: f64,
    /// How long they wait.
    pub after_ms: f64,
}

impl Load {
    /// A request that leaves later than this is late, in microseconds.
    pub fn late(&self) -> Micros {
        millis(self.late_ms)
    }
}
