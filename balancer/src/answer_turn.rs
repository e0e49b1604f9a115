//! Whether a request's answer is the next one that its client gets. Answers are written in the order
//! of their commands, so one that has to wait for others must not hold the memory that they need.

use std::cell::Cell;

use tokio::sync::Notify;

/// The turn of one request's answer.
#[derive(Default)]
pub struct AnswerTurn {
    has_come: Cell<bool>,
    comes: Notify,
}

impl AnswerTurn {
    /// Whether the answer is the next one of its client.
    pub fn has_come(&self) -> bool {
        self.has_come.get()
    }

    /// Records that the answer is the next one of its client.
    pub fn set(&self) {
        if !self.has_come.replace(true) {
            self.comes.notify_waiters();
        }
    }

    /// Waits until an answer that is not yet the next one of its client becomes it.
    pub async fn comes(&self) {
        self.comes.notified().await;
    }
}
