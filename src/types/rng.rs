//! Random numbers from a seed.

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::Micros;

/// The random numbers of one balancer, all from its seed.
pub struct SeededRng(ChaCha8Rng);

impl SeededRng {
    /// A generator that yields the same sequence for the same seed.
    pub fn new(seed: u64) -> SeededRng {
        SeededRng(ChaCha8Rng::seed_from_u64(seed))
    }

    /// Any number.
    pub fn draw(&mut self) -> u64 {
        self.0.random()
    }

    /// A number from 0 up to 1, 1 excluded.
    pub fn fraction(&mut self) -> f64 {
        (self.draw() >> 11) as f64 / (1_u64 << 53) as f64
    }

    /// A span drawn from the upper half of a pause: jitter, so that those who back off alike do not
    /// return together.
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
