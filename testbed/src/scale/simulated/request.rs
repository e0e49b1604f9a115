//! One request, from its arrival to its final answer. The router decides on attempts, which run as
//! tasks.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use basaltwood::router::{NewRequest, RequestAction};
use basaltwood::types::{
    AttemptNumber, AttemptOutcome, HostId, Micros, RequestClassId, RequestId, RingPosition,
};
use basaltwood_wire::resp;
use bytes::Bytes;
use tokio::sync::Notify;
use tokio::task::{AbortHandle, JoinSet};

use super::balancer::{AttemptKey, SimulatedBalancer};
use crate::time::MS;

/// A request that was submitted to the router.
struct OpenRequest {
    balancer: Rc<SimulatedBalancer>,
    id: RequestId,
    /// When it was due to arrive.
    due: Micros,
    /// The encoded command that each attempt sends.
    command: Bytes,
    actions_ready: Rc<Notify>,
    /// Actions of the router that are not carried out yet.
    actions: VecDeque<RequestAction>,
    attempts: JoinSet<(AttemptNumber, AttemptOutcome)>,
    /// The attempts whose end was not reported to the router yet.
    running: BTreeMap<AttemptNumber, AbortHandle>,
    answered: bool,
}

impl SimulatedBalancer {
    /// Runs one request for a key. Its deadline counts from when it was due.
    pub(super) async fn run_request(self: Rc<SimulatedBalancer>, key: u64, due: Micros) {
        OpenRequest::submit(self, key, due).run().await;
    }
}

impl OpenRequest {
    fn submit(balancer: Rc<SimulatedBalancer>, key: u64, due: Micros) -> OpenRequest {
        let key = format!("{key:016x}");
        let deadline = due + balancer.time_to_live;
        let new_request = NewRequest {
            class: RequestClassId(0),
            tenant: None,
            key: Some(RingPosition::of(&key)),
            is_write: false,
            is_retry: false,
            deadline,
        };
        let (id, actions) = balancer.router.borrow_mut().submit(balancer.clock.now(), new_request);
        let actions_ready: Rc<Notify> = Rc::default();
        balancer.actions_ready.borrow_mut().insert(id, actions_ready.clone());
        let time_left_ms = (deadline - balancer.clock.now()).max(0) / MS;
        let facts = format!("c=read,d={time_left_ms},size=128");
        let wire_id = RingPosition(u64::from(id.0)).mixed(u64::from(balancer.number)).0;
        let wire_id = format!("{wire_id:016x}");
        let words: [&[u8]; 4] = [b"CACHE.GET", key.as_bytes(), wire_id.as_bytes(), facts.as_bytes()];
        OpenRequest {
            command: resp::encode_command(&words),
            balancer,
            id,
            due,
            actions_ready,
            actions: actions.into(),
            attempts: JoinSet::new(),
            running: BTreeMap::new(),
            answered: false,
        }
    }

    /// Runs until the request is answered and all of its attempts have ended.
    async fn run(mut self) {
        loop {
            while let Some(action) = self.actions.pop_front() {
                self.perform(action);
            }
            self.balancer.wake_requests();
            if self.answered && self.running.is_empty() {
                break;
            }
            self.wait_for_actions().await;
        }
        self.balancer.actions_ready.borrow_mut().remove(&self.id);
    }

    /// Waits until an attempt ends or the router has actions for this request.
    async fn wait_for_actions(&mut self) {
        tokio::select! {
            biased;
            ended = self.attempts.join_next(), if !self.running.is_empty() => {
                if let Some(Ok((attempt, outcome))) = ended {
                    self.attempt_ended(attempt, outcome);
                }
            }
            () = self.actions_ready.notified() => {
                let actions = self.balancer.router.borrow_mut().take_actions(self.id);
                self.actions.extend(actions);
            }
        }
    }

    fn perform(&mut self, action: RequestAction) {
        match action {
            RequestAction::StartAttempt { attempt, host, deadline, .. } => {
                self.start_attempt(attempt, host, deadline);
            }
            RequestAction::CancelAttempt(attempt) => self.cancel_attempt(attempt),
            RequestAction::Succeed(_) => self.succeed(),
            RequestAction::Reject { .. } => {
                self.answered = true;
                self.balancer.counters.count(|counters| counters.rejected += 1);
            }
            RequestAction::Fail { .. } => {
                self.answered = true;
                self.balancer.counters.count(|counters| counters.failed += 1);
            }
        }
    }

    fn start_attempt(&mut self, attempt: AttemptNumber, host: HostId, deadline: Micros) {
        self.balancer.counters.count(|counters| counters.attempts += 1);
        let key = AttemptKey { request: self.id, attempt };
        let (balancer, command) = (self.balancer.clone(), self.command.clone());
        let task = async move { (attempt, balancer.attempt(host, key, command, deadline).await) };
        let handle = self.attempts.spawn_local(task);
        self.running.insert(attempt, handle);
    }

    fn cancel_attempt(&mut self, attempt: AttemptNumber) {
        if let Some(task) = self.running.get(&attempt) {
            task.abort();
            self.attempt_ended(attempt, AttemptOutcome::Cancelled);
        }
    }

    /// Reports the end of an attempt, unless that was done before: a cancelled attempt may still
    /// return an outcome.
    fn attempt_ended(&mut self, attempt: AttemptNumber, outcome: AttemptOutcome) {
        if self.running.remove(&attempt).is_none() {
            return;
        }
        let now = self.balancer.clock.now();
        let actions = self.balancer.router.borrow_mut().attempt_ended(now, self.id, attempt, outcome);
        self.actions.extend(actions);
    }

    fn succeed(&mut self) {
        self.answered = true;
        let latency = self.balancer.clock.now() - self.due;
        let in_target = latency <= self.balancer.target;
        let counters = &self.balancer.counters;
        counters.latency.record(latency);
        counters.count(|counters| {
            counters.succeeded += 1;
            counters.in_target += u64::from(in_target);
        });
    }
}
