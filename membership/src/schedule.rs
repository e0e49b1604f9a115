//! The schedule of one balancer's calls to discovery: timeouts, holds and pauses.

use basaltwood::types::{Micros, SeededRng};

use crate::WatchError;

/// The longest time from the start of a call to the start of the next, whatever the call's outcome.
/// A change counts as delivered 6 s after discovery has it and is reachable, and an answer may take
/// 2 s, so a call has to start within the first 4 s. 0.1 s of these is left for delays that the
/// schedule does not count. Source: the operators' requirements.
pub const MAX_CALL_INTERVAL: Micros = 3_900_000;

/// The longest time that a call may take, from its dial to the last byte of its answer. The pause
/// gets the rest of [`MAX_CALL_INTERVAL`].
const MAX_CALL_TIMEOUT: Micros = 3_600_000;

/// The longest time that discovery may hold a call while the list does not change.
const MAX_HOLD: Micros = 3_000_000;

/// Holds are requested in whole tenths of a second.
const HOLD_STEP: Micros = 100_000;

/// The response timeout of the first call. It doubles with each failed call, so that many balancers
/// can't keep a slow discovery busy with calls that they have abandoned. The call's hold becomes
/// shorter by the same time.
const FIRST_RESPONSE_TIMEOUT: Micros = 500_000;

/// The upper bound of the response timeout.
const MAX_RESPONSE_TIMEOUT: Micros = 3_000_000;

/// The timeout of the first call for the full list; it doubles with each failed call. Discovery
/// does not hold such a call.
const FIRST_FULL_LIST_TIMEOUT: Micros = 2_000_000;

/// The shortest first pause after a failed call, before jitter. It applies to small groups of
/// balancers, which may call often.
const MIN_PAUSE: Micros = 100_000;

/// The longest pause after a call without an answer, before jitter.
const MAX_PAUSE_AFTER_TIMEOUT: Micros = 300_000;

/// Multiplied by the number of balancers, this is each balancer's first pause after a refusal. The
/// pauses spread the calls, since a discovery that gets more calls than it can serve still works on
/// calls that it has refused already, and has to become idle first.
const PAUSE_PER_BALANCER: Micros = 60_000;

/// The maximum number of doublings of a pause or timeout, which keeps the shift in range.
const MAX_DOUBLINGS: u32 = 16;

/// The parameters of a schedule, fixed for the life of the process.
#[derive(Clone, Copy, Debug)]
pub struct WatchConfig {
    /// The seed of the jitter.
    pub seed: u64,
    /// The number of balancers that call the same discovery.
    pub balancers: u32,
    /// The version of the list that is known at the start.
    pub known_version: Option<u64>,
    /// How long a host may still get requests after it began to drain.
    pub drain_grace: Micros,
}

/// When to call discovery, and with which timeouts. All spans are in microseconds.
pub struct WatchSchedule {
    rng: SeededRng,
    /// The first pause after a call that was refused or got an invalid answer, before jitter.
    first_pause_after_refusal: Micros,
    /// The longest pause after a call without an answer, before jitter.
    max_pause_after_timeout: Micros,
    known_version: Option<u64>,
    consecutive_failures: u32,
}

impl WatchSchedule {
    /// A schedule whose first call is due at once.
    pub fn new(config: WatchConfig) -> WatchSchedule {
        let spread = PAUSE_PER_BALANCER * Micros::from(config.balancers);
        WatchSchedule {
            rng: SeededRng::new(config.seed),
            first_pause_after_refusal: spread.clamp(MIN_PAUSE, MAX_CALL_INTERVAL),
            max_pause_after_timeout: (config.drain_grace / 2).clamp(MIN_PAUSE / 2, MAX_PAUSE_AFTER_TIMEOUT),
            known_version: config.known_version,
            consecutive_failures: 0,
        }
    }

