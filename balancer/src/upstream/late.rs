//! Keeps reading connections after their attempt timed out: a late response shows that the host is
//! back, and the connection can carry requests again.

use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::HostId;
use basaltwood_connection_pool::ConnectionId;
use tokio::task::spawn_local;
use tokio::time::{timeout, Instant};

use super::messages::{ParseResponse, ParsedResponse};
use super::{UpstreamConnection, Upstreams};
use crate::read;

/// Upper bound of the wait for a late response; normally the pools close the connection earlier.
const LATE_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

impl Upstreams {
    /// Starts a task that reads until a late response or the end of the connection.
    pub(super) fn await_late_response(
        self: &Rc<Upstreams>,
        host: HostId,
        id: ConnectionId,
        mut connection: UpstreamConnection,
        parse_response: ParseResponse,
    ) {
        let upstreams = self.clone();
        let reader = async move {
            let response = read_late_response(&mut connection, parse_response);
            let reusable = timeout(LATE_RESPONSE_TIMEOUT, response).await.unwrap_or(false)
                && !upstreams.wants_fresh_connections(host);
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
}

/// Reads a late response; true if it was whole and the connection can carry another request.
async fn read_late_response(connection: &mut UpstreamConnection, parse_response: ParseResponse) -> bool {
    loop {
        if !matches!(read(&mut connection.stream, &mut connection.buffer).await, Ok(1..)) {
            return false;
        }
        match parse_response(connection.buffer.bytes()) {
            Ok(None) => {}
            Ok(Some(ParsedResponse::Whole(response))) => {
                connection.buffer.consume(response.length);
                connection.history.response_read(Instant::now());
                return response.reusable && connection.buffer.is_empty();
            }
            // A long value is not read, because nobody waits for it any more.
            Ok(Some(ParsedResponse::LongValue(_))) | Err(_) => return false,
        }
    }
}
