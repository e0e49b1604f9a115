//! The bounds of a balancer's connections and requests.

use basaltwood::types::Micros;

use crate::{micros, OperatorSettings};

// Defaults for settings that are missing or not sensible.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
const DEFAULT_IDLE_TIMEOUT: Micros = 15_000_000;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 20_000;
const DEFAULT_DRAIN_GRACE: Micros = 250_000;

/// Spans of this length (about four months) or more are treated as mistakes.
pub(crate) const MAX_SPAN_MS: f64 = 1e10;

/// What bounds a balancer's connections and open requests.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeLimits {
    /// How long a connection to a host may take to be established.
    pub connect_timeout: Micros,
    /// How long a connection may be idle before its host closes it.
    pub idle_timeout: Micros,
    /// The maximum number of requests that are open at a time.
    pub max_open_requests: usize,
    /// How long a draining host may still get requests. The router sends none, but has to know of
    /// the drain by then.
    pub drain_grace: Micros,
}

impl OperatorSettings {
    /// The limits that the settings give, and the defaults for those that they leave out or give no
    /// sensible value.
    pub fn runtime_limits(&self) -> RuntimeLimits {
        let max_open_requests = self.limits.max_open_requests.filter(|&count| count > 0);
        RuntimeLimits {
            connect_timeout: span_or(self.limits.connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: span_or(self.limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT),
            max_open_requests: max_open_requests.unwrap_or(DEFAULT_MAX_OPEN_REQUESTS),
            drain_grace: span_or(self.invariants.drain_grace_ms, DEFAULT_DRAIN_GRACE),
        }
    }
}

fn span_or(ms: Option<f64>, default: Micros) -> Micros {
    ms.filter(|&ms| ms > 0.0 && ms < MAX_SPAN_MS).map_or(default, micros)
}
