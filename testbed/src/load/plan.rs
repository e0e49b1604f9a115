//! The planned arrivals: due time, request class, tenant and key of each request, drawn from one
//! seed. No input or output.

use std::f64::consts::TAU;
use std::ops::Range;

use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::weighted::WeightedIndex;
use rand_distr::{Distribution, Exp1, Zipf};

use crate::experiment::{Arrivals, Experiment, HotKey, RateShape, Tenant, WorkingSetShift};
use crate::time::{seconds, Micros, SECOND};

/// Separates the plan's random numbers from others with the same seed ("load").
const SEED_MASK: u64 = 0x6c6f_6164;
/// Evenly spaced arrivals step by at most the interval of this rate, so that they notice the end of
/// a time without requests.
const MIN_EVEN_RATE_PER_S: f64 = 10.0;
/// The shortest period of a shape or a working set, in seconds; shorter ones are raised to it.
const MIN_PERIOD_S: f64 = 0.001;

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedRequest {
    /// The due time, in microseconds since the start of the run.
    pub at: Micros,
    /// The index of the request class in the experiment.
    pub category: u16,
    /// The index of the tenant in the experiment, if any.
    pub customer: Option<u16>,
    /// The index of the key in [`Plan::keys`].
    pub key: u32,
    /// The size of the value, in bytes.
    pub size: u32,
}

/// All requests of a run.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The requests, ordered by due time.
    pub requests: Vec<PlannedRequest>,
    /// The keys by index.
    pub keys: Vec<String>,
}

impl Plan {
    /// Draws the requests of an experiment.
    pub fn generate(experiment: &Experiment, seed: u64) -> Plan {
        let load = &experiment.load;
        let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
        let shares: Vec<f64> = experiment.categories.iter().map(|class| class.share).collect();
        let classes = WeightedIndex::new(&shares).ok();
        let rate = Rate::new(experiment);
        let max_rate = rate.max();
        let key_popularity = KeyPopularity::new(experiment, &mut rng);
        let mut requests = Vec::new();
        let mut at_s = 0.0;
        loop {
            at_s += match load.arrivals {
                Arrivals::Poisson => rng.sample::<f64, _>(Exp1) / max_rate,
                Arrivals::Even => 1.0 / rate.at(at_s).max(MIN_EVEN_RATE_PER_S),
            };
            if at_s >= experiment.seconds {
                break;
            }
            let arrives = match load.arrivals {
                // Thinning: arrivals at the highest rate are kept in proportion to the present one.
                Arrivals::Poisson => rng.random::<f64>() * max_rate < rate.at(at_s),
                Arrivals::Even => rate.at(at_s) > 0.0,
            };
            if !arrives {
                continue;
            }
            let category = classes.as_ref().map_or(0, |distribution| distribution.sample(&mut rng));
            let is_write = experiment.categories[category].write;
            requests.push(PlannedRequest {
                at: seconds(at_s),
                category: category as u16,
                customer: rate.tenants_at(at_s).map(|distribution| distribution.sample(&mut rng) as u16),
                key: key_popularity.draw(at_s, is_write, &mut rng),
                size: load.value_bytes as u32,
            });
        }
        Plan { requests, keys: key_popularity.names }
    }

    /// The mean rate, in requests per second.
    pub fn mean_rate(&self) -> f64 {
        let length = self.requests.last().map_or(SECOND, |request| request.at.max(1));
        self.requests.len() as f64 / (length as f64 / 1e6)
    }
}

/// The rate of arrivals over the run and their distribution over tenants.
struct Rate<'a> {
    experiment: &'a Experiment,
    base: TenantShares,
    /// The time span, in seconds, and the tenants' shares during a flood by one tenant.
    flood: Option<(Range<f64>, TenantShares)>,
}

/// The distribution of arrivals over tenants.
struct TenantShares {
    sum: f64,
    distribution: Option<WeightedIndex<f64>>,
}

impl TenantShares {
    fn new(tenants: &[Tenant], share: impl Fn(usize, &Tenant) -> f64) -> TenantShares {
        let shares: Vec<f64> = tenants.iter().enumerate().map(|(nth, tenant)| share(nth, tenant)).collect();
        TenantShares { sum: shares.iter().sum(), distribution: WeightedIndex::new(&shares).ok() }
    }
}

impl Rate<'_> {
    fn new(experiment: &Experiment) -> Rate<'_> {
        let tenants = &experiment.customers;
        let base = TenantShares::new(tenants, |_, tenant| tenant.share);
        let flood = experiment.load.flood.as_ref().map(|flood| {
            let flooder = tenants.iter().position(|tenant| tenant.name == flood.customer).unwrap_or(0);
            let times = flood.times.max(1.0);
            let share =
                |nth, tenant: &Tenant| if nth == flooder { tenant.share * times } else { tenant.share };
            (flood.from_s..flood.to_s, TenantShares::new(tenants, share))
        });
        Rate { experiment, base, flood }
    }

    /// The multiple of the rate during a flood: the flood's requests come on top of all others.
    fn flood_multiple(&self) -> f64 {
        match &self.flood {
            Some((_, shares)) if self.base.sum > 0.0 => shares.sum / self.base.sum,
            _ => 1.0,
        }
    }

    fn flood_at(&self, at_s: f64) -> Option<&TenantShares> {
        let (span, shares) = self.flood.as_ref()?;
        span.contains(&at_s).then_some(shares)
    }

    /// The rate at a time, in requests per second.
    fn at(&self, at_s: f64) -> f64 {
        let load = &self.experiment.load;
        let multiple = if self.flood_at(at_s).is_some() { self.flood_multiple() } else { 1.0 };
        load.rate * level(load.shape, at_s, self.experiment.seconds) * multiple
    }

    /// An upper bound of the rate over the run.
    fn max(&self) -> f64 {
        let load = &self.experiment.load;
        load.rate * max_level(load.shape) * self.flood_multiple()
    }

    fn tenants_at(&self, at_s: f64) -> Option<&WeightedIndex<f64>> {
        self.flood_at(at_s).unwrap_or(&self.base).distribution.as_ref()
    }
}

