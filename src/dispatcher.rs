//! The state that a balancer keeps of its requests and its fleet, and the events that change it.
//!
//! This file does the bookkeeping: hosts that are missing from a complete list, the use of tenant
//! quotas, attempts in flight. The decisions are in `policy/`, in further `impl Dispatcher` blocks:
//! `dispatch.rs`, `selection.rs`, `admission.rs`, `fleet.rs`.

use std::collections::{BTreeMap, BTreeSet};

use crate::backoff::Backoff;
use crate::host_marks::HostMarks;
use crate::host_tracker::{HostStatus, HostTracker, Mailboxes};
use crate::key_set::BoundedKeySet;
use crate::leaky_bucket::LeakyBucket;
use crate::mailboxes::{DispatcherMessage, HostMessage};
use crate::open_request::{ClassParameters, OpenRequest, SentAttempt};
use crate::policy::concurrency_limit::ConcurrencyLimit;
use crate::policy::constants::{MAX_TRACKED_KEYS, SWEEP_INTERVAL};
use crate::policy::hot_keys::LoadStatistics;
use crate::policy::zones::ZoneOutageDetector;
use crate::retry_budget::RetryBudget;
use crate::ring::{Ring, RingHost};
use crate::send_windows::SendWindows;
use crate::types::*;

/// The most host changes that wait to be taken. Further ones are dropped, as they are only logged.
const MAX_HOST_CHANGES: usize = 4_096;

/// Holds the open requests and the state of the fleet.
#[derive(Default)]
pub(crate) struct Dispatcher {
    pub(crate) rng: SeededRng,
    /// Differs between balancers, so that they move different keys away from a slow host.
    pub(crate) salt: u64,
    pub(crate) capabilities: Capabilities,
    pub(crate) classes: Vec<ClassParameters>,
    /// This balancer's share of each tenant's quota.
    pub(crate) tenant_quotas: Vec<LeakyBucket>,
    /// The factor on the limit share of requests over quota and of clients' own retries.
    pub(crate) over_quota_share: f64,
    pub(crate) retry_after: Option<Micros>,
    /// The latency objective in microseconds, smoothed over recent requests.
    pub(crate) latency_objective: f64,
    pub(crate) shortest_objective: f64,

    pub(crate) requests: BTreeMap<RequestId, OpenRequest>,
    /// The lag of the process's event loop.
    pub(crate) loop_lag: Micros,
    pub(crate) retry_budget: RetryBudget,
    /// Retries of attempts that were lost through a fault of their connection.
    pub(crate) connection_retry_budget: RetryBudget,
    /// Keys whose requests got errors from two hosts and no value since.
    pub(crate) failing_keys: BoundedKeySet,

    pub(crate) host_statuses: Vec<HostStatus>,
    /// The first origin that was up when the ring was last rebuilt.
    pub(crate) origin: Option<HostId>,
    /// The hosts seen by the current selection.
    pub(crate) host_marks: HostMarks,
    /// The cost of all selections since the start.
    pub(crate) selection_work: SelectionWork,
    pub(crate) ring: Ring,
    pub(crate) ring_is_stale: bool,
    pub(crate) loads: LoadStatistics,
    pub(crate) zones: ZoneOutageDetector,
    pub(crate) fleet: FleetState,
    pub(crate) warm_up: WarmUpState,

    /// The backoff between failed discovery calls.
    pub(crate) watch_backoff: Backoff,
    /// Host changes that were not taken yet.
    pub(crate) host_changes: Vec<HostChange>,
    /// Whether the first endpoint list was received.
    pub(crate) has_started: bool,
}

/// The measurements of all cache hosts together.
#[derive(Default)]
pub(crate) struct FleetState {
    /// The concurrency limit of the fleet.
    pub(crate) limit: ConcurrencyLimit,
    /// Attempts in flight at all cache hosts.
    pub(crate) in_flight: usize,
    /// The share of the other balancers among all balancers.
    pub(crate) others_share: f64,
    /// The median over the hosts of their mean latency, in microseconds.
    pub(crate) typical_latency: f64,
    /// The mean time between this balancer's sends to a host of mean load.
    pub(crate) send_interval: Micros,
    pub(crate) evaluated_at: Micros,
}

/// The state that bounds the load of hosts which are warming up.
#[derive(Default)]
pub(crate) struct WarmUpState {
    pub(crate) slow_start: SlowStart,
    /// The share of the minimum capacity of a host that is used while it warms up.
    pub(crate) share: f64,
    /// The mean over all hosts of the share of its own keys that a host keeps.
    pub(crate) mean_key_share: f64,
    /// This balancer's sends to a host of mean load per [`SlowStart::overload_window`].
    pub(crate) sends_per_window: f64,
    /// This balancer's sends to each host that is warming up, and for each key there.
    pub(crate) sends: SendWindows,
}

/// An attempt that ended.
pub(crate) struct EndedAttempt {
    pub(crate) attempt: AttemptKey,
    pub(crate) host: HostId,
    /// How long the attempt was in flight.
    pub(crate) elapsed: Micros,
    pub(crate) outcome: AttemptOutcome,
}

