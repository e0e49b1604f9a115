//! Checks out a connection for an attempt. The pools decide whether to reuse an idle connection,
//! open a new one, or wait.

use std::io::ErrorKind;

use basaltwood::types::{AttemptOutcome, HostId, Micros};
use basaltwood_connection_pool::{Checkout, ConnectFailure, ConnectionId};
use basaltwood_wire::resp::MAX_BUFFERED_MESSAGE;
use tokio::time::{timeout_at, Instant};

use super::balancer::{AttemptKey, SimulatedBalancer};
use super::connection::Connection;
use crate::time::to_duration;

/// A connection that an attempt uses. If it still holds the connection when dropped, because the
/// attempt was cancelled or failed, it closes the connection and reports it to the pools as
/// abandoned.
pub(super) struct CheckedOut<'a> {
    balancer: &'a SimulatedBalancer,
    id: ConnectionId,
    connection: Option<Connection>,
}

impl CheckedOut<'_> {
    pub(super) fn id(&self) -> ConnectionId {
        self.id
    }

    /// The connection, unless `take` has removed it.
    pub(super) fn connection(&mut self) -> Option<&mut Connection> {
        self.connection.as_mut()
    }

    /// Removes the connection. The caller reports to the pools how its use ended.
    pub(super) fn take(&mut self) -> Option<Connection> {
        self.connection.take()
    }
}

impl Drop for CheckedOut<'_> {
    fn drop(&mut self) {
        self.balancer.in_flight.borrow_mut().remove(&self.id);
        if self.connection.take().is_some() {
            self.balancer.pools.borrow_mut().abandoned(self.id);
            self.balancer.perform_pool_actions();
        }
    }
}

/// A connection that is being opened. If dropped without [`ConnectGuard::disarm`], the guard
/// reports the connection to the pools as abandoned.
struct ConnectGuard<'a> {
    balancer: &'a SimulatedBalancer,
    id: Option<ConnectionId>,
}

impl ConnectGuard<'_> {
    /// Called when connecting has ended. The caller reports the result to the pools.
    fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.balancer.pools.borrow_mut().abandoned(id);
        }
    }
}

impl SimulatedBalancer {
    /// Returns an idle or a new connection for an attempt.
    ///
    /// # Errors
    /// The outcome of the attempt, whose request was not sent.
    pub(super) async fn checkout(
        &self,
        host: HostId,
        key: AttemptKey,
        deadline: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        loop {
            let checkout = self.pools.borrow_mut().checkout(self.clock.now(), host);
            self.perform_pool_actions();
            match checkout {
                Checkout::Reuse(id) => {
                    if let Some(checked_out) = self.reuse(id) {
                        return Ok(checked_out);
                    }
                }
                Checkout::Open(id) => {
                    let now = self.clock.now();
                    self.router.borrow_mut().attempt_on_new_connection(now, key.request, key.attempt);
                    self.wake_requests();
                    return self.open(host, id, deadline).await;
                }
                Checkout::RetryAt(at) | Checkout::Throttled(at) => {
                    self.wait_for_connection(host, at, deadline).await?
                }
                Checkout::CircuitOpen => return Err(AttemptOutcome::Unreachable),
                Checkout::Exhausted => return Err(AttemptOutcome::NotSent),
            }
        }
    }

    /// Takes an idle connection, unless it was closed or has unexpected data.
    fn reuse(&self, id: ConnectionId) -> Option<CheckedOut<'_>> {
        let Some(connection) = self.idle.borrow_mut().remove(&id) else {
            self.pools.borrow_mut().abandoned(id);
            return None;
        };
        // Readable data, or the end of the stream, means that the connection can't carry a request.
        let read = connection.stream.try_read(&mut [0]);
        if matches!(&read, Err(cause) if cause.kind() == ErrorKind::WouldBlock) {
            return Some(CheckedOut { balancer: self, id, connection: Some(connection) });
        }
        self.pools.borrow_mut().found_closed(id);
        None
    }

    /// Waits until a connection to this host becomes free, or until `retry_at` or the deadline.
    ///
    /// # Errors
    /// The host is gone or the deadline has passed, which ends the attempt.
    async fn wait_for_connection(
        &self,
        host: HostId,
        retry_at: Micros,
        deadline: Instant,
    ) -> Result<(), AttemptOutcome> {
        let freed = self.hosts.borrow().get(&host).map(|entry| entry.connection_freed.clone());
        let freed = freed.ok_or(AttemptOutcome::NotSent)?;
        if Instant::now() >= deadline {
            return Err(AttemptOutcome::NotSent);
        }
        let _ = timeout_at(deadline.min(self.clock.at(retry_at)), freed.notified()).await;
        Ok(())
    }

    async fn open(
        &self,
        host: HostId,
        id: ConnectionId,
        deadline: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        let guard = ConnectGuard { balancer: self, id: Some(id) };
        let address = self.hosts.borrow().get(&host).map(|entry| entry.address);
        let address = address.ok_or(AttemptOutcome::NotSent)?;
        self.make_room_for_connection()?;
        let connect_deadline = Instant::now() + to_duration(self.limits.connect_timeout);
        let connecting = Connection::connect(address, MAX_BUFFERED_MESSAGE);
        let connected = timeout_at(deadline.min(connect_deadline), connecting).await;
        guard.disarm();
        let now = self.clock.now();
        if let Ok(Ok(connection)) = connected {
            self.counters.count(|counters| counters.connections_opened += 1);
            self.pools.borrow_mut().connected(id);
            return Ok(CheckedOut { balancer: self, id, connection: Some(connection) });
        }
        // If the request's own deadline cut connecting short, that is no evidence about the host.
        let cut_off = connected.is_err() && deadline < connect_deadline;
        let failure = if cut_off { ConnectFailure::Local } else { ConnectFailure::Host };
        self.pools.borrow_mut().connect_failed(now, id, failure);
        Err(AttemptOutcome::Unreachable)
    }

    /// Closes idle connections until at most `max_connections` are open, including the one being
    /// opened.
    ///
    /// # Errors
    /// No idle connection is left to close, which ends the attempt.
    fn make_room_for_connection(&self) -> Result<(), AttemptOutcome> {
        while self.pools.borrow().open_connections() > self.max_connections {
            let evicted = self.pools.borrow_mut().evict_idle().ok_or(AttemptOutcome::NotSent)?;
            self.idle.borrow_mut().remove(&evicted);
        }
        Ok(())
    }
}
