//! Arrivals laid out ahead: when each op is due, of what category, for whom, on which key. Pure; all from one seed.

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp1, Zipf};

use crate::experiment::{Arrivals, Experiment, HotKey, RateShape};
use crate::time::{seconds, Micros, SECOND};

/// One op as it is due. Categories, customers and keys are named by their places.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    pub at: Micros,
    pub category: u16,
    pub customer: Option<u16>,
    pub key: u32,
    pub size: u32,
}

#[derive(Clone, Debug, Default)]
pub struct Plan {
    pub requests: Vec<PlannedRequest>,
    pub keys: Vec<String>,
}

/// The rate at a time, as a multiple of the load's.
pub fn level(shape: RateShape, at: f64, length: f64) -> f64 {
    match shape {
        RateShape::Steady => 1.0,
        RateShape::Ramp { from, to } => from + (to - from) * (at / length).clamp(0.0, 1.0),
        RateShape::Step { at_s, level } => {
            if at < at_s {
                1.0
            } else {
                level
            }
        }
        RateShape::Surge { at_s, rise_s, hold_s, fall_s, peak } => {
            let since = at - at_s;
            let part = |span: f64, all: f64| if all > 0.0 { (span / all).clamp(0.0, 1.0) } else { 1.0 };
            let height = match since {
                _ if since < 0.0 => 0.0,
                _ if since < rise_s + hold_s => part(since, rise_s),
                _ => 1.0 - part(since - rise_s - hold_s, fall_s),
            };
            1.0 + (peak - 1.0) * height
        }
        RateShape::Daily { period_s, low } => {
            let turn = (at / period_s.max(0.001)) * std::f64::consts::TAU;
            low + (1.0 - low) * (1.0 - turn.cos()) / 2.0
        }
    }
    .max(0.0)
}

fn highest(shape: RateShape) -> f64 {
    match shape {
        RateShape::Steady | RateShape::Daily { .. } => 1.0,
        RateShape::Ramp { from, to } => from.max(to),
        RateShape::Step { level, .. } => level.max(1.0),
        RateShape::Surge { peak, .. } => peak.max(1.0),
    }
}

impl Plan {
    pub fn generate(experiment: &Experiment, seed: u64) -> Plan {
        let load = &experiment.load;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0x6c6f_6164);
        let shares: Vec<f64> = experiment.categories.iter().map(|category| category.share).collect();
        let categories = WeightedIndex::new(&shares).ok();
        let flooded = load.flood.as_ref().map(|flood| {
            let customer = experiment.customers.iter().position(|customer| customer.name == flood.customer);
            (customer.unwrap_or(0), flood.from_s..flood.to_s, flood.times.max(1.0))
        });
        let customers = |flooding: bool| {
            let share = |(nth, customer): (usize, &crate::experiment::Tenant)| match &flooded {
                Some((flooder, _, times)) if flooding && *flooder == nth => customer.share * times,
                _ => customer.share,
            };
            let shares: Vec<f64> = experiment.customers.iter().enumerate().map(share).collect();
            (shares.iter().sum::<f64>(), WeightedIndex::new(&shares).ok())
        };
        let (calm_sum, calm) = customers(false);
        let (flood_sum, flood) = customers(true);
        // A flood comes on top of what all others ask for.
        let swell = if calm_sum > 0.0 { flood_sum / calm_sum } else { 1.0 };
        let flooding = |at: f64| flooded.as_ref().is_some_and(|(_, span, _)| span.contains(&at));
        let rate = |at: f64| {
            let level = level(load.shape, at, experiment.seconds);
            load.rate * level * if flooding(at) { swell } else { 1.0 }
        };
        let most = load.rate * highest(load.shape) * if flooded.is_some() { swell } else { 1.0 };
        let mut popular = Popular::new(experiment, &mut rng);
        let mut requests = Vec::new();
        let mut at = 0.0;
        loop {
            at += match load.arrivals {
                Arrivals::Poisson => rng.sample::<f64, _>(Exp1) / most,
                // Where nothing comes, look again a little later.
                Arrivals::Even => 1.0 / rate(at).max(10.0),
            };
            if at >= experiment.seconds {
                break;
            }
            let keep = match load.arrivals {
                Arrivals::Poisson => rng.random::<f64>() * most < rate(at),
                Arrivals::Even => rate(at) > 0.0,
            };
            if !keep {
                continue;
            }
            let customers = if flooding(at) { &flood } else { &calm };
            let category = categories.as_ref().map_or(0, |law| law.sample(&mut rng));
            let write = experiment.categories[category].write;
            requests.push(PlannedRequest {
                at: seconds(at),
                category: category as u16,
                customer: customers.as_ref().map(|law| law.sample(&mut rng) as u16),
                key: popular.draw(at, write, &mut rng),
                size: load.value_bytes as u32,
            });
        }
        Plan { requests, keys: popular.names }
    }

    /// Ops due in a span.
    pub fn due(&self, from: Micros, to: Micros) -> usize {
        self.requests.iter().filter(|request| (from..to).contains(&request.at)).count()
    }

    pub fn rate(&self) -> f64 {
        let length = self.requests.last().map_or(SECOND, |request| request.at.max(1));
        self.requests.len() as f64 / (length as f64 / 1e6)
    }
}

/// Which key is asked for.
struct Popular {
    names: Vec<String>,
    law: Option<Zipf<f64>>,
    /// Popularity says nothing of a name: the order is shuffled.
    order: Vec<u32>,
    hot: Option<HotKey>,
    shift: Option<crate::experiment::WorkingSetShift>,
}

impl Popular {
    fn new(experiment: &Experiment, rng: &mut ChaCha8Rng) -> Popular {
        let load = &experiment.load;
        let mut order: Vec<u32> = (0..load.keys as u32).collect();
        order.shuffle(rng);
        Popular {
            names: (0..load.keys).map(|_| format!("{:016x}", rng.random::<u64>())).collect(),
            law: Zipf::new(load.keys as f64, load.zipf).ok().filter(|_| load.zipf > 0.0),
            order,
            hot: load.hot,
            shift: load.shift,
        }
    }

    fn draw(&mut self, at: f64, write: bool, rng: &mut ChaCha8Rng) -> u32 {
        let keys = self.names.len() as u32;
        if let Some(hot) = self.hot.filter(|hot| !write && (hot.from_s..hot.to_s).contains(&at)) {
            let on = hot.period_s <= 0.0 || (((at - hot.from_s) / hot.period_s) as u64).is_multiple_of(2);
            if on && rng.random::<f64>() < hot.part {
                return self.order[0];
            }
        }
        if let Some(shift) = self.shift.filter(|_| !write) {
            if rng.random::<f64>() < shift.part {
                let round = (at / shift.every_s.max(0.001)) as usize;
                let nth = (round * shift.set + rng.random_range(0..shift.set.max(1))) % self.order.len();
                return self.order[nth];
            }
        }
        match &self.law {
            Some(law) => {
                let rank = law.sample(rng) as usize;
                self.order[rank.clamp(1, self.order.len()) - 1]
            }
            None => rng.random_range(0..keys),
        }
    }
}
