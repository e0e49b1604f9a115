//! What a client asked, and how a push of it ended: the types that ops, cache hosts and origin share.

use basaltwood::types::{End, Micros};
use basaltwood_wire::facts;
use bytes::Bytes;
use tokio::sync::watch;

/// How a push ended, and the value where it brought one.
pub type Outcome = (End, Option<Bytes>);

/// What a client asked, in its own bytes.
pub struct Request {
    pub command: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    /// Names and values: the category, how long the client waits, and more.
    pub facts: Bytes,
    pub value: Option<Bytes>,
    /// The op has its final answer, or nobody waits for one: nothing more may be sent.
    pub over: watch::Sender<bool>,
}

impl Request {
    /// Waits until the op is over.
    pub async fn ended(&self) {
        // The sender is our own, so this can't fail.
        let _ = self.over.subscribe().wait_for(|over| *over).await;
    }

    /// The names and values as they came, but for how long this push may wait.
    pub fn facts(&self, within: Micros) -> Bytes {
        facts::with_wait(&self.facts, (within / 1000).max(1) as u64)
    }
}
