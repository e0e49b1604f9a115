//! Replies to a client, written in the order of its commands; long values are written in chunks.

use std::collections::VecDeque;
use std::io;
use std::rc::Rc;

use basaltwood::policy::EarlierReply;
use basaltwood::types::Micros;
use basaltwood_wire::resp;
use bytes::{Buf, Bytes};
use tokio::io::AsyncWrite;

use super::pending::AwaitedReply;
use super::reply_audit::ReplyAudit;
use crate::budget::MemoryGrant;
use crate::invariants::{Invariant, Invariants};
use crate::metrics::{ActiveRequest, RequestOutcome};
use crate::request::ClientRequest;
use crate::requests::{AnswerDelivery, FinalAnswer};
use crate::socket_io::{write_some, TcpSocket};
use crate::value::{Piece, StreamPart, StreamedValue, Value, WholeValue, MAX_COPIED_VALUE};

const MICROS_PER_MS: Micros = 1_000;

/// The reply that is being written, with its request and that request's outcome.
#[derive(Default)]
pub struct OutgoingReply {
    /// Bytes that can be written now.
    text: Bytes,
    /// The bytes that follow the text.
    rest: VecDeque<Bytes>,
    /// The rest of a long value, which follows the text.
    stream: Option<StreamedValue>,
    /// The memory of the reply, or of the piece of a long value that is being written.
    memory: Option<MemoryGrant>,
    active: Option<(ActiveRequest, RequestOutcome)>,
    /// The request that is answered, until the reply is written.
    request: Option<Rc<ClientRequest>>,
    audit: ReplyAudit,
    /// Whether the reply is a long value that is passed on as it comes.
    is_long_value: bool,
}

/// The result of a step of writing.
pub enum OutputEvent {
    /// The number of bytes written.
    Wrote(io::Result<usize>),
    /// The next chunk of a long value can be written.
    ChunkReady,
    /// The host did not send the rest of a long value, or the length in its head is wrong.
    StreamBroken,
}

/// What writing to a client led to.
pub enum ReplyProgress {
    /// Bytes of the reply are left.
    Continues,
    /// The reply was written as its first line announced it; it is that to this request.
    Complete(Option<Rc<ClientRequest>>),
    /// The reply ended with another length than its first line announced: the client can't tell where the
    /// next reply begins.
    LengthWrong,
}

impl OutgoingReply {
    /// Creates a reply from its complete text.
    pub fn ready(text: Bytes) -> OutgoingReply {
        OutgoingReply { text, ..OutgoingReply::default() }
    }

    /// Creates the reply to a request that was rejected before it was read; `None` for the request if its class
    /// is unknown.
    pub fn rejected(text: Bytes, request: Option<ActiveRequest>) -> OutgoingReply {
        let active = request.map(|active| (active, RequestOutcome::Shed));
        OutgoingReply { active, ..OutgoingReply::ready(text) }
    }

    /// Creates the reply with a request's final answer.
    pub fn of_request(awaited: AwaitedReply, delivery: AnswerDelivery) -> OutgoingReply {
        let AnswerDelivery { answer, memory } = delivery;
        let (mut reply, outcome) = match answer {
            FinalAnswer::Succeeded(value) => (OutgoingReply::of_value(value), RequestOutcome::Ok),
            FinalAnswer::Rejected { retry_after } => {
                (OutgoingReply::ready(encode_rejection(retry_after)), RequestOutcome::Shed)
            }
            FinalAnswer::Failed => {
                (OutgoingReply::ready(resp::encode_error("dead-lettered")), RequestOutcome::Error)
            }
        };
        reply.memory = reply.memory.or(memory);
        reply.active = Some((awaited.active, outcome));
        reply.request = Some(awaited.request);
        reply
    }

    /// The reply with this value: its first line and everything that the line announces.
    fn of_value(value: Value) -> OutgoingReply {
        match value {
            Value::Whole(value) => OutgoingReply::of_whole_value(value),
            Value::Streamed(stream) => OutgoingReply {
                text: resp::encode_bulk_head(stream.length),
                stream: Some(stream),
                is_long_value: true,
                ..OutgoingReply::default()
            },
        }
    }

