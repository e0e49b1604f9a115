//! Draws the service time of a command by its request class, for hosts and for the origin.

use rand::Rng;
use rand_distr::{Distribution, Exp, LogNormal};

use crate::experiment::{Category, ServiceTime, TimeDistribution};
use crate::time::{millis, Micros};

/// The service times of an experiment.
pub struct ServiceTimes {
    classes: Vec<Category>,
    host: ServiceTime,
    origin: ServiceTime,
}

impl ServiceTimes {
    /// Takes the distributions of hosts and the origin; a request class may have its own at hosts.
    pub fn new(classes: &[Category], host: ServiceTime, origin: ServiceTime) -> ServiceTimes {
        ServiceTimes { classes: classes.to_vec(), host, origin }
    }

    /// The index of the request class with this name.
    pub fn class_index(&self, name: &str) -> Option<usize> {
        self.classes.iter().position(|class| class.name == name)
    }

    /// The request class at an index that [`ServiceTimes::class_index`] gave.
    pub fn class(&self, index: usize) -> &Category {
        &self.classes[index]
    }

    /// Draws the service time of a command of a class, at a host or at the origin.
    pub fn draw(&self, rng: &mut impl Rng, class: Option<usize>, at_origin: bool) -> Micros {
        let of_class = class.and_then(|index| self.classes[index].service);
        let at_host = of_class.unwrap_or(self.host);
        draw_service_time(rng, if at_origin { self.origin } else { at_host })
    }
}

/// Draws a service time of at least a microsecond.
pub fn draw_service_time(rng: &mut impl Rng, service: ServiceTime) -> Micros {
    let mean = service.mean_ms.max(1e-3);
    let ms = match service.kind {
        TimeDistribution::Constant => mean,
        TimeDistribution::Exponential => {
            Exp::new(1.0 / mean).map_or(mean, |distribution| distribution.sample(rng))
        }
        // The mean of exp(N(m, s)) is exp(m + s^2 / 2).
        TimeDistribution::LogNormal => {
            let sigma = service.sigma.clamp(0.0, 4.0);
            let distribution = LogNormal::new(mean.ln() - sigma * sigma / 2.0, sigma);
            distribution.map_or(mean, |distribution| distribution.sample(rng))
        }
    };
    millis(ms).max(1)
}
