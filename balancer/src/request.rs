//! A client's request and the results of its attempts: types shared by the code for requests, cache
//! hosts and the origin.

use std::rc::Rc;

use basaltwood::types::{AttemptNumber, AttemptOutcome, Micros, RetrySafety};
use basaltwood_wire::facts;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use crate::answer_turn::AnswerTurn;
use crate::budget::{MemoryGrant, ValueGrant};
use crate::outstanding::OutstandingAttempts;
use crate::presence::ClientPresence;
use crate::write_log::WriteLog;

/// The maximum length of a value that is copied into the message which it is a part of, in bytes:
/// one write costs less than three. A longer one is written by itself.
pub const MAX_COPIED_VALUE: usize = 16 * 1024;
/// The bytes of a message beside the value that is copied into it.
const MESSAGE_BYTES: usize = 64;

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

    /// Keeps the memory granted for the response as far as its value needs it.
    pub fn keep_memory(&mut self, memory: Option<MemoryGrant>) {
        if let (Some(Value::Whole(value)), Some(mut memory)) = (&mut self.value, memory) {
            memory.try_resize(WholeValue::memory_needed(value.bytes.len()));
            value.memory = Some(memory);
        }
    }

    /// The result of an attempt that returned no value.
    pub fn without_value(outcome: AttemptOutcome) -> AttemptResult {
        AttemptResult { outcome, value: None }
    }
}

/// A value that an attempt returned.
pub enum Value {
    /// The complete value.
    Whole(WholeValue),
    /// A value that is too long to be held in memory as a whole.
    Streamed(StreamedValue),
}

/// A complete value.
pub struct WholeValue {
    /// The value.
    pub bytes: Bytes,
    /// The memory granted for it; `None` for a short one, which its request's memory covers.
    pub memory: Option<MemoryGrant>,
}

impl WholeValue {
    /// The memory that a value of this length needs until it is written.
    pub fn memory_needed(length: usize) -> usize {
        if length > MAX_COPIED_VALUE {
            length
        } else {
            // The value, and its copy in the message.
            2 * length + MESSAGE_BYTES
        }
    }
}

impl From<Bytes> for WholeValue {
    fn from(bytes: Bytes) -> WholeValue {
        WholeValue { bytes, memory: None }
    }
}

/// A piece of a streamed value.
pub struct Piece {
    /// The bytes of the piece.
    pub bytes: Bytes,
    /// The memory granted beyond what each stream has for a piece.
    pub memory: Option<MemoryGrant>,
}

/// A value that is received in chunks, as fast as they are taken. If the chunks end while `length`
/// is above 0, the host did not send the rest.
pub struct StreamedValue {
    /// The number of bytes that are still to come.
    pub length: usize,
    /// The chunks, in order.
    pub pieces: mpsc::Receiver<Piece>,
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
