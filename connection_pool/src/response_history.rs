//! The recent responses of one host, against which a silent request is weighed.

use basaltwood::types::Micros;

/// A request is in doubt once so many that were sent after it have their responses,
const LATER_RESPONSES_FOR_DOUBT: usize = 3;
/// and it has waited so many times as long as any response of late,
const DOUBT_PER_SLOWEST: f64 = 2.0;
/// and at least so long.
const MIN_WAIT_FOR_DOUBT: Micros = 20_000;
/// Responses that are remembered.
const REMEMBERED: usize = 2 * LATER_RESPONSES_FOR_DOUBT;
/// What is left of the slowest response time after each further response.
const SLOWEST_DECAY: f64 = 0.995;
/// A host that has responded so short a time ago is well.
const ALIVE_WITHIN: Micros = 150_000;
/// Attempts that timed out one after the other without any response of the host between: it hangs,
/// and is not just slow.
const TIMEOUTS_OF_HUNG_HOST: u32 = 3;

/// What a host responded to of late.
#[derive(Clone, Debug, Default)]
pub struct ResponseHistory {
    last_response_at: Option<Micros>,
    /// When the requests of the last responses were sent, the last response's last.
    sent_at: Vec<Micros>,
    /// The longest that a response took of late, in microseconds.
    slowest: f64,
    /// Attempts that timed out since the last response.
    timeouts: u32,
}

impl ResponseHistory {
    /// A response came.
    pub fn responded(&mut self, now: Micros) {
        self.last_response_at = Some(now);
        self.timeouts = 0;
    }

    /// A request that was sent then has its response; `in_time` where its attempt still waited for
    /// it.
    pub fn record(&mut self, now: Micros, sent_at: Micros, in_time: bool) {
        // A late response tells how long its host was silent, not how long responses take.
        if in_time {
            self.slowest = (self.slowest * SLOWEST_DECAY).max((now - sent_at) as f64);
        }
        self.sent_at.push(sent_at);
        if self.sent_at.len() > REMEMBERED {
            self.sent_at.remove(0);
        }
    }

    /// An attempt timed out; `silent` where the host has not responded to anything since its
    /// request was sent.
    pub fn timed_out(&mut self, silent: bool) {
        self.timeouts = if silent { self.timeouts + 1 } else { 0 };
    }

    /// Requests that were sent after this one and have their responses.
    fn responses_sent_after(&self, sent_at: Micros) -> usize {
        self.sent_at.iter().filter(|&&other| other > sent_at).count()
    }

    /// A later request than this one has its response.
    pub fn overtaken(&self, sent_at: Micros) -> bool {
        self.responses_sent_after(sent_at) > 0
    }

    /// So many later requests than this one have their responses that it is in doubt.
    pub fn overtaken_often(&self, sent_at: Micros) -> bool {
        self.responses_sent_after(sent_at) >= LATER_RESPONSES_FOR_DOUBT
    }

    /// How long a request has to wait before it can be in doubt.
    pub fn wait_for_doubt(&self) -> Micros {
        ((self.slowest * DOUBT_PER_SLOWEST) as Micros).max(MIN_WAIT_FOR_DOUBT)
    }

    /// Nothing was responded to since then.
    pub fn silent_since(&self, at: Micros) -> bool {
        self.last_response_at.is_none_or(|response_at| response_at < at)
    }

    /// The host responded a moment ago.
    pub fn alive(&self, now: Micros) -> bool {
        self.last_response_at.is_some_and(|at| now - at < ALIVE_WITHIN)
    }

    /// So many attempts timed out without any response that the host hangs.
    pub fn host_hangs(&self) -> bool {
        self.timeouts >= TIMEOUTS_OF_HUNG_HOST
    }
}
