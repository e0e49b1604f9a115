//! The state that a balancer keeps of one host, and the messages that change it. The decisions are
//! in `policy/host.rs`.

use std::collections::BTreeMap;

use crate::activity::HostActivity;
use crate::mailboxes::{self, DispatcherMessage, HostMessage};
use crate::policy::concurrency_limit::ConcurrencyLimit;
use crate::types::{AttemptKey, Endpoint, HostChange, HostId, Lifecycle, Micros, SlowStart, ZoneId};

/// The mailboxes of a policy; its host trackers publish a [`HostStatus`].
pub(crate) type Mailboxes = mailboxes::Mailboxes<HostStatus>;

/// The status of a host that its tracker publishes to the dispatcher.
#[derive(Clone, Default)]
pub(crate) struct HostStatus {
    pub(crate) endpoint: Option<Endpoint>,
    pub(crate) is_suspected: bool,
    /// The tracker's `failure_evidence`: without overdue attempts, in typical latencies.
    pub(crate) failure_evidence: f64,
    /// A lower bound of the host's capacity as a fraction of its full capacity; 1 when warm.
    pub(crate) capacity: f64,
    /// The share of its own keys that the host keeps; below 1 if it is slow.
    pub(crate) key_share: f64,
    pub(crate) limit: ConcurrencyLimit,
    pub(crate) in_flight: usize,
    pub(crate) activity: HostActivity,
    /// Whether a sweep may skip the host: it has nothing to evaluate and nothing in flight. That is
    /// common in large fleets, where a host gets few requests from one balancer.
    pub(crate) is_idle: bool,
}

impl HostStatus {
    pub(crate) fn is_up(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.lifecycle == Lifecycle::Up)
    }

    pub(crate) fn is_cache(&self) -> bool {
        self.is_up() && !self.is_origin()
    }

    pub(crate) fn is_origin(&self) -> bool {
        self.endpoint.as_ref().is_some_and(|endpoint| endpoint.origin)
    }

    /// The zone of the host; zone 0 if the host was never listed.
    pub(crate) fn zone(&self) -> ZoneId {
        self.endpoint.as_ref().map_or(ZoneId(0), |endpoint| endpoint.zone)
    }

    pub(crate) fn is_warming_up(&self) -> bool {
        self.capacity < 1.0
    }

    /// Whether two statuses differ in what operators are shown.
    pub(crate) fn differs_visibly(&self, other: &HostStatus) -> bool {
        let visible = |status: &HostStatus| (status.is_up(), status.is_suspected, status.is_warming_up());
        visible(self) != visible(other)
    }

    /// The status as it is shown to operators.
    pub(crate) fn as_change(&self, host: HostId) -> HostChange {
        HostChange {
            host,
            is_up: self.is_up(),
            is_suspected: self.is_suspected,
            is_warming_up: self.is_warming_up(),
            failure_evidence: self.failure_evidence,
        }
    }
}

/// An attempt in flight at the host.
pub(crate) struct InFlight {
    pub(crate) sent_at: Micros,
    pub(crate) on_new_connection: bool,
    /// Whether the attempt waits until this balancer may open a connection.
    pub(crate) is_waiting: bool,
}

/// Tracks one host: its lifecycle by the endpoint list; its health, latency and concurrency limit
/// by this balancer's own attempts.
#[derive(Default)]
pub(crate) struct HostTracker {
    pub(crate) id: HostId,
    pub(crate) slow_start: SlowStart,
    pub(crate) status: HostStatus,
    pub(crate) in_flight: BTreeMap<AttemptKey, InFlight>,
    pub(crate) warming_since: Option<Micros>,
    /// When the host became suspected, which began its ejection; `None` if it is not suspected.
    pub(crate) suspected_since: Option<Micros>,
    /// The evidence against the host's health from attempts that ended since the last
    /// `mark_healthy`, in typical latencies.
    pub(crate) failure_evidence: f64,
    /// The latest send time among the attempts that brought a value or a miss.
    pub(crate) served_sent_at: Micros,
    /// The time of the last latency sample.
    pub(crate) sampled_at: Micros,
    /// The time between the last two latency samples.
    pub(crate) sample_gap: Micros,
    /// Whether the host was ever listed as draining; then it is gone once it is no longer listed.
    pub(crate) has_drained: bool,
    /// Whether the host is missing from the endpoint list and stays only because it answers.
    pub(crate) is_dropped: bool,
    pub(crate) keeps_dropped_hosts: bool,
}

