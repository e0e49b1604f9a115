//! The handling of a request from its arrival to its final answer.

use super::concurrency_limit::ConcurrencyLimit;
use super::constants::*;
use crate::backoff::Backoff;
use crate::dispatcher::{Dispatcher, EndedAttempt, FleetState, WarmUpState};
use crate::host_tracker::Mailboxes;
use crate::key_set::BoundedKeySet;
use crate::leaky_bucket::LeakyBucket;
use crate::mailboxes::HostMessage;
use crate::open_request::{ClassParameters, OpenRequest, SentAttempt};
use crate::retry_budget::RetryBudget;
use crate::types::*;

impl Dispatcher {
    /// Creates a dispatcher without hosts.
    pub fn new(config: &PolicyConfig) -> Dispatcher {
        let shortest = config.classes.iter().map(|class| class.latency_objective).min().unwrap_or(0);
        let own_share = 1.0 / f64::from(config.balancers);
        let quota = |tenant: &Tenant| LeakyBucket::new(tenant.quota_per_s * own_share);
        let cache_aside = config.capabilities.cache_aside;
        let earned = if cache_aside { RETRIES_PER_SUCCESS } else { READ_THROUGH_RETRIES_PER_SUCCESS };
        let mut rng = SeededRng::new(config.seed);
        Dispatcher {
            salt: rng.draw(),
            rng,
            capabilities: config.capabilities,
            classes: Dispatcher::class_parameters(config),
            tenant_quotas: config.tenants.iter().map(quota).collect(),
            over_quota_share: 0.5 + 0.5 * config.over_quota_weight.clamp(0.0, 1.0),
            retry_after: config.max_retry_after.map(|longest| longest.min(shortest / 2)),
            latency_objective: shortest as f64,
            shortest_objective: shortest as f64,
            retry_budget: RetryBudget::new(MAX_RETRY_BUDGET, earned),
            connection_retry_budget: RetryBudget::new(MAX_RETRY_BUDGET, earned),
            watch_backoff: Backoff::new(WATCH_BACKOFF, MAX_WATCH_DOUBLINGS),
            failing_keys: BoundedKeySet::new(MAX_TRACKED_KEYS),
            fleet: FleetState {
                limit: ConcurrencyLimit::new(MAX_LIMIT, (LIMIT_GROWTH * own_share).min(1.0)),
                others_share: 1.0 - own_share,
                typical_latency: shortest as f64 / 4.0,
                ..FleetState::default()
            },
            warm_up: WarmUpState { slow_start: config.slow_start.clone(), ..WarmUpState::default() },
            ..Dispatcher::default()
        }
    }

    fn class_parameters(config: &PolicyConfig) -> Vec<ClassParameters> {
        let top_weight = config.classes.iter().map(|class| class.priority_weight).fold(1e-9, f64::max);
        let classes = config.classes.iter().map(|class| ClassParameters {
            latency_objective: (class.latency_objective - 2 * config.tick).max(config.tick),
            late_is_useful: class.late_weight > 0.0,
            limit_share: BASE_LIMIT_SHARE + PRIORITY_LIMIT_SHARE * class.priority_weight / top_weight,
            max_retries: 1 + (PRIORITY_RETRIES * class.priority_weight / top_weight) as u32,
            retry_safety: class.retry_safety,
        });
        classes.collect()
    }

    /// Takes a new request and routes it.
    pub fn open(&mut self, id: RequestId, mut request: OpenRequest, mailboxes: &mut Mailboxes) {
        let now = mailboxes.now;
        let class = &self.classes[request.class];
        self.latency_objective +=
            (class.latency_objective as f64 - self.latency_objective) / OBJECTIVE_REQUESTS;
        if !class.late_is_useful {
            request.expires_at = request.expires_at.min(now + class.latency_objective);
        }
        let is_excess = request.is_client_retry || !request.is_in_quota;
        let share = if is_excess { self.over_quota_share } else { 1.0 };
        request.limit_share = class.limit_share * share;
        request.retries_left = class.max_retries;
        self.requests.insert(id, request);
        if self.loop_lag >= OVERLOAD_LAG {
            return self.close(id, true, EndReason::Overloaded, mailboxes);
        }
        self.route(id, mailboxes);
    }

    /// Handles an attempt that may be lost with its connection. The host is not in doubt and may
    /// get the request again, at the cost of the separate budget for connection faults.
    pub fn attempt_in_doubt(&mut self, id: RequestId, number: AttemptNumber, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.get(&id) else { return };
        let Some(in_doubt) = request.in_flight_attempt(number) else { return };
        if self.connection_retry_budget.is_available() {
            self.settle_retry_cost(id, AttemptOutcome::ConnectionFault, Some(in_doubt));
            self.retry(id, mailboxes);
        }
    }

