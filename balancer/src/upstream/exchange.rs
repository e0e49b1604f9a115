//! One exchange: a request written on a connection to a host, and its response read.
//!
//! The order of the steps, and of the arms of each `select!`, is what keeps the rules on drains,
//! deadlines and clients that have gone; the comments say which.

use std::rc::Rc;

use basaltwood::types::{AttemptKey, AttemptOutcome, HostId, Micros};
use basaltwood_connection_pool::Fault;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{timeout_at, Instant};

use super::checkout::CheckedOut;
use super::duplicates::ResponseFingerprint;
use super::messages::{LongValueHead, ParseResponse, ParsedResponse, RequestBytes, WholeResponse};
use super::streaming::ValueStream;
use super::Upstreams;
use crate::read;
use crate::request::{AttemptResult, ClientRequest, StreamedValue, Value};

/// One attempt at a host, whatever the host's protocol.
pub struct Exchange<'a> {
    pub upstreams: &'a Rc<Upstreams>,
    pub host: HostId,
    pub attempt: AttemptKey,
    pub request: &'a ClientRequest,
    /// The attempt is over then.
    pub deadline: Micros,
    pub parse_response: ParseResponse,
}

impl<'a> Exchange<'a> {
    /// Sends the request and reads its response. The request is encoded once it has its connection,
    /// by how much time is left then: the wait for one may be as long as the request's own time,
    /// and a host must not work on what nobody waits for.
    pub async fn run(self, encode: impl FnOnce(Micros) -> RequestBytes) -> AttemptResult {
        let mut checked_out = match self.admit().await {
            Ok(checked_out) => checked_out,
            Err(outcome) => return AttemptResult::without_value(outcome),
        };
        let time_left = self.deadline - self.upstreams.clock.now();
        if let Err(outcome) = self.write(&mut checked_out, encode(time_left)).await {
            return AttemptResult::without_value(outcome);
        }
        self.sent(&checked_out);
        self.read(checked_out).await
    }

    fn deadline_at(&self) -> Instant {
        self.upstreams.clock.at(self.deadline)
    }

