//! The check right before the first byte of an attempt. It repeats the checks of the decision to
//! start the attempt, which may have waited for its connection since.

use super::retry_safety::{check_repeat, PossibleRun, Repeat};
use super::Policy;
use crate::dispatcher::Dispatcher;
use crate::open_request::{OpenRequest, SentAttempt};
use crate::types::{AttemptKey, HostId, Micros};

/// The permission to write the request of one attempt to its host. Only [`Policy::permit_send`]
/// creates one.
#[derive(Debug)]
#[must_use = "without a permit nothing may be written"]
pub struct SendPermit {
    attempt: AttemptKey,
    host: HostId,
    complete_by: Micros,
}

impl SendPermit {
    /// The attempt that may be written.
    pub fn attempt(&self) -> AttemptKey {
        self.attempt
    }

    /// The host that the attempt may be written to.
    pub fn host(&self) -> HostId {
        self.host
    }

    /// When the last byte has to be written; the host executes the request after that byte.
    pub fn complete_by(&self) -> Micros {
        self.complete_by
    }
}

/// Why an attempt must not be written now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendRefusal {
    /// The client has closed its connection.
    ClientGone,
    /// The request has its final answer, or the attempt has ended.
    RequestEnded,
    /// The deadline of the request has passed.
    OutOfTime,
    /// The host is draining or gone.
    HostNotAccepting,
    /// An earlier attempt may have run, and a repeat could take effect twice.
    RepeatUnsafe,
    /// Another attempt is in flight, and hedging is not allowed.
    OtherInFlight,
    /// The host is warming up, and its budget for the current window is spent.
    SlowStartBudget,
}

impl Policy {
    /// Whether the first byte of an attempt may be written now; to be called right before the
    /// write. `client_present` is whether the client's connection was open when last checked.
    ///
    /// # Errors
    /// [`SendRefusal`] if a rule forbids it; then nothing may be written.
    pub fn permit_send(
        &mut self,
        now: Micros,
        attempt: AttemptKey,
        client_present: bool,
    ) -> Result<SendPermit, SendRefusal> {
        if !client_present {
            return Err(SendRefusal::ClientGone);
        }
        self.dispatcher.permit_send(now, attempt)
    }

    /// When an attempt that was just started has to be written, if a deduplication window limits it
    /// in addition to its deadline.
    pub(crate) fn repeat_deadline(&self, now: Micros, attempt: AttemptKey) -> Option<Micros> {
        let request = self.dispatcher.requests.get(&attempt.request)?;
        let sent = request.in_flight_attempt(attempt.number)?;
        match self.dispatcher.check_repeat_of(request, sent, now) {
            Repeat::Allowed { until } => until,
            Repeat::NotYet | Repeat::Forbidden => None,
        }
    }
}

impl Dispatcher {
    fn permit_send(&mut self, now: Micros, attempt: AttemptKey) -> Result<SendPermit, SendRefusal> {
        let request = self.requests.get(&attempt.request).ok_or(SendRefusal::RequestEnded)?;
        let sent = request.in_flight_attempt(attempt.number).ok_or(SendRefusal::RequestEnded)?;
        let expires_at = request.expires_at;
        if now >= expires_at {
            return Err(SendRefusal::OutOfTime);
        }
        if !self.takes_new_work(sent.host) {
            return Err(SendRefusal::HostNotAccepting);
        }
        let until = match self.check_repeat_of(request, sent, now) {
            Repeat::Allowed { until } => until.unwrap_or(expires_at),
            Repeat::NotYet => return Err(SendRefusal::OtherInFlight),
            Repeat::Forbidden => return Err(SendRefusal::RepeatUnsafe),
        };
        if !self.slow_start_allows_late(attempt, sent, now) {
            return Err(SendRefusal::SlowStartBudget);
        }
        Ok(SendPermit { attempt, host: sent.host, complete_by: until.min(expires_at) })
    }

    /// Whether an attempt in flight may be sent, given the other attempts of its request (rule 2).
    fn check_repeat_of(&self, request: &OpenRequest, sent: SentAttempt, now: Micros) -> Repeat {
        let Some(target) = self.host_statuses[sent.host.index()].endpoint.as_ref() else {
            return Repeat::Forbidden;
        };
        let others_in_flight = request.in_flight.iter().any(|other| other.number != sent.number);
        let earlier = request.first_possible_run_except(sent.number);
        let earlier = earlier.map(|earlier| self.possible_run(earlier, others_in_flight));
        let safety = self.classes[request.class].retry_safety;
        check_repeat(safety, earlier, target, self.capabilities.hedging, now)
    }

    /// The details of an earlier attempt that decide whether a repeat is allowed (rule 2).
    pub(crate) fn possible_run(&self, earlier: SentAttempt, others_in_flight: bool) -> PossibleRun<'_> {
        PossibleRun {
            endpoint: self.host_statuses[earlier.host.index()].endpoint.as_ref(),
            sent_at: earlier.sent_at,
            others_in_flight,
        }
    }

    /// Checks the slow-start budget (rule 4) again for an attempt that is sent in a later window
    /// than it was counted in, or whose host has restarted since the decision. The attempt is
    /// counted in the window in which it is sent.
    fn slow_start_allows_late(&mut self, attempt: AttemptKey, sent: SentAttempt, now: Micros) -> bool {
        let status = &self.host_statuses[sent.host.index()];
        let window = self.warm_up.slow_start.overload_window;
        let is_counted = sent.budgeted_at.is_some_and(|at| now - at < window);
        if is_counted || !status.is_warming_up() || !status.is_cache() {
            return true;
        }
        let Some(request) = self.requests.get_mut(&attempt.request) else { return false };
        let is_retry = attempt.number.0 > 0;
        request.set_budgeted(attempt.number, now);
        let key = request.key;
        self.warm_up_allows(sent.host, key, is_retry, now)
    }
}
