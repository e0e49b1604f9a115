//! When a host that lets no connection come up is tried again.

use basaltwood::types::Micros;

/// Failures with no sign of life between them that open the circuit: one alone may be chance.
const FAILURES_TO_OPEN: u32 = 2;
/// The first pause; each further failure doubles it.
const FIRST_PAUSE: Micros = 50_000;
/// No pause is longer, so that a host that returns is found soon.
const LONGEST_PAUSE: Micros = 2_000_000;
/// Doublings past which the pause is at its longest in any case; keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// It may.
    Closed,
    /// It may not before the pause is over.
    Open,
    /// The pause is over, and one connection is being opened to see how the host is.
    Probing,
}

/// Keeps a host that let no connection come up from being tried before a pause is over. Pauses
/// double, and each is drawn from its upper half.
#[derive(Clone, Copy, Debug, Default)]
pub struct CircuitBreaker {
    failures: u32,
    open_until: Micros,
    probing: bool,
}

impl CircuitBreaker {
    /// Whether a connection may be opened now.
    pub fn state(&self, now: Micros) -> CircuitState {
        if self.failures < FAILURES_TO_OPEN {
            CircuitState::Closed
        } else if self.open_until > now {
            CircuitState::Open
        } else if self.probing {
            CircuitState::Probing
        } else {
            CircuitState::Closed
        }
    }

    /// A connection is being opened; after failures this is the one probe.
    pub fn connect_started(&mut self) {
        self.probing = self.failures >= FAILURES_TO_OPEN;
    }

    /// The host gave a sign of life: a connection came up, or a response came.
    pub fn reset(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// An attempt to connect ended without telling anything of the host.
    pub fn connect_abandoned(&mut self) {
        self.probing = false;
    }

    /// A connection did not come up; `draw` is a random number that jitters the pause.
    pub fn connect_failed(&mut self, now: Micros, draw: u64) {
        self.probing = false;
        // Attempts that were under way together are evidence of one failure.
        if now < self.open_until {
            return;
        }
        self.failures += 1;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_OPEN).min(MAX_DOUBLINGS);
        let pause = (FIRST_PAUSE << doublings).min(LONGEST_PAUSE);
        let half = pause / 2;
        self.open_until = now + half + (draw % half as u64) as Micros;
    }
}
