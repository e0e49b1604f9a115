//! The faults of an experiment: their kinds, the affected hosts and their times.

use serde::{Deserialize, Serialize};

use crate::time::{seconds, Micros};

/// The kind of a fault. Its effect lasts from `from_s` to `to_s`; it concerns the selected hosts
/// unless said otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Commands take `factor` times as long.
    Slow,
    /// The host accepts connections and commands but does no work until the end.
    Hang,
    /// The host sends nothing: open connections stay open without traffic, new ones are not
    /// established; all are reset at the end.
    Silent,
    /// New connections are established only after the end; open ones keep working.
    LateConnect,
    /// Connections opened before the start carry nothing any more; new ones work.
    Stale,
    /// The host has dropped the connections opened before the start: the next command on one is
    /// answered by a reset and never runs.
    StaleReset,
    /// All connections are reset at the start; then each command resets its connection with
    /// probability `part` after it has run.
    Reset,
    /// Connections are reset and new ones refused until the end. The stored values are kept.
    Refuse,
    /// Commands run, but with probability `part` their reply is lost and their connection sends
    /// nothing from then on.
    Lost,
    /// Commands are rejected with probability `part`.
    Busy,
    /// Commands run and are answered `-ERR failed` with probability `part`.
    Error,
    /// Commands run and are answered by garbage bytes with probability `part`.
    Spoil,
    /// The host dies and restarts at the end with an empty, cold store.
    Die,
    /// The host dies; at the end another one starts at its address under a new id.
    Replace,
    /// The host drains and is gone at the end.
    Drain,
    /// The hosts take turns: each is drained for a third of its turn and restarted empty and cold.
    RollOut,
    /// Adds the given number of new, cold hosts.
    Grow,
    /// The origin takes `factor` times as long.
    OriginSlow,
    /// The origin is down.
    OriginDown,
    /// Discovery does not answer.
    DiscoveryDown,
    /// Discovery answers, but announces no change.
    DiscoveryStale,
    /// Discovery lists addresses where nothing listens for the selected hosts.
    DiscoveryWrong,
    /// A balancer is killed and started again at the end.
    BalancerKill,
    /// The proxy between balancer and host delays a piece of a response with probability `part`.
    ProxyDelay,
    /// The proxy passes the first bytes of a piece on one by one, with probability `part`.
    ProxyDrip,
    /// The proxy passes half of a piece on and resets the connection, with probability `part`.
    ProxyCut,
    /// Responses take some milliseconds longer, and the proxy sends a piece of one again, whole or in
    /// part, up to 40 ms later, with probability `part`.
    ProxyCopy,
    /// The same as `proxy-copy`, for responses of the origin.
    OriginCopy,
    /// The proxy passes nothing more on a connection, which stays open, with probability `part`.
    ProxySilence,
    /// The proxy passes a piece on and closes the host's side of the connection after it, with
    /// probability `part`.
    ProxyHalfClose,
    /// The proxy resets the connection instead of passing a piece on, with probability `part`.
    ProxyReset,
    /// The load generator's thread stops; shows that this voids the run.
    GeneratorStop,
    /// Each request costs the load generator's thread `factor` milliseconds more; shows that this
    /// voids the run.
    GeneratorSlow,
}

/// A fault: its kind, the affected hosts and its times.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// The kind.
    pub kind: FaultKind,
    /// The affected hosts.
    #[serde(default)]
    pub hosts: HostSelection,
    /// The only balancer that sees the fault, or the balancer that `balancer-kill` kills.
    pub balancer: Option<usize>,
    /// When the fault begins.
    pub from_s: f64,
    /// When the fault ends; the end of the run if absent.
    pub to_s: Option<f64>,
    /// The probability, for the kinds that use one.
    #[serde(default = "super::one")]
    pub part: f64,
    /// The factor, for the kinds that use one.
    #[serde(default = "default_factor")]
    pub factor: f64,
    /// The interval at which the fault is repeated, each time with the same duration.
    pub every_s: Option<f64>,
}

fn default_factor() -> f64 {
    10.0
}

/// The hosts that a fault affects.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged)]
pub enum HostSelection {
    /// This number of hosts, drawn from the seed.
    Count(usize),
    /// The hosts with these numbers, counted from 0.
    These(Vec<usize>),
    /// The word `"all"`.
    Named(AllHosts),
}

/// The word that selects all hosts.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum AllHosts {
    /// Selects all hosts.
    All,
}

impl Default for HostSelection {
    fn default() -> HostSelection {
        HostSelection::Count(1)
    }
}

impl Fault {
    /// When the fault begins, in microseconds.
    pub fn from(&self) -> Micros {
        seconds(self.from_s)
    }
}
