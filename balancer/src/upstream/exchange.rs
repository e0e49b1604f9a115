//! One exchange: writes a request to a connection to a host and reads the response.
//!
//! The rules on drains, deadlines and clients that have left depend on the order of the steps and
//! of the arms of each `select!`; comments name the rule.

use std::cell::RefCell;
use std::rc::Rc;

use basaltwood::policy::{SendPermit, SendRefusal};
use basaltwood::router::Router;
use basaltwood::types::{AttemptKey, AttemptOutcome, Micros};
use basaltwood_connection_pool::{ConnectionId, Fault};
use tokio::sync::mpsc;
use tokio::task::{spawn_local, yield_now};
use tokio::time::{sleep_until, timeout_at, Instant};

use super::checkout::CheckedOut;
use super::connection::ConnectionHistory;
use super::duplicates::ResponseFingerprint;
use super::late::LateResponse;
use super::messages::{LongValueHead, ParseResponse, ParsedResponse, RequestBytes, WholeResponse};
use super::send_audit::SentAttempt;
use super::streaming::ValueStream;
use super::{AttemptTarget, SurplusPlace, Upstreams};
use crate::outstanding::OutstandingAttempt;
use crate::read;
use crate::request::{AttemptResult, ClientRequest, StreamedValue, Value};

/// One attempt at a host, for either protocol.
pub struct Exchange<'a> {
    pub upstreams: &'a Rc<Upstreams>,
    /// Permits the first byte.
    pub router: &'a RefCell<Router>,
    pub attempt: AttemptKey,
    pub request: &'a ClientRequest,
    pub target: AttemptTarget,
    pub parse_response: ParseResponse,
}

impl<'a> Exchange<'a> {
    /// Sends the request and reads its response. The request is encoded once it has a connection,
    /// so that it states the time left then: the wait for a connection may take as long as the
    /// request has, and a host must not work on a request that nobody waits for.
    pub async fn run(self, encode: impl FnOnce(Micros) -> RequestBytes) -> AttemptResult {
        let mut checked_out = match self.wait_for_connection().await {
            Ok(checked_out) => checked_out,
            Err(outcome) => return AttemptResult::without_value(outcome),
        };
        // Nothing is awaited between the permission and the first byte.
        let now = self.upstreams.clock.now();
        let permit = match self.permit(now) {
            Ok(permit) => permit,
            Err(outcome) => return AttemptResult::without_value(outcome),
        };
        let time_left = self.target.deadline - now;
        let message = encode(time_left);
        let (first_byte_at, bytes) = (Instant::now(), message.length());
        let outstanding = self.request.outstanding.begin(self.attempt.number);
        if let Err(outcome) = self.write(&mut checked_out, &outstanding, permit, message).await {
            return AttemptResult::without_value(outcome);
        }
        self.record_sent(&mut checked_out, bytes);
        self.upstreams.audit(&SentAttempt {
            request: self.request,
            number: self.attempt.number,
            first_byte_at,
            last_byte_at: Instant::now(),
            deadline: self.deadline_at(),
            stated_time: time_left,
            draining_since: self.upstreams.draining_since(self.target.host),
        });
        self.read(checked_out, outstanding).await
    }

    fn deadline_at(&self) -> Instant {
        self.upstreams.clock.at(self.target.deadline)
    }

