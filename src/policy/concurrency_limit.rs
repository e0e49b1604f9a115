//! How many attempts may be in flight at a host, or at all cache hosts together, by their latency
//! so far.

use super::constants::*;
use crate::histogram::Histogram;
use crate::types::Micros;

/// A limit that rises by steps and falls with the ratio of the bearable latency to the present one.
#[derive(Clone, Default)]
pub struct ConcurrencyLimit {
    /// Attempts in flight.
    pub limit: f64,
    /// Added at each evaluation that saw answers: this balancer's part.
    pub growth: f64,
    /// Below a limit of one the next attempt waits until then, so that on the whole no more than
    /// that is in flight.
    next_start_at: Micros,
    pub latencies: Histogram,
    /// The latency without a queue, in microseconds; `f64::MAX` while it is not known.
    min_latency: f64,
    /// In flight since the last evaluation.
    pub peak_in_flight: usize,
    /// Answered since the last evaluation: an old answer must not decrease the limit again and again.
    has_new_samples: bool,
}

impl ConcurrencyLimit {
    /// One that no latency is known for yet.
    pub fn new(limit: f64, growth: f64) -> ConcurrencyLimit {
        ConcurrencyLimit { limit, growth, min_latency: f64::MAX, ..ConcurrencyLimit::default() }
    }

    pub fn of_new_host(growth: f64) -> ConcurrencyLimit {
        ConcurrencyLimit::new(INITIAL_LIMIT, growth)
    }

    /// Whether one more may start that may fill a share of the limit. The number in flight beside
    /// the one that always may be varies by its root, which evens out over many balancers: as far
    /// as the others' part goes, it may.
    pub fn has_capacity(&self, in_flight: usize, share: f64, others_share: f64, now: Micros) -> bool {
        let limit = self.limit * share;
        let deviation = ((limit - 1.0).max(0.0) * others_share).sqrt();
        (in_flight as f64) < (limit + deviation).max(1.0) && now >= self.next_start_at
    }

    /// Whether no typical answer is there in this time.
    pub fn is_below_min_latency(&self, span: Micros) -> bool {
        self.min_latency < f64::MAX && (span as f64) < self.min_latency
    }

    /// Multiplies the limit. The minimum is for all balancers together: a jam fed by hundreds of
    /// them would never end.
    pub fn decrease(&mut self, factor: f64) {
        // From what is used of it: a limit far above that would fall for seconds to no effect.
        let used = if factor < 1.0 { INITIAL_LIMIT + 2.0 * self.peak_in_flight as f64 } else { MAX_LIMIT };
        self.limit = (self.limit.min(used) * factor).max(MIN_LIMIT * self.growth);
    }

    /// An attempt was answered, or timed out, after a latency; it stands for `weight` of them.
    pub fn record(&mut self, latency: Micros, weight: f64, now: Micros) {
        self.latencies.add(latency, weight);
        self.has_new_samples = true;
        self.next_start_at = now + (latency as f64 * (1.0 / self.limit.min(1.0) - 1.0)) as Micros;
    }

    /// Follows the minimum latency, at most `ceiling`, over the present one; a present one up to
    /// `floor` is bearable anyway. All three are in microseconds; `steps` multiplies the growth.
    pub fn evaluate(&mut self, present: Option<f64>, ceiling: f64, floor: f64, steps: f64, in_flight: usize) {
        let step = (self.growth * steps).min(steps.max(1.0));
        let is_measured = self.has_new_samples && self.latencies.total() >= MIN_SAMPLES;
        if let Some(present) = present.filter(|_| is_measured) {
            // A host that was in a jam when first met must not pass its jam for its minimum latency.
            self.min_latency = (self.min_latency * MIN_LATENCY_DRIFT).min(present).min(ceiling);
            self.decrease(((LATENCY_TOLERANCE * self.min_latency).max(floor) / present).min(1.0));
            self.limit = (self.limit + step).min(MAX_LIMIT);
        } else if self.limit < 1.0 {
            self.limit = (self.limit + step).min(1.0);
        }
        self.latencies.halve_at(2.0 * MIN_SAMPLES);
        self.has_new_samples = false;
        self.peak_in_flight = in_flight;
    }
}
