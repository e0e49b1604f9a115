//! A policy behind method calls, for code that serves sockets.
//!
//! [`Router::submit`] takes a new request, [`Router::attempt_ended`] reports the end of one of its
//! attempts, [`Router::tick`] runs the timers that are due. The first two return the actions for
//! that request. Actions for other requests wait in their mailboxes:
//! [`Router::requests_with_actions`] names those requests, and [`Router::take_actions`] empties the
//! mailbox of one.
//!
//! The router owns request numbers and timers, has no clock, and makes no decisions.

use std::collections::{BTreeMap, BTreeSet};

use crate::policy::constants::OVERDUE_GRACE;
use crate::policy::{Policy, SendPermit, SendRefusal};
use crate::types::*;

/// A request as it is submitted.
#[derive(Clone, Copy, Debug)]
pub struct NewRequest {
    /// The request class.
    pub class: RequestClassId,
    /// The tenant, if known.
    pub tenant: Option<TenantId>,
    /// The ring position of the key, if the request has one.
    pub key: Option<RingPosition>,
    /// Whether the request changes the key's value.
    pub is_write: bool,
    /// Whether the client marked the request as its own retry.
    pub is_retry: bool,
    /// When the client stops waiting.
    pub deadline: Micros,
}

/// An action for a request. `Succeed`, `Reject` and `Fail` are final answers: a request gets one of
/// them and no more, unless its client disconnects first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestAction {
    /// Send the request to a host.
    StartAttempt {
        /// The number of the attempt.
        attempt: AttemptNumber,
        /// The host to send to.
        host: HostId,
        /// If the attempt has not ended by then, it has timed out and nothing more of it is sent.
        deadline: Micros,
        /// If the last byte is not written by then, the attempt is reported as not sent.
        send_by: Micros,
    },
    /// Stop waiting for an attempt, and report it as cancelled.
    CancelAttempt(AttemptNumber),
    /// Answer the client with the answer to this attempt.
    Succeed(AttemptNumber),
    /// The request was not served, and trying again is harmless.
    Reject {
        /// The earliest time to try again, counted from now.
        retry_after: Option<Micros>,
        /// Why the request is not served.
        reason: EndReason,
    },
    /// The request failed, and may have taken effect.
    Fail {
        /// Why the request is not served.
        reason: EndReason,
    },
}

/// An attempt that has not ended.
#[derive(Clone, Copy)]
struct AttemptInFlight {
    host: HostId,
    began_at: Micros,
}

/// A request that has no final answer yet or has attempts in flight.
#[derive(Default)]
struct RoutedRequest {
    /// Attempts started so far.
    attempts: u32,
    in_flight: BTreeMap<AttemptNumber, AttemptInFlight>,
    /// When the client stops waiting.
    deadline: Micros,
    /// Whether the final answer was decided, or the client disconnected.
    finished: bool,
    /// Actions that no call has returned yet.
    mailbox: Vec<RequestAction>,
}

impl RoutedRequest {
    fn start_attempt(&mut self, host: HostId, now: Micros) -> AttemptNumber {
        let attempt = AttemptNumber(self.attempts);
        self.attempts += 1;
        self.in_flight.insert(attempt, AttemptInFlight { host, began_at: now });
        attempt
    }
}

/// A timer that the policy set.
struct PendingTimer {
    due_at: Micros,
    timer: Timer,
}

/// A policy with its requests, their mailboxes, and its timers.
pub struct Router {
    policy: Policy,
    requests: BTreeMap<RequestId, RoutedRequest>,
    /// The limit of open requests. Further requests are rejected; as nothing was sent, that is
    /// harmless.
    max_open_requests: usize,
    next_request: u32,
    requests_with_actions: BTreeSet<RequestId>,
    /// The requests without a final answer, ordered by deadline.
    deadlines: BTreeSet<(Micros, RequestId)>,
    timers: Vec<PendingTimer>,
    /// The actions for the event that is being handled.
    actions: Vec<PolicyAction>,
}

