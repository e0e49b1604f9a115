//! One exchange: writes a request to a connection to a host. The other half, `response.rs`, reads the
//! response.
//!
//! The rules on drains, deadlines and clients that have left depend on the order of the steps and
//! of the arms of each `select!`; comments name the rule.

use std::cell::RefCell;
use std::rc::Rc;

use basaltwood::policy::{SendPermit, SendRefusal};
use basaltwood::router::Router;
use basaltwood::types::{AttemptKey, AttemptOutcome, Micros};
use tokio::task::yield_now;
use tokio::time::{sleep_until, timeout_at, Instant};

use super::checkout::CheckedOut;
use super::messages::{ParseResponse, RequestBytes};
use super::send_audit::SentAttempt;
use super::{AttemptTarget, Upstreams};
use crate::outstanding::OutstandingAttempt;
use crate::request::{AttemptResult, ClientRequest};

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

    pub(super) fn deadline_at(&self) -> Instant {
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
}
