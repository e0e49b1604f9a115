//! Generates the load of the simulated balancers: requests at a fixed rate, with Poisson arrivals
//! and Zipf-distributed keys. The load is open-loop: requests start when due, whether or not
//! earlier ones have ended.

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

/// The salt for hashing the rank of a key to the key, so that popular keys lie apart on the ring.
const KEY_SALT: u64 = 7;

/// The distribution of the ranks of keys.
enum KeyPopularity {
    Zipf(Zipf<f64>),
    Uniform { keys: u64 },
}

impl KeyPopularity {
    fn new(spec: &SimulatedSpec) -> KeyPopularity {
        match Zipf::new(spec.keys as f64, spec.zipf) {
            Ok(distribution) if spec.zipf > 0.0 => KeyPopularity::Zipf(distribution),
            _ => KeyPopularity::Uniform { keys: spec.keys.max(1) },
        }
    }

    fn draw_rank(&self, rng: &mut ChaCha8Rng) -> u64 {
        match self {
            KeyPopularity::Zipf(distribution) => distribution.sample(rng) as u64,
            KeyPopularity::Uniform { keys } => rng.random_range(0..*keys),
        }
    }
}

/// Generates the requests of all balancers of a process.
pub(super) struct LoadGenerator {
    pub(super) spec: SimulatedSpec,
    pub(super) clock: Rc<ProcessClock>,
    pub(super) counters: Rc<Counters>,
    pub(super) balancers: Rc<Vec<Rc<SimulatedBalancer>>>,
}

impl LoadGenerator {
    /// Generates requests while `generating` is true. One Poisson process serves all balancers and
    /// assigns each request to a random one, which makes a Poisson process at each.
    pub(super) async fn run(self, mut generating: Receiver<bool>) {
        // Each process of a run has its own random sequence.
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
            // The generator is behind. It must not starve the balancers, which share this thread.
            tokio::task::yield_now().await;
        }
    }

    fn start_request(&self, popularity: &KeyPopularity, rng: &mut ChaCha8Rng, due: Micros) {
        // The timer has a resolution of a millisecond, which does not count as lateness.
        self.counters.lateness.record(self.clock.now() - due - MS);
        let rank = popularity.draw_rank(rng);
        let balancer = self.balancers[rng.random_range(0..self.balancers.len())].clone();
        self.counters.count(|counters| counters.requests += 1);
        spawn_local(balancer.run_request(RingPosition(rank).mixed(KEY_SALT).0, due));
    }
}
