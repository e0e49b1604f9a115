//! What a client is answered: replies in the order of its commands, long values in chunks.

use std::collections::VecDeque;
use std::io;

use basaltwood_wire::resp;
use bytes::{Buf, Bytes};
use tokio::io::AsyncWrite;
use tokio::sync::oneshot;

use crate::invariants::{Invariant, Invariants};
use crate::metrics::{ActiveRequest, RequestOutcome};
use crate::request::{StreamedValue, Value};
use crate::requests::{AnswerDelivery, FinalAnswer};
use crate::socket_io::{write_some, TcpSocket};

/// The reply to one command.
pub enum PendingReply {
    /// It is there.
    Ready(Bytes),
    /// It comes with the final answer to a request.
    Awaited(oneshot::Receiver<AnswerDelivery>, ActiveRequest),
}

/// The reply that is being written, and what it means for its request.
#[derive(Default)]
pub struct OutgoingReply {
    text: Bytes,
    /// What follows the text, of a long value.
    stream: Option<StreamedValue>,
    request: Option<(ActiveRequest, RequestOutcome)>,
}

/// What came of writing.
pub enum OutputEvent {
    /// So many bytes were written.
    Wrote(io::Result<usize>),
    /// The next chunk of a long value is there.
    ChunkReady,
    /// The host does not give the rest of a long value.
    StreamBroken,
}

impl OutgoingReply {
    /// A reply that is there as a whole.
    pub fn ready(text: Bytes) -> OutgoingReply {
        OutgoingReply { text, ..OutgoingReply::default() }
    }

    fn of_request(request: ActiveRequest, answer: FinalAnswer) -> OutgoingReply {
        let outcome = match &answer {
            FinalAnswer::Succeeded(_) => RequestOutcome::Ok,
            FinalAnswer::Rejected { .. } => RequestOutcome::Shed,
            FinalAnswer::Failed => RequestOutcome::Error,
        };
        let text = encode(&answer);
        let stream = match answer {
            FinalAnswer::Succeeded(Value::Streamed(stream)) => Some(stream),
            _ => None,
        };
        OutgoingReply { text, stream, request: Some((request, outcome)) }
    }

    /// Whether nothing is left to write.
    pub fn is_empty(&self) -> bool {
        self.text.is_empty() && self.stream.is_none()
    }

    /// Whether bytes are there to be written now.
    pub fn has_text(&self) -> bool {
        !self.text.is_empty()
    }

    /// Whether more of a long value is to come.
    pub fn is_streaming(&self) -> bool {
        self.stream.is_some()
    }

    /// The bytes held for the client; those of a stream are accounted for by its window.
    pub fn held_bytes(&self) -> usize {
        if self.is_streaming() {
            0
        } else {
            self.text.len()
        }
    }

    /// Writes some of the text, or waits for the next chunk where all of that is written.
    pub async fn advance(&mut self, writer: &mut (impl AsyncWrite + TcpSocket + Unpin)) -> OutputEvent {
        if self.text.is_empty() {
            return self.next_chunk().await;
        }
        OutputEvent::Wrote(write_some(writer, &self.text).await)
    }

    /// So many bytes were written. With the last one the request has ended for its client.
    pub fn written(&mut self, count: usize) {
        self.text.advance(count);
        if self.is_empty() {
            self.end_request();
        }
    }

    fn end_request(&mut self) {
        if let Some((request, outcome)) = self.request.take() {
            request.finish(outcome);
        }
    }

    /// The next chunk of a long value becomes the text, and its terminator after the last one.
    /// Where the host does not give the rest the request has failed, and the client can tell by its
    /// connection's end.
    async fn next_chunk(&mut self) -> OutputEvent {
        let Some(stream) = &mut self.stream else { return std::future::pending().await };
        if stream.length == 0 {
            self.text = Bytes::from_static(resp::CRLF);
            self.stream = None;
            return OutputEvent::ChunkReady;
        }
        match stream.pieces.recv().await {
            Some(chunk) => {
                stream.length -= chunk.len();
                self.text = chunk;
                OutputEvent::ChunkReady
            }
            None => {
                self.request = self.request.take().map(|(request, _)| (request, RequestOutcome::Error));
                self.end_request();
                OutputEvent::StreamBroken
            }
        }
    }
}

/// Takes the first reply off the queue, if it is there.
pub fn take_ready(pending: &mut VecDeque<PendingReply>) -> Option<OutgoingReply> {
    match pending.pop_front_if(|first| matches!(first, PendingReply::Ready(_)))? {
        PendingReply::Ready(text) => Some(OutgoingReply::ready(text)),
        PendingReply::Awaited(..) => None,
    }
}

/// Waits for the final answer that the first reply of the queue needs, and takes it off. A request
/// that ended without one, which is a fault of this program, has failed.
pub async fn next_awaited(
    pending: &mut VecDeque<PendingReply>,
    invariants: &Invariants,
) -> Option<OutgoingReply> {
    let delivered = match pending.front_mut() {
        Some(PendingReply::Awaited(delivery, _)) => delivery.await,
        _ => std::future::pending().await,
    };
    let answer = delivered.map(|delivery| delivery.answer).unwrap_or_else(|_| {
        invariants.violated(Invariant::AnswerMissing, format_args!("a request ended unanswered"));
        FinalAnswer::Failed
    });
    match pending.pop_front() {
        Some(PendingReply::Awaited(_, request)) => Some(OutgoingReply::of_request(request, answer)),
        _ => None,
    }
}

/// A final answer as RESP2; of a long value its head.
fn encode(answer: &FinalAnswer) -> Bytes {
    match answer {
        FinalAnswer::Succeeded(Value::Whole(value)) => resp::encode_bulk(value),
        FinalAnswer::Succeeded(Value::Streamed(stream)) => resp::encode_bulk_head(stream.length),
        FinalAnswer::Rejected { retry_after: Some(span) } => {
            Bytes::from(format!("-BUSY {}\r\n", span / 1000))
        }
        FinalAnswer::Rejected { retry_after: None } => Bytes::from_static(b"-BUSY\r\n"),
        FinalAnswer::Failed => resp::encode_error("dead-lettered"),
    }
}