    fn of_whole_value(value: WholeValue) -> OutgoingReply {
        let (bytes, memory) = value.into_reply();
        let (text, rest) = if bytes.len() <= MAX_COPIED_VALUE {
            (resp::encode_bulk(&bytes), VecDeque::new())
        } else {
            let head = resp::encode_bulk_head(bytes.len());
            (head, VecDeque::from([bytes, Bytes::from_static(resp::CRLF)]))
        };
        OutgoingReply { text, rest, memory, ..OutgoingReply::default() }
    }

    /// Whether nothing is left to write.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty() && self.rest.is_empty() && self.stream.is_none()
    }

    /// Whether there are bytes that can be written now.
    pub fn has_text(&self) -> bool {
        !self.text.is_empty()
    }

    /// The request whose reply is not yet written in full.
    pub fn request(&self) -> Option<&Rc<ClientRequest>> {
        self.request.as_ref()
    }

    /// What is known of this reply for requests behind it.
    pub fn as_earlier_reply(&self) -> EarlierReply {
        match self.stream {
            Some(_) => EarlierReply::Streamed,
            None => EarlierReply::Whole,
        }
    }

    /// Whether the reply is a long value that is passed on as it comes, up to its last byte.
    pub fn is_long_value(&self) -> bool {
        self.is_long_value
    }

    /// Whether the rest of a long value is still awaited from the host.
    pub fn is_streaming(&self) -> bool {
        self.stream.is_some()
    }

    /// Writes some of the text, or waits for the next chunk if all of the text is written.
    pub async fn advance(&mut self, writer: &mut (impl AsyncWrite + TcpSocket + Unpin)) -> OutputEvent {
        if self.text.is_empty() {
            return self.next_chunk().await;
        }
        OutputEvent::Wrote(write_some(writer, &self.text).await)
    }

    /// Records that `count` bytes were written. With the last byte of the reply the request has
    /// ended for its client.
    pub fn written(&mut self, count: usize, invariants: &Invariants) -> ReplyProgress {
        self.audit.written(&self.text, count);
        self.text.advance(count);
        if self.text.is_empty() {
            self.text = self.rest.pop_front().unwrap_or_default();
        }
        if !self.is_empty() {
            return ReplyProgress::Continues;
        }
        self.memory = None;
        if self.audit.is_as_announced() {
            return ReplyProgress::Complete(self.end_request());
        }
        invariants.violated(Invariant::ReplyLengthWrong, format_args!("{}", self.audit));
        self.fail_request();
        ReplyProgress::LengthWrong
    }

    fn end_request(&mut self) -> Option<Rc<ClientRequest>> {
        if let Some((active, outcome)) = self.active.take() {
            active.finish(outcome);
        }
        self.request.take()
    }

    /// Ends the request as failed, whatever its answer was.
    fn fail_request(&mut self) {
        if let Some((active, _)) = self.active.take() {
            active.finish(RequestOutcome::Error);
        }
    }

    /// Makes the next chunk of a long value the text, or the terminator once the value is known to be
    /// whole. Otherwise the request has failed, and the client learns it from the close of its
    /// connection: a bulk string without its terminator is not whole.
    async fn next_chunk(&mut self) -> OutputEvent {
        let Some(stream) = &mut self.stream else { return std::future::pending().await };
        match stream.parts.recv().await {
            Some(StreamPart::Piece(Piece { bytes, memory })) => {
                self.text = bytes;
                self.memory = memory;
                OutputEvent::ChunkReady
            }
            Some(StreamPart::End) => {
                self.text = Bytes::from_static(resp::CRLF);
                self.stream = None;
                self.memory = None;
                OutputEvent::ChunkReady
            }
            None => {
                self.fail_request();
                OutputEvent::StreamBroken
            }
        }
    }
}

/// Encodes a rejection, with the time in milliseconds after which a retry makes sense, if there is one.
pub fn encode_rejection(retry_after: Option<Micros>) -> Bytes {
    match retry_after {
        Some(time) => Bytes::from(format!("-BUSY {}\r\n", time / MICROS_PER_MS)),
        None => Bytes::from_static(b"-BUSY\r\n"),
    }
}