/// The level of a shape at a time of a run of this length (both in seconds).
pub fn level(shape: RateShape, at_s: f64, length_s: f64) -> f64 {
    let level = match shape {
        RateShape::Steady => 1.0,
        RateShape::Ramp { from, to } => from + (to - from) * (at_s / length_s).clamp(0.0, 1.0),
        RateShape::Step { at_s: step_at_s, level } => {
            if at_s < step_at_s {
                1.0
            } else {
                level
            }
        }
        RateShape::Surge { at_s: surge_at_s, rise_s, hold_s, fall_s, peak } => {
            let height = surge_height(at_s - surge_at_s, rise_s, hold_s, fall_s);
            1.0 + (peak - 1.0) * height
        }
        RateShape::Daily { period_s, low } => {
            let angle = (at_s / period_s.max(MIN_PERIOD_S)) * TAU;
            low + (1.0 - low) * (1.0 - angle.cos()) / 2.0
        }
    };
    level.max(0.0)
}

/// The height of a surge from 0 to 1 at a time since it began.
fn surge_height(since_s: f64, rise_s: f64, hold_s: f64, fall_s: f64) -> f64 {
    let progress = |span: f64, all: f64| if all > 0.0 { (span / all).clamp(0.0, 1.0) } else { 1.0 };
    if since_s < 0.0 {
        0.0
    } else if since_s < rise_s + hold_s {
        progress(since_s, rise_s)
    } else {
        1.0 - progress(since_s - rise_s - hold_s, fall_s)
    }
}

fn max_level(shape: RateShape) -> f64 {
    match shape {
        RateShape::Steady | RateShape::Daily { .. } => 1.0,
        RateShape::Ramp { from, to } => from.max(to),
        RateShape::Step { level, .. } => level.max(1.0),
        RateShape::Surge { peak, .. } => peak.max(1.0),
    }
}

/// The distribution of requests over keys.
struct KeyPopularity {
    names: Vec<String>,
    distribution: Option<Zipf<f64>>,
    /// Key indices from the most to the least popular key; shuffled, so that a key's index is
    /// independent of its popularity.
    by_rank: Vec<u32>,
    /// A hot key that takes a fraction of the reads for a time.
    hot: Option<HotKey>,
    /// A changing set of keys that takes a fraction of the reads.
    shift: Option<WorkingSetShift>,
}

impl KeyPopularity {
    fn new(experiment: &Experiment, rng: &mut ChaCha8Rng) -> KeyPopularity {
        let load = &experiment.load;
        let mut by_rank: Vec<u32> = (0..load.keys as u32).collect();
        by_rank.shuffle(rng);
        KeyPopularity {
            names: (0..load.keys).map(|_| format!("{:016x}", rng.random::<u64>())).collect(),
            distribution: Zipf::new(load.keys as f64, load.zipf).ok().filter(|_| load.zipf > 0.0),
            by_rank,
            hot: load.hot,
            shift: load.shift,
        }
    }

    fn draw(&self, at_s: f64, is_write: bool, rng: &mut ChaCha8Rng) -> u32 {
        if !is_write {
            if let Some(key) = self.draw_hot(at_s, rng) {
                return key;
            }
            if let Some(key) = self.draw_shifted(at_s, rng) {
                return key;
            }
        }
        match &self.distribution {
            Some(distribution) => {
                let rank = distribution.sample(rng) as usize;
                self.by_rank[rank.clamp(1, self.by_rank.len()) - 1]
            }
            None => rng.random_range(0..self.names.len() as u32),
        }
    }

    /// The hot key, if this read is drawn for it. With a period, the key is hot in every other one.
    fn draw_hot(&self, at_s: f64, rng: &mut ChaCha8Rng) -> Option<u32> {
        let hot = self.hot.filter(|hot| (hot.from_s..hot.to_s).contains(&at_s))?;
        let is_on = hot.period_s <= 0.0 || (((at_s - hot.from_s) / hot.period_s) as u64).is_multiple_of(2);
        (is_on && rng.random::<f64>() < hot.part).then(|| self.by_rank[0])
    }

    /// A key of the current working set, if this read is drawn for the set.
    fn draw_shifted(&self, at_s: f64, rng: &mut ChaCha8Rng) -> Option<u32> {
        let shift = self.shift?;
        if rng.random::<f64>() >= shift.part {
            return None;
        }
        let round = (at_s / shift.every_s.max(MIN_PERIOD_S)) as usize;
        let rank = round * shift.set + rng.random_range(0..shift.set.max(1));
        Some(self.by_rank[rank % self.by_rank.len()])
    }
}
