//! What a client asked, and how a push of it ended: the types that ops, cache hosts and origin share.

use basaltwood::types::{AttemptOutcome, Micros};
use basaltwood_wire::facts;
use basaltwood_wire::resp::MOST_VALUE;
use bytes::Bytes;
use tokio::sync::{mpsc, watch};

use crate::budget::ValuePermit;

/// How a push ended, and the value where it brought one.
pub type AttemptResult = (AttemptOutcome, Option<Value>);

/// A value that a push brought.
pub enum Value {
    Whole(Bytes),
    Streamed(StreamedValue),
}

/// A value past what is held whole: it comes in pieces, as they are taken. Where they end before its length is reached,
/// the host did not give the rest.
pub struct StreamedValue {
    pub length: usize,
    pub pieces: mpsc::Receiver<Bytes>,
}

/// What a client asked, in its own bytes.
pub struct ClientRequest {
    pub command: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    /// Names and values: the category, how long the client waits, and more.
    pub facts: Bytes,
    /// What is to be written, in segments.
    pub value: Option<Vec<Bytes>>,
    /// The memory that a long one was given.
    pub _room: Option<ValuePermit>,
    /// The op has its final answer, or nobody waits for one: nothing more may be sent.
    pub finished: watch::Sender<bool>,
}

impl ClientRequest {
    /// The value where it is too long to be copied into a command: its length and its segments.
    pub fn long(&self) -> Option<(usize, &[Bytes])> {
        let segments = self.value.as_deref()?;
        let length = segments.iter().map(Bytes::len).sum();
        Some((length, segments)).filter(|_| length > MOST_VALUE)
    }

    /// The value in one piece, where it is short.
    pub fn short(&self) -> Option<Bytes> {
        let segments = self.value.as_ref().filter(|_| self.long().is_none())?;
        Some(match &segments[..] {
            [one] => one.clone(),
            several => Bytes::from(several.concat()),
        })
    }

    /// Waits until the op is over.
    pub async fn ended(&self) {
        // The sender is our own, so this can't fail.
        let _ = self.finished.subscribe().wait_for(|finished| *finished).await;
    }

    /// The names and values as they came, but for how long this push may wait.
    pub fn facts(&self, within: Micros) -> Bytes {
        facts::with_wait(&self.facts, (within / 1000).max(1) as u64)
    }
}
