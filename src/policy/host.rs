//! One host's health as this balancer sees it.

use super::constants::*;
use crate::host_tracker::{HostStatus, HostTracker, InFlight, Mailboxes};
use crate::mailboxes::FleetMeasures;
use crate::types::{AttemptOutcome, Endpoint, Lifecycle, Micros};

impl HostStatus {
    /// The part of its own keys that it keeps; a host that warms up, by so much of its capacity.
    pub fn kept_key_share(&self, warm_up_share: f64) -> f64 {
        let of_capacity = if self.is_warming_up() { (warm_up_share * self.capacity).min(1.0) } else { 1.0 };
        self.key_share * of_capacity
    }
}

impl HostTracker {
    /// Whether a sweep may skip it: nothing is in flight, and nothing has still to recover.
    pub fn is_idle(&self) -> bool {
        let status = &self.status;
        let is_settled = self.failure_evidence < 0.1 && status.key_share > 0.98 && status.limit.limit >= 1.0;
        let is_unused = self.in_flight.is_empty() && status.limit.peak_in_flight == 0;
        is_settled && is_unused && !status.is_suspected && !status.is_warming_up()
    }

    /// A host that the endpoint list no longer names stays only as long as it shows that it is alive.
    pub fn mark_gone_if_dropped(&mut self) {
        if self.is_dropped && !self.has_own_evidence() {
            self.is_dropped = false;
            self.status.endpoint.as_mut().expect("it was listed").lifecycle = Lifecycle::Gone;
        }
    }

