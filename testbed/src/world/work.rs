//! How long a command is worked on: drawn by category, for hosts and for the origin.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use crate::experiment::{Category, ServiceTime, TimeDistribution};
use crate::time::{millis, Micros};

pub struct Work {
    categories: Vec<Category>,
    host: ServiceTime,
    origin: ServiceTime,
}

impl Work {
    pub fn new(categories: &[Category], host: ServiceTime, origin: ServiceTime) -> Work {
        Work { categories: categories.to_vec(), host, origin }
    }

    pub fn category(&self, name: &str) -> Option<usize> {
        self.categories.iter().position(|category| category.name == name)
    }

    pub fn terms(&self, category: usize) -> &Category {
        &self.categories[category]
    }

    pub fn draw(&self, rng: &mut impl Rng, category: Option<usize>, origin: bool) -> Micros {
        let own = category.and_then(|category| self.categories[category].service);
        drawn(rng, if origin { self.origin } else { own.unwrap_or(self.host) })
    }
}

/// A service time, at least a microsecond.
pub fn drawn(rng: &mut impl Rng, service: ServiceTime) -> Micros {
    let mean = service.mean_ms.max(1e-3);
    let ms = match service.kind {
        TimeDistribution::Constant => mean,
        TimeDistribution::Exponential => Exp::new(1.0 / mean).map_or(mean, |law| law.sample(rng)),
        // The mean of exp(N(m, s)) is exp(m + s^2 / 2).
        TimeDistribution::LogNormal => {
            let sigma = service.sigma.clamp(0.0, 4.0);
            let law = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma);
            law.map_or(mean, |law| law.sample(rng))
        }
    };
    millis(ms).max(1)
}
