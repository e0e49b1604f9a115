//! A client's request and the results of its attempts: types shared by the code for requests, cache
//! hosts and the origin.

use std::rc::Rc;

use basaltwood::policy::must_be_told;
use basaltwood::types::{AttemptNumber, AttemptOutcome, Micros, RetrySafety};
use basaltwood_wire::facts;
use bytes::Bytes;
use tokio::sync::watch;

use crate::answer_turn::AnswerTurn;
use crate::budget::{MemoryGrant, ValueGrant};
use crate::outstanding::OutstandingAttempts;
use crate::pipeline_slot::PipelineSlot;
use crate::presence::ClientPresence;
use crate::value::{Value, MAX_COPIED_VALUE};
use crate::write_log::WriteLog;

/// The outcome of an attempt, with the value that it returned, if any.
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// The value that the attempt returned.
    pub value: Option<Value>,
}

impl AttemptResult {
    /// The result of an attempt that succeeded with a value.
    pub fn succeeded(value: Value) -> AttemptResult {
        AttemptResult { outcome: AttemptOutcome::Succeeded, value: Some(value) }
    }

    /// The result of an attempt that returned no value.
    pub fn without_value(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, value: None }
    }
}

/// The memory that a request holds until its last attempt has ended.
pub struct RequestMemory {
    /// The memory reserved for the value, unless the value is small.
    pub _value: Option<ValueGrant>,
    /// The memory of the other words; `None` if the client's connection has it.
    pub _words: Option<MemoryGrant>,
}

/// A client's request, in the bytes that the client sent.
pub struct ClientRequest {
    /// The command's name.
    pub command: Bytes,
    /// The key.
    pub key: Bytes,
    /// The request's id, chosen by the client.
    pub id: Bytes,
    /// `name=value` pairs: the class, the client's timeout, and more.
    pub facts: Bytes,
    /// The value to write, in segments; `None` for a read.
    pub value: Option<Vec<Bytes>>,
    /// The memory held for the request.
    pub _memory: RequestMemory,
    /// When the request may be sent again, by the settings of its class.
    pub retry_safety: RetrySafety,
    /// The request's attempts that were written in full.
    pub write_log: WriteLog,
    /// The request's attempts that may still reach their hosts.
    pub outstanding: OutstandingAttempts,
    /// Whether the client's next answer is that of this request.
    pub turn: Rc<AnswerTurn>,
    /// The request's place among those of its client.
    pub slot: Rc<PipelineSlot>,
    /// Whether the client is still connected.
    pub client: ClientPresence,
    /// Set once the request has its final answer or its client has left: nothing more may be sent.
    pub finished: watch::Sender<bool>,
}

impl ClientRequest {
    /// The length and segments of a value that is not copied into a command.
    pub fn separate_value(&self) -> Option<(usize, &[Bytes])> {
        let segments = self.value.as_deref()?;
        let length = segments.iter().map(Bytes::len).sum();
        Some((length, segments)).filter(|_| length > MAX_COPIED_VALUE)
    }

    /// The value in one buffer, if it is short enough to be copied into a command.
    pub fn inline_value(&self) -> Option<Bytes> {
        let segments = self.value.as_ref().filter(|_| self.separate_value().is_none())?;
        Some(match &segments[..] {
            [segment] => segment.clone(),
            segments => Bytes::from(segments.concat()),
        })
    }

    /// Whether the client has to be told how the request ended.
    pub fn must_be_told(&self) -> bool {
        must_be_told(self.value.is_some(), self.retry_safety)
    }

    /// Records that the request has its final answer or that its client has left.
    pub fn finish(&self) {
        self.finished.send_replace(true);
        self.outstanding.request_ended();
    }

    /// Records how an attempt ended.
    pub fn attempt_ended(&self, number: AttemptNumber, outcome: AttemptOutcome) {
        self.write_log.ended(number, outcome);
        self.outstanding.attempt_ended(number, outcome);
    }

    /// Whether the request has its final answer or its client has left.
    pub fn is_finished(&self) -> bool {
        *self.finished.borrow()
    }

    /// Waits until the request has its final answer or its client has left.
    pub async fn wait_finished(&self) {
        // Can't fail: `self` owns the sender.
        let _ = self.finished.subscribe().wait_for(|finished| *finished).await;
    }

    /// The client's facts with the timeout replaced by `time_left`, which is raised to at least
    /// 1 ms.
    pub fn facts_within(&self, time_left: Micros) -> Bytes {
        let wait_ms = (time_left / 1000).max(1) as u64;
        facts::with_timeout(&self.facts, wait_ms)
    }
}