impl Dispatcher {
    /// Creates the tracker of a new host.
    pub(crate) fn new_tracker(&self, id: HostId) -> HostTracker {
        let limit = ConcurrencyLimit::of_new_host(self.fleet.limit.growth);
        HostTracker::new(id, limit, self.warm_up.slow_start.clone(), self.capabilities.keeps_dropped_hosts)
    }

    /// Handles one message.
    pub(crate) fn handle(&mut self, message: DispatcherMessage<HostStatus>, mailboxes: &mut Mailboxes) {
        // Host statuses of one list come together, so the ring is rebuilt once before its next use.
        if self.ring_is_stale && !matches!(message, DispatcherMessage::HostStatus(..)) {
            self.rebuild_ring();
        }
        match message {
            DispatcherMessage::HostStatus(host, status) => {
                let known = &mut self.host_statuses[host.index()];
                let ring_state = |status: &HostStatus| (status.is_up(), status.is_origin());
                self.ring_is_stale |= ring_state(known) != ring_state(&status);
                if known.differs_visibly(&status) && self.host_changes.len() < MAX_HOST_CHANGES {
                    self.host_changes.push(status.as_change(host));
                }
                *known = *status;
            }
            DispatcherMessage::HostSuspected(request) => self.retry(request, mailboxes),
            DispatcherMessage::Event(event) => self.handle_event(event, mailboxes),
        }
    }

    /// Handles one event from the caller of the policy.
    fn handle_event(&mut self, event: PolicyEvent, mailboxes: &mut Mailboxes) {
        match event {
            PolicyEvent::Endpoints { complete, endpoints } => {
                self.update_endpoints(complete, endpoints, mailboxes)
            }
            PolicyEvent::DiscoveryFailed => {
                let after = self.watch_backoff.next_pause(&mut self.rng);
                mailboxes.actions.push(PolicyAction::SetTimer { after, timer: Timer::Watch });
            }
            PolicyEvent::TimerFired(Timer::Watch) => mailboxes.actions.push(PolicyAction::WatchDiscovery),
            PolicyEvent::TimerFired(Timer::Sweep) => self.sweep(mailboxes),
            PolicyEvent::Request { request, class, tenant, key, is_write, is_retry, deadline } => {
                let open = OpenRequest {
                    class: class.0 as usize,
                    key,
                    is_write,
                    is_client_retry: is_retry,
                    is_in_quota: self.is_in_quota(tenant, mailboxes.now),
                    expires_at: deadline,
                    ..OpenRequest::default()
                };
                self.open(request, open, mailboxes);
            }
            PolicyEvent::LimitsLearned(limits) => self.limits_learned(limits, mailboxes),
            PolicyEvent::ClientGone { request } => self.forget(request, mailboxes),
            PolicyEvent::DeadlinePassed { request } => {
                self.close(request, false, EndReason::OutOfTime, mailboxes)
            }
            PolicyEvent::ShuttingDown { request } => {
                self.close(request, true, EndReason::ShuttingDown, mailboxes)
            }
            PolicyEvent::AttemptInDoubt { request, attempt } => {
                self.attempt_in_doubt(request, attempt, mailboxes)
            }
            PolicyEvent::HostAlive { host } => mailboxes.send_to_host(host, HostMessage::Alive),
            PolicyEvent::HostReplaced { host } => mailboxes.send_to_host(host, HostMessage::Replaced),
            PolicyEvent::ValueInvalid { host } => mailboxes.send_to_host(host, HostMessage::ValueInvalid),
            PolicyEvent::ProcessStalled(span) => {
                let hosts = (0..).map(HostId).zip(&self.host_statuses);
                let in_use = hosts.filter(|(_, status)| status.in_flight > 0);
                in_use.for_each(|(host, _)| mailboxes.send_to_host(host, HostMessage::ProcessStalled(span)));
            }
            PolicyEvent::NewConnection { request, attempt, host } => {
                let attempt = AttemptKey { request, number: attempt };
                mailboxes.send_to_host(host, HostMessage::OnNewConnection(attempt));
            }
            PolicyEvent::AttemptWaits { request, attempt, host } => {
                let attempt = AttemptKey { request, number: attempt };
                mailboxes.send_to_host(host, HostMessage::AttemptWaits(attempt));
            }
            PolicyEvent::AttemptProceeds { request, attempt, host } => {
                let attempt = AttemptKey { request, number: attempt };
                mailboxes.send_to_host(host, HostMessage::AttemptProceeds(attempt));
            }
            PolicyEvent::AttemptEnded { request, attempt, host, elapsed, outcome, finished } => {
                let attempt = AttemptKey { request, number: attempt };
                let ended = EndedAttempt { attempt, host, elapsed, outcome };
                self.report_attempt_ended(&ended, mailboxes);
                self.attempt_ended(&ended, finished, mailboxes);
            }
        }
    }

