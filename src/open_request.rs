//! The state that a policy keeps of a request without a final answer.

use crate::types::{AttemptNumber, HostId, Micros, RetrySafety, RingPosition};

/// The parameters that the policy derives from the settings of a class.
pub(crate) struct ClassParameters {
    /// The latency objective of the class, less two ticks.
    pub(crate) latency_objective: Micros,
    /// Whether an answer past the objective still earns anything.
    pub(crate) late_is_useful: bool,
    /// The share of a concurrency limit that the class may fill.
    pub(crate) limit_share: f64,
    /// The most retries of a request of the class.
    pub(crate) max_retries: u32,
    /// When a request of the class may be sent again.
    pub(crate) retry_safety: RetrySafety,
}

/// An attempt that was sent to a host.
#[derive(Clone, Copy)]
pub(crate) struct SentAttempt {
    pub(crate) number: AttemptNumber,
    pub(crate) host: HostId,
    pub(crate) sent_at: Micros,
    /// When the attempt was counted in the slow-start budget of its host, if it was.
    pub(crate) budgeted_at: Option<Micros>,
}

/// A request from its arrival to its final answer.
#[derive(Default)]
pub(crate) struct OpenRequest {
    /// The index of the request class.
    pub(crate) class: usize,
    pub(crate) key: Option<RingPosition>,
    pub(crate) is_write: bool,
    /// Whether the client marked the request as its own retry.
    pub(crate) is_client_retry: bool,
    /// Whether the request is in its tenant's quota.
    pub(crate) is_in_quota: bool,
    /// An answer after this time is useless.
    pub(crate) expires_at: Micros,
    /// The share of a concurrency limit that the request may fill.
    pub(crate) limit_share: f64,
    pub(crate) attempts_started: u32,
    pub(crate) retries_left: u32,
    pub(crate) in_flight: Vec<SentAttempt>,
    /// Hosts that the request was sent to, or that did not admit it.
    pub(crate) tried: Vec<HostId>,
    /// The first attempt that ended without proof that it did not run.
    pub(crate) may_have_run: Option<SentAttempt>,
    /// Whether a host that should hold the key answered with a miss.
    pub(crate) has_missed: bool,
    /// The host of the last error.
    pub(crate) last_error_host: Option<HostId>,
}

impl OpenRequest {
    /// Records an attempt that is sent now; returns its number.
    pub(crate) fn start_attempt(&mut self, host: HostId, now: Micros, is_budgeted: bool) -> AttemptNumber {
        let number = AttemptNumber(self.attempts_started);
        self.attempts_started += 1;
        let budgeted_at = is_budgeted.then_some(now);
        self.in_flight.push(SentAttempt { number, host, sent_at: now, budgeted_at });
        self.tried.push(host);
        number
    }

    /// Removes an attempt that ended; `None` if it was not in flight.
    pub(crate) fn end_attempt(&mut self, number: AttemptNumber) -> Option<SentAttempt> {
        let at = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(at))
    }

    /// The attempt with a number, if it is in flight.
    pub(crate) fn in_flight_attempt(&self, number: AttemptNumber) -> Option<SentAttempt> {
        self.in_flight.iter().find(|attempt| attempt.number == number).copied()
    }

    /// Records an attempt that ended without proof that it did not run; the first one is kept.
    pub(crate) fn record_possible_run(&mut self, attempt: SentAttempt) {
        let earlier = self.may_have_run.filter(|earlier| earlier.sent_at <= attempt.sent_at);
        self.may_have_run = earlier.or(Some(attempt));
    }

    /// The first attempt that may have run or may still run.
    pub(crate) fn first_possible_run(&self) -> Option<SentAttempt> {
        let in_flight = self.in_flight.iter().copied();
        in_flight.chain(self.may_have_run).min_by_key(|attempt| attempt.sent_at)
    }

    /// The first attempt, other than the given one, that may have run or may still run.
    pub(crate) fn first_possible_run_except(&self, number: AttemptNumber) -> Option<SentAttempt> {
        let others = self.in_flight.iter().copied().filter(|attempt| attempt.number != number);
        others.chain(self.may_have_run).min_by_key(|attempt| attempt.sent_at)
    }

    /// Records that an attempt in flight was counted in the slow-start budget of its host.
    pub(crate) fn set_budgeted(&mut self, number: AttemptNumber, at: Micros) {
        let counted = self.in_flight.iter_mut().find(|attempt| attempt.number == number);
        counted.into_iter().for_each(|attempt| attempt.budgeted_at = Some(at));
    }

    /// Whether the request has tried a host, or has an attempt there that may have run or is in
    /// flight.
    pub(crate) fn refers_to_host(&self, host: HostId) -> bool {
        let mut attempts = self.in_flight.iter().chain(&self.may_have_run);
        self.tried.contains(&host) || attempts.any(|attempt| attempt.host == host)
    }

    /// Lets the request be sent to a host again.
    pub(crate) fn forget_tried(&mut self, host: HostId) {
        self.tried.retain(|tried| *tried != host);
    }
}