impl Router {
    /// Creates a router without hosts.
    pub fn new(config: &PolicyConfig, max_open_requests: usize) -> Router {
        Router {
            policy: Policy::new(config),
            requests: BTreeMap::new(),
            max_open_requests,
            next_request: 0,
            requests_with_actions: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            timers: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Applies an endpoint list: the `complete` one, or only the hosts that changed.
    pub fn update_endpoints(&mut self, now: Micros, complete: bool, endpoints: Vec<Endpoint>) {
        self.handle(now, PolicyEvent::Endpoints { complete, endpoints });
    }

    /// Hosts that are gone and that no open request refers to; their numbers may be reused.
    pub fn released_hosts(&self) -> Vec<HostId> {
        self.policy.released_hosts()
    }

    /// The number of cache hosts by state.
    pub fn pool_size(&self) -> PoolSize {
        self.policy.pool_size()
    }

    /// The cost of all selections since the start.
    pub fn selection_work(&self) -> SelectionWork {
        self.policy.selection_work()
    }

    /// The number of hot keys, which are read from several holders.
    pub fn hot_keys(&self) -> usize {
        self.policy.hot_keys()
    }

    /// The number of open requests.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// The host changes since the last call, for the log.
    pub fn take_host_changes(&mut self) -> Vec<HostChange> {
        self.policy.take_host_changes()
    }

    /// Whether a host accepts new attempts according to the last endpoint list. To be checked again
    /// before the first byte of an attempt that waited for its connection.
    pub fn accepts_attempts(&self, host: HostId) -> bool {
        self.policy.accepts_attempts(host)
    }

    /// Whether the host is in the endpoint list, or stays in use although the list dropped it.
    pub fn is_in_use(&self, host: HostId) -> bool {
        self.policy.is_in_use(host)
    }

    /// How long the client of a rejected request is told to wait; `None` where it is not told.
    pub fn retry_after(&self) -> Option<Micros> {
        self.policy.retry_after()
    }

    /// The concurrency limits of the hosts, for a successor process.
    pub fn learned_limits(&self) -> Vec<LearnedLimit> {
        self.policy.learned_limits()
    }

    /// Applies the limits of the predecessor process; hosts that are not listed are ignored.
    pub fn restore_limits(&mut self, now: Micros, limits: Vec<LearnedLimit>) {
        self.handle(now, PolicyEvent::LimitsLearned(limits));
    }

    /// Takes a new request; returns its number and the first actions for it.
    pub fn submit(&mut self, now: Micros, new: NewRequest) -> (RequestId, Vec<RequestAction>) {
        let request = RequestId(self.next_request);
        self.next_request = self.next_request.wrapping_add(1);
        if self.requests.len() >= self.max_open_requests {
            return (
                request,
                vec![RequestAction::Reject { retry_after: None, reason: EndReason::TooManyOpen }],
            );
        }
        let NewRequest { class, tenant, key, is_write, is_retry, deadline } = new;
        self.requests.insert(request, RoutedRequest { deadline, ..RoutedRequest::default() });
        self.deadlines.insert((deadline, request));
        self.handle(now, PolicyEvent::Request { request, class, tenant, key, is_write, is_retry, deadline });
        (request, self.take_actions(request))
    }

    /// Whether the first byte of an attempt may be written now; to be called right before the
    /// write. `client_present` is whether the client's connection was open when last checked.
    ///
    /// # Errors
    /// [`SendRefusal`] if a rule forbids it: nothing may be written, and the attempt is to be
    /// reported as not sent, or as cancelled if no client waits for it.
    pub fn permit_send(
        &mut self,
        now: Micros,
        attempt: AttemptKey,
        client_present: bool,
    ) -> Result<SendPermit, SendRefusal> {
        self.policy.permit_send(now, attempt, client_present)
    }

    /// Reports the end of an attempt. Repeated reports and unknown attempts are ignored.
    pub fn attempt_ended(
        &mut self,
        now: Micros,
        request: RequestId,
        attempt: AttemptNumber,
        outcome: AttemptOutcome,
    ) -> Vec<RequestAction> {
        let Some(open) = self.requests.get_mut(&request) else { return Vec::new() };
        let Some(ended) = open.in_flight.remove(&attempt) else { return Vec::new() };
        if outcome == AttemptOutcome::Succeeded && !open.finished {
            open.finished = true;
            open.mailbox.push(RequestAction::Succeed(attempt));
        }
        let (finished, host, elapsed) = (open.finished, ended.host, now - ended.began_at);
        self.handle(now, PolicyEvent::AttemptEnded { request, attempt, host, elapsed, outcome, finished });
        self.take_actions(request)
    }

    /// Reports that an attempt in flight goes on a connection that has carried no request yet.
    pub fn attempt_on_new_connection(&mut self, now: Micros, request: RequestId, attempt: AttemptNumber) {
        let in_flight = self.requests.get(&request).and_then(|open| open.in_flight.get(&attempt));
        if let Some(&AttemptInFlight { host, .. }) = in_flight {
            self.handle(now, PolicyEvent::NewConnection { request, attempt, host });
        }
    }

    /// Reports that an attempt in flight waits until this balancer may open a connection.
    pub fn attempt_waits(&mut self, now: Micros, request: RequestId, attempt: AttemptNumber) {
        let in_flight = self.requests.get(&request).and_then(|open| open.in_flight.get(&attempt));
        if let Some(&AttemptInFlight { host, .. }) = in_flight {
            self.handle(now, PolicyEvent::AttemptWaits { request, attempt, host });
        }
    }

    /// Reports that an attempt no longer waits for this balancer: its latency counts from now.
    pub fn attempt_proceeds(&mut self, now: Micros, request: RequestId, attempt: AttemptNumber) {
        let in_flight = self.requests.get_mut(&request).and_then(|open| open.in_flight.get_mut(&attempt));
        if let Some(in_flight) = in_flight {
            in_flight.began_at = now;
            let host = in_flight.host;
            self.handle(now, PolicyEvent::AttemptProceeds { request, attempt, host });
        }
    }

    /// Reports an attempt in doubt: later attempts at its host are answered, and this one is not.
    pub fn attempt_in_doubt(&mut self, now: Micros, request: RequestId, attempt: AttemptNumber) {
        let is_waiting = |open: &RoutedRequest| !open.finished && open.in_flight.contains_key(&attempt);
        if self.requests.get(&request).is_some_and(is_waiting) {
            self.handle(now, PolicyEvent::AttemptInDoubt { request, attempt });
        }
    }

    /// Reports that a host answered on a connection from before it fell silent.
    pub fn host_alive(&mut self, now: Micros, host: HostId) {
        self.handle(now, PolicyEvent::HostAlive { host });
    }

    /// The hosts that the list dropped and that stay in use because they answer.
    pub fn dropped_hosts(&self) -> Vec<HostId> {
        self.policy.dropped_hosts()
    }

    /// Reports that another host has the address of this one, which the list dropped or which started
    /// before: what answers there is no evidence about this one.
    pub fn host_replaced(&mut self, now: Micros, host: HostId) {
        self.handle(now, PolicyEvent::HostReplaced { host });
    }

    /// Reports that a host sent an invalid value in a response that was reported as a success.
    pub fn value_invalid(&mut self, now: Micros, host: HostId) {
        self.handle(now, PolicyEvent::ValueInvalid { host });
    }

    /// Reports that this process was stalled for `span`.
    pub fn process_stalled(&mut self, now: Micros, span: Micros) {
        self.handle(now, PolicyEvent::ProcessStalled(span));
    }

    /// Reports that the client of a request has disconnected.
    pub fn client_gone(&mut self, now: Micros, request: RequestId) -> Vec<RequestAction> {
        let Some(open) = self.requests.get_mut(&request).filter(|open| !open.finished) else {
            return Vec::new();
        };
        open.finished = true;
        self.handle(now, PolicyEvent::ClientGone { request });
        self.take_actions(request)
    }

    /// Abandons a request that the caller can no longer serve: its client counts as disconnected
    /// and its attempts in flight as cancelled.
    pub fn abandon(&mut self, now: Micros, request: RequestId) {
        self.client_gone(now, request);
        let Some(open) = self.requests.get(&request) else { return };
        let in_flight: Vec<AttemptNumber> = open.in_flight.keys().copied().collect();
        for attempt in in_flight {
            self.attempt_ended(now, request, attempt, AttemptOutcome::Cancelled);
        }
    }

    /// Gives every open request its final answer, in its mailbox, and rejects all later requests.
    pub fn shut_down(&mut self, now: Micros) {
        self.max_open_requests = 0;
        let open = self.requests.iter().filter(|(_, open)| !open.finished).map(|(&request, _)| request);
        for request in open.collect::<Vec<_>>() {
            self.handle(now, PolicyEvent::ShuttingDown { request });
        }
    }

    /// Sets the current lag of the event loop; from `OVERLOAD_LAG` on, new requests are rejected.
    pub fn set_loop_lag(&mut self, lag: Micros) {
        self.policy.set_loop_lag(lag);
    }

    /// Gives final answers to requests whose deadlines passed `OVERDUE_GRACE` ago. Their attempts
    /// may not have ended yet if the process is late.
    pub fn expire(&mut self, now: Micros) {
        while let Some(&(deadline, request)) = self.deadlines.first() {
            if now < deadline + OVERDUE_GRACE {
                return;
            }
            self.deadlines.pop_first();
            if self.requests.get(&request).is_some_and(|open| !open.finished) {
                self.handle(now, PolicyEvent::DeadlinePassed { request });
            }
        }
    }

    /// Answers overdue requests and runs the timers that are due; returns when the next one is due.
    pub fn tick(&mut self, now: Micros) -> Option<Micros> {
        self.expire(now);
        while let Some(due) = self.timers.iter().position(|pending| pending.due_at <= now) {
            let PendingTimer { timer, .. } = self.timers.swap_remove(due);
            self.handle(now, PolicyEvent::TimerFired(timer));
        }
        self.timers.iter().map(|pending| pending.due_at).min()
    }

    /// The requests with actions in their mailboxes.
    pub fn requests_with_actions(&mut self) -> Vec<RequestId> {
        std::mem::take(&mut self.requests_with_actions).into_iter().collect()
    }

    /// Empties the mailbox of a request, and drops the request once it is finished and has no
    /// attempt in flight.
    pub fn take_actions(&mut self, request: RequestId) -> Vec<RequestAction> {
        self.requests_with_actions.remove(&request);
        let Some(open) = self.requests.get_mut(&request) else { return Vec::new() };
        let actions = std::mem::take(&mut open.mailbox);
        if open.finished {
            self.deadlines.remove(&(open.deadline, request));
        }
        if open.finished && open.in_flight.is_empty() {
            self.requests.remove(&request);
        }
        actions
    }

    fn handle(&mut self, now: Micros, event: PolicyEvent) {
        self.policy.handle(now, event, &mut self.actions);
        for action in std::mem::take(&mut self.actions) {
            match action {
                PolicyAction::StartAttempt { request, host, timeout } => {
                    let Some(open) = self.requests.get_mut(&request) else { continue };
                    let attempt = open.start_attempt(host, now);
                    let deadline = now + timeout;
                    let key = AttemptKey { request, number: attempt };
                    let send_by = self.policy.repeat_deadline(now, key).unwrap_or(deadline).min(deadline);
                    self.deliver(request, RequestAction::StartAttempt { attempt, host, deadline, send_by });
                }
                PolicyAction::Reject { request, retry_after, reason } => {
                    self.deliver(request, RequestAction::Reject { retry_after, reason });
                }
                PolicyAction::Fail { request, reason } => {
                    self.deliver(request, RequestAction::Fail { reason });
                }
                PolicyAction::CancelAttempt { request, attempt } => {
                    self.deliver(request, RequestAction::CancelAttempt(attempt));
                }
                PolicyAction::SetTimer { after, timer } => {
                    self.timers.push(PendingTimer { due_at: now + after, timer });
                }
                // Code that serves sockets always watches the endpoint list.
                PolicyAction::WatchDiscovery => {}
            }
        }
    }

    /// Puts an action into the mailbox of a request.
    fn deliver(&mut self, request: RequestId, action: RequestAction) {
        let Some(open) = self.requests.get_mut(&request) else { return };
        open.finished |= matches!(action, RequestAction::Reject { .. } | RequestAction::Fail { .. });
        open.mailbox.push(action);
        self.requests_with_actions.insert(request);
    }
}
