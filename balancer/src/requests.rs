//! Runs one request from its submission to its final answer: carries out the policy's decisions and
//! reports the outcome of each attempt.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use basaltwood::policy::EarlierReply;
use basaltwood::router::{NewRequest, RequestAction};
use basaltwood::types::*;
use tokio::sync::oneshot;
use tokio::task::{AbortHandle, JoinError, JoinSet};
use tokio::time::sleep_until;

use crate::budget::MemoryGrant;
use crate::invariants::Invariant;
use crate::loop_profile::Stage;
use crate::panics::{catch_panic, Panicked};
use crate::pipeline_slot::Clearance;
use crate::request::{AttemptResult, ClientRequest};
use crate::shared::Shared;
use crate::upstream::AttemptTarget;
use crate::value::{Value, WholeValue};

/// A final answer that is more than this late violates an invariant: half of the lateness at which
/// an answer counts as lost; 0.15 s of it allow for a stalled process. Source: the operators'
/// requirements.
const MAX_ANSWER_LATENESS: Micros = 250_000;

/// The final answer to a request, independent of the protocol.
pub enum FinalAnswer {
    /// The request succeeded with this value.
    Succeeded(Value),
    /// The request was not served; a retry is harmless.
    Rejected {
        /// The earliest time for a retry, counted from now.
        retry_after: Option<Micros>,
    },
    /// The request failed and may have taken effect.
    Failed,
}

/// A final answer sent to the client's connection.
pub struct AnswerDelivery {
    /// The final answer.
    pub answer: FinalAnswer,
    /// The memory of a short answer, until it is written.
    pub memory: Option<MemoryGrant>,
}

/// Serves one request whose id is reserved. The client has left once the receiving end of
/// `delivery` is dropped.
pub async fn serve(
    shared: Rc<Shared>,
    request: Rc<ClientRequest>,
    new_request: NewRequest,
    mut delivery: oneshot::Sender<AnswerDelivery>,
    memory: Option<MemoryGrant>,
) {
    shared.counters.requests.add();
    match wait_to_begin(&shared, &request, &mut delivery, new_request.deadline).await {
        Beginning::Now => {}
        Beginning::ClientGone => {
            shared.counters.abandoned.add();
            shared.release_id(&request);
            return;
        }
        Beginning::Never => {
            shared.release_id(&request);
            reject_unbegun(&shared, &request, delivery, memory);
            return;
        }
    }
    let deadline = new_request.deadline;
    let (id, actions) = shared.loop_profile.timed(Stage::Decision, || {
        let mut router = shared.router.borrow_mut();
        router.set_loop_lag(shared.loop_profile.lag().as_micros() as Micros);
        router.submit(shared.clock.now(), new_request)
    });
    log::debug!(request = id.0, client_id:% = String::from_utf8_lossy(&request.id); "request received");
    let task = RequestTask {
        shared: shared.clone(),
        id,
        deadline,
        request: request.clone(),
        delivery: Some(delivery),
        memory,
        attempts: JoinSet::new(),
        in_flight: BTreeMap::new(),
        value: None,
        is_abandoned: false,
    };
    // Dropping `delivery` without an answer makes the connection reply that the request failed.
    if let Err(panicked) = catch_panic(task.run(actions)).await {
        let context = format_args!("request {}: {panicked}", id.0);
        shared.invariants.violated(Invariant::TaskPanicked, context);
        request.finish();
        shared.abandon_request(id, &request);
    }
}

/// Whether a request begins.
enum Beginning {
    Now,
    /// Its client has left: no attempt is started for it.
    ClientGone,
    /// It has waited as long as its client does for the replies before its own, or the process ends.
    Never,
}

/// Waits until the request may begin behind those that came before it on its connection.
async fn wait_to_begin(
    shared: &Shared,
    request: &ClientRequest,
    delivery: &mut oneshot::Sender<AnswerDelivery>,
    deadline: Micros,
) -> Beginning {
    if request.slot.is_held() {
        shared.counters.requests_held.add();
        log::debug!(client_id:% = String::from_utf8_lossy(&request.id); "request waits for replies before its own");
    }
    tokio::select! {
        biased;
        () = delivery.closed() => Beginning::ClientGone,
        clearance = request.slot.decided() => match clearance {
            Clearance::Given => Beginning::Now,
            Clearance::Held | Clearance::Refused => Beginning::Never,
        },
        () = sleep_until(shared.clock.at(deadline)) => Beginning::Never,
    }
}

