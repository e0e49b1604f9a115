//! Checks the invariants of each attempt once it is written, independently of the code that
//! permitted it: by the attempts written before, when the client left, and since when the host
//! drains. Violations are counted and logged; nothing is ended because of them.

use std::time::Duration;

use basaltwood::types::{AttemptNumber, Micros};
use tokio::time::Instant;

use super::Upstreams;
use crate::clock::duration;
use crate::invariants::Invariant;
use crate::outstanding::OutstandingAttempt;
use crate::request::ClientRequest;

#[cfg(test)]
mod tests;

/// A client's close is handled within this time. Source: the operators' requirements.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// How long a process may be held up between reading its clock and a write; same source.
const STALL_SLACK: Duration = Duration::from_millis(150);

/// One attempt as it was written.
pub struct SentAttempt<'a> {
    pub request: &'a ClientRequest,
    pub number: AttemptNumber,
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
    /// When the attempt times out.
    pub deadline: Instant,
    /// The time left that the request stated to the host.
    pub stated_time: Micros,
    /// When its host began to drain, if it did.
    pub draining_since: Option<Instant>,
}

impl SentAttempt<'_> {
    /// The invariants that the attempt violates.
    fn violations(&self, drain_grace: Duration) -> Vec<Invariant> {
        let mut violations = Vec::new();
        let is_late = |since: Option<Instant>, slack| since.is_some_and(|at| self.first_byte_at > at + slack);
        if is_late(self.request.client.departed_at(), DEPARTURE_SLACK) {
            violations.push(Invariant::SentForDepartedClient);
        }
        if is_late(self.draining_since, drain_grace) {
            violations.push(Invariant::SentToDrainingHost);
        }
        if self.last_byte_at > self.deadline + STALL_SLACK {
            violations.push(Invariant::SentAfterDeadline);
        }
        if self.first_byte_at + duration(self.stated_time) > self.deadline + STALL_SLACK {
            violations.push(Invariant::StatedTimeTooLong);
        }
        if self.request.write_log.record(self.number, self.last_byte_at, self.request.retry_safety) {
            violations.push(Invariant::UnsafeRepeat);
        }
        violations
    }
}

impl Upstreams {
    /// Counts and checks an attempt that is cancelled because it could take effect a second time.
    pub(super) fn audit_cancelled(&self, outstanding: &OutstandingAttempt) {
        self.counters.attempts_overdue.add();
        if let Some(overdue_by) = outstanding.overdue_by().map(duration).filter(|late| *late > STALL_SLACK) {
            let context = format_args!("an attempt is cancelled {} ms late", overdue_by.as_millis());
            self.invariants.violated(Invariant::OutstandingPastWindow, context);
        }
    }

    /// Counts the invariants that an attempt violates, once it is written.
    pub(super) fn audit(&self, sent: &SentAttempt<'_>) {
        for invariant in sent.violations(duration(self.limits.drain_grace)) {
            let id = String::from_utf8_lossy(&sent.request.id);
            let context = format_args!("request {id}, attempt {}", sent.number.0);
            self.invariants.violated(invariant, context);
        }
    }
}