impl HostTracker {
    /// Creates the tracker of a new host.
    pub(crate) fn new(
        id: HostId,
        limit: ConcurrencyLimit,
        slow_start: SlowStart,
        keeps_dropped_hosts: bool,
    ) -> HostTracker {
        let status = HostStatus { key_share: 1.0, limit, ..HostStatus::default() };
        HostTracker { id, slow_start, status, keeps_dropped_hosts, ..HostTracker::default() }
    }

    /// Handles one message, then publishes the host's status.
    pub(crate) fn handle(&mut self, message: HostMessage, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        match message {
            HostMessage::Endpoint(endpoint) => {
                self.reset_if_renumbered(&endpoint);
                self.update_endpoint(endpoint);
                if self.is_dropped {
                    return;
                }
            }
            HostMessage::AttemptStarted(attempt) => {
                self.in_flight
                    .insert(attempt, InFlight { sent_at: now, on_new_connection: false, is_waiting: false });
                self.status.limit.peak_in_flight = self.status.limit.peak_in_flight.max(self.in_flight.len());
            }
            HostMessage::OnNewConnection(attempt) => {
                let in_flight = self.in_flight.get_mut(&attempt);
                in_flight.into_iter().for_each(|attempt| attempt.on_new_connection = true);
            }
            HostMessage::AttemptWaits(attempt) => {
                let in_flight = self.in_flight.get_mut(&attempt);
                in_flight.into_iter().for_each(|attempt| attempt.is_waiting = true);
            }
            HostMessage::AttemptProceeds(attempt) => {
                if let Some(in_flight) = self.in_flight.get_mut(&attempt) {
                    in_flight.is_waiting = false;
                    in_flight.sent_at = now;
                }
            }
            HostMessage::AttemptEnded { attempt, outcome, elapsed } => {
                if let Some(sent) = self.in_flight.remove(&attempt) {
                    self.attempt_ended(sent, outcome, elapsed, now);
                }
            }
            HostMessage::Alive => self.mark_not_restarted(now),
            // The answers that seem to show it alive may be those of the one that has its address.
            HostMessage::Replaced => self.mark_gone(),
            HostMessage::ValueInvalid => self.value_invalid(),
            HostMessage::ProcessStalled(span) => {
                self.in_flight.values_mut().for_each(|attempt| attempt.sent_at += span);
            }
            HostMessage::LearnedLimit(limit) => self.restore_limit(limit),
            HostMessage::Sweep(fleet) => self.sweep(fleet, mailboxes),
        }
        self.publish_status(mailboxes);
    }

    /// Starts over if the host number was released and now refers to another host.
    fn reset_if_renumbered(&mut self, endpoint: &Endpoint) {
        let before = self.status.endpoint.as_ref();
        if before.is_some_and(|before| before.position != endpoint.position) {
            let limit = ConcurrencyLimit::of_new_host(self.status.limit.growth);
            *self = HostTracker::new(self.id, limit, self.slow_start.clone(), self.keeps_dropped_hosts);
        }
    }

    /// Has the dispatcher retry the requests in flight at this host elsewhere.
    pub(crate) fn report_suspected(&self, mailboxes: &mut Mailboxes) {
        let requests = self.in_flight.keys().map(|attempt| attempt.request);
        mailboxes.dispatcher.extend(requests.map(DispatcherMessage::HostSuspected));
    }

    fn publish_status(&mut self, mailboxes: &mut Mailboxes) {
        self.mark_gone_if_dropped();
        let age = self.warming_since.map(|since| mailboxes.now - since);
        self.status.capacity = age.map_or(1.0, |age| self.slow_start.minimum_capacity(age));
        self.status.is_suspected = self.suspected_since.is_some();
        self.status.failure_evidence = self.failure_evidence;
        self.status.in_flight = self.in_flight.len();
        self.status.is_idle = self.is_idle();
        let status = Box::new(self.status.clone());
        mailboxes.dispatcher.push_back(DispatcherMessage::HostStatus(self.id, status));
    }

    /// Clears the suspicion and the evidence against the host.
    pub(crate) fn mark_healthy(&mut self) {
        self.suspected_since = None;
        self.failure_evidence = 0.0;
    }
}