    /// Waits for a connection. The wait ends without one, and the attempt unsent, when its time is
    /// over, when its request ends, or as soon as its host accepts no new attempts.
    async fn wait_for_connection(&self) -> Result<CheckedOut<'a>, AttemptOutcome> {
        let host = self.target.host;
        let send_by = self.upstreams.clock.at(self.target.send_by);
        // At the attempt's own deadline the checkout ends by itself; the deduplication window can
        // end before it.
        let window_ends = self.target.send_by < self.target.deadline;
        let checked_out = tokio::select! {
            biased;
            () = self.request.wait_finished() => Err(AttemptOutcome::Cancelled),
            () = self.upstreams.stopped_accepting(host) => Err(AttemptOutcome::NotSent),
            checked_out = self.upstreams.checkout(host, self.attempt, self.deadline_at()) => checked_out,
            () = sleep_until(send_by), if window_ends => Err(AttemptOutcome::NotSent),
        };
        let checked_out = checked_out?;
        // Events that came in the meantime are handled first, above all the client's departure.
        let is_retry = self.attempt.number.0 > 0;
        if checked_out.waited() || is_retry {
            yield_now().await;
        }
        Ok(checked_out)
    }

    /// Asks the router for the permission to write, which applies every rule on what may be sent.
    fn permit(&self, now: Micros) -> Result<SendPermit, AttemptOutcome> {
        let client_present = self.request.client.is_present() && !self.request.is_finished();
        let permit = self.router.borrow_mut().permit_send(now, self.attempt, client_present);
        permit.map_err(|refusal| {
            let AttemptKey { request, number } = self.attempt;
            log::debug!(request = request.0, attempt = number.0, refusal:?; "attempt not sent");
            match refusal {
                SendRefusal::ClientGone | SendRefusal::RequestEnded => AttemptOutcome::Cancelled,
                _ => AttemptOutcome::NotSent,
            }
        })
    }

    /// Writes the request. The host starts work at the last byte: until that is written, the
    /// attempt never ran. If the request ends before, the rest is not written, which is no evidence
    /// about the host; after the last byte the response is awaited.
    async fn write(
        &self,
        checked_out: &mut CheckedOut<'_>,
        outstanding: &OutstandingAttempt,
        permit: SendPermit,
        message: RequestBytes,
    ) -> Result<(), AttemptOutcome> {
        let complete_by = self.upstreams.clock.at(permit.complete_by());
        let Some(connection) = checked_out.connection() else { return Err(AttemptOutcome::NotSent) };
        connection.history.request_begins();
        let (reader, mut writer) = connection.stream.split();
        let overdue = outstanding.wait_overdue(reader.as_ref(), &connection.delivery_limit);
        let written = timeout_at(complete_by, message.write(permit, &mut writer));
        tokio::select! {
            biased;
            () = self.request.wait_finished() => Err(AttemptOutcome::Cancelled),
            () = overdue => Err(AttemptOutcome::NotSent),
            written = written => match written {
                Ok(Ok(())) => Ok(()),
                _ => Err(AttemptOutcome::Unreachable),
            },
        }
    }

    /// Records that the last byte of the request was written.
    fn record_sent(&self, checked_out: &mut CheckedOut<'_>, bytes: usize) {
        let id = checked_out.id();
        let AttemptKey { request, number } = self.attempt;
        log::debug!(
            request = request.0, attempt = number.0, host = self.target.host.0, connection = id.0, bytes;
            "attempt written"
        );
        if let Some(connection) = checked_out.connection() {
            connection.history.request_written(self.attempt, Instant::now());
        }
        let upstreams = self.upstreams;
        upstreams.pools.borrow_mut().request_sent(upstreams.clock.now(), id);
        upstreams.metrics.attempt_sent();
        upstreams.in_flight.borrow_mut().insert(id, self.attempt);
    }

    /// Reads until the response is complete or the attempt ends without one.
    async fn read(&self, mut checked_out: CheckedOut<'_>, outstanding: OutstandingAttempt) -> AttemptResult {
        let deadline = self.deadline_at();
        loop {
            let Some(connection) = checked_out.connection() else {
                return AttemptResult::without_value(AttemptOutcome::NotSent);
            };
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
                Ok(Some(ParsedResponse::LongValue(head))) => return self.stream(now, checked_out, head),
                Ok(Some(ParsedResponse::Whole(response))) => {
                    return self.answered(now, checked_out, response)
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
    fn connection_lost(&self, now: Micros, mut checked_out: CheckedOut<'_>) -> AttemptOutcome {
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

    /// Starts a task that passes on a long value whose head was read.
    fn stream(&self, now: Micros, mut checked_out: CheckedOut<'_>, head: LongValueHead) -> AttemptResult {
        let Some(mut connection) = checked_out.take() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        connection.buffer.consume(head.start);
        let id = checked_out.id();
        self.upstreams.pools.borrow_mut().response_begun(now, id);
        let (sender, pieces) = mpsc::channel(1);
        let LongValueHead { length, parse_trailer, .. } = head;
        let stream = ValueStream { host: self.target.host, id, connection, length, parse_trailer };
        spawn_local(self.upstreams.clone().stream_value(stream, sender));
        AttemptResult::succeeded(Value::Streamed(StreamedValue { length, pieces }))
    }

    /// Handles a whole response.
    fn answered(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        response: WholeResponse,
    ) -> AttemptResult {
        let WholeResponse { result, length, reusable } = response;
        let upstreams = self.upstreams;
        let id = checked_out.id();
        let Some(connection) = checked_out.connection() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        let fingerprint = ResponseFingerprint::of(&connection.buffer.bytes()[..length], self.request);
        let (response_bytes, behind) = connection.buffer.bytes().split_at(length);
        let is_repeated = response_bytes == behind;
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
        if last.is_some_and(|last| last.repeated_by(fingerprint, self.request.value.is_some())) {
            log::debug!(
                request = self.attempt.request.0, host = self.target.host.0;
                "response suspected to be a copy"
            );
            connection.history.response_doubted();
            upstreams.record_repeated_response(self.target.host);
            return AttemptResult::without_value(AttemptOutcome::ConnectionFault);
        }
        connection.last_response = Some(fingerprint);
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
