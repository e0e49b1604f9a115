//! How fast connections are opened, and when a host that lets none come up is asked again.

use basaltwood::types::Micros;

const SECOND: f64 = 1e6;

/// A store of leave to open: so many at once, and so many a second.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    store: f64,
    most: f64,
    rate: f64,
    at: Micros,
    /// A connect_bucket that was cut down grows back to these.
    whole: (f64, f64),
}

/// Of one host while all is well: enough that no burst is held up.
const HOST: (f64, f64) = (64.0, 200.0);
/// Of all hosts together.
const ALL: (f64, f64) = (256.0, 800.0);
/// Of a host that comes back, over all balancers: at once, and a second. It doubles with each second of answers.
const RETURN: (f64, f64) = (64.0, 100.0);
/// At least, whatever the number of balancers.
const LEAST: (f64, f64) = (1.0, 1.0);

impl TokenBucket {
    fn new(whole: (f64, f64)) -> TokenBucket {
        TokenBucket { store: whole.0, most: whole.0, rate: whole.1, at: 0, whole }
    }

    pub fn for_host() -> TokenBucket {
        TokenBucket::new(HOST)
    }

    pub fn for_all_hosts(balancers: u32) -> TokenBucket {
        // Hundreds of balancers that meet the same trouble open so many times as much.
        let part = (8.0 / f64::from(balancers.max(1))).min(1.0);
        TokenBucket::new(((ALL.0 * part).max(16.0), (ALL.1 * part).max(20.0)))
    }

    fn fill(&mut self, now: Micros) {
        let span = (now - self.at).max(0) as f64 / SECOND;
        self.at = self.at.max(now);
        self.store = (self.store + span * self.rate).min(self.most);
        let grown = 2_f64.powf(span);
        self.rate = (self.rate * grown).min(self.whole.1);
        self.most = (self.most * grown).min(self.whole.0);
    }

    /// When one more may be opened.
    pub fn next_token_at(&mut self, now: Micros) -> Micros {
        self.fill(now);
        if self.store >= 1.0 {
            now
        } else {
            now + ((1.0 - self.store) / self.rate * SECOND).ceil() as Micros
        }
    }

    pub fn take(&mut self, now: Micros) {
        self.fill(now);
        self.store -= 1.0;
    }

    /// The host lost connections or lets none come up: it comes back at a bounded rate, over all balancers together.
    pub fn throttle_recovery(&mut self, now: Micros, balancers: u32) {
        self.fill(now);
        let balancers = f64::from(balancers.max(1));
        self.most = self.most.min((RETURN.0 / balancers).max(LEAST.0));
        self.rate = self.rate.min((RETURN.1 / balancers).max(LEAST.1));
        self.store = self.store.min(self.most);
    }
}

/// Failures with no sign of life between that close it: one alone is chance.
const IN_A_ROW: u32 = 2;
const FIRST_PAUSE: Micros = 50_000;
const LONGEST_PAUSE: Micros = 2_000_000;

/// Whether a host that let no connection come up is asked again: after pauses that double, each drawn from its upper half.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    until: Micros,
    /// One is out to see.
    probe_in_flight: bool,
}

impl CircuitBreaker {
    /// While nothing is to be opened: until when; the present where one is out to see.
    pub fn until(&self, now: Micros) -> Option<Micros> {
        match self.failures {
            ..IN_A_ROW => None,
            _ if self.until > now => Some(self.until),
            _ => self.probe_in_flight.then_some(now),
        }
    }

    pub fn connect_started(&mut self) {
        self.probe_in_flight = self.failures >= IN_A_ROW;
    }

    pub fn reset(&mut self) {
        *self = CircuitBreaker::default();
    }

    pub fn connect_abandoned(&mut self) {
        self.probe_in_flight = false;
    }

    pub fn connect_failed(&mut self, now: Micros, draw: u64) {
        self.probe_in_flight = false;
        // Those that were under way together tell one thing.
        if now < self.until {
            return;
        }
        self.failures += 1;
        if self.failures < IN_A_ROW {
            return;
        }
        let pause = (FIRST_PAUSE << (self.failures - IN_A_ROW).min(16)).min(LONGEST_PAUSE);
        self.until = now + pause / 2 + (draw % (pause as u64 / 2)) as Micros;
    }
}
