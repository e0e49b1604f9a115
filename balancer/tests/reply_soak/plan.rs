//! What happens to a request: drawn by its client, and written into the key, so that every server knows it.

use std::ops::Range;

use rand::seq::IndexedRandom as _;
use rand::Rng;

/// What is wrong with an answer of a cache host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoil {
    Nothing,
    /// The host lacks the key; the origin answers with a length.
    Miss,
    /// The host lacks the key; the origin answers in chunks.
    MissThenChunks,
    /// The connection is closed in the middle of the value.
    Closed,
    /// The connection is reset in the middle of the value.
    Reset,
    /// The head states fewer bytes.
    Shorter,
    /// The head states more bytes.
    Longer,
    /// Noise stands in place of what follows the value.
    Noise,
}

/// All that can be wrong, sound answers more often.
const SPOILS: [Spoil; 12] = [
    Spoil::Nothing,
    Spoil::Nothing,
    Spoil::Nothing,
    Spoil::Nothing,
    Spoil::Miss,
    Spoil::MissThenChunks,
    Spoil::MissThenChunks,
    Spoil::Closed,
    Spoil::Reset,
    Spoil::Shorter,
    Spoil::Longer,
    Spoil::Noise,
];
/// Lengths of values on either side of each bound in the program.
const LENGTHS: [usize; 9] = [5, 900, 1_100, 4_000, 15_000, 17_000, 48_000, 80_000, 250_000];
/// The most that the origin sends in chunks.
const MAX_CHUNKED: usize = 60_000;

/// A pause that changes nothing, and one past what a client waits, in milliseconds.
const SHORT_PAUSES_MS: Range<u64> = 0..120;
const LONG_PAUSES_MS: Range<u64> = 1_000..2_600;
/// The share of answers with a long pause in their middle.
const LONG_PAUSE_SHARE: f64 = 0.06;

/// What happens to one read.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    number: u64,
    pub length: usize,
    pub spoil: Spoil,
    /// The pause before the answer, in milliseconds.
    pub pause_ms: u64,
    /// The pause in its middle, in milliseconds.
    pub middle_pause_ms: u64,
}

impl Plan {
    /// Draws the plan of the read with this number.
    pub fn draw(random: &mut impl Rng, number: u64) -> Plan {
        let spoil = *SPOILS.choose(random).expect("not empty");
        let length = LENGTHS.choose(random).expect("not empty") + random.random_range(0..200);
        let length = if spoil == Spoil::MissThenChunks { length.min(MAX_CHUNKED) } else { length };
        let pauses = if random.random_bool(LONG_PAUSE_SHARE) { LONG_PAUSES_MS } else { SHORT_PAUSES_MS };
        let pause_ms = random.random_range(SHORT_PAUSES_MS);
        Plan { number, length, spoil, pause_ms, middle_pause_ms: random.random_range(pauses) }
    }

    /// The key that carries the plan.
    pub fn key(self) -> String {
        let spoil = SPOILS.iter().position(|spoil| *spoil == self.spoil).expect("listed");
        format!("{}-{}-{spoil}-{}-{}", self.number, self.length, self.pause_ms, self.middle_pause_ms)
    }

    /// The plan in a key.
    pub fn of_key(key: &str) -> Plan {
        let mut parts = key.split('-').map(|part| part.parse::<u64>().expect("a number"));
        let mut next = || parts.next().expect("five numbers");
        let (number, length, spoil) = (next(), next() as usize, next() as usize);
        Plan { number, length, spoil: SPOILS[spoil], pause_ms: next(), middle_pause_ms: next() }
    }

    /// The value of the key.
    pub fn value(self) -> Vec<u8> {
        format!("{};", self.key()).bytes().cycle().take(self.length).collect()
    }
}
