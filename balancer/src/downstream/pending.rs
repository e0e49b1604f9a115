//! Replies that are yet to be written, in the order of their commands.

use std::collections::VecDeque;
use std::rc::Rc;

use basaltwood::policy::{may_begin_behind, EarlierReply};
use bytes::Bytes;
use tokio::sync::oneshot;

use super::reply::OutgoingReply;
use crate::invariants::{Invariant, Invariants};
use crate::metrics::ActiveRequest;
use crate::pipeline_slot::Clearance;
use crate::request::ClientRequest;
use crate::requests::{AnswerDelivery, FinalAnswer};

/// The reply to one command.
pub enum PendingReply {
    /// The reply is complete.
    Ready(Bytes),
    /// The request was rejected before it was read.
    Rejected { text: Bytes, request: Option<ActiveRequest> },
    /// The reply follows from a request's final answer, which is still awaited.
    Awaited(AwaitedReply),
}

/// A reply that follows from a request's final answer.
pub struct AwaitedReply {
    pub delivery: oneshot::Receiver<AnswerDelivery>,
    pub active: ActiveRequest,
    /// The request.
    pub request: Rc<ClientRequest>,
}

impl PendingReply {
    /// The request whose final answer the reply follows from, if it is still awaited.
    fn awaited_request(&self) -> Option<&Rc<ClientRequest>> {
        match self {
            PendingReply::Awaited(awaited) => Some(&awaited.request),
            PendingReply::Ready(_) | PendingReply::Rejected { .. } => None,
        }
    }
}

/// The replies that a client is owed behind the one that is being written.
#[derive(Default)]
pub struct PendingReplies {
    replies: VecDeque<PendingReply>,
}

impl PendingReplies {
    /// The number of replies.
    pub fn len(&self) -> usize {
        self.replies.len()
    }

    /// Whether no reply is owed.
    pub fn is_empty(&self) -> bool {
        self.replies.is_empty()
    }

    /// Adds the reply to the next command.
    pub fn push(&mut self, reply: PendingReply) {
        self.replies.push_back(reply);
    }

    /// The requests whose final answers are awaited.
    fn awaited_requests(&self) -> impl Iterator<Item = &Rc<ClientRequest>> {
        self.replies.iter().filter_map(PendingReply::awaited_request)
    }

    /// Whether the final answer of a request is awaited.
    pub fn awaits_answer(&self) -> bool {
        self.awaited_requests().next().is_some()
    }

    /// Lets the request of the first reply know that its answer is the client's next one.
    pub fn set_next(&self) {
        let first = self.replies.front().and_then(PendingReply::awaited_request);
        first.into_iter().for_each(|request| request.turn.set());
    }

    /// Lets those requests begin that may, by what is known of the replies before theirs: the one being
    /// written, and those that are pending.
    pub fn begin_requests(&self, being_written: EarlierReply) {
        let mut earlier = being_written;
        for (position, request) in self.awaited_requests().enumerate() {
            if request.slot.is_held() && may_begin_behind(earlier, request.must_be_told()) {
                request.slot.decide(Clearance::Given);
                self.awaited_requests().take(position).for_each(|before| before.slot.set_followed());
            }
            earlier = earlier.max(request.slot.reply());
        }
    }

    /// Whether a request waits for replies before its own.
    pub fn has_held(&self) -> bool {
        self.awaited_requests().any(|request| request.slot.is_held())
    }

    /// Tells the requests that wait for replies before theirs that they will not begin.
    pub fn refuse_held(&self) {
        let held = self.awaited_requests().filter(|request| request.slot.is_held());
        held.for_each(|request| request.slot.decide(Clearance::Refused));
    }

    /// The requests whose final answer is there and not written. Those that have none yet are abandoned once
    /// their client has left.
    pub fn answered_requests(&self) -> impl Iterator<Item = &Rc<ClientRequest>> {
        self.awaited_requests().filter(|request| request.is_finished())
    }

    /// How many requests may have run whose effect must not go untold, and are not answered.
    pub fn untold_effects(&self) -> usize {
        let is_untold =
            |request: &&Rc<ClientRequest>| request.must_be_told() && request.write_log.may_have_run();
        self.awaited_requests().filter(is_untold).count()
    }

    /// Takes the first reply off, if it is complete.
    pub fn take_ready(&mut self) -> Option<OutgoingReply> {
        let is_complete = |first: &mut PendingReply| first.awaited_request().is_none();
        match self.replies.pop_front_if(is_complete)? {
            PendingReply::Ready(text) => Some(OutgoingReply::ready(text)),
            PendingReply::Rejected { text, request } => Some(OutgoingReply::rejected(text, request)),
            PendingReply::Awaited(_) => None,
        }
    }

    /// Waits for the final answer that the first reply needs, and takes that reply off. A request that ended
    /// without a final answer, which is a bug, counts as failed.
    pub async fn next_awaited(&mut self, invariants: &Invariants) -> Option<OutgoingReply> {
        let delivered = match self.replies.front_mut() {
            Some(PendingReply::Awaited(awaited)) => (&mut awaited.delivery).await,
            _ => std::future::pending().await,
        };
        let delivery = delivered.unwrap_or_else(|_| {
            invariants.violated(Invariant::AnswerMissing, format_args!("a request ended unanswered"));
            AnswerDelivery { answer: FinalAnswer::Failed, memory: None }
        });
        match self.replies.pop_front() {
            Some(PendingReply::Awaited(awaited)) => Some(OutgoingReply::of_request(awaited, delivery)),
            _ => None,
        }
    }
}
