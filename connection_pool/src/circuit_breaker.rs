//! Circuit breaker: when to try a host again whose connects keep failing.

use basaltwood::types::Micros;

/// Consecutive failed connects that open the circuit; a single failure may be chance.
const FAILURES_TO_OPEN: u32 = 2;
/// The first backoff; each further failure doubles it.
const FIRST_BACKOFF: Micros = 50_000;
/// Upper bound of the backoff, so that a host that returns is found soon.
const MAX_BACKOFF: Micros = 2_000_000;
/// Bounds the shift; the backoff reaches [`MAX_BACKOFF`] with fewer doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Whether a connection may be opened.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CircuitState {
    /// Connections may be opened.
    Closed,
    /// No connection may be opened before the backoff is over.
    Open,
    /// The backoff is over, and one connection is being opened as a probe.
    Probing,
}

/// Blocks connects to a host whose connects failed until a backoff is over. Backoffs double, and
/// each is drawn at random from its upper half.
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

    /// The host is reachable: a connection was established, or a response came.
    pub fn reset(&mut self) {
        *self = CircuitBreaker::default();
    }

    /// A connect ended without evidence about the host.
    pub fn connect_abandoned(&mut self) {
        self.probing = false;
    }

    /// A connect failed; `draw` is a random number that jitters the backoff.
    pub fn connect_failed(&mut self, now: Micros, draw: u64) {
        self.probing = false;
        // The circuit is open: this connect began before. It does not count as a further failure.
        if now < self.open_until {
            return;
        }
        self.failures += 1;
        if self.failures < FAILURES_TO_OPEN {
            return;
        }
        let doublings = (self.failures - FAILURES_TO_OPEN).min(MAX_DOUBLINGS);
        let backoff = (FIRST_BACKOFF << doublings).min(MAX_BACKOFF);
        let half = backoff / 2;
        self.open_until = now + half + (draw % half as u64) as Micros;
    }
}
