//! When discovery is asked for the list of hosts, and for how much of it. Pure: chance comes from a seed, time is the
//! caller's, who waits as long as he is told and says what came of each call.
//!
//! For each call [`WatchSchedule::from`], [`WatchSchedule::call_timeout`] and [`WatchSchedule::hold`], and after it [`WatchSchedule::succeeded`], or
//! [`WatchSchedule::failed`], which tells how long to wait;
//! [`WatchSchedule::discovery_moved`] when discovery is elsewhere from now on. The first call is made at once: what discovery would tell one
//! who has no call open counts as told, and the rule on drains binds from then on.
//!
//! It never reads a list, never gives up, and never makes a call dearer because an earlier one was refused.
//!
//! A discovery serves its calls in turn. When it has more than it can serve, all are late, and those refused come again at
//! once if they are let: what is mild for one balancer keeps it overbooked for ever when a hundred do it together. So what
//! is bounded here is the sum over all balancers.

use basaltwood::types::{Micros, SeededRng};

/// From the beginning of a call to the beginning of the next at most, whatever came of it: refused, silent, given up, or of no
/// sense. A change counts as told 6 s after discovery had it and could be reached, and an answer may take 2 s: so a call has to
/// begin in the 4 s before that, less a tenth for what is not counted here. Source: the operators' page on real days.
pub const MAX_CALL_INTERVAL: Micros = 3_900_000;
/// How long a call may take at most, from its dial to the last byte of its answer. The rest of [`MAX_CALL_INTERVAL`] is for the pause.
const MAX_CALL_TIMEOUT: Micros = 3_600_000;
/// How long discovery may hold a call while nothing changes.
const MAX_HOLD: Micros = 3_000_000;
/// How long a connection to it may take to come up, and an answer be overdue at first. What is slow is given twice as long with
/// each call in vain, so that many who ask can't keep it busy with calls that they have given up. What a call is given for this
/// is taken from its hold.
const FIRST_RESPONSE_TIMEOUT: Micros = 500_000;
const MAX_RESPONSE_TIMEOUT: Micros = 3_000_000;
/// How long the whole list, which is not held, may take to come at first.
const FIRST_FULL_LIST_TIMEOUT: Micros = 2_000_000;
/// After a failed call at least: few balancers may ask often.
const MIN_PAUSE: Micros = 100_000;
/// After a call that was not answered at most.
const MAX_PAUSE_AFTER_TIMEOUT: Micros = 300_000;
/// A balancer's turn: calls after a first refusal are spread over one for each balancer. A discovery that is asked for more
/// than it serves works on for those that it has refused already, so it has to be let come to rest.
const PAUSE_PER_BALANCER: Micros = 60_000;

#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    pub seed: u64,
    /// Balancers that ask as this one does.
    pub balancers: u32,
    /// The version that is known at the start.
    pub known_version: Option<u64>,
    /// How long a host that leaves may still be sent to.
    pub drain_grace: Micros,
}

/// Why a call brought no list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchError {
    /// A refusal for now, with the pause it asks for. The version that is known still holds.
    Unavailable { cause: String, retry_after: Option<Micros> },
    /// No answer came. The same holds.
    TimedOut(String),
    /// An answer of no use: perhaps that version is not known there.
    InvalidResponse(String),
}

impl WatchError {
    pub fn cause(&self) -> &str {
        match self {
            WatchError::Unavailable { cause, .. }
            | WatchError::TimedOut(cause)
            | WatchError::InvalidResponse(cause) => cause,
        }
    }
}

pub struct WatchSchedule {
    rng: SeededRng,
    /// The first pause after a call that was answered, but with no list: refused, or with nonsense.
    first_pause_after_refusal: Micros,
    /// A pause at most after a call that was not answered.
    max_pause_after_timeout: Micros,
    known_version: Option<u64>,
    consecutive_failures: u32,
}

impl WatchSchedule {
    pub fn new(config: WatchConfig) -> WatchSchedule {
        WatchSchedule {
            rng: SeededRng::new(config.seed),
            first_pause_after_refusal: (PAUSE_PER_BALANCER * Micros::from(config.balancers))
                .clamp(MIN_PAUSE, MAX_CALL_INTERVAL),
            max_pause_after_timeout: (config.drain_grace / 2).clamp(MIN_PAUSE / 2, MAX_PAUSE_AFTER_TIMEOUT),
            known_version: config.known_version,
            consecutive_failures: 0,
        }
    }

    /// The version after which changes are asked for; the whole list where there is none.
    pub fn known_version(&self) -> Option<u64> {
        self.known_version
    }

    fn backed_off(&self, span: Micros) -> Micros {
        span << self.consecutive_failures.min(16)
    }

    /// How long a call may take, from its dial to the last byte of its answer.
    pub fn call_timeout(&self) -> Micros {
        if self.known_version.is_some() {
            MAX_CALL_TIMEOUT
        } else {
            self.backed_off(FIRST_FULL_LIST_TIMEOUT).min(MAX_CALL_TIMEOUT)
        }
    }

    /// How long its connection may take to come up, and its answer be overdue.
    pub fn response_timeout(&self) -> Micros {
        self.backed_off(FIRST_RESPONSE_TIMEOUT).min(MAX_RESPONSE_TIMEOUT)
    }

    /// How long discovery may hold a call, of which the dial has taken so much of its time: whole tenths of a second.
    pub fn hold_for(&self, dial_time: Micros) -> Micros {
        let left = (self.call_timeout() - self.response_timeout() - dial_time).clamp(0, MAX_HOLD);
        left - left % 100_000
    }

    /// Calls that failed since the last answer.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// An answer came; `full_list` where it held all there is. One that counts from less than was known, as another discovery
    /// may, has not told all, so all is asked for next.
    pub fn succeeded(&mut self, version: u64, full_list: bool) {
        let incomplete = !full_list && self.known_version.is_some_and(|known| version < known);
        self.known_version = (!incomplete).then_some(version);
        self.consecutive_failures = 0;
    }

    /// A call failed that took so long: how long to wait before the next. The pause doubles, and is drawn from its upper half;
    /// with the call it is no longer than [`MAX_CALL_INTERVAL`].
    pub fn failed(&mut self, error: &WatchError, call_duration: Micros) -> Micros {
        if matches!(error, WatchError::InvalidResponse(_)) {
            self.known_version = None;
        }
        // What a silent call would have told counts as told by now, and so does what discovery has to tell in the instant in
        // which it is back. One more call overbooks nobody: no turn is waited for, and no longer than half of the grace.
        let silent = matches!(error, WatchError::TimedOut(_));
        let (least, longest) = if silent {
            (MIN_PAUSE, self.max_pause_after_timeout)
        } else {
            (self.first_pause_after_refusal, MAX_CALL_INTERVAL)
        };
        let pause = self.backed_off(least).min(longest);
        self.consecutive_failures += 1;
        let pause = self.rng.jittered(pause);
        let pause = match error {
            WatchError::Unavailable { retry_after: Some(retry_after), .. } => pause.max(*retry_after),
            _ => pause,
        };
        // A refusal may come as late as any answer, and however late it comes the next call must not.
        pause.min((MAX_CALL_INTERVAL - call_duration).max(MIN_PAUSE / 2))
    }

    /// Discovery is elsewhere: that one is asked at once, and has refused nobody yet. It may count otherwise, and hold a call
    /// from a version that it never had while there is news: all is asked for.
    pub fn discovery_moved(&mut self) {
        self.consecutive_failures = 0;
        self.known_version = None;
    }
}
