//! A seeded random number generator.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Micros;

/// The source of all random numbers of a balancer.
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// A generator that yields the same sequence for the same seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number from the whole range of `u64`.
    pub fn draw(&mut self) -> u64 {
        self.0.random()
    }

    /// A number from 0 (included) to 1 (excluded).
    pub fn fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A duration between half of a pause and the whole pause. The jitter keeps clients that back
    /// off alike from returning together.
    pub fn jittered(&mut self, pause: Micros) -> Micros {
        let half = pause / 2;
        half + (self.draw() % half.max(1) as u64) as Micros
    }
}

impl Default for SeededRng {
    fn default() -> SeededRng {
        SeededRng::new(0)
    }
}
