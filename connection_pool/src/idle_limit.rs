//! How long a connection to a host may be idle and still be reused: learned from whether reused
//! connections turned out stale.

use basaltwood::types::Micros;

/// Fraction of the hosts' configured idle timeout after which a connection is not reused.
const CONFIGURED_FRACTION: f64 = 0.8;
/// Width of the first age band; each further band is twice as wide. A connection idle for less than
/// this was used just now and is never distrusted.
const FIRST_AGE_BAND: Micros = 100_000;
const AGE_BANDS: usize = 9;
/// Decayed count of stale reuses in an age band below which they are put down to chance.
const MIN_STALE: f64 = 1.5;
/// Fraction of stale reuses above which an age band is not trusted: a lost attempt costs several
/// times what a new connection does.
const MAX_STALE_FRACTION: f64 = 0.15;
/// Factor applied to the counts of an age band at each further reuse in it.
const DECAY_PER_REUSE: f64 = 0.95;
/// Factor applied to all counts after each [`DECAY_PERIOD`]: an age that is not trusted is not
/// tried either, so only time can restore it.
const DECAY_PER_PERIOD: f64 = 0.5;
const DECAY_PERIOD: Micros = 10_000_000;

/// The idle limit that follows from the configured idle timeout alone.
pub fn configured_idle_limit(idle_timeout: Micros) -> Micros {
    (idle_timeout as f64 * CONFIGURED_FRACTION) as Micros
}

/// The outcome of reusing a connection that had been idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    Good,
    /// The connection turned out to be dead.
    Stale,
}

/// Decayed counts of recent reuses of connections of one age.
#[derive(Clone, Copy, Debug, Default)]
struct ReuseCounts {
    good: f64,
    stale: f64,
}

impl ReuseCounts {
    fn decay(&mut self, factor: f64) {
        self.good *= factor;
        self.stale *= factor;
    }

    fn too_many_stale(&self) -> bool {
        self.stale >= MIN_STALE && self.stale > MAX_STALE_FRACTION * (self.good + self.stale)
    }
}

/// Recent reuse outcomes by idle age. The limit is the age from which on too many connections were
/// stale. Connections that die by chance at any age, as by a random reset, hardly shorten it: a new
/// connection has a cost too.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    counts_by_age: [ReuseCounts; AGE_BANDS],
    configured: Micros,
    decayed_at: Micros,
}

impl IdleLimit {
    /// Starts at the configured limit, which the learned one never exceeds.
    pub fn new(idle_timeout: Micros) -> IdleLimit {
        IdleLimit {
            counts_by_age: [ReuseCounts::default(); AGE_BANDS],
            configured: configured_idle_limit(idle_timeout),
            decayed_at: 0,
        }
    }

    fn age_band_of(age: Micros) -> usize {
        ((age / FIRST_AGE_BAND + 1).ilog2() as usize).min(AGE_BANDS - 1)
    }

    fn start_of_age_band(age_band: usize) -> Micros {
        FIRST_AGE_BAND * ((1 << age_band) - 1)
    }

    /// How long a connection may have been idle and still be reused.
    pub fn limit(&self) -> Micros {
        match self.counts_by_age.iter().position(ReuseCounts::too_many_stale) {
            Some(age_band) => IdleLimit::start_of_age_band(age_band).max(FIRST_AGE_BAND).min(self.configured),
            None => self.configured,
        }
    }

    /// The limit if it is shorter than the configured one.
    pub fn learned(&self) -> Option<Micros> {
        Some(self.limit()).filter(|&limit| limit < self.configured)
    }

    /// Records the outcome of reusing a connection that had been idle for `idle_for`.
    pub fn record(&mut self, idle_for: Micros, reuse: Reuse) {
        let counts = &mut self.counts_by_age[IdleLimit::age_band_of(idle_for)];
        counts.decay(DECAY_PER_REUSE);
        match reuse {
            Reuse::Good => counts.good += 1.0,
            Reuse::Stale => counts.stale += 1.0,
        }
    }

    /// Decays the counts when a [`DECAY_PERIOD`] is over.
    pub fn tick(&mut self, now: Micros) {
        if now - self.decayed_at >= DECAY_PERIOD {
            self.decayed_at = now;
            self.counts_by_age.iter_mut().for_each(|counts| counts.decay(DECAY_PER_PERIOD));
        }
    }
}