    /// Takes over what the endpoint list shows of it.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) {
        self.has_drained |= endpoint.lifecycle == Lifecycle::Draining;
        // A list may be wrong: one that shrinks must not empty the ring of hosts that answer.
        let is_gone = endpoint.lifecycle == Lifecycle::Gone;
        let may_stay = self.keeps_dropped_hosts && !self.has_drained;
        self.is_dropped = is_gone && may_stay && self.has_own_evidence();
        if self.is_dropped {
            return;
        }
        let started_before = self.status.endpoint.as_ref().and_then(|before| before.started_at);
        if endpoint.started_at.is_some() && endpoint.started_at != started_before {
            self.warming_since = self.warming_since.max(endpoint.started_at);
            self.mark_healthy();
        }
        self.status.endpoint = Some(endpoint);
    }

    /// Takes over what could be in flight at the process that this one replaces: both are one
    /// balancer, and its clients bring no more now than a moment ago.
    pub fn restore_limit(&mut self, limit: f64) {
        self.status.limit.limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Whether this balancer itself has seen that it is alive.
    fn has_own_evidence(&self) -> bool {
        self.suspected_since.is_none() && self.status.is_up() && self.status.activity.answered_at > 0
    }

    /// It was not restarted, as its silence let assume: only the start that the endpoint list shows
    /// counts.
    pub fn mark_not_restarted(&mut self, now: Micros) {
        self.warming_since = self.status.endpoint.as_ref().and_then(|endpoint| endpoint.started_at);
        self.status.activity.answered_at = now;
        self.mark_healthy();
    }

    /// Draws from the end of an attempt what it shows of the host.
    pub fn attempt_ended(&mut self, sent: InFlight, outcome: AttemptOutcome, elapsed: Micros, now: Micros) {
        let InFlight { sent_at, on_new_connection, .. } = sent;
        let is_timeout = outcome == AttemptOutcome::TimedOut;
        // An attempt that was overtaken by far was lost on its own: later ones were answered.
        if is_timeout && self.served_sent_at - sent_at >= elapsed / 2 {
            return;
        }
        self.status.activity.record(outcome, sent_at, now);
        // Most of the latency of a connection's first attempt is the connection's: it counts only
        // where no better sample is recent. A time-out before any answer was possible shows nothing
        // of the host.
        let is_stale = (now - self.sampled_at) as f64 >= MAX_SAMPLE_WEIGHT * EVALUATION_INTERVAL as f64;
        let is_cut_short = is_timeout && self.status.limit.is_below_min_latency(elapsed);
        let is_sample = !is_cut_short && (!on_new_connection || is_stale);
        if is_timeout {
            self.timed_out(sent_at, is_sample);
        } else {
            self.record_outcome(outcome, sent_at, elapsed, now);
        }
        if is_sample && (is_timeout || outcome == AttemptOutcome::Succeeded) {
            self.sample_gap = now - self.sampled_at;
            self.sampled_at = now;
            // At a quiet balancer one answer stands for all that the host gave to others meanwhile.
            let weight = (self.sample_gap as f64 / EVALUATION_INTERVAL as f64).clamp(1.0, MAX_SAMPLE_WEIGHT);
            self.status.limit.record(elapsed, weight, now);
        }
    }

    /// Too much is in flight; and the host is silent, unless other answers came meanwhile.
    fn timed_out(&mut self, sent_at: Micros, is_sample: bool) {
        self.status.limit.decrease(if is_sample { TIMEOUT_DECREASE } else { 1.0 });
        // Where attempts are rare no other one confirms it: the host would lose request after
        // request.
        if self.status.activity.answered_at < sent_at {
            let is_only = self.in_flight.is_empty();
            self.failure_evidence += if is_only { ONLY_ATTEMPT_EVIDENCE } else { FAILURE_EVIDENCE };
        }
    }

    fn record_outcome(&mut self, outcome: AttemptOutcome, sent_at: Micros, elapsed: Micros, now: Micros) {
        use AttemptOutcome::*;
        match outcome {
            Succeeded | Miss => {
                self.served_sent_at = self.served_sent_at.max(sent_at);
                self.mark_healthy();
                // A host that was restarted is never faster than it used to be.
                if outcome == Succeeded && self.status.limit.is_below_min_latency(elapsed) {
                    self.mark_not_restarted(now);
                }
            }
            Error => self.failure_evidence += ERROR_EVIDENCE,
            // A host that only rejects drains or shuts down, whatever the endpoint list shows.
            Rejected => {
                self.status.limit.decrease(REJECTION_DECREASE);
                self.failure_evidence += REJECTION_EVIDENCE;
            }
            Unreachable | ConnectionLost => self.failure_evidence += FAILURE_EVIDENCE,
            TimedOut | ConnectionFault | Cancelled | NotSent | ConnectsAtLimit => {}
        }
    }

    /// Suspects a host that does not answer, and returns one that was ejected for long enough.
    pub fn sweep(&mut self, fleet: FleetMeasures, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let may_be_suspected = self.suspected_since.is_none() && !self.status.is_origin();
        if may_be_suspected && self.evidence_against(fleet, now) > SUSPECT_EVIDENCE {
            self.suspected_since = Some(now);
            self.report_suspected(mailboxes);
        }
        // Long enough for a restart, so it is taken for cold. A quiet balancer waits for as long as its
        // own sends lie apart, without upper bound: if each probed a jammed host more often, the jam
        // would never end.
        let ejected_for = self.sample_gap.min(fleet.send_interval).max(MIN_EJECTION_TIME);
        if self.suspected_since.is_some_and(|since| now - since >= ejected_for) {
            self.warming_since = Some(now);
            self.mark_healthy();
        }
        if fleet.is_evaluation {
            self.evaluate(fleet);
        }
    }

    /// The evidence that it does not answer, in typical latencies: of ended attempts and waiting ones.
    fn evidence_against(&self, fleet: FleetMeasures, now: Micros) -> f64 {
        // Time-outs count as latencies too: hence the bound, or silence would look like slowness.
        let own = self.status.limit.latencies.mean().unwrap_or(fleet.typical_latency);
        let latency = own.max(fleet.typical_latency).min(fleet.quarter_objective);
        let in_flight = self.in_flight.values();
        let waiting = in_flight
            .filter(|out| out.sent_at >= self.served_sent_at && !out.on_new_connection && !out.is_waiting);
        let answered_at = self.status.activity.answered_at;
        let overdue = waiting.map(|out| (now - out.sent_at.max(answered_at)) as f64 / latency);
        self.failure_evidence + overdue.take(MAX_OVERDUE_ATTEMPTS).sum::<f64>()
    }

    /// Updates the concurrency limit and the key share.
    fn evaluate(&mut self, fleet: FleetMeasures) {
        let (factor, steps) = if self.status.is_origin() { (ORIGIN_LATENCY_FACTOR, 2.0) } else { (1.0, 1.0) };
        let limit = &mut self.status.limit;
        let (mean, total) = (limit.latencies.mean(), limit.latencies.total());
        let quarter = fleet.quarter_objective;
        limit.evaluate(mean, quarter, factor * quarter, steps, self.in_flight.len());
        // One time-out may be all that a quiet balancer sees; the fleet's typical latency counts as
        // one answer.
        let present = (mean.unwrap_or(0.0) * total + fleet.typical_latency) / (total + 1.0);
        let target = (FULL_SHARE_LATENCY_RATIO * fleet.typical_latency / present).clamp(MIN_KEY_SHARE, 1.0);
        let intervals = self.sample_gap.max(EVALUATION_INTERVAL) as f64;
        let gain = (KEY_SHARE_GAIN * intervals / EVALUATION_INTERVAL as f64).min(1.0);
        self.status.key_share += (target - self.status.key_share) * gain;
    }
}
