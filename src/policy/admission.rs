//! The checks of every attempt and of every final answer. They enforce the four rules independently
//! of earlier decisions:
//! 1. no attempt after the deadline or beyond the maximum number of attempts,
//! 2. no attempt, and no advice to try again, that could make a request take effect twice,
//! 3. no new attempt at a host that is draining or gone,
//! 4. no more load on a host that is warming up than it can handle.

use super::constants::*;
use super::retry_safety::{check_repeat, rejection_is_harmless, Repeat};
use crate::dispatcher::Dispatcher;
use crate::host_tracker::{HostStatus, Mailboxes};
use crate::open_request::OpenRequest;
use crate::send_windows::{KeyBound, SendBounds};
use crate::types::*;

impl Dispatcher {
    /// Starts an attempt unless a rule forbids it; returns whether it was started.
    pub fn start_attempt(&mut self, id: RequestId, host: HostId, mailboxes: &mut Mailboxes) -> bool {
        let now = mailboxes.now;
        let Some(request) = self.requests.get(&id) else { return false };
        let may_start = self.is_open_for_attempts(request, now)
            && self.may_run_again_at(request, host, now)
            && self.takes_new_work(host);
        if !may_start {
            return false;
        }
        let (key, is_retry) = (request.key, !request.tried.is_empty());
        if !self.warm_up_allows(host, key, is_retry, now) {
            return false;
        }
        let status = &self.host_statuses[host.index()];
        let is_budgeted = status.is_warming_up() && status.is_cache();
        self.record_attempt(id, host, is_budgeted, mailboxes);
        true
    }

    /// Rule 1: no attempt after the deadline or beyond the maximum number of attempts.
    fn is_open_for_attempts(&self, request: &OpenRequest, now: Micros) -> bool {
        now < request.expires_at && request.attempts_started < self.capabilities.max_attempts
    }

    /// Rule 2: no attempt that could make the request take effect twice, and two attempts at a time
    /// only with hedging.
    fn may_run_again_at(&self, request: &OpenRequest, host: HostId, now: Micros) -> bool {
        let Some(earlier) = request.first_possible_run() else { return true };
        let Some(target) = self.host_statuses[host.index()].endpoint.as_ref() else { return true };
        let earlier = self.possible_run(earlier, !request.in_flight.is_empty());
        let safety = self.classes[request.class].retry_safety;
        let repeat = check_repeat(safety, Some(earlier), target, self.capabilities.hedging, now);
        matches!(repeat, Repeat::Allowed { .. })
    }

    /// Rule 3: no new attempt at a host that is draining or gone; its grace period is not used.
    pub(super) fn takes_new_work(&self, host: HostId) -> bool {
        self.host_statuses[host.index()].is_up()
    }

    /// Rule 4: no more sends in a window to a host that is warming up than this balancer's share of
    /// what the host can handle. A warm host handles at least the mean load, and this balancer's
    /// own sends already are its share of that.
    pub(super) fn warm_up_allows(
        &mut self,
        host: HostId,
        key: Option<RingPosition>,
        is_retry: bool,
        now: Micros,
    ) -> bool {
        let status = &self.host_statuses[host.index()];
        if !status.is_warming_up() || !status.is_cache() {
            return true;
        }
        // Retries of what other hosts rejected or lost come from all balancers at once.
        if is_retry {
            return false;
        }
        let bounds = self.warm_up_bounds(status, key);
        self.warm_up.sends.try_send(now, self.warm_up.slow_start.overload_window, host, bounds, &mut self.rng)
    }

    /// The bounds on the sends to a host and on those for one key in a window. The host's bound is
    /// `WARM_UP_MARGIN` of this balancer's share of the load that overloads the host, plus
    /// `WARM_UP_DEVIATION` of that load's deviation. It is divided by the probability that this
    /// balancer has any request for the host in a window: windows without one leave their part
    /// unused. The key's bound is `WARM_UP_MARGIN` of the same share of the load, less the load
    /// that the warm-up share of the host's capacity takes.
    fn warm_up_bounds(&self, status: &HostStatus, key: Option<RingPosition>) -> SendBounds {
        let overload = self.warm_up.slow_start.overload_multiple;
        let own_share = 1.0 - self.fleet.others_share;
        let mean = self.warm_up.sends_per_window.max(MIN_SENDS_PER_WINDOW);
        let sends_at_capacity = status.capacity * mean;
        let kept = status.kept_key_share(self.warm_up.share) / self.warm_up.mean_key_share;
        let request_probability = 1.0 - (-mean * kept.min(1.0)).exp();
        let deviation =
            WARM_UP_DEVIATION * ((overload * sends_at_capacity * own_share).sqrt() + own_share.min(mean));
        let max_sends = (WARM_UP_MARGIN * overload * sends_at_capacity + deviation) / request_probability;
        let max_for_key = (WARM_UP_MARGIN * overload - self.warm_up.share) * sends_at_capacity;
        SendBounds { max_sends, key: key.map(|key| KeyBound { key, max_sends: max_for_key }) }
    }

    /// Gives a request its only final answer: a rejection if `may_reject` and trying again is
    /// harmless, otherwise a failure. Callers make sure that no attempt is in flight unless it is
    /// to be cancelled.
    pub fn close(&mut self, id: RequestId, may_reject: bool, reason: EndReason, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.get(&id) else { return };
        let in_flight = !request.in_flight.is_empty();
        let earlier = request.first_possible_run().map(|earlier| self.possible_run(earlier, in_flight));
        let safety = self.classes[request.class].retry_safety;
        let is_harmless = rejection_is_harmless(safety, earlier, self.retry_after, mailboxes.now);
        let rejection = PolicyAction::Reject { request: id, retry_after: self.retry_after, reason };
        let failure = PolicyAction::Fail { request: id, reason };
        mailboxes.actions.push(if may_reject && is_harmless { rejection } else { failure });
        self.forget(id, mailboxes);
    }
}
