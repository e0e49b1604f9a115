//! A histogram of durations with exponential bins that halves old weights, and a median function.

use crate::types::Micros;

const BINS: usize = 16;
/// The upper edge of the first bin in microseconds. Each further edge is twice the one before; the
/// last bin has no upper edge.
const FIRST_EDGE: Micros = 1_000;

/// Weighted counts of durations, and their sum.
#[derive(Clone, Debug, Default)]
pub(crate) struct Histogram {
    counts: [f64; BINS],
    sum: f64,
}

impl Histogram {
    /// Adds a duration with a weight.
    pub(crate) fn add(&mut self, value: Micros, weight: f64) {
        let mut bin = 0;
        while bin + 1 < BINS && value >= FIRST_EDGE << bin {
            bin += 1;
        }
        self.counts[bin] += weight;
        self.sum += weight * value as f64;
    }

    /// Halves all weights if their sum has reached `total`.
    pub(crate) fn halve_at(&mut self, total: f64) {
        if self.total() >= total {
            self.counts.iter_mut().for_each(|count| *count /= 2.0);
            self.sum /= 2.0;
        }
    }

    /// The sum of the weights.
    pub(crate) fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    /// The mean duration in microseconds; `None` if the histogram is empty.
    pub(crate) fn mean(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| self.sum / total)
    }

    /// The duration below which `fraction` of the weight lies, interpolated within its bin.
    pub(crate) fn quantile(&self, fraction: f64) -> Option<Micros> {
        let total = self.total();
        let mut left = fraction * total;
        for (bin, &count) in self.counts.iter().enumerate() {
            if count > 0.0 && left <= count {
                let low = if bin == 0 { 0 } else { FIRST_EDGE << (bin - 1) };
                let width = (FIRST_EDGE << bin) - low;
                return Some(low + (width as f64 * left / count) as Micros);
            }
            left -= count;
        }
        None
    }
}

/// The median, or the upper one of the two middle values; `None` without values.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
