//! Sends a command to a host and reads the reply.

use basaltwood::types::{AttemptOutcome, HostId, Micros};
use basaltwood_connection_pool::Fault;
use basaltwood_wire::resp::{self, ParsedReply, Reply};
use bytes::Bytes;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{timeout_at, Instant};

use super::balancer::{AttemptKey, SimulatedBalancer};
use super::checkout::CheckedOut;

impl SimulatedBalancer {
    /// Runs one attempt of a request at a host, which ends by `deadline`.
    pub(super) async fn attempt(
        &self,
        host: HostId,
        key: AttemptKey,
        command: Bytes,
        deadline: Micros,
    ) -> AttemptOutcome {
        let deadline = self.clock.at(deadline);
        let mut checked_out = match self.checkout(host, key, deadline).await {
            Ok(checked_out) => checked_out,
            Err(outcome) => return outcome,
        };
        // A connection may become ready in the same poll in which the deadline passes.
        if Instant::now() >= deadline {
            return AttemptOutcome::NotSent;
        }
        let Some(connection) = checked_out.connection() else { return AttemptOutcome::NotSent };
        let written = timeout_at(deadline, connection.stream.write_all(&command)).await;
        if !matches!(written, Ok(Ok(()))) {
            return AttemptOutcome::Unreachable;
        }
        self.counters.count(|counters| counters.host_bytes_out += command.len() as u64);
        self.pools.borrow_mut().request_sent(self.clock.now(), checked_out.id());
        self.in_flight.borrow_mut().insert(checked_out.id(), key);
        self.read_reply(host, checked_out, deadline).await
    }

    /// Reads until the reply is complete or the attempt fails.
    async fn read_reply(
        &self,
        host: HostId,
        mut checked_out: CheckedOut<'_>,
        deadline: Instant,
    ) -> AttemptOutcome {
        loop {
            let Some(connection) = checked_out.connection() else { return AttemptOutcome::NotSent };
            let Ok(mut unfilled) = connection.buffer.unfilled() else { return AttemptOutcome::Error };
            let read = timeout_at(deadline, connection.stream.read_buf(&mut unfilled)).await;
            let now = self.clock.now();
            match read {
                Err(_) => {
                    // Dropping the connection closes it, without waiting for the late reply.
                    self.pools.borrow_mut().attempt_timed_out(now, checked_out.id());
                    return AttemptOutcome::TimedOut;
                }
                Ok(Ok(0) | Err(_)) => return self.connection_lost(now, checked_out),
                Ok(Ok(read)) => self.counters.count(|counters| counters.host_bytes_in += read as u64),
            }
            match resp::parse_reply(connection.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some(reply)) => return self.answered(now, host, checked_out, reply),
                Err(_) => return AttemptOutcome::Error,
            }
        }
    }

    /// Handles a connection that closed before the reply was complete.
    fn connection_lost(&self, now: Micros, mut checked_out: CheckedOut<'_>) -> AttemptOutcome {
        drop(checked_out.take());
        let fault = self.pools.borrow_mut().connection_lost(now, checked_out.id());
        self.perform_pool_actions();
        match fault {
            Fault::Connection => AttemptOutcome::ConnectionFault,
            Fault::Host => AttemptOutcome::ConnectionLost,
        }
    }

    /// Handles a complete reply: the connection becomes idle or is closed.
    fn answered(
        &self,
        now: Micros,
        host: HostId,
        mut checked_out: CheckedOut<'_>,
        parsed: ParsedReply,
    ) -> AttemptOutcome {
        let ParsedReply { reply, end } = parsed;
        let id = checked_out.id();
        let Some(mut connection) = checked_out.take() else { return AttemptOutcome::NotSent };
        connection.buffer.consume(end.consumed);
        if self.pools.borrow_mut().answered(now, id, end.keep_alive) {
            self.idle.borrow_mut().insert(id, connection);
        }
        if let Some(entry) = self.hosts.borrow().get(&host) {
            entry.connection_freed.notify_one();
        }
        match reply {
            Reply::Value(_) => AttemptOutcome::Succeeded,
            Reply::Miss => AttemptOutcome::Miss,
            Reply::Busy => AttemptOutcome::Rejected,
            Reply::Failed => AttemptOutcome::Error,
        }
    }
}
