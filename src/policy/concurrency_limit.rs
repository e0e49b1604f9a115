//! Limits the attempts in flight at a host, or at all cache hosts together, by measured latency.

use super::constants::*;
use crate::histogram::Histogram;
use crate::types::Micros;

/// A limit that grows in steps and decreases by the ratio of the tolerated to the current latency.
#[derive(Clone, Default)]
pub struct ConcurrencyLimit {
    /// The limit, in attempts in flight.
    pub limit: f64,
    /// This balancer's share of the growth at each evaluation with answers.
    pub growth: f64,
    /// When the next attempt may start if the limit is below 1: on average, no more than the limit
    /// is then in flight.
    next_start_at: Micros,
    pub latencies: Histogram,
    /// The latency without a queue, in microseconds; `f64::MAX` while unknown.
    min_latency: f64,
    /// The most attempts in flight since the last evaluation.
    pub peak_in_flight: usize,
    /// Whether there were samples since the last evaluation: an old sample must not decrease the
    /// limit repeatedly.
    has_new_samples: bool,
}

impl ConcurrencyLimit {
    /// Creates a limit without latency samples.
    pub fn new(limit: f64, growth: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit, growth, min_latency: f64::MAX, ..ConcurrencyLimit::default() }
    }

    pub fn of_new_host(growth: f64) -> ConcurrencyLimit {
        ConcurrencyLimit::new(INITIAL_LIMIT, growth)
    }

    /// Whether one more attempt may start that may fill `share` of the limit. One attempt may
    /// always be in flight. The number of further ones varies by its square root, which evens out
    /// over many balancers, so that deviation is allowed in proportion to the share of the other
    /// balancers.
    pub fn has_capacity(&self, in_flight: usize, share: f64, others_share: f64, now: Micros) -> bool {
        let limit = self.limit * share;
        let deviation = ((limit - 1.0).max(0.0) * others_share).sqrt();
        (in_flight as f64) < (limit + deviation).max(1.0) && now >= self.next_start_at
    }

    /// Whether a duration is shorter than the minimum latency, if that is known.
    pub fn is_below_min_latency(&self, span: Micros) -> bool {
        self.min_latency < f64::MAX && (span as f64) < self.min_latency
    }

    /// Multiplies the limit by a factor. The minimum is shared by all balancers: with one attempt
    /// from each of hundreds of balancers, congestion would never end.
    pub fn decrease(&mut self, factor: f64) {
        // A limit far above what is used would decrease for seconds without effect, so it decreases
        // from what is used.
        let used = if factor < 1.0 { INITIAL_LIMIT + 2.0 * self.peak_in_flight as f64 } else { MAX_LIMIT };
        self.limit = (self.limit.min(used) * factor).max(MIN_LIMIT * self.growth);
    }

    /// Records the latency of an attempt that was answered or timed out; it counts `weight` times.
    pub fn record(&mut self, latency: Micros, weight: f64, now: Micros) {
        self.latencies.add(latency, weight);
        self.has_new_samples = true;
        self.next_start_at = now + (latency as f64 * (1.0 / self.limit.min(1.0) - 1.0)) as Micros;
    }

    /// Grows the limit, and decreases it by the ratio of the minimum latency to the current one.
    /// The minimum is at most `ceiling`, and a current latency up to `floor` is always tolerated.
    /// All three are in microseconds; `steps` multiplies the growth.
    pub fn evaluate(&mut self, current: Option<f64>, ceiling: f64, floor: f64, steps: f64, in_flight: usize) {
        let step = (self.growth * steps).min(steps.max(1.0));
        let is_measured = self.has_new_samples && self.latencies.total() >= MIN_SAMPLES;
        if let Some(current) = current.filter(|_| is_measured) {
            // The ceiling: the latency of a host that is congested from the first sample on must
            // not count as its minimum.
            self.min_latency = (self.min_latency * MIN_LATENCY_DRIFT).min(current).min(ceiling);
            self.decrease(((LATENCY_TOLERANCE * self.min_latency).max(floor) / current).min(1.0));
            self.limit = (self.limit + step).min(MAX_LIMIT);
        } else if self.limit < 1.0 {
            self.limit = (self.limit + step).min(1.0);
        }
        self.latencies.halve_at(2.0 * MIN_SAMPLES);
        self.has_new_samples = false;
        self.peak_in_flight = in_flight;
    }
}
