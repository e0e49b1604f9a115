//! Responses whose value is read apart from their head: into memory granted for it, or passed on as it comes.

use basaltwood::policy::EarlierReply;
use basaltwood::types::{AttemptOutcome, Micros};
use basaltwood_wire::resp::MAX_BUFFERED_VALUE;
use bytes::Bytes;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep_until, timeout_at};

use super::checkout::CheckedOut;
use super::duplicates::ResponseFingerprint;
use super::exchange::Exchange;
use super::messages::{Trailer, ValueHead, WholeResponse};
use super::streaming::ValueStream;
use super::value::{collect_value, CollectedValue, GrantedBytes, ValueError};
use super::{UpstreamEvent, Upstreams};
use crate::answer_turn::AnswerTurn;
use crate::budget::MemoryGrant;
use crate::request::AttemptResult;
use crate::value::{StreamedValue, Value, WholeValue};

impl Upstreams {
    /// Waits for the memory of a response. One whose client first has to take others may use only a
    /// part of it.
    pub(super) async fn response_memory(&self, bytes: usize, turn: &AnswerTurn) -> MemoryGrant {
        let memory = &self.budget.memory;
        loop {
            if let Some(grant) = memory.try_grant_response(bytes, turn.has_come()) {
                return grant;
            }
            tokio::select! {
                () = memory.freed.notified() => {}
                () = turn.comes(), if !turn.has_come() => {}
            }
        }
    }
}

impl Exchange<'_> {
    /// Whether the value is passed on as it comes. The receipt of a write is not: requests behind it
    /// begin without waiting for it.
    pub(super) fn is_streamed(&self, head: &ValueHead) -> bool {
        head.length > MAX_BUFFERED_VALUE && self.request.value.is_none()
    }

    /// Handles the head of a value that is to be passed on as it comes. From now on no request begins
    /// behind it. Requests behind it that have begun would get no answer if it broke off: if there are
    /// any, and there is memory, it is held back until it is whole.
    pub(super) async fn hold_or_stream(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        head: ValueHead,
    ) -> AttemptResult {
        let slot = &self.request.slot;
        slot.set_reply(EarlierReply::Streamed);
        self.upstreams.pools.borrow_mut().response_begun(now, checked_out.id());
        if let Some(connection) = checked_out.connection() {
            connection.buffer.consume(head.start);
        }
        let bytes = WholeValue::memory_needed(head.length);
        let is_next = self.request.turn.has_come();
        let memory = match slot.is_followed() {
            true => self.upstreams.budget.memory.try_grant_response(bytes, is_next),
            false => None,
        };
        match memory {
            // If it breaks off, or is not whole in the attempt's time, the attempt has failed as one with a
            // short value does, and the replies behind it follow.
            Some(memory) => self.read_whole(checked_out, head, Some(memory)).await,
            None => self.stream(checked_out, head),
        }
    }

    /// Starts a task that passes on a long value.
    fn stream(&self, mut checked_out: CheckedOut<'_>, head: ValueHead) -> AttemptResult {
        let Some(connection) = checked_out.take() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        let (sender, parts) = mpsc::channel(1);
        let ValueHead { length, ending, .. } = head;
        let (host, id) = (self.target.host, checked_out.id());
        let stream = ValueStream { host, id, connection, length, ending };
        spawn_local(self.upstreams.clone().stream_value(stream, sender));
        AttemptResult::succeeded(Value::Streamed(StreamedValue { length, parts }))
    }

    /// Reads a value whose head was read into memory granted for it. Until it is granted, the value
    /// stays in the system's buffers. Nothing is granted once the request is over: the value is then
    /// read only to use the connection again.
    pub(super) async fn collect(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        head: ValueHead,
    ) -> AttemptResult {
        // The host has responded, however long its value waits here.
        self.upstreams.pools.borrow_mut().response_begun(now, checked_out.id());
        let memory = tokio::select! {
            biased;
            () = self.request.wait_finished() => None,
            memory = self.value_memory(WholeValue::memory_needed(head.length)) => Some(memory),
            () = sleep_until(self.deadline_at()) => return self.without_memory(),
        };
        let Some(connection) = checked_out.connection() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        connection.buffer.consume(head.start);
        self.read_whole(checked_out, head, memory).await
    }

    /// Reads a value, whose first bytes are next, up to its end or until the attempt's time is over. Without
    /// memory it is discarded.
    async fn read_whole(
        &self,
        mut checked_out: CheckedOut<'_>,
        head: ValueHead,
        memory: Option<MemoryGrant>,
    ) -> AttemptResult {
        let Some(connection) = checked_out.connection() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        let collected = collect_value(connection, head.length, memory, head.ending);
        let collected = timeout_at(self.deadline_at(), collected).await;
        let now = self.upstreams.clock.now();
        match collected {
            Err(_) => AttemptResult::without_value(self.value_timed_out(now, checked_out)),
            Ok(Err(failure)) => AttemptResult::without_value(self.value_failed(now, checked_out, failure)),
            Ok(Ok(CollectedValue { value, trailer })) => self.collected(now, checked_out, value, trailer),
        }
    }

    /// Handles a value that was read whole with what follows it; `None` if it was discarded.
    fn collected(
        &self,
        now: Micros,
        checked_out: CheckedOut<'_>,
        value: Option<GrantedBytes>,
        trailer: Trailer,
    ) -> AttemptResult {
        let fingerprint = value.as_ref().map(|value| ResponseFingerprint::of(&value.bytes, self.request));
        let (value, memory) = match value {
            Some(GrantedBytes { bytes, memory }) => (bytes, Some(memory)),
            None => (Bytes::new(), None),
        };
        let Trailer { length, reusable } = trailer;
        let response =
            WholeResponse { outcome: AttemptOutcome::Succeeded, value: Some(value), length, reusable };
        self.answered(now, checked_out, response, memory, fingerprint, false)
    }

    /// Ends the attempt because its value could not be read.
    fn value_failed(&self, now: Micros, checked_out: CheckedOut<'_>, failure: ValueError) -> AttemptOutcome {
        match failure {
            ValueError::ConnectionEnded => self.connection_lost(now, checked_out),
            ValueError::Invalid => AttemptOutcome::Error,
        }
    }

    /// Waits for the memory of a value. The wait is this balancer's: it counts neither against the
    /// host nor in its latency.
    async fn value_memory(&self, bytes: usize) -> MemoryGrant {
        let (upstreams, turn) = (self.upstreams, &self.request.turn);
        if let Some(memory) = upstreams.budget.memory.try_grant_response(bytes, turn.has_come()) {
            return memory;
        }
        upstreams.record_event(UpstreamEvent::AttemptWaits(self.attempt));
        let memory = upstreams.response_memory(bytes, turn).await;
        upstreams.record_event(UpstreamEvent::AttemptProceeds(self.attempt));
        memory
    }

    /// Ends the attempt in the middle of a value, whose rest is not waited for.
    fn value_timed_out(&self, now: Micros, mut checked_out: CheckedOut<'_>) -> AttemptOutcome {
        let id = checked_out.id();
        drop(checked_out.take());
        let mut pools = self.upstreams.pools.borrow_mut();
        if pools.attempt_timed_out(now, id).await_late_response {
            pools.late_response(now, id, false);
        }
        drop(pools);
        self.upstreams.perform_pool_actions();
        AttemptOutcome::TimedOut
    }
}
