//! Limits on a balancer's connections and requests.

use basaltwood::types::Micros;

use crate::{micros, OperatorSettings};

// Defaults for settings that are missing or out of range.
const DEFAULT_CONNECT_TIMEOUT: Micros = 250_000;
const DEFAULT_IDLE_TIMEOUT: Micros = 15_000_000;
const DEFAULT_MAX_OPEN_REQUESTS: usize = 20_000;
const DEFAULT_DRAIN_GRACE: Micros = 250_000;

/// Durations at or above this (about four months) are rejected as mistakes.
pub(crate) const MAX_DURATION_MS: f64 = 1e10;

/// Limits on a balancer's connections and open requests.
#[derive(Clone, Copy, Debug)]
pub struct RuntimeLimits {
    /// The timeout for establishing a connection to a host.
    pub connect_timeout: Micros,
    /// How long a connection may be idle before the host closes it.
    pub idle_timeout: Micros,
    /// The maximum number of requests open at a time.
    pub max_open_requests: usize,
    /// How long after the start of a drain a host may still get requests. The router sends none,
    /// but has to learn of the drain within this time.
    pub drain_grace: Micros,
}

impl OperatorSettings {
    /// The limits from the settings; a limit that is missing or out of range gets its default.
    pub fn runtime_limits(&self) -> RuntimeLimits {
        let max_open_requests = self.limits.max_open_requests.filter(|&count| count > 0);
        RuntimeLimits {
            connect_timeout: duration_or(self.limits.connect_timeout_ms, DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: duration_or(self.limits.idle_timeout_ms, DEFAULT_IDLE_TIMEOUT),
            max_open_requests: max_open_requests.unwrap_or(DEFAULT_MAX_OPEN_REQUESTS),
            drain_grace: duration_or(self.invariants.drain_grace_ms, DEFAULT_DRAIN_GRACE),
        }
    }
}

fn duration_or(ms: Option<f64>, default: Micros) -> Micros {
    ms.filter(|&ms| ms > 0.0 && ms < MAX_DURATION_MS).map_or(default, micros)
}
