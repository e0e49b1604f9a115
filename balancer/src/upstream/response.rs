//! The second half of an exchange: reads the response to a request that was written.
//!
//! A value longer than the few bytes that each connection has is read into memory that was granted
//! for it; meanwhile it stays in the system's buffers.

use basaltwood::types::{AttemptKey, AttemptOutcome, Micros};
use basaltwood_connection_pool::{ConnectionId, Fault};
use basaltwood_wire::resp::{MAX_BUFFERED_MESSAGE, MAX_BUFFERED_VALUE};
use bytes::Bytes;
use tokio::time::{timeout_at, Instant};

use super::checkout::CheckedOut;
use super::connection::ConnectionHistory;
use super::duplicates::ResponseFingerprint;
use super::exchange::Exchange;
use super::late::LateResponse;
use super::messages::{ParsedResponse, WholeResponse};
use super::SurplusPlace;
use crate::budget::MemoryGrant;
use crate::outstanding::OutstandingAttempt;
use crate::read;
use crate::request::AttemptResult;
use crate::value::{Value, WholeValue};

/// The memory for a response whose length is unknown until it is whole: the read buffer, and the
/// value that is copied out of it.
const UNKNOWN_LENGTH_BYTES: usize = MAX_BUFFERED_MESSAGE + MAX_BUFFERED_VALUE;

