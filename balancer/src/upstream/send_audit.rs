//! Looks at each attempt again once it is written, by another account than the one that admitted
//! it: what was written of the request before, when its client left, since when its host drains. A
//! promise that is seen broken here is counted; nothing is ended by it.

use std::time::Duration;

use basaltwood::types::{AttemptNumber, Micros};
use tokio::time::Instant;

use super::Upstreams;
use crate::clock::duration;
use crate::invariants::Invariant;
use crate::request::ClientRequest;

#[cfg(test)]
mod tests;

/// A client's close is seen to within this time. Source: the operators' page on real days.
const DEPARTURE_SLACK: Duration = Duration::from_millis(100);
/// How long a process may be held up between its clock and a write, by the same page.
const STALL_SLACK: Duration = Duration::from_millis(150);

/// One attempt as it was written.
pub struct SentAttempt<'a> {
    pub request: &'a ClientRequest,
    pub number: AttemptNumber,
    pub first_byte_at: Instant,
    pub last_byte_at: Instant,
    /// The end of the attempt's time.
    pub deadline: Instant,
    /// The time that its host was told.
    pub stated: Micros,
    /// Since when its host drains.
    pub draining_since: Option<Instant>,
}

impl SentAttempt<'_> {
    /// The promises that it breaks.
    fn broken_promises(&self, drain_grace: Duration) -> Vec<Invariant> {
        let mut broken = Vec::new();
        let is_late = |since: Option<Instant>, slack| since.is_some_and(|at| self.first_byte_at > at + slack);
        if is_late(self.request.client.departed_at(), DEPARTURE_SLACK) {
            broken.push(Invariant::SentForDepartedClient);
        }
        if is_late(self.draining_since, drain_grace) {
            broken.push(Invariant::SentToDrainingHost);
        }
        if self.last_byte_at > self.deadline + STALL_SLACK {
            broken.push(Invariant::SentAfterDeadline);
        }
        if self.first_byte_at + duration(self.stated) > self.deadline + STALL_SLACK {
            broken.push(Invariant::StatedTimeTooLong);
        }
        if self.request.write_log.record(self.number, self.last_byte_at, self.request.retry_safety) {
            broken.push(Invariant::UnsafeRepeat);
        }
        broken
    }
}

impl Upstreams {
    /// Counts the promises that an attempt breaks which was just written.
    pub(super) fn audit(&self, sent: &SentAttempt<'_>) {
        for invariant in sent.broken_promises(duration(self.limits.drain_grace)) {
            let id = String::from_utf8_lossy(&sent.request.id);
            let context = format_args!("request {id}, attempt {}", sent.number.0);
            self.invariants.violated(invariant, context);
        }
    }
}
