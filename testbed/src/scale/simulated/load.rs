//! The load of the simulated balancers: requests at a set rate, with Poisson arrivals, on keys whose
//! popularity follows Zipf's law. They start when they are due, whatever became of those before.

use std::rc::Rc;

use basaltwood::types::{Micros, RingPosition};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};
use tokio::sync::watch::Receiver;
use tokio::task::spawn_local;
use tokio::time::sleep_until;

use super::balancer::SimulatedBalancer;
use super::clock::ProcessClock;
use super::counters::Counters;
use crate::scale::protocol::SimulatedSpec;
use crate::time::MS;

/// Keys are hashes of their ranks with this, so that popular ones lie apart on the ring.
const KEY_SALT: u64 = 7;

/// How often each key is drawn, by its rank.
enum KeyPopularity {
    Zipf(Zipf<f64>),
    Uniform { keys: u64 },
}

impl KeyPopularity {
    fn new(spec: &SimulatedSpec) -> KeyPopularity {
        match Zipf::new(spec.keys as f64, spec.zipf) {
            Ok(law) if spec.zipf > 0.0 => KeyPopularity::Zipf(law),
            _ => KeyPopularity::Uniform { keys: spec.keys.max(1) },
        }
    }

    fn draw_rank(&self, rng: &mut ChaCha8Rng) -> u64 {
        match self {
            KeyPopularity::Zipf(law) => law.sample(rng) as u64,
            KeyPopularity::Uniform { keys } => rng.random_range(0..*keys),
        }
    }
}

/// Draws the requests of all balancers of a process.
pub(super) struct LoadGenerator {
    pub(super) spec: SimulatedSpec,
    pub(super) clock: Rc<ProcessClock>,
    pub(super) counters: Rc<Counters>,
    pub(super) balancers: Rc<Vec<Rc<SimulatedBalancer>>>,
}

impl LoadGenerator {
    /// Draws requests while `generating` says so: for all balancers together, each for one of them
    /// by chance, which is a Poisson process at each.
    pub(super) async fn run(self, mut generating: Receiver<bool>) {
        // The processes of a run draw differently.
        let seed = self.spec.seed ^ u64::from(self.spec.first_balancer) << 20;
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let popularity = KeyPopularity::new(&self.spec);
        let rate = self.spec.rate * f64::from(self.spec.balancers);
        loop {
            let started = generating.wait_for(|&generating| generating).await.is_ok();
            if !started || rate <= 0.0 || self.balancers.is_empty() {
                return;
            }
            let mut due = self.clock.now() as f64;
            while *generating.borrow() {
                due += rng.sample::<f64, _>(Exp1) / rate * 1e6;
                self.wait_until(due as Micros).await;
                self.start_request(&popularity, &mut rng, due as Micros);
            }
        }
    }

    async fn wait_until(&self, due: Micros) {
        if due > self.clock.now() {
            sleep_until(self.clock.at(due)).await;
        } else {
            // Behind: the balancers, which share this thread, must not starve for it.
            tokio::task::yield_now().await;
        }
    }

    fn start_request(&self, popularity: &KeyPopularity, rng: &mut ChaCha8Rng, due: Micros) {
        // The timer's resolution is a millisecond: that is no lateness.
        self.counters.lateness.record(self.clock.now() - due - MS);
        let rank = popularity.draw_rank(rng);
        let balancer = self.balancers[rng.random_range(0..self.balancers.len())].clone();
        self.counters.count(|counters| counters.requests += 1);
        spawn_local(balancer.run_request(RingPosition(rank).mixed(KEY_SALT).0, due));
    }
}
