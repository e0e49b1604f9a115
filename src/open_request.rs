//! What a policy keeps of a request without a final answer. Bookkeeping: nothing is decided here.

use crate::types::{AttemptNumber, HostId, Micros, RetrySafety, RingPosition};

/// What the policy makes of a class's settings.
pub(crate) struct ClassParameters {
    /// The class's own, less two ticks.
    pub(crate) latency_objective: Micros,
    /// Whether an answer past the objective is of use.
    pub(crate) late_is_useful: bool,
    /// The part of a concurrency limit that the class may fill.
    pub(crate) limit_share: f64,
    /// Retries that a request of the class may have.
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
    /// When it was counted against the slow start of its host, if it was.
    pub(crate) budgeted_at: Option<Micros>,
}

/// A request from its arrival to its final answer.
#[derive(Default)]
pub(crate) struct OpenRequest {
    /// Its class, as an index.
    pub(crate) class: usize,
    pub(crate) key: Option<RingPosition>,
    pub(crate) is_write: bool,
    /// Whether the client marked it as a retry of its own.
    pub(crate) is_client_retry: bool,
    /// Whether its tenant is inside its quota.
    pub(crate) is_in_quota: bool,
    /// No answer after that is of use.
    pub(crate) expires_at: Micros,
    /// The part of a concurrency limit that it may fill.
    pub(crate) limit_share: f64,
    pub(crate) attempts_started: u32,
    pub(crate) retries_left: u32,
    pub(crate) in_flight: Vec<SentAttempt>,
    /// Hosts that it was sent to or that may not have it.
    pub(crate) tried: Vec<HostId>,
    /// The first attempt that ended and may have run all the same.
    pub(crate) may_have_run: Option<SentAttempt>,
    /// A host that should have its key has no value for it.
    pub(crate) has_missed: bool,
    /// Where its last error came from.
    pub(crate) last_error_host: Option<HostId>,
}

impl OpenRequest {
    /// Records an attempt that is sent now, and numbers it.
    pub(crate) fn start_attempt(&mut self, host: HostId, now: Micros, is_budgeted: bool) -> AttemptNumber {
        let number = AttemptNumber(self.attempts_started);
        self.attempts_started += 1;
        let budgeted_at = is_budgeted.then_some(now);
        self.in_flight.push(SentAttempt { number, host, sent_at: now, budgeted_at });
        self.tried.push(host);
        number
    }

    /// Takes out an attempt that ended; `None` where it is not in flight.
    pub(crate) fn end_attempt(&mut self, number: AttemptNumber) -> Option<SentAttempt> {
        let at = self.in_flight.iter().position(|attempt| attempt.number == number)?;
        Some(self.in_flight.remove(at))
    }

    /// An attempt, if it is in flight.
    pub(crate) fn in_flight_attempt(&self, number: AttemptNumber) -> Option<SentAttempt> {
        self.in_flight.iter().find(|attempt| attempt.number == number).copied()
    }

    /// An attempt ended without proof that it did not run; the first such one is kept.
    pub(crate) fn record_possible_run(&mut self, attempt: SentAttempt) {
        let earlier = self.may_have_run.filter(|earlier| earlier.sent_at <= attempt.sent_at);
        self.may_have_run = earlier.or(Some(attempt));
    }

    /// The first attempt that may have run or may still.
    pub(crate) fn first_possible_run(&self) -> Option<SentAttempt> {
        let in_flight = self.in_flight.iter().copied();
        in_flight.chain(self.may_have_run).min_by_key(|attempt| attempt.sent_at)
    }

    /// The same but for one attempt, which is to be sent beside the others.
    pub(crate) fn first_possible_run_but(&self, number: AttemptNumber) -> Option<SentAttempt> {
        let others = self.in_flight.iter().copied().filter(|attempt| attempt.number != number);
        others.chain(self.may_have_run).min_by_key(|attempt| attempt.sent_at)
    }

    /// An attempt in flight was counted against the slow start of its host.
    pub(crate) fn set_budgeted(&mut self, number: AttemptNumber, at: Micros) {
        let counted = self.in_flight.iter_mut().find(|attempt| attempt.number == number);
        counted.into_iter().for_each(|attempt| attempt.budgeted_at = Some(at));
    }

    /// Whether an attempt that may have run, or one that is in flight, or a host that is passed
    /// over names this host.
    pub(crate) fn names_host(&self, host: HostId) -> bool {
        let mut attempts = self.in_flight.iter().chain(&self.may_have_run);
        self.tried.contains(&host) || attempts.any(|attempt| attempt.host == host)
    }

    /// A host that it was sent to may have it again.
    pub(crate) fn forget_tried(&mut self, host: HostId) {
        self.tried.retain(|tried| *tried != host);
    }
}
