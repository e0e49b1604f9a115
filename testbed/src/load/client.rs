//! A client's request, from its due time to its outcome, including the client's own retries.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::atomic::Ordering;

use basaltwood_wire::resp;
use bytes::Bytes;
use rand::Rng;
use tokio::sync::oneshot;
use tokio::time::{sleep, timeout_at};

use super::connection::{ClientReply, Connection, SentAt};
use super::plan::PlannedRequest;
use super::player::Player;
use super::record::{RequestOutcome, RequestRecord};
use super::target::{ConnectionBounds, Target};
use crate::experiment::{Category, ClientRetry, DeduplicationScope, RetrySafety};
use crate::ledger::{Observation, Reply, RequestId};
use crate::time::{millis, seconds, to_duration, Micros, MS};

/// How long a client waits for a reply after the deadline, so that a late reply is recorded as one.
const LATE_REPLY_WAIT: Micros = 400 * MS;
/// A write is not retried in this time before its deduplication window ends.
const DEDUPLICATION_MARGIN: Micros = 100 * MS;
/// The largest Retry-After that a client obeys, in milliseconds.
const MAX_RETRY_AFTER_MS: u64 = 600_000;
/// The attempts of a client without retries whose connection fails, the first one included.
const MAX_CONNECT_ATTEMPTS: u32 = 3;
/// The pause before such a client chooses a balancer again.
const CONNECT_RETRY_PAUSE: Micros = 10 * MS;
/// The largest number of times that the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 16;

/// A request for which attempts are made.
struct ClientRequest {
    planned: PlannedRequest,
    deadline: Micros,
    /// Drawn for each request; sent if the request class is deduplicated.
    idempotency_key: u64,
    /// How long the client waits after sending an attempt before it disconnects, if it does.
    abandon_after: Option<Micros>,
    sent_at: SentAt,
}

/// The result of one attempt.
struct AttemptResult {
    outcome: RequestOutcome,
    /// The Retry-After of a rejection, if present.
    retry_after_ms: Option<u64>,
}

impl AttemptResult {
    fn new(outcome: RequestOutcome) -> AttemptResult {
        AttemptResult { outcome, retry_after_ms: None }
    }
}

/// An attempt that was sent.
struct SentAttempt {
    id: RequestId,
    connection: Rc<Connection>,
    reply: oneshot::Receiver<ClientReply>,
    /// When the attempt was sent.
    sent_at: Micros,
    /// The deadline for the reply.
    reply_due: Micros,
}

impl Player {
    /// Makes one request with its retries and records its outcome.
    pub(super) async fn request(self: Rc<Player>, planned: PlannedRequest) {
        let request = self.prepare(planned);
        self.progress.sent.fetch_add(1, Ordering::Relaxed);
        let mut record = RequestRecord {
            due_at: planned.at,
            sent_at: 0,
            ended_at: 0,
            category: planned.category,
            customer: planned.customer,
            outcome: RequestOutcome::Unreachable,
            attempts: 0,
            rejections: 0,
            connections_lost: 0,
        };
        loop {
            let is_retry = record.attempts > 0;
            let result = self.attempt(&request, is_retry).await;
            record.outcome = result.outcome;
            record.attempts += 1;
            record.rejections += u32::from(result.outcome == RequestOutcome::Rejected);
            record.connections_lost += u32::from(result.outcome == RequestOutcome::ConnectionLost);
            match self.pause_before_retry(&request, record.attempts, &result) {
                Some(pause) => sleep(to_duration(pause)).await,
                None => break,
            }
        }
        record.ended_at = self.ledger.clock.now();
        record.sent_at = request.sent_at.get().unwrap_or(record.ended_at);
        self.finish(record);
    }

    fn prepare(&self, planned: PlannedRequest) -> ClientRequest {
        let mut rng = self.rng.borrow_mut();
        let give_up = self.experiment.load.give_up.filter(|give_up| rng.random::<f64>() < give_up.part);
        ClientRequest {
            planned,
            deadline: planned.at + self.class(&planned).ttl(),
            idempotency_key: rng.random(),
            abandon_after: give_up.map(|give_up| millis(give_up.after_ms)),
            sent_at: Rc::new(Cell::new(None)),
        }
    }

    fn finish(&self, record: RequestRecord) {
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
        if record.outcome == RequestOutcome::Served {
            self.progress.served.fetch_add(1, Ordering::Relaxed);
            self.progress.latency_sum_us.fetch_add(record.latency(), Ordering::Relaxed);
        }
        self.records.borrow_mut().push(record);
    }

