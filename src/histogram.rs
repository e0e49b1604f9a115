//! A small histogram of durations in doubling bins, halved from time to time so that it forgets.

use crate::types::Micros;

const BINS: usize = 16;
const FIRST: Micros = 1_000; // the upper edge of the first bin; each further edge is twice the last

#[derive(Clone, Debug, Default)]
pub struct Histogram {
    counts: [f64; BINS],
    sum: f64,
}

impl Histogram {
    pub fn add(&mut self, value: Micros, weight: f64) {
        let mut bin = 0;
        while bin + 1 < BINS && value >= FIRST << bin {
            bin += 1;
        }
        self.counts[bin] += weight;
        self.sum += weight * value as f64;
    }

    pub fn halve(&mut self) {
        self.counts.iter_mut().for_each(|count| *count /= 2.0);
        self.sum /= 2.0;
    }

    pub fn total(&self) -> f64 {
        self.counts.iter().sum()
    }

    pub fn mean(&self) -> Option<f64> {
        let total = self.total();
        (total > 0.0).then(|| self.sum / total)
    }

    /// The value below which the share `part` lies, linear within its bin.
    pub fn quantile(&self, part: f64) -> Option<Micros> {
        let total = self.total();
        let mut left = part * total;
        for (bin, &count) in self.counts.iter().enumerate() {
            if count > 0.0 && left <= count {
                let low = if bin == 0 { 0 } else { FIRST << (bin - 1) };
                return Some(low + (((FIRST << bin) - low) as f64 * left / count) as Micros);
            }
            left -= count;
        }
        None
    }
}
