//! A histogram of durations in doubling bins, which forgets by halving; and the median of a few
//! values.

use crate::types::Micros;

const BINS: usize = 16;
/// The upper edge of the first bin; each further edge is twice the last, and the last bin has none.
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

    /// Halves every weight once they sum up to so much.
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

    /// The mean duration in microseconds; `None` while it is empty.
    pub(crate) fn mean(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| self.sum / total)
    }

    /// The duration below which the share `part` of the weight lies, linear within its bin.
    pub(crate) fn quantile(&self, part: f64) -> Option<Micros> {
        let total = self.total();
        let mut left = part * total;
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

/// The median, the upper one of two; `None` of nothing.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}
