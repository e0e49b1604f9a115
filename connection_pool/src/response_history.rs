//! The recent responses of one host, against which a request without a response is judged.

use basaltwood::types::Micros;

/// A request is in doubt once this many requests that were sent later have been answered.
const LATER_RESPONSES_FOR_DOUBT: usize = 3;
/// A request in doubt has also waited this multiple of the slowest recent response time.
const DOUBT_WAIT_MULTIPLE: f64 = 2.0;
/// A request in doubt has waited at least this long.
const MIN_WAIT_FOR_DOUBT: Micros = 20_000;
/// Number of responses that are remembered.
const MAX_REMEMBERED: usize = 2 * LATER_RESPONSES_FOR_DOUBT;
/// Factor applied to the slowest response time at each further response.
const SLOWEST_DECAY: f64 = 0.995;
/// A host counts as alive for this long after a response.
const ALIVE_WITHIN: Micros = 150_000;
/// Consecutive timeouts without any response from the host after which it counts as hung, not just
/// slow.
const TIMEOUTS_OF_HUNG_HOST: u32 = 3;

/// The recent responses of one host.
#[derive(Clone, Debug, Default)]
pub struct ResponseHistory {
    last_response_at: Option<Micros>,
    /// When the requests of the last responses were sent, in the order of the responses.
    sent_at: Vec<Micros>,
    /// The slowest recent response time, in microseconds.
    slowest: f64,
    /// Attempts that timed out since the last response.
    timeouts: u32,
}

impl ResponseHistory {
    /// Records that the host responded to something.
    pub fn responded(&mut self, now: Micros) {
        self.last_response_at = Some(now);
        self.timeouts = 0;
    }

    /// Records the response to a request that was sent at `sent_at`; `in_time` if its attempt had
    /// not timed out.
    pub fn record(&mut self, now: Micros, sent_at: Micros, in_time: bool) {
        // A late response shows how long the host was silent, not how long responses take.
        if in_time {
            self.slowest = (self.slowest * SLOWEST_DECAY).max((now - sent_at) as f64);
        }
        self.sent_at.push(sent_at);
        if self.sent_at.len() > MAX_REMEMBERED {
            self.sent_at.remove(0);
        }
    }

    /// Records that an attempt timed out; `silent` if the host has not responded to anything since
    /// the attempt's request was sent.
    pub fn timed_out(&mut self, silent: bool) {
        self.timeouts = if silent { self.timeouts + 1 } else { 0 };
    }

    /// Number of remembered responses to requests that were sent after `sent_at`.
    fn responses_sent_after(&self, sent_at: Micros) -> usize {
        self.sent_at.iter().filter(|&&other| other > sent_at).count()
    }

    /// Whether a request that was sent later has been answered.
    pub fn overtaken(&self, sent_at: Micros) -> bool {
        self.responses_sent_after(sent_at) > 0
    }

    /// Whether [`LATER_RESPONSES_FOR_DOUBT`] requests that were sent later have been answered.
    pub fn overtaken_repeatedly(&self, sent_at: Micros) -> bool {
        self.responses_sent_after(sent_at) >= LATER_RESPONSES_FOR_DOUBT
    }

    /// How long a request must have waited before it can be in doubt.
    pub fn min_wait_for_doubt(&self) -> Micros {
        ((self.slowest * DOUBT_WAIT_MULTIPLE) as Micros).max(MIN_WAIT_FOR_DOUBT)
    }

    /// Whether the host has not responded to anything since `at`.
    pub fn silent_since(&self, at: Micros) -> bool {
        self.last_response_at.is_none_or(|response_at| response_at < at)
    }

    /// Whether the host responded within [`ALIVE_WITHIN`].
    pub fn alive(&self, now: Micros) -> bool {
        self.last_response_at.is_some_and(|at| now - at < ALIVE_WITHIN)
    }

    /// Whether [`TIMEOUTS_OF_HUNG_HOST`] attempts timed out without any response in between.
    pub fn host_hangs(&self) -> bool {
        self.timeouts >= TIMEOUTS_OF_HUNG_HOST
    }
}