    /// Sends each host its entry of the list; starts the sweeps with the first list.
    fn update_endpoints(&mut self, complete: bool, endpoints: Vec<Endpoint>, mailboxes: &mut Mailboxes) {
        if complete {
            self.remove_unlisted(&endpoints, mailboxes);
        }
        for endpoint in endpoints {
            mailboxes.send_to_host(endpoint.host, HostMessage::Endpoint(endpoint));
        }
        self.watch_backoff.reset();
        if !self.has_started {
            self.has_started = true;
            mailboxes.actions.push(PolicyAction::SetTimer { after: SWEEP_INTERVAL, timer: Timer::Sweep });
            if self.capabilities.polls_discovery {
                mailboxes.actions.push(PolicyAction::WatchDiscovery);
            }
        }
    }

    /// Marks the known hosts that a complete list does not name as gone.
    fn remove_unlisted(&self, endpoints: &[Endpoint], mailboxes: &mut Mailboxes) {
        let named: BTreeSet<HostId> = endpoints.iter().map(|endpoint| endpoint.host).collect();
        let known = self.host_statuses.iter().filter_map(|status| status.endpoint.as_ref());
        for endpoint in known.filter(|endpoint| !named.contains(&endpoint.host)) {
            let gone = Endpoint { lifecycle: Lifecycle::Gone, ..endpoint.clone() };
            mailboxes.send_to_host(gone.host, HostMessage::Endpoint(gone));
        }
    }

    /// Whether a request is in its tenant's quota, in which case it is counted. Requests without a
    /// known tenant always are.
    fn is_in_quota(&mut self, tenant: Option<TenantId>, now: Micros) -> bool {
        tenant.is_none_or(|tenant| self.tenant_quotas[tenant.0 as usize].admits(now))
    }

    /// Sends each listed host the limit that the predecessor process learned for it.
    fn limits_learned(&mut self, limits: Vec<LearnedLimit>, mailboxes: &mut Mailboxes) {
        let position = |status: &HostStatus| status.endpoint.as_ref().map(|endpoint| endpoint.position);
        for learned in limits {
            let mut statuses = self.host_statuses.iter();
            if let Some(at) = statuses.position(|status| position(status) == Some(learned.position)) {
                mailboxes.send_to_host(HostId(at as u32), HostMessage::LearnedLimit(learned.limit));
            }
        }
    }

    /// Records an attempt that was admitted, and starts it.
    pub(crate) fn record_attempt(
        &mut self,
        id: RequestId,
        host: HostId,
        is_budgeted: bool,
        mailboxes: &mut Mailboxes,
    ) {
        let now = mailboxes.now;
        let request = self.requests.get_mut(&id).expect("the request was admitted");
        let key = request.key;
        let attempt = AttemptKey { request: id, number: request.start_attempt(host, now, is_budgeted) };
        let timeout = request.expires_at - now;
        let status = &mut self.host_statuses[host.index()];
        status.in_flight += 1;
        if status.is_cache() {
            self.fleet.in_flight += 1;
            self.fleet.limit.peak_in_flight = self.fleet.limit.peak_in_flight.max(self.fleet.in_flight);
            let home = key.and_then(|key| self.ring.home(key)).unwrap_or(host);
            self.loads.counts.count(host, key, home, MAX_TRACKED_KEYS);
        }
        mailboxes.send_to_host(host, HostMessage::AttemptStarted(attempt));
        mailboxes.actions.push(PolicyAction::StartAttempt { request: id, host, timeout });
    }

    /// The cache hosts that are up.
    pub(crate) fn ring_hosts(&self) -> Vec<RingHost> {
        let has_weights = self.capabilities.steady_weights;
        let up = (0..).map(HostId).zip(&self.host_statuses).filter(|(_, status)| status.is_cache());
        let hosts = up.filter_map(|(host, status)| {
            let endpoint = status.endpoint.as_ref()?;
            let weight = if has_weights && endpoint.weight > 0.0 { endpoint.weight } else { 1.0 };
            Some(RingHost { position: endpoint.position, host, weight })
        });
        hosts.collect()
    }

    /// Reports a suspected host for each request with an attempt in flight in one of these zones.
    pub(crate) fn suspect_zones(&self, zones: &BTreeSet<ZoneId>, mailboxes: &mut Mailboxes) {
        if zones.is_empty() {
            return;
        }
        let is_there = |sent: &SentAttempt| zones.contains(&self.host_statuses[sent.host.index()].zone());
        let requests = self.requests.iter().filter(|(_, request)| request.in_flight.iter().any(is_there));
        mailboxes.dispatcher.extend(requests.map(|(&id, _)| DispatcherMessage::HostSuspected(id)));
    }

    /// Removes a request and cancels its attempts in flight.
    pub(crate) fn forget(&mut self, id: RequestId, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.remove(&id) else { return };
        let cancelled = request.in_flight.iter().filter(|_| self.capabilities.cancellation);
        let cancel = |sent: &SentAttempt| PolicyAction::CancelAttempt { request: id, attempt: sent.number };
        mailboxes.actions.extend(cancelled.map(cancel));
    }
}
