//! How long a connection to a host may be idle and still be used again: learned from how idle
//! connections fared.

use basaltwood::types::Micros;

/// The part of the hosts' configured idle timeout after which a connection is not used again.
const CONFIGURED_PART: f64 = 0.8;
/// The width of the first step of ages, each next one twice as wide; a connection younger than this
/// was just used and is as good as any.
const FIRST_STEP: Micros = 100_000;
const STEPS: usize = 9;
/// Stale connections of one age that are more than chance,
const MIN_STALE: f64 = 1.5;
/// and the part of its uses that is too many: a lost attempt costs several times what a new
/// connection does.
const MAX_STALE_PART: f64 = 0.15;
/// What is left of a step's counts after each further use in it.
const DECAY_PER_USE: f64 = 0.95;
/// What is left of all counts after each period: an age that is not trusted is not tried either, so
/// only time can bring it back.
const DECAY_PER_PERIOD: f64 = 0.5;
const DECAY_PERIOD: Micros = 10_000_000;

/// The limit by the settings alone.
pub fn configured_idle_limit(idle_timeout: Micros) -> Micros {
    (idle_timeout as f64 * CONFIGURED_PART) as Micros
}

/// How a connection that had been idle fared when it was used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reuse {
    Good,
    /// It turned out to be dead.
    Stale,
}

/// Recent uses of connections of one age, as decayed counts.
#[derive(Clone, Copy, Debug, Default)]
struct Uses {
    good: f64,
    stale: f64,
}

impl Uses {
    fn decay(&mut self, factor: f64) {
        self.good *= factor;
        self.stale *= factor;
    }

    fn too_many_stale(&self) -> bool {
        self.stale >= MIN_STALE && self.stale > MAX_STALE_PART * (self.good + self.stale)
    }
}

/// How idle connections of each age fared of late: the age from which on too many were stale is the
/// limit. A connection that dies by itself at any age, as by a reset that comes by chance, teaches
/// next to nothing: a new one has its price too.
#[derive(Clone, Copy, Debug)]
pub struct IdleLimit {
    uses_by_age: [Uses; STEPS],
    configured: Micros,
    decayed_at: Micros,
}

impl IdleLimit {
    /// Nothing is learned yet; the limit never exceeds the one by the settings.
    pub fn new(idle_timeout: Micros) -> IdleLimit {
        IdleLimit {
            uses_by_age: [Uses::default(); STEPS],
            configured: configured_idle_limit(idle_timeout),
            decayed_at: 0,
        }
    }

    fn step_of(age: Micros) -> usize {
        ((age / FIRST_STEP + 1).ilog2() as usize).min(STEPS - 1)
    }

    fn start_of(step: usize) -> Micros {
        FIRST_STEP * ((1 << step) - 1)
    }

    /// For how long a connection may have been idle and still be used.
    pub fn limit(&self) -> Micros {
        match self.uses_by_age.iter().position(Uses::too_many_stale) {
            Some(step) => IdleLimit::start_of(step).max(FIRST_STEP).min(self.configured),
            None => self.configured,
        }
    }

    /// The limit where it is shorter than the settings say.
    pub fn learned(&self) -> Option<Micros> {
        Some(self.limit()).filter(|&limit| limit < self.configured)
    }

    /// A connection was used again after being idle for so long.
    pub fn record(&mut self, idle_for: Micros, reuse: Reuse) {
        let uses = &mut self.uses_by_age[IdleLimit::step_of(idle_for)];
        uses.decay(DECAY_PER_USE);
        match reuse {
            Reuse::Good => uses.good += 1.0,
            Reuse::Stale => uses.stale += 1.0,
        }
    }

    /// Forgets a part of what was learned where that is due.
    pub fn tick(&mut self, now: Micros) {
        if now - self.decayed_at >= DECAY_PERIOD {
            self.decayed_at = now;
            self.uses_by_age.iter_mut().for_each(|uses| uses.decay(DECAY_PER_PERIOD));
        }
    }
}