    /// The version from which the next call asks for changes. `None`: it asks for the full list.
    pub fn known_version(&self) -> Option<u64> {
        self.known_version
    }

    /// The number of calls that failed since the last success.
    pub fn consecutive_failures(&self) -> u32 {
        self.consecutive_failures
    }

    /// How long the next call may take, from its dial to the last byte of its answer.
    pub fn call_timeout(&self) -> Micros {
        if self.known_version.is_some() {
            MAX_CALL_TIMEOUT
        } else {
            self.backed_off(FIRST_FULL_LIST_TIMEOUT).min(MAX_CALL_TIMEOUT)
        }
    }

    /// How long the connection may take to be established, and how long the answer may take after
    /// the hold.
    pub fn response_timeout(&self) -> Micros {
        self.backed_off(FIRST_RESPONSE_TIMEOUT).min(MAX_RESPONSE_TIMEOUT)
    }

    /// How long discovery may hold a call whose dial took `dial_time`, in whole tenths of a second.
    pub fn hold_for(&self, dial_time: Micros) -> Micros {
        let time_left = self.call_timeout() - self.response_timeout() - dial_time;
        let hold = time_left.clamp(0, MAX_HOLD);
        hold - hold % HOLD_STEP
    }

    /// Reports a call that returned the changes up to `version`, or the full list if `full_list`.
    ///
    /// Changes up to a version lower than the known one, as another discovery may send them, are
    /// incomplete: the next call asks for the full list.
    pub fn succeeded(&mut self, version: u64, full_list: bool) {
        let incomplete = !full_list && self.known_version.is_some_and(|known| version < known);
        self.known_version = (!incomplete).then_some(version);
        self.consecutive_failures = 0;
    }

    /// Reports a call that failed after `call_duration`. Returns the pause before the next call.
    ///
    /// The pause doubles with each failure and is drawn from its upper half. The call and its pause
    /// together take no longer than [`MAX_CALL_INTERVAL`].
    pub fn failed(&mut self, error: &WatchError, call_duration: Micros) -> Micros {
        if matches!(error, WatchError::InvalidResponse(_)) {
            self.known_version = None;
        }
        let pause_limit = self.pause_limit(error);
        self.consecutive_failures += 1;
        let pause = self.rng.jittered(pause_limit);
        let pause = match error {
            WatchError::Unavailable { retry_after: Some(retry_after), .. } => pause.max(*retry_after),
            _ => pause,
        };
        // The next call must not be late, even if the refusal was.
        let time_left = MAX_CALL_INTERVAL - call_duration;
        pause.min(time_left.max(MIN_PAUSE / 2))
    }

    /// Reports that discovery's address has changed.
    ///
    /// The next call is due at once, since the new address has refused no call yet. It asks for the
    /// full list: the new address may number its versions differently, and would hold a call from a
    /// version that it never had even if it has changes.
    pub fn discovery_moved(&mut self) {
        self.consecutive_failures = 0;
        self.known_version = None;
    }

    /// The pause after this failed call, before jitter.
    fn pause_limit(&self, error: &WatchError) -> Micros {
        match error {
            // The next call must follow soon. The time until changes count as delivered to this
            // balancer (see `MAX_CALL_INTERVAL`) has begun for changes that an unanswered call
            // missed; changes that discovery has when it becomes reachable again count at once. One
            // more call does not overload discovery: the pause does not grow with the number of
            // balancers, and is at most half of the drain grace.
            WatchError::TimedOut(_) => self.backed_off(MIN_PAUSE).min(self.max_pause_after_timeout),
            WatchError::Unavailable { .. } | WatchError::InvalidResponse(_) => {
                self.backed_off(self.first_pause_after_refusal).min(MAX_CALL_INTERVAL)
            }
        }
    }

    /// `span`, doubled for each consecutive failure.
    fn backed_off(&self, span: Micros) -> Micros {
        span << self.consecutive_failures.min(MAX_DOUBLINGS)
    }
}
