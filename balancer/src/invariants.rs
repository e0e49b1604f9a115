//! Invariants that are checked while the process serves. A violation is counted under the
//! invariant's name and logged; it never ends a request or a connection and never panics.

use std::cell::Cell;
use std::fmt;

/// An invariant whose violation the process itself can detect; each variant names the violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Invariant {
    /// A connection was closed while replies were pending for a client that could receive them.
    ReplyOwedAtClose,
    /// A request ended without a final answer.
    AnswerMissing,
    /// A request got its final answer well after its deadline.
    AnswerLate,
    /// An attempt began more than 0.1 s after the client had closed its connection.
    SentForDepartedClient,
    /// An attempt was written after the request's deadline.
    SentAfterDeadline,
    /// A retry was written that could make the request take effect twice.
    UnsafeRepeat,
    /// An attempt was still out when it could take effect a second time.
    OutstandingPastWindow,
    /// An attempt was written to a draining host after the grace period.
    SentToDrainingHost,
    /// A host was given more time than the client has left.
    StatedTimeTooLong,
    /// A task of this process panicked.
    TaskPanicked,
    /// A reply ended with more or fewer bytes than its first line announced.
    ReplyLengthWrong,
}

impl Invariant {
    /// All invariants.
    pub const EACH: [Invariant; 11] = [
        Invariant::ReplyOwedAtClose,
        Invariant::AnswerMissing,
        Invariant::AnswerLate,
        Invariant::SentForDepartedClient,
        Invariant::SentAfterDeadline,
        Invariant::UnsafeRepeat,
        Invariant::OutstandingPastWindow,
        Invariant::SentToDrainingHost,
        Invariant::StatedTimeTooLong,
        Invariant::TaskPanicked,
        Invariant::ReplyLengthWrong,
    ];

    /// The invariant's name in the metrics and the log.
    pub fn name(self) -> &'static str {
        match self {
            Invariant::ReplyOwedAtClose => "reply_owed_at_close",
            Invariant::AnswerMissing => "answer_missing",
            Invariant::AnswerLate => "answer_late",
            Invariant::SentForDepartedClient => "sent_for_departed_client",
            Invariant::SentAfterDeadline => "sent_after_deadline",
            Invariant::UnsafeRepeat => "unsafe_repeat",
            Invariant::OutstandingPastWindow => "outstanding_past_window",
            Invariant::SentToDrainingHost => "sent_to_draining_host",
            Invariant::StatedTimeTooLong => "stated_time_too_long",
            Invariant::TaskPanicked => "task_panicked",
            Invariant::ReplyLengthWrong => "reply_length_wrong",
        }
    }
}

/// How often each invariant was violated.
#[derive(Default)]
pub struct Invariants {
    violations: [Cell<u64>; Invariant::EACH.len()],
}

impl Invariants {
    /// Counts and logs a violation; `context` names the request, attempt, host and times involved.
    pub fn violated(&self, invariant: Invariant, context: fmt::Arguments<'_>) {
        let count = &self.violations[invariant as usize];
        count.set(count.get() + 1);
        log::error!("invariant {} violated: {context}", invariant.name());
    }

    /// Each invariant with the number of its violations.
    pub fn counts(&self) -> impl Iterator<Item = (Invariant, u64)> + '_ {
        Invariant::EACH.into_iter().map(|invariant| (invariant, self.violations[invariant as usize].get()))
    }
}