    fn class(&self, planned: &PlannedRequest) -> &Category {
        &self.experiment.categories[usize::from(planned.category)]
    }

    /// The pause before the client's next attempt; `None` if there is no retry or not enough time.
    fn pause_before_retry(
        &self,
        request: &ClientRequest,
        attempts: u32,
        result: &AttemptResult,
    ) -> Option<Micros> {
        if !self.is_safe_to_retry(request, result.outcome) {
            return None;
        }
        let pause = self.pause(attempts, result)?;
        (self.ledger.clock.now() + pause + MS < request.deadline).then_some(pause)
    }

    fn is_safe_to_retry(&self, request: &ClientRequest, outcome: RequestOutcome) -> bool {
        let class = self.class(&request.planned);
        match outcome {
            RequestOutcome::Served
            | RequestOutcome::WrongValue
            | RequestOutcome::TimedOut
            | RequestOutcome::Abandoned => false,
            // The command did not run.
            RequestOutcome::Rejected | RequestOutcome::Unreachable => true,
            RequestOutcome::Failed | RequestOutcome::ConnectionLost => match class.retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::Deduplicated => {
                    let age = self.ledger.clock.now() - request.planned.at;
                    class.deduplication_scope == DeduplicationScope::All
                        && age < millis(class.window_ms) - DEDUPLICATION_MARGIN
                }
                RetrySafety::AtMostOnce => false,
            },
        }
    }

    /// The pause before a retry, if the experiment's retry policy allows another one.
    fn pause(&self, attempts: u32, result: &AttemptResult) -> Option<Micros> {
        let retry_after_ms = result.retry_after_ms.map_or(0, |ms| ms.min(MAX_RETRY_AFTER_MS));
        let retry_after = retry_after_ms as Micros * MS;
        match self.experiment.load.retry {
            ClientRetry::None if result.outcome == RequestOutcome::Unreachable => {
                (attempts < MAX_CONNECT_ATTEMPTS).then_some(CONNECT_RETRY_PAUSE)
            }
            ClientRetry::None => None,
            ClientRetry::AtOnce { times } => (attempts <= times).then_some(0),
            ClientRetry::After { times, pause_ms } => {
                (attempts <= times).then(|| millis(pause_ms).max(retry_after))
            }
            ClientRetry::BackOff { times, pause_ms } => {
                (attempts <= times).then(|| self.backoff(attempts, millis(pause_ms), retry_after))
            }
        }
    }

    /// Exponential backoff with jitter over its upper half, and not shorter than the Retry-After.
    fn backoff(&self, attempts: u32, base: Micros, retry_after: Micros) -> Micros {
        let longest = base << (attempts - 1).min(MAX_BACKOFF_DOUBLINGS);
        let half = longest / 2;
        let jitter = self.rng.borrow_mut().random_range(0..=half);
        half + jitter.max(retry_after - half)
    }

    async fn attempt(&self, request: &ClientRequest, is_retry: bool) -> AttemptResult {
        let clock = &self.ledger.clock;
        let target = self.choose_target();
        let bounds = ConnectionBounds {
            max_connections: self.experiment.load.connections,
            max_pipelined: self.experiment.load.pipeline,
        };
        let connection = target.check_out(bounds, request.deadline, &request.sent_at, &self.ledger).await;
        let Some(connection) = connection else {
            target.record_failure(clock.now());
            return AttemptResult::new(RequestOutcome::Unreachable);
        };
        let now = clock.now();
        if now + MS > request.deadline {
            return AttemptResult::new(RequestOutcome::Unreachable);
        }
        let mut sent = self.send(request, &target, connection, now, is_retry);
        let wait_until = sent.reply_due + LATE_REPLY_WAIT;
        let abandon_at = request.abandon_after.map(|after| sent.sent_at + after);
        let mut give_up_at = abandon_at.map_or(wait_until, |at| at.min(wait_until));
        loop {
            match timeout_at(clock.tokio_instant(give_up_at), &mut sent.reply).await {
                Ok(reply) => return self.handle_reply(&sent, &target, reply.ok()),
                // The time spent waiting behind earlier replies on the connection does not count.
                Err(_) if give_up_at >= wait_until && !sent.connection.is_closed() => {
                    let next_since = sent.connection.next_since(sent.id).unwrap_or(clock.now());
                    give_up_at = next_since + LATE_REPLY_WAIT;
                    if give_up_at <= clock.now() {
                        return self.stop_waiting(&sent, wait_until);
                    }
                }
                Err(_) => return self.stop_waiting(&sent, give_up_at),
            }
        }
    }

    /// Chooses a random balancer of those that clients do not know to be failing; of all balancers
    /// if every one is.
    fn choose_target(&self) -> Rc<Target> {
        let now = self.ledger.clock.now();
        let notice_after = seconds(self.experiment.load.notice_s);
        let in_use = self.targets.iter().filter(|target| target.is_in_use(now, notice_after));
        let mut candidates: Vec<&Rc<Target>> = in_use.collect();
        if candidates.is_empty() {
            candidates = self.targets.iter().collect();
        }
        candidates[self.rng.borrow_mut().random_range(0..candidates.len())].clone()
    }

    fn send(
        &self,
        request: &ClientRequest,
        target: &Target,
        connection: Rc<Connection>,
        now: Micros,
        is_retry: bool,
    ) -> SentAttempt {
        let id = RequestId(self.rng.borrow_mut().random());
        // Whole milliseconds, rounded down: the balancer must not be told a longer time than the
        // client waits.
        let timeout_ms = (request.deadline - now) / MS;
        let reply_due = now + timeout_ms * MS;
        let command = self.command(request, id, timeout_ms, is_retry);
        let observation = Observation::RequestSent {
            id,
            balancer: target.balancer,
            category: usize::from(request.planned.category),
            until: reply_due,
        };
        let reply = connection.send(id, &command, observation, request.sent_at.clone(), now);
        SentAttempt { id, connection, reply, sent_at: now, reply_due }
    }

    /// Stops waiting for the reply and closes the connection.
    fn stop_waiting(&self, sent: &SentAttempt, waited_until: Micros) -> AttemptResult {
        let id = sent.id;
        let reply_was_still_due = waited_until < sent.reply_due;
        let (observation, outcome) = if reply_was_still_due {
            (Observation::ClientLeft { id }, RequestOutcome::Abandoned)
        } else {
            (Observation::Unanswered { id }, RequestOutcome::TimedOut)
        };
        self.ledger.note(observation);
        sent.connection.close();
        AttemptResult::new(outcome)
    }

    /// Handles a reply, or the end of the connection without one (`None`).
    fn handle_reply(&self, sent: &SentAttempt, target: &Target, reply: Option<ClientReply>) -> AttemptResult {
        let id = sent.id;
        let Some(reply) = reply else {
            target.freed.notify_one();
            // Another request on the connection stopped waiting and closed it.
            if sent.connection.was_closed_by_client() {
                self.ledger.note(Observation::ClientLeft { id });
                return AttemptResult::new(RequestOutcome::Abandoned);
            }
            self.ledger.note(Observation::ConnectionClosed { id });
            return AttemptResult::new(RequestOutcome::ConnectionLost);
        };
        let (answer, outcome, retry_after_ms) = match reply {
            ClientReply::Value { own: true } => (Reply::Served { own: true }, RequestOutcome::Served, None),
            ClientReply::Value { own: false } => {
                (Reply::Served { own: false }, RequestOutcome::WrongValue, None)
            }
            ClientReply::Rejected { retry_after_ms } => {
                (Reply::Busy, RequestOutcome::Rejected, retry_after_ms)
            }
            ClientReply::Failed => (Reply::Failed, RequestOutcome::Failed, None),
        };
        self.ledger.note(Observation::ReplyReceived { id, answer });
        if self.rng.borrow_mut().random::<f64>() < self.experiment.load.close {
            sent.connection.close();
        }
        target.freed.notify_one();
        AttemptResult { outcome, retry_after_ms }
    }

    fn command(&self, request: &ClientRequest, id: RequestId, timeout_ms: Micros, is_retry: bool) -> Bytes {
        let planned = &request.planned;
        let class = self.class(planned);
        let mut facts = format!("c={}", class.name);
        let tenant = planned.customer.and_then(|nth| self.experiment.customers.get(usize::from(nth)));
        if let Some(tenant) = tenant {
            facts += &format!(",t={}", tenant.name);
        }
        facts += &format!(",d={timeout_ms}");
        if class.retry_safety == RetrySafety::Deduplicated {
            facts += &format!(",k={:016x}", request.idempotency_key);
        }
        if is_retry {
            facts += ",r=1";
        }
        facts += &format!(",size={}", planned.size);
        let key = self.plan.keys[planned.key as usize].as_bytes();
        let id = id.to_string();
        if class.write {
            let value = vec![b'v'; planned.size as usize];
            resp::encode_command(&[b"CACHE.SET", key, id.as_bytes(), facts.as_bytes(), &value])
        } else {
            resp::encode_command(&[b"CACHE.GET", key, id.as_bytes(), facts.as_bytes()])
        }
    }
}