/// Rejects a request that has not begun: it never ran.
fn reject_unbegun(
    shared: &Shared,
    request: &ClientRequest,
    delivery: oneshot::Sender<AnswerDelivery>,
    memory: Option<MemoryGrant>,
) {
    shared.counters.rejected.add();
    shared.counters.requests_held_rejected.add();
    request.finish();
    request.slot.set_reply(EarlierReply::Whole);
    let retry_after = shared.router.borrow().retry_after();
    // The send fails if the client has just left.
    let _ = delivery.send(AnswerDelivery { answer: FinalAnswer::Rejected { retry_after }, memory });
}

/// A request with its attempts in flight.
struct RequestTask {
    shared: Rc<Shared>,
    id: RequestId,
    /// When the client stops waiting.
    deadline: Micros,
    request: Rc<ClientRequest>,
    /// `None` once the request has its final answer or its client has left.
    delivery: Option<oneshot::Sender<AnswerDelivery>>,
    /// The memory of a short answer; `None` if the client's connection has it.
    memory: Option<MemoryGrant>,
    attempts: JoinSet<(AttemptNumber, AttemptResult)>,
    in_flight: BTreeMap<AttemptNumber, AbortHandle>,
    /// The value that the most recently ended attempt returned.
    value: Option<Value>,
    /// Whether the client left before the final answer.
    is_abandoned: bool,
}

impl RequestTask {
    /// Runs until the request has its final answer, or its client has left, and no attempt is in
    /// flight.
    async fn run(mut self, mut actions: Vec<RequestAction>) {
        let wakeup = self.shared.register(self.id);
        loop {
            self.perform(actions);
            self.shared.wake_requests();
            if self.delivery.is_none() && self.in_flight.is_empty() {
                break;
            }
            let has_attempts = !self.in_flight.is_empty();
            actions = tokio::select! {
                biased;
                // Polled first: an attempt that ends because its client left must not be retried.
                () = client_gone(&mut self.delivery) => self.abandon(),
                ended = self.attempts.join_next(), if has_attempts => self.attempt_joined(ended),
                () = wakeup.notified() => self.shared.router.borrow_mut().take_actions(self.id),
            };
        }
        self.shared.unregister(self.id);
        if self.is_abandoned {
            self.shared.answer_unheard(&self.request);
        }
        self.shared.release_id(&self.request);
    }

    fn perform(&mut self, actions: Vec<RequestAction>) {
        let mut actions: VecDeque<RequestAction> = actions.into();
        while let Some(action) = actions.pop_front() {
            match action {
                RequestAction::StartAttempt { attempt, host, deadline, send_by } => {
                    self.start_attempt(attempt, AttemptTarget { host, deadline, send_by });
                }
                RequestAction::CancelAttempt(attempt) => actions.extend(self.cancel_attempt(attempt)),
                RequestAction::Succeed(_) => self.succeed(),
                RequestAction::Reject { retry_after, reason } => self.reject(retry_after, reason),
                RequestAction::Fail { reason } => self.fail(reason),
            }
        }
    }

    fn start_attempt(&mut self, attempt: AttemptNumber, target: AttemptTarget) {
        let shared = self.shared.clone();
        shared.counters.attempts.add();
        let left_ms = (target.deadline - shared.clock.now()) / 1000;
        log::debug!(
            request = self.id.0, attempt = attempt.0, host = target.host.0, left_ms;
            "attempt decided"
        );
        let request = self.request.clone();
        let key = AttemptKey { request: self.id, number: attempt };
        let task = async move {
            let upstreams = &shared.upstreams;
            let result = upstreams.attempt(&shared.router, key, &request, target).await;
            (attempt, result)
        };
        self.in_flight.insert(attempt, self.attempts.spawn_local(task));
    }

    fn cancel_attempt(&mut self, attempt: AttemptNumber) -> Vec<RequestAction> {
        let Some(task) = self.in_flight.remove(&attempt) else { return Vec::new() };
        task.abort();
        self.shared.counters.attempt_ended(AttemptOutcome::Cancelled);
        self.report(attempt, AttemptOutcome::Cancelled)
    }

