//! The health of one host as this balancer sees it.

use super::constants::*;
use crate::host_tracker::{HostStatus, HostTracker, InFlight, Mailboxes};
use crate::mailboxes::FleetMeasures;
use crate::types::{AttemptOutcome, Endpoint, Lifecycle, Micros};

impl HostStatus {
    /// The share of its own keys that the host keeps. While it warms up, only `warm_up_share` of
    /// its current capacity is used.
    pub fn kept_key_share(&self, warm_up_share: f64) -> f64 {
        let capacity_share =
            if self.is_warming_up() { (warm_up_share * self.capacity).min(1.0) } else { 1.0 };
        self.key_share * capacity_share
    }
}

impl HostTracker {
    /// Whether a sweep may skip the host: nothing is in flight, and no state has yet to recover.
    pub fn is_idle(&self) -> bool {
        let status = &self.status;
        let is_settled = self.failure_evidence < 0.1 && status.key_share > 0.98 && status.limit.limit >= 1.0;
        let is_unused = self.in_flight.is_empty() && status.limit.peak_in_flight == 0;
        is_settled && is_unused && !status.is_suspected && !status.is_warming_up()
    }

    /// Marks a host that is missing from the endpoint list as gone once it is suspected.
    pub fn mark_gone_if_dropped(&mut self) {
        if self.is_dropped && !self.is_seen_alive() {
            self.mark_gone();
        }
    }

    /// Marks a host as gone: it gets no new attempts.
    pub fn mark_gone(&mut self) {
        self.is_dropped = false;
        if let Some(endpoint) = &mut self.status.endpoint {
            endpoint.lifecycle = Lifecycle::Gone;
        }
    }

    /// Applies the host's entry of the endpoint list.
    pub fn update_endpoint(&mut self, endpoint: Endpoint) {
        self.has_drained |= endpoint.lifecycle == Lifecycle::Draining;
        // A list may be wrong: if it shrinks, hosts that still answer must stay on the ring.
        let is_gone = endpoint.lifecycle == Lifecycle::Gone;
        let may_stay = self.keeps_dropped_hosts && !self.has_drained;
        self.is_dropped = is_gone && may_stay && self.is_seen_alive();
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

    /// Applies the limit that the predecessor process learned: both processes are the same
    /// balancer, with the same traffic.
    pub fn restore_limit(&mut self, limit: f64) {
        self.status.limit.limit = limit.clamp(MIN_LIMIT, MAX_LIMIT);
    }

    /// Whether the host is up and not suspected, and has answered this balancer itself.
    fn is_seen_alive(&self) -> bool {
        self.suspected_since.is_none() && self.status.is_up() && self.status.activity.answered_at > 0
    }

    /// Withdraws the assumption that the silent host was restarted: its warm-up counts only from
    /// the start time in the endpoint list.
    pub fn mark_not_restarted(&mut self, now: Micros) {
        self.warming_since = self.status.endpoint.as_ref().and_then(|endpoint| endpoint.started_at);
        self.status.activity.answered_at = now;
        self.mark_healthy();
    }

    /// Updates the host's health, latency and limit by the end of an attempt.
    pub fn attempt_ended(&mut self, sent: InFlight, outcome: AttemptOutcome, elapsed: Micros, now: Micros) {
        let InFlight { sent_at, on_new_connection, .. } = sent;
        let is_timeout = outcome == AttemptOutcome::TimedOut;
        // If an attempt sent at least `elapsed / 2` later was served, only this attempt was lost.
        if is_timeout && self.served_sent_at - sent_at >= elapsed / 2 {
            return;
        }
        self.status.activity.record(outcome, sent_at, now);
        // The latency of the first attempt on a connection is mostly that of connecting: it counts
        // only if there is no recent better sample. A time-out before any answer was possible says
        // nothing about the host.
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
            // At a quiet balancer one answer stands for those that other balancers got meanwhile.
            let weight = (self.sample_gap as f64 / EVALUATION_INTERVAL as f64).clamp(1.0, MAX_SAMPLE_WEIGHT);
            self.status.limit.record(elapsed, weight, now);
        }
    }

    /// Decreases the limit, and adds evidence against the host unless it has answered since the
    /// attempt was sent.
    fn timed_out(&mut self, sent_at: Micros, is_sample: bool) {
        self.status.limit.decrease(if is_sample { TIMEOUT_DECREASE } else { 1.0 });
        if self.status.activity.answered_at < sent_at {
            // If attempts are rare, no other one confirms the silence, and request after request
            // would be lost at the host. So the only attempt in flight counts more.
            let is_only = self.in_flight.is_empty();
            self.failure_evidence += if is_only { ONLY_ATTEMPT_EVIDENCE } else { FAILURE_EVIDENCE };
        }
    }

