//! A hosted balancer: translates events to those of the policy, and actions to those of the
//! protocol.

use std::collections::HashMap;

use basaltwood::policy::Policy;
use basaltwood::types::{
    AttemptNumber, AttemptOutcome, Endpoint, HostId, Micros, PolicyAction, PolicyEvent, RequestId,
    RingPosition,
};
use basaltwood_settings::{micros, EndpointRecord, NameTable, OperatorSettings, SettingsError};

use crate::error::EventError;
use crate::open_requests::OpenRequests;
use crate::protocol::{self, AttemptEnd, Event, ListEntry, NewRequest, Outbox, Scope};

/// A hosted balancer.
pub struct Instance {
    policy: Policy,
    requests: OpenRequests,
    names: NameTable,
    /// The actions of the current event; empty between events.
    actions: Vec<PolicyAction>,
}

impl Instance {
    /// Starts a balancer with these settings and the seed of its random draws.
    pub fn start(seed: u64, settings: &OperatorSettings) -> Result<Instance, SettingsError> {
        Ok(Instance {
            policy: Policy::new(&settings.policy_config(seed)?),
            requests: OpenRequests::default(),
            names: NameTable::new(settings),
            actions: Vec::new(),
        })
    }

    /// Passes an event to the policy and appends the resulting actions to the outbox.
    pub fn handle(
        &mut self,
        now: Micros,
        event: Event,
        lists: &HashMap<u32, Vec<ListEntry>>,
        outbox: &mut Outbox,
    ) -> Result<(), EventError> {
        let Some(policy_event) = self.policy_event(event, lists)? else {
            return Ok(());
        };
        let ending = Ending::of(&policy_event);
        self.policy.handle(now, policy_event, &mut self.actions);
        for action in self.actions.drain(..) {
            outbox.push(protocol::encode(action, &self.requests, &self.names.hosts));
            match action {
                PolicyAction::StartAttempt { request, .. } => self.requests.attempt_started(request),
                PolicyAction::Reject { request, .. } | PolicyAction::Fail { request, .. } => {
                    self.requests.finished(request);
                }
                _ => {}
            }
        }
        // After the loop: this may forget the request, whose name the actions need.
        match ending {
            Some(Ending::Attempt { request, finished }) => self.requests.attempt_ended(request, finished),
            Some(Ending::Request { request }) => self.requests.finished(request),
            None => {}
        }
        Ok(())
    }

    /// The event in the policy's form; `None` if the policy does not get it.
    fn policy_event(
        &mut self,
        event: Event,
        lists: &HashMap<u32, Vec<ListEntry>>,
    ) -> Result<Option<PolicyEvent>, EventError> {
        match event {
            Event::EndpointUpdate { scope: Scope::Refused, .. } => Ok(Some(PolicyEvent::DiscoveryFailed)),
            Event::EndpointUpdate { scope, list } => {
                let list = list.and_then(|number| lists.get(&number)).ok_or(EventError::UnknownList)?;
                Ok(Some(self.endpoints(scope, list)))
            }
            Event::Request(request) => self.request(request).map(Some),
            Event::ResponseBegan { request, attempt, host, elapsed_ms } => {
                let request = self.requests.id(&request)?;
                self.requests.response_began(request, attempt);
                let outcome = AttemptOutcome::Succeeded;
                self.attempt_ended(request, attempt, &host, elapsed_ms, outcome, true).map(Some)
            }
            Event::AttemptEnded(end) => self.attempt_finished(end),
            Event::ClientGone { request } => {
                // The request may have ended just before its client left.
                let request = self.requests.id(&request).ok();
                Ok(request.map(|request| PolicyEvent::ClientGone { request }))
            }
            Event::TimerFired { timer } => {
                let timer = protocol::timer(&timer)?;
                Ok(Some(PolicyEvent::TimerFired(timer)))
            }
            Event::Start { .. }
            | Event::Stop
            | Event::EndpointList { .. }
            | Event::ProbeResult
            | Event::PeerMessage => Ok(None),
        }
    }

    fn endpoints(&mut self, scope: Scope, list: &[ListEntry]) -> PolicyEvent {
        PolicyEvent::Endpoints {
            complete: scope != Scope::Changes,
            endpoints: list.iter().map(|entry| self.endpoint(entry)).collect(),
        }
    }

    fn endpoint(&mut self, entry: &ListEntry) -> Endpoint {
        self.names.endpoint(&EndpointRecord {
            host: &entry.host,
            zone: entry.zone.as_deref(),
            machine_type: entry.machine_type.as_deref(),
            cell: entry.cell,
            lifecycle: entry.lifecycle.into(),
            weight: entry.weight,
            started_at: entry.started_at_ms.filter(|&ms| ms != 0.0).map(micros),
        })
    }

    fn request(&mut self, new: NewRequest) -> Result<PolicyEvent, EventError> {
        let (is_write, is_retry) = (new.is_write(), new.is_retry());
        Ok(PolicyEvent::Request {
            request: self.requests.open(new.request),
            class: self.names.class_id(&new.class)?,
            tenant: new.tenant.and_then(|name| self.names.tenant_id(&name)),
            key: new.key.as_deref().map(RingPosition::of),
            is_write,
            is_retry,
            deadline: micros(new.deadline_ms),
        })
    }

    fn attempt_finished(&mut self, end: AttemptEnd) -> Result<Option<PolicyEvent>, EventError> {
        let request = self.requests.id(&end.request)?;
        if self.requests.end_streaming(request, end.attempt) {
            return Ok(None);
        }
        let outcome = end.outcome.into();
        self.attempt_ended(request, end.attempt, &end.host, end.elapsed_ms, outcome, end.finished).map(Some)
    }

    fn attempt_ended(
        &self,
        request: RequestId,
        attempt: u32,
        host: &str,
        elapsed_ms: f64,
        outcome: AttemptOutcome,
        finished: bool,
    ) -> Result<PolicyEvent, EventError> {
        Ok(PolicyEvent::AttemptEnded {
            request,
            attempt: AttemptNumber(attempt),
            host: HostId(self.names.hosts.lookup(host, "host")?),
            elapsed: micros(elapsed_ms),
            outcome,
            finished,
        })
    }
}

/// What a policy event ends.
enum Ending {
    /// An attempt, and the request too if `finished`.
    Attempt { request: RequestId, finished: bool },
    /// A request, but no attempt.
    Request { request: RequestId },
}

impl Ending {
    fn of(event: &PolicyEvent) -> Option<Ending> {
        match *event {
            PolicyEvent::AttemptEnded { request, finished, .. } => {
                Some(Ending::Attempt { request, finished })
            }
            PolicyEvent::ClientGone { request } => Some(Ending::Request { request }),
            _ => None,
        }
    }
}