    fn attempt_joined(
        &mut self,
        ended: Option<Result<(AttemptNumber, AttemptResult), JoinError>>,
    ) -> Vec<RequestAction> {
        let (attempt, AttemptResult { outcome, value }) = match ended {
            Some(Ok(ended)) => ended,
            Some(Err(cause)) => match self.panicked_attempt(cause) {
                Some(attempt) => (attempt, AttemptResult::without_value(AttemptOutcome::ConnectionFault)),
                // A cancelled attempt has been reported already.
                None => return Vec::new(),
            },
            None => return Vec::new(),
        };
        if self.in_flight.remove(&attempt).is_none() {
            return Vec::new();
        }
        self.shared.counters.attempt_ended(outcome);
        self.request.attempt_ended(attempt, outcome);
        log::debug!(request = self.id.0, attempt = attempt.0, outcome:?; "attempt ended");
        self.value = value;
        self.report(attempt, outcome)
    }

    /// The attempt whose task panicked. The host may have run it, and is not at fault.
    fn panicked_attempt(&self, cause: JoinError) -> Option<AttemptNumber> {
        let task = cause.id();
        let payload = cause.try_into_panic().ok()?;
        let running = self.in_flight.iter().find(|(_, handle)| handle.id() == task);
        let attempt = running.map(|(number, _)| *number)?;
        let context =
            format_args!("request {} attempt {}: {}", self.id.0, attempt.0, Panicked::of(&*payload));
        self.shared.invariants.violated(Invariant::TaskPanicked, context);
        Some(attempt)
    }

    fn report(&self, attempt: AttemptNumber, outcome: AttemptOutcome) -> Vec<RequestAction> {
        let shared = &self.shared;
        shared.loop_profile.timed(Stage::Decision, || {
            shared.router.borrow_mut().attempt_ended(shared.clock.now(), self.id, attempt, outcome)
        })
    }

    /// Handles the client's departure: nothing more is sent for the request.
    fn abandon(&mut self) -> Vec<RequestAction> {
        log::debug!(request = self.id.0; "request abandoned by its client");
        self.delivery = None;
        self.is_abandoned = true;
        self.request.finish();
        self.shared.counters.abandoned.add();
        self.shared.router.borrow_mut().client_gone(self.shared.clock.now(), self.id)
    }

    fn succeed(&mut self) {
        log::debug!(request = self.id.0; "request succeeded");
        self.shared.counters.succeeded.add();
        let value = self.value.take().unwrap_or_else(|| Value::Whole(WholeValue::empty()));
        self.finish(FinalAnswer::Succeeded(value));
    }

    fn reject(&mut self, retry_after: Option<Micros>, reason: EndReason) {
        self.shared.counters.rejected.add();
        self.shared.loop_profile.note_end(reason);
        log::debug!(request = self.id.0, reason:?; "request rejected");
        self.finish(FinalAnswer::Rejected { retry_after });
    }

    fn fail(&mut self, reason: EndReason) {
        self.shared.counters.failed.add();
        self.shared.loop_profile.note_end(reason);
        log::debug!(request = self.id.0, reason:?; "request failed");
        self.finish(FinalAnswer::Failed);
    }

    fn finish(&mut self, answer: FinalAnswer) {
        self.request.finish();
        self.request.slot.set_reply(match answer {
            FinalAnswer::Succeeded(Value::Streamed(_)) => EarlierReply::Streamed,
            _ => EarlierReply::Whole,
        });
        let Some(delivery) = self.delivery.take() else { return };
        self.check_lateness();
        // The send fails if the client has just left.
        if delivery.send(AnswerDelivery { answer, memory: self.memory.take() }).is_err() {
            self.is_abandoned = true;
        }
    }

    /// Reports an invariant violation if the final answer comes well after the request's deadline.
    fn check_lateness(&self) {
        let late_by = self.shared.clock.now() - self.deadline;
        if late_by > MAX_ANSWER_LATENESS {
            let id = String::from_utf8_lossy(&self.request.id);
            let context = format_args!("request {} ({id}) is answered {} ms late", self.id.0, late_by / 1000);
            self.shared.invariants.violated(Invariant::AnswerLate, context);
        }
    }
}

async fn client_gone(delivery: &mut Option<oneshot::Sender<AnswerDelivery>>) {
    match delivery {
        Some(delivery) => delivery.closed().await,
        None => std::future::pending().await,
    }
}