    /// Reports the end of an attempt to the host's tracker and to the limit of the fleet.
    pub fn report_attempt_ended(&mut self, ended: &EndedAttempt, mailboxes: &mut Mailboxes) {
        use AttemptOutcome::{Error, Miss, NotSent, Succeeded, TimedOut};
        let &EndedAttempt { attempt, host, elapsed, outcome } = ended;
        if !self.host_statuses[host.index()].is_origin() {
            self.fleet.in_flight = self.fleet.in_flight.saturating_sub(1);
            // A slow error comes from waiting for a congested origin, so it counts as latency.
            let is_slow_error = outcome == Error && elapsed as f64 > self.latency_objective / 4.0;
            if is_slow_error || matches!(outcome, Succeeded | Miss | TimedOut) {
                self.fleet.limit.record(elapsed, 1.0, mailboxes.now);
            }
        }
        // A key that got errors from two hosts is itself the cause, so no host is blamed.
        let is_key_fault = outcome == Error && self.record_error(attempt.request, host);
        let outcome = if is_key_fault { NotSent } else { outcome };
        mailboxes.send_to_host(host, HostMessage::AttemptEnded { attempt, outcome, elapsed });
    }

    /// Records an error of a request at a host; returns whether its key is in `failing_keys`.
    fn record_error(&mut self, id: RequestId, host: HostId) -> bool {
        let Some(request) = self.requests.get_mut(&id) else { return false };
        let Some(key) = request.key else { return false };
        if request.last_error_host.replace(host).is_some_and(|before| before != host) {
            self.failing_keys.insert(key);
        }
        self.failing_keys.contains(key)
    }

    /// Retries a request whose attempt was not served, or forgets a finished one.
    pub fn attempt_ended(&mut self, ended: &EndedAttempt, finished: bool, mailboxes: &mut Mailboxes) {
        let (id, outcome) = (ended.attempt.request, ended.outcome);
        let Some(request) = self.requests.get_mut(&id) else { return };
        let sent = request.end_attempt(ended.attempt.number);
        let key_fails = request.key.is_some_and(|key| self.failing_keys.contains(key));
        if outcome == AttemptOutcome::Succeeded {
            request.key.into_iter().for_each(|key| self.failing_keys.remove(key));
            self.retry_budget.earn();
            self.connection_retry_budget.earn();
        }
        if finished {
            return self.forget(id, mailboxes);
        }
        if outcome == AttemptOutcome::Miss && self.capabilities.cache_aside && !request.is_write {
            request.has_missed = true;
            // While another attempt of the request is in flight, a miss starts no further one.
            if request.in_flight.is_empty() {
                self.route(id, mailboxes);
            }
            return;
        }
        if let Some(attempt) = sent.filter(|_| !outcome.proves_not_run()) {
            request.record_possible_run(attempt);
        }
        if outcome == AttemptOutcome::ConnectsAtLimit && request.in_flight.is_empty() {
            return self.close(id, true, EndReason::ConnectsAtLimit, mailboxes);
        }
        if key_fails && outcome == AttemptOutcome::Error && request.in_flight.is_empty() {
            return self.close(id, false, EndReason::KeyFails, mailboxes);
        }
        self.settle_retry_cost(id, outcome, sent);
        self.retry(id, mailboxes);
    }

    /// Refunds the retry for an attempt that reached no host. A connection fault uses its own
    /// budget instead, and its host may be tried again, as that is healthy.
    fn settle_retry_cost(&mut self, id: RequestId, outcome: AttemptOutcome, sent: Option<SentAttempt>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_fault = outcome == AttemptOutcome::ConnectionFault;
        let uses_connection_budget = is_fault && self.connection_retry_budget.is_available();
        if let Some(attempt) = sent.filter(|_| uses_connection_budget) {
            self.connection_retry_budget.spend();
            request.forget_tried(attempt.host);
        }
        if uses_connection_budget || matches!(outcome, AttemptOutcome::Unreachable | AttemptOutcome::NotSent)
        {
            request.retries_left += 1;
            self.retry_budget.refund();
        }
    }

    /// Starts a further attempt if the request may have one and enough time is left. Otherwise ends
    /// the request, unless another attempt is in flight.
    pub fn retry(&mut self, id: RequestId, mailboxes: &mut Mailboxes) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let is_in_time = request.expires_at - mailboxes.now > (self.fleet.typical_latency / 4.0) as Micros;
        let may_send = request.in_flight.is_empty() || self.capabilities.hedging;
        let can_afford_retry = request.retries_left > 0 && self.retry_budget.is_available();
        if may_send && is_in_time && can_afford_retry {
            request.retries_left -= 1;
            self.retry_budget.spend();
            self.route(id, mailboxes);
        } else if request.in_flight.is_empty() {
            let reason = if is_in_time { EndReason::RetriesExhausted } else { EndReason::OutOfTime };
            self.close(id, false, reason, mailboxes);
        }
    }

    /// Starts an attempt at a selected host, or rejects the request if no host may get it.
    fn route(&mut self, id: RequestId, mailboxes: &mut Mailboxes) {
        // A host that is not admitted, mostly since its warm-up budget is spent, is skipped.
        let mut reason = EndReason::NotAdmitted;
        for _ in 0..MAX_SELECTIONS {
            let host = match self.select_host(id, mailboxes.now) {
                Ok(host) => host,
                Err(cause) => {
                    reason = cause;
                    break;
                }
            };
            if self.start_attempt(id, host, mailboxes) {
                return;
            }
            if self.host_statuses[host.index()].is_origin() {
                break;
            }
            self.requests.get_mut(&id).expect("the request is open").tried.push(host);
        }
        if self.requests[&id].in_flight.is_empty() {
            self.close(id, true, reason, mailboxes);
        }
    }
}