impl Exchange<'_> {
    /// Reads until the response is complete or the attempt ends without one.
    pub(super) async fn read(
        &self,
        mut checked_out: CheckedOut<'_>,
        outstanding: OutstandingAttempt,
    ) -> AttemptResult {
        let deadline = self.deadline_at();
        let mut memory = None;
        loop {
            let Some(connection) = checked_out.connection() else {
                return AttemptResult::without_value(AttemptOutcome::NotSent);
            };
            if !connection.has_room() && memory.is_none() {
                let Some(granted) = self.memory_for_unknown_length(deadline).await else {
                    return self.without_memory();
                };
                memory = Some(granted);
            }
            let (mut reader, writer) = connection.stream.split();
            let filled = tokio::select! {
                biased;
                filled = timeout_at(deadline, read(&mut reader, &mut connection.buffer)) => filled,
                () = outstanding.wait_overdue(writer.as_ref(), &connection.delivery_limit) => {
                    return AttemptResult::without_value(self.overdue(&outstanding));
                }
            };
            let now = self.upstreams.clock.now();
            match filled {
                Err(_) => return AttemptResult::without_value(self.timed_out(now, checked_out, outstanding)),
                Ok(Ok(0) | Err(_)) => {
                    return AttemptResult::without_value(self.connection_lost(now, checked_out))
                }
                Ok(Ok(_)) => {}
            }
            match (self.parse_response)(connection.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some(ParsedResponse::ValueHead(head))) if self.is_streamed(&head) => {
                    return self.hold_or_stream(now, checked_out, head).await
                }
                Ok(Some(ParsedResponse::ValueHead(head))) => {
                    return self.collect(now, checked_out, head).await
                }
                Ok(Some(ParsedResponse::Whole(response))) => {
                    return self.answered_whole(now, checked_out, response, memory);
                }
                Err(cause) => {
                    log::debug!("host {}: invalid response: {cause}", self.target.host.0);
                    return AttemptResult::without_value(AttemptOutcome::Error);
                }
            }
        }
    }

    /// Cancels the attempt, since it could take effect a second time: its connection is reset when
    /// the caller drops it, which is no evidence about the host.
    fn overdue(&self, outstanding: &OutstandingAttempt) -> AttemptOutcome {
        let AttemptKey { request, number } = self.attempt;
        log::debug!(
            request = request.0, attempt = number.0, host = self.target.host.0;
            "attempt cancelled before the deduplication window of another one ends"
        );
        self.upstreams.audit_cancelled(outstanding);
        AttemptOutcome::Cancelled
    }

    /// Ends the attempt with a timeout; its connection may still be read for a late response.
    fn timed_out(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        outstanding: OutstandingAttempt,
    ) -> AttemptOutcome {
        let connection = checked_out.take();
        let id = checked_out.id();
        let verdict = self.upstreams.pools.borrow_mut().attempt_timed_out(now, id);
        if let Some(connection) = connection.filter(|_| verdict.await_late_response) {
            let awaited = LateResponse {
                host: self.target.host,
                id,
                connection,
                parse_response: self.parse_response,
                outstanding,
            };
            self.upstreams.await_late_response(awaited);
        }
        AttemptOutcome::TimedOut
    }

    /// Ends the attempt because its connection ended before the response did.
    pub(super) fn connection_lost(&self, now: Micros, mut checked_out: CheckedOut<'_>) -> AttemptOutcome {
        drop(checked_out.take());
        let fault = self.upstreams.pools.borrow_mut().connection_lost(now, checked_out.id());
        self.upstreams.perform_pool_actions();
        let AttemptKey { request, number } = self.attempt;
        log::debug!(
            request = request.0, attempt = number.0, host = self.target.host.0, connection = checked_out.id().0,
            fault:?;
            "connection ended under an attempt"
        );
        match fault {
            Fault::Connection => AttemptOutcome::ConnectionFault,
            Fault::Host => AttemptOutcome::ConnectionLost,
        }
    }

    /// Ends the attempt because no memory was free for its response in time, which is no evidence about
    /// the host.
    pub(super) fn without_memory(&self) -> AttemptResult {
        self.upstreams.counters.responses_without_memory.add();
        AttemptResult::without_value(AttemptOutcome::Cancelled)
    }

    /// The attempt's result by what was parsed, with the memory that was granted for it.
    fn result(
        &self,
        outcome: AttemptOutcome,
        value: Option<Bytes>,
        memory: Option<MemoryGrant>,
    ) -> AttemptResult {
        let Some(bytes) = value else { return AttemptResult::without_value(outcome) };
        match WholeValue::new(bytes, memory) {
            Ok(value) => AttemptResult { outcome, value: Some(Value::Whole(value)) },
            Err(cause) => {
                let AttemptKey { request, number } = self.attempt;
                log::warn!(request = request.0, attempt = number.0, host = self.target.host.0, cause:%; "response dropped");
                self.without_memory()
            }
        }
    }

    /// Waits for the memory of a response that is not parsed until it is whole; `None` if there is
    /// none by the deadline, when the attempt ends.
    async fn memory_for_unknown_length(&self, deadline: Instant) -> Option<MemoryGrant> {
        let memory = self.upstreams.response_memory(UNKNOWN_LENGTH_BYTES, &self.request.turn);
        timeout_at(deadline, memory).await.ok()
    }

    /// Handles a response that was parsed whole.
    fn answered_whole(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        response: WholeResponse,
        memory: Option<MemoryGrant>,
    ) -> AttemptResult {
        let Some(connection) = checked_out.connection() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        let (response_bytes, behind) = connection.buffer.bytes().split_at(response.length);
        let fingerprint = ResponseFingerprint::of(response_bytes, self.request);
        let is_repeated = response_bytes == behind;
        self.answered(now, checked_out, response, memory, Some(fingerprint), is_repeated)
    }

    /// Handles a response whose last bytes are at the front of the buffer. `is_repeated` if the same
    /// response follows once more.
    pub(super) fn answered(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        response: WholeResponse,
        memory: Option<MemoryGrant>,
        fingerprint: Option<ResponseFingerprint>,
        is_repeated: bool,
    ) -> AttemptResult {
        let WholeResponse { outcome, value, length, reusable } = response;
        let result = self.result(outcome, value, memory);
        let upstreams = self.upstreams;
        let id = checked_out.id();
        let Some(connection) = checked_out.connection() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        connection.buffer.consume(length);
        self.log_response(id, &connection.history, result.outcome, length);
        connection.history.response_read(Instant::now());
        let more_follows = !connection.buffer.is_empty();
        if more_follows {
            upstreams.record_surplus(self.target.host, id, SurplusPlace::BehindResponse, &connection.history);
            upstreams.record_unexpected_bytes(self.target.host);
            // One of the two may be a copy of an earlier response, and the other one this attempt's.
            if connection.history.requests > 1 && !is_repeated {
                connection.history.response_doubted();
                return AttemptResult::without_value(AttemptOutcome::ConnectionFault);
            }
        }
        // If a host answers twice, a copy may come after the check before the write and be taken
        // for the response to the next request. For `FRESH_CONNECTIONS_FOR` after a sign of
        // duplicates each connection carries one request; while copies are possible, a repeated
        // value is not served on a connection that carried another request before.
        let copies_possible = upstreams.may_send_copies(self.target.host);
        let last = connection.last_response.take();
        let last = last.filter(|_| copies_possible && result.value.is_some());
        let is_write = self.request.value.is_some();
        if last.zip(fingerprint).is_some_and(|(last, this)| last.repeated_by(this, is_write)) {
            log::debug!(
                request = self.attempt.request.0, host = self.target.host.0;
                "response suspected to be a copy"
            );
            connection.history.response_doubted();
            upstreams.record_repeated_response(self.target.host);
            return AttemptResult::without_value(AttemptOutcome::ConnectionFault);
        }
        connection.last_response = fingerprint;
        // A copy of a rejection would claim that the next attempt never ran. So a connection is
        // closed after a rejection while copies are possible.
        let last_of_connection = copies_possible && result.outcome == AttemptOutcome::Rejected;
        let fresh = upstreams.wants_fresh_connections(self.target.host);
        let keep = reusable && !more_follows && !last_of_connection && !fresh;
        let Some(connection) = checked_out.take() else { return result };
        let kept = upstreams.pools.borrow_mut().answered(now, checked_out.id(), keep);
        if kept {
            upstreams.return_connection(self.target.host, checked_out.id(), connection);
        }
        result
    }

    /// Logs what was read, with what tells whether it can be the response to this attempt.
    fn log_response(
        &self,
        id: ConnectionId,
        history: &ConnectionHistory,
        outcome: AttemptOutcome,
        bytes: usize,
    ) {
        let AttemptKey { request, number } = self.attempt;
        let now = Instant::now();
        log::debug!(
            request = request.0, attempt = number.0, host = self.target.host.0, connection = id.0, outcome:?, bytes,
            requests = history.requests, open_ms = history.open_ms(now),
            since_request_us = history.since_request_us(now),
            since_response_us = history.since_response_us(now);
            "response read"
        );
    }
}