    /// Adds evidence against the host or clears it. Evidence does not decay with time: only
    /// `mark_healthy` clears it.
    fn record_outcome(&mut self, outcome: AttemptOutcome, sent_at: Micros, elapsed: Micros, now: Micros) {
        use AttemptOutcome::*;
        match outcome {
            Succeeded | Miss => {
                self.served_sent_at = self.served_sent_at.max(sent_at);
                self.mark_healthy();
                // A restarted host is never faster than before: a faster one was not restarted.
                if outcome == Succeeded && self.status.limit.is_below_min_latency(elapsed) {
                    self.mark_not_restarted(now);
                }
            }
            Error => self.failure_evidence += ERROR_EVIDENCE,
            // A host that rejects everything is draining or shutting down, even if listed as up.
            Rejected => {
                self.status.limit.decrease(REJECTION_DECREASE);
                self.failure_evidence += REJECTION_EVIDENCE;
            }
            Unreachable | ConnectionLost => self.failure_evidence += FAILURE_EVIDENCE,
            TimedOut | ConnectionFault | Cancelled | NotSent | ConnectsAtLimit => {}
        }
    }

    /// Adds the evidence of an error: a value turned out to be invalid after its attempt had counted as a
    /// success.
    pub fn value_invalid(&mut self) {
        self.failure_evidence += ERROR_EVIDENCE;
    }

    /// Suspects the host if there is enough evidence against its health. Ends its ejection after
    /// `MIN_EJECTION_TIME` or longer, if no answer has ended it before.
    pub fn sweep(&mut self, fleet: FleetMeasures, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let may_be_suspected = self.suspected_since.is_none() && !self.status.is_origin();
        if may_be_suspected && self.evidence_against(fleet, now) > SUSPECT_EVIDENCE {
            self.suspected_since = Some(now);
            self.report_suspected(mailboxes);
        }
        // The time is enough for a restart, so the host is assumed to be cold. A quiet balancer
        // waits for the time between its own sends, without an upper bound: if all balancers sent
        // to a congested host more often, the congestion would never end. That time is the smaller
        // of the gap between the host's last latency samples, which includes any time without
        // attempts there, and the mean time between sends to a host of mean load.
        let ejection_time = self.sample_gap.min(fleet.send_interval).max(MIN_EJECTION_TIME);
        if self.suspected_since.is_some_and(|since| now - since >= ejection_time) {
            self.warming_since = Some(now);
            self.mark_healthy();
        }
        if fleet.is_evaluation {
            self.evaluate(fleet);
        }
    }

    /// The evidence against the host's health, in typical latencies: from attempts that ended and
    /// from overdue ones.
    fn evidence_against(&self, fleet: FleetMeasures, now: Micros) -> f64 {
        // Time-outs count as latencies too; without the bound, silence would look like slowness.
        let own = self.status.limit.latencies.mean().unwrap_or(fleet.typical_latency);
        let latency = own.max(fleet.typical_latency).min(fleet.quarter_objective);
        let in_flight = self.in_flight.values();
        let unanswered = in_flight.filter(|attempt| {
            attempt.sent_at >= self.served_sent_at && !attempt.on_new_connection && !attempt.is_waiting
        });
        let answered_at = self.status.activity.answered_at;
        let overdue = unanswered.map(|attempt| (now - attempt.sent_at.max(answered_at)) as f64 / latency);
        self.failure_evidence + overdue.take(MAX_OVERDUE_ATTEMPTS).sum::<f64>()
    }

    /// Updates the concurrency limit and the key share of the host.
    fn evaluate(&mut self, fleet: FleetMeasures) {
        let (factor, steps) = if self.status.is_origin() { (ORIGIN_LATENCY_FACTOR, 2.0) } else { (1.0, 1.0) };
        let limit = &mut self.status.limit;
        let (mean, total) = (limit.latencies.mean(), limit.latencies.total());
        let quarter = fleet.quarter_objective;
        limit.evaluate(mean, quarter, factor * quarter, steps, self.in_flight.len());
        // A quiet balancer may see no more than one time-out, so the fleet's typical latency counts
        // as one additional answer.
        let current = (mean.unwrap_or(0.0) * total + fleet.typical_latency) / (total + 1.0);
        let target = (FULL_SHARE_LATENCY_RATIO * fleet.typical_latency / current).clamp(MIN_KEY_SHARE, 1.0);
        let intervals = self.sample_gap.max(EVALUATION_INTERVAL) as f64;
        let gain = (KEY_SHARE_GAIN * intervals / EVALUATION_INTERVAL as f64).min(1.0);
        self.status.key_share += (target - self.status.key_share) * gain;
    }
}