    /// Waits for a connection, and judges once more whether anything may be sent on it.
    async fn admit(&self) -> Result<CheckedOut<'a>, AttemptOutcome> {
        let deadline = self.deadline_at();
        // Rule 3 again, at the one place that every attempt passes before its first byte: the
        // policy judged when it decided, and a throttled connect, a handshake or a connection in
        // use may have taken longer than the grace since. A host that was announced as leaving
        // meanwhile gets nothing, and the request learns so at once. In whatever order these
        // futures are woken, the look at the host comes before the step that has the connection,
        // and the first byte is written in the same poll.
        let checked_out = tokio::select! {
            biased;
            () = self.request.wait_finished() => Err(AttemptOutcome::Cancelled),
            () = self.upstreams.stopped_accepting(self.host) => Err(AttemptOutcome::NotSent),
            checked_out = self.upstreams.checkout(self.host, self.attempt, deadline) => checked_out,
        };
        let checked_out = checked_out?;
        // Rule 1 again: a connection may come up in the very poll in which the time is over, and
        // long after it where this process stood still. Nothing is begun then.
        if Instant::now() >= deadline {
            return Err(AttemptOutcome::NotSent);
        }
        Ok(checked_out)
    }

    /// Writes the request. The host begins with the last byte: until that is written the attempt
    /// never ran. A request that is over meanwhile must not get that far, which says nothing of the
    /// host; once it has, its response is awaited. A long value whose first byte was written in
    /// time goes on.
    async fn write(
        &self,
        checked_out: &mut CheckedOut<'_>,
        message: RequestBytes,
    ) -> Result<(), AttemptOutcome> {
        let deadline = self.deadline_at();
        let written = async {
            let Some(connection) = checked_out.connection() else { return Err(AttemptOutcome::NotSent) };
            match timeout_at(deadline, message.write(&mut connection.stream)).await {
                Ok(Ok(())) => Ok(()),
                _ => Err(AttemptOutcome::Unreachable),
            }
        };
        tokio::select! {
            biased;
            () = self.request.wait_finished() => Err(AttemptOutcome::Cancelled),
            written = written => written,
        }
    }

    /// The last byte of the request is written.
    fn sent(&self, checked_out: &CheckedOut<'_>) {
        let id = checked_out.id();
        let upstreams = self.upstreams;
        upstreams.pools.borrow_mut().request_sent(upstreams.clock.now(), id);
        upstreams.metrics.attempt_sent();
        upstreams.in_flight.borrow_mut().insert(id, self.attempt);
    }

    /// Reads until the response is whole or the attempt has ended without one.
    async fn read(&self, mut checked_out: CheckedOut<'_>) -> AttemptResult {
        let deadline = self.deadline_at();
        loop {
            let Some(connection) = checked_out.connection() else {
                return AttemptResult::without_value(AttemptOutcome::NotSent);
            };
            let filled = timeout_at(deadline, read(&mut connection.stream, &mut connection.buffer)).await;
            let now = self.upstreams.clock.now();
            match filled {
                Err(_) => return AttemptResult::without_value(self.timed_out(now, checked_out)),
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
                    log::debug!("host {}: {cause}", self.host.0);
                    return AttemptResult::without_value(AttemptOutcome::Error);
                }
            }
        }
    }

    /// The attempt waits no longer; its connection may still tell of the host.
    fn timed_out(&self, now: Micros, mut checked_out: CheckedOut<'_>) -> AttemptOutcome {
        let connection = checked_out.take();
        let id = checked_out.id();
        let verdict = self.upstreams.pools.borrow_mut().attempt_timed_out(now, id);
        if let Some(connection) = connection.filter(|_| verdict.await_late_response) {
            self.upstreams.await_late_response(self.host, id, connection, self.parse_response);
        }
        AttemptOutcome::TimedOut
    }

    /// The connection ended before the response.
    fn connection_lost(&self, now: Micros, mut checked_out: CheckedOut<'_>) -> AttemptOutcome {
        drop(checked_out.take());
        let fault = self.upstreams.pools.borrow_mut().connection_lost(now, checked_out.id());
        self.upstreams.perform_pool_actions();
        log::debug!("host {}: a connection ended under a request, {fault:?} at fault", self.host.0);
        match fault {
            Fault::Connection => AttemptOutcome::ConnectionFault,
            Fault::Host => AttemptOutcome::ConnectionLost,
        }
    }

    /// The head of a long value came: a task of its own passes the value on.
    fn stream(&self, now: Micros, mut checked_out: CheckedOut<'_>, head: LongValueHead) -> AttemptResult {
        let Some(mut connection) = checked_out.take() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        connection.buffer.consume(head.start);
        let id = checked_out.id();
        self.upstreams.pools.borrow_mut().response_begun(now, id);
        let (sender, pieces) = mpsc::channel(1);
        let LongValueHead { length, parse_trailer, .. } = head;
        let stream = ValueStream { host: self.host, id, connection, length, parse_trailer };
        spawn_local(self.upstreams.clone().stream_value(stream, sender));
        AttemptResult::succeeded(Value::Streamed(StreamedValue { length, pieces }))
    }

    /// A whole response came.
    fn answered(
        &self,
        now: Micros,
        mut checked_out: CheckedOut<'_>,
        response: WholeResponse,
    ) -> AttemptResult {
        let WholeResponse { result, length, reusable } = response;
        let upstreams = self.upstreams;
        let Some(connection) = checked_out.connection() else {
            return AttemptResult::without_value(AttemptOutcome::NotSent);
        };
        let fingerprint = ResponseFingerprint::of(&connection.buffer.bytes()[..length], self.request);
        connection.buffer.consume(length);
        let more_follows = !connection.buffer.is_empty();
        if more_follows {
            upstreams.duplicates.unexpected_bytes();
        }
        // Of hosts that answer twice, a copy may come after the look before the write, and be taken
        // for the response to the next request. The same value as before is not served then.
        let duplicates_suspected = upstreams.duplicates.suspected();
        let last = connection.last_response.take();
        let last = last.filter(|_| duplicates_suspected && result.value.is_some());
        if last.is_some_and(|last| last.repeated_by(fingerprint, self.request.value.is_some())) {
            log::debug!("host {}: the same response as to the request before", self.host.0);
            return AttemptResult::without_value(AttemptOutcome::ConnectionFault);
        }
        connection.last_response = Some(fingerprint);
        // A copy of a rejection would say of the next attempt that it never ran: a rejection is the
        // last response on its connection then.
        let last_of_connection = duplicates_suspected && result.outcome == AttemptOutcome::Rejected;
        let keep = reusable && !more_follows && !last_of_connection;
        let Some(connection) = checked_out.take() else { return result };
        let kept = upstreams.pools.borrow_mut().answered(now, checked_out.id(), keep);
        if kept {
            upstreams.return_connection(self.host, checked_out.id(), connection);
        }
        result
    }
}
