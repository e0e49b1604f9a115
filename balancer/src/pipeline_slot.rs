//! The place of a request among those of its client's connection: whether it may begin, and what is
//! known of its reply for those behind it. Shared by the connection, which writes replies in order, and
//! the request.

use std::cell::Cell;
use std::rc::Rc;

use basaltwood::policy::EarlierReply;
use tokio::sync::Notify;

/// Whether a request may begin.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Clearance {
    /// Not yet, because of a reply before its own.
    #[default]
    Held,
    /// It may begin, or has.
    Given,
    /// It will not begin: the process ends.
    Refused,
}

/// The place of one request.
pub struct PipelineSlot {
    clearance: Cell<Clearance>,
    clearance_changed: Notify,
    reply: Cell<EarlierReply>,
    /// Whether a request behind this one has begun.
    is_followed: Cell<bool>,
    /// Notified when more is known of a reply of this connection.
    replies_changed: Rc<Notify>,
}

impl PipelineSlot {
    /// Creates the place of a request that has not begun. A write's receipt is never streamed.
    pub fn new(is_write: bool, replies_changed: Rc<Notify>) -> PipelineSlot {
        let reply = if is_write { EarlierReply::Whole } else { EarlierReply::MayBeStreamed };
        PipelineSlot {
            clearance: Cell::default(),
            clearance_changed: Notify::new(),
            reply: Cell::new(reply),
            is_followed: Cell::default(),
            replies_changed,
        }
    }

    /// Whether the request waits for replies before its own.
    pub fn is_held(&self) -> bool {
        self.clearance.get() == Clearance::Held
    }

    /// Lets the request begin, or tells it that it will not.
    pub fn decide(&self, clearance: Clearance) {
        self.clearance.set(clearance);
        self.clearance_changed.notify_one();
    }

    /// Waits until it is decided whether the request may begin.
    pub async fn decided(&self) -> Clearance {
        loop {
            match self.clearance.get() {
                Clearance::Held => self.clearance_changed.notified().await,
                decided => return decided,
            }
        }
    }

    /// What is known of the request's reply.
    pub fn reply(&self) -> EarlierReply {
        self.reply.get()
    }

    /// Records what is known of the request's reply.
    pub fn set_reply(&self, reply: EarlierReply) {
        self.reply.set(reply);
        self.replies_changed.notify_one();
    }

    /// Records that a request behind this one has begun.
    pub fn set_followed(&self) {
        self.is_followed.set(true);
    }

    /// Whether a request behind this one has begun: it gets no answer if this one's value breaks off while
    /// it is passed on.
    pub fn is_followed(&self) -> bool {
        self.is_followed.get()
    }
}
