//! Keeps reading connections after their attempt timed out: a late response shows that the host is
//! back, and the connection can carry requests again.

use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::HostId;
use basaltwood_connection_pool::ConnectionId;
use basaltwood_wire::resp::MAX_BUFFERED_VALUE;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

use super::messages::{ParseResponse, ParsedResponse, ValueHead};
use super::value::collect_value;
use super::{UpstreamConnection, Upstreams};
use crate::outstanding::OutstandingAttempt;
use crate::read;

/// Upper bound of the wait for a late response; normally the pools close the connection earlier.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// A connection on which the response to an attempt that timed out is awaited.
pub(super) struct LateResponse {
    pub host: HostId,
    pub id: ConnectionId,
    pub connection: UpstreamConnection,
    pub parse_response: ParseResponse,
    pub outstanding: OutstandingAttempt,
}

impl Upstreams {
    /// Starts a task that reads until a late response or the end of the connection.
    pub(super) fn await_late_response(self: &Rc<Upstreams>, mut awaited: LateResponse) {
        let upstreams = self.clone();
        let (host, id) = (awaited.host, awaited.id);
        let reader = async move {
            let response = upstreams.read_late_response(&mut awaited);
            let reusable = timeout(LATE_RESPONSE_TIMEOUT, response).await.unwrap_or(false)
                && !upstreams.wants_fresh_connections(host);
            let connection = awaited.connection;
            upstreams.late_readers.borrow_mut().remove(&id);
            let kept = upstreams.pools.borrow_mut().late_response(upstreams.clock.now(), id, reusable);
            if kept {
                upstreams.return_connection(host, id, connection);
            }
            upstreams.perform_pool_actions();
        };
        let task = spawn_local(reader);
        self.late_readers.borrow_mut().insert(id, task.abort_handle());
    }

    /// Reads a late response; true if it was whole and the connection can carry another request.
    /// The wait ends when the attempt has to be cancelled.
    async fn read_late_response(&self, awaited: &mut LateResponse) -> bool {
        let LateResponse { connection, parse_response, outstanding, .. } = awaited;
        loop {
            if !connection.has_room() {
                return false;
            }
            let (mut reader, writer) = connection.stream.split();
            let read = tokio::select! {
                biased;
                read = read(&mut reader, &mut connection.buffer) => read,
                () = outstanding.wait_overdue(writer.as_ref(), &connection.delivery_limit) => {
                    self.audit_cancelled(outstanding);
                    return false;
                }
            };
            if !matches!(read, Ok(1..)) {
                return false;
            }
            match parse_response(connection.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some(ParsedResponse::Whole(response))) => {
                    connection.buffer.consume(response.length);
                    connection.history.response_read(Instant::now());
                    return response.reusable && connection.buffer.is_empty();
                }
                Ok(Some(ParsedResponse::ValueHead(head))) if head.length <= MAX_BUFFERED_VALUE => {
                    return discard_response(connection, head).await;
                }
                // A long value is not read, because nobody waits for it any more.
                Ok(Some(ParsedResponse::ValueHead(_))) | Err(_) => return false,
            }
        }
    }
}

/// Reads the rest of a response without keeping its value; true if the connection can carry another
/// request.
async fn discard_response(connection: &mut UpstreamConnection, head: ValueHead) -> bool {
    connection.buffer.consume(head.start);
    let Ok(collected) = collect_value(connection, head.length, None, head.ending).await else {
        return false;
    };
    connection.buffer.consume(collected.trailer.length);
    connection.history.response_read(Instant::now());
    collected.trailer.reusable && connection.buffer.is_empty()
}
