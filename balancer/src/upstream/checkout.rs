//! Gets a connection for an attempt: reuses an idle one, opens a new one, or waits for either.

use std::io::ErrorKind;
use std::net::SocketAddr;

use basaltwood::types::{AttemptKey, AttemptOutcome, HostId, Micros};
use basaltwood_connection_pool::{Checkout, ConnectionId};
use basaltwood_wire::resp::MAX_BUFFERED_MESSAGE;
use tokio::time::{timeout_at, Instant};

use super::{SurplusPlace, UpstreamConnection, UpstreamEvent, Upstreams};
use crate::budget::DescriptorPermit;
use crate::socket_io::read_directly;

/// A connection that an attempt uses. If it is dropped with the connection still in it, because the
/// attempt was cancelled or failed, the connection is closed and reported to the pools as
/// abandoned.
pub struct CheckedOut<'a> {
    upstreams: &'a Upstreams,
    id: ConnectionId,
    connection: Option<UpstreamConnection>,
    /// Whether the attempt had to wait for the connection.
    waited: bool,
}

impl<'a> CheckedOut<'a> {
    pub fn new(upstreams: &'a Upstreams, id: ConnectionId, connection: UpstreamConnection) -> CheckedOut<'a> {
        CheckedOut { upstreams, id, connection: Some(connection), waited: false }
    }

    /// Whether the attempt had to wait for the connection: the request may have ended meanwhile.
    pub fn waited(&self) -> bool {
        self.waited
    }

    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// The connection, unless [`CheckedOut::take`] removed it.
    pub fn connection(&mut self) -> Option<&mut UpstreamConnection> {
        self.connection.as_mut()
    }

    /// Removes the connection; the caller then reports its end to the pools.
    pub fn take(&mut self) -> Option<UpstreamConnection> {
        self.connection.take()
    }
}

impl Drop for CheckedOut<'_> {
    fn drop(&mut self) {
        self.upstreams.in_flight.borrow_mut().remove(&self.id);
        if self.connection.take().is_some() {
            self.upstreams.pools.borrow_mut().abandoned(self.id);
            self.upstreams.perform_pool_actions();
        }
    }
}

/// Reports a connection that is being opened to the pools as abandoned, if dropped before
/// [`ConnectGuard::disarm`].
struct ConnectGuard<'a> {
    upstreams: &'a Upstreams,
    id: Option<ConnectionId>,
}

impl ConnectGuard<'_> {
    /// Ends the guard: the connect has ended, and the caller reports its result.
    fn disarm(mut self) {
        self.id = None;
    }
}

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.id.take() {
            self.upstreams.pools.borrow_mut().abandoned(id);
            self.upstreams.perform_pool_actions();
        }
    }
}

/// An attempt's reservation of a connect under the rate limit for all hosts. Cancelled if it is
/// dropped unused.
struct ConnectReservation<'a> {
    upstreams: &'a Upstreams,
    due_at: Micros,
    is_used: bool,
}

impl<'a> ConnectReservation<'a> {
    /// Reserves the next connect, if it is due by `latest_start`.
    fn take(upstreams: &'a Upstreams, latest_start: Micros) -> Option<ConnectReservation<'a>> {
        let due_at = upstreams.pools.borrow_mut().reserve_connect(upstreams.clock.now(), latest_start)?;
        Some(ConnectReservation { upstreams, due_at, is_used: false })
    }
}

impl Drop for ConnectReservation<'_> {
    fn drop(&mut self) {
        if !self.is_used {
            self.upstreams.pools.borrow_mut().cancel_reservation();
        }
    }
}

impl Upstreams {
    /// Gets a connection for an attempt, an idle or a new one. A wait for the rate limit on
    /// connects takes at most half of the attempt's time: the host needs the rest, and it is better
    /// to reject a request early than late.
    ///
    /// # Errors
    /// The outcome of an attempt that never ran. `NotSent` is a shortage of this balancer itself
    /// and must not count against the host.
    pub(super) async fn checkout(
        &self,
        host: HostId,
        attempt: AttemptKey,
        deadline: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        let mut waited = false;
        let mut reservation: Option<ConnectReservation> = None;
        let latest_start = self.clock.now() + self.time_until(deadline) / 2;
        loop {
            let now = self.clock.now();
            let has_reservation = reservation.as_ref().is_some_and(|reservation| reservation.due_at <= now);
            let checkout = self.pools.borrow_mut().checkout_with_reservation(now, host, has_reservation);
            self.perform_pool_actions();
            match checkout {
                Checkout::Reuse(id) => {
                    if let Some(mut checked_out) = self.reuse(host, id) {
                        checked_out.waited = waited;
                        if reservation.is_some() {
                            self.record_event(UpstreamEvent::AttemptProceeds(attempt));
                        }
                        return Ok(checked_out);
                    }
                }
                Checkout::Open(id) => {
                    if let Some(reservation) = &mut reservation {
                        reservation.is_used = has_reservation;
                        self.record_event(UpstreamEvent::AttemptProceeds(attempt));
                    }
                    self.record_event(UpstreamEvent::NewConnection(attempt));
                    return self.open(host, id, deadline).await;
                }
                Checkout::RetryAt(at) => {
                    waited = true;
                    self.wait_for_connection(host, at, deadline).await?;
                }
                Checkout::Throttled(_) => {
                    if reservation.is_none() {
                        reservation = ConnectReservation::take(self, latest_start);
                        self.record_event(UpstreamEvent::AttemptWaits(attempt));
                    }
                    let due_at = reservation.as_ref().map(|reservation| reservation.due_at);
                    let due_at = due_at.ok_or(AttemptOutcome::ConnectsAtLimit)?;
                    waited = true;
                    self.wait_for_connection(host, due_at, deadline).await?;
                }
                Checkout::CircuitOpen => return Err(AttemptOutcome::Unreachable),
                Checkout::Exhausted => return Err(AttemptOutcome::NotSent),
            }
        }
    }

    fn time_until(&self, deadline: Instant) -> Micros {
        deadline.saturating_duration_since(Instant::now()).as_micros() as Micros
    }

    /// Takes an idle connection, if it is still usable.
    fn reuse(&self, host: HostId, id: ConnectionId) -> Option<CheckedOut<'_>> {
        let Some(connection) = self.idle.borrow_mut().remove(&id) else {
            self.pools.borrow_mut().abandoned(id);
            return None;
        };
        // If anything can be read now, usually the end of the stream, the connection can't be used.
        // The runtime may not have noticed yet that the socket is readable, so the system is asked.
        let read = read_directly(&connection.stream, &mut [0_u8; 1].as_mut_slice());
        if matches!(&read, Err(cause) if cause.kind() == ErrorKind::WouldBlock) {
            self.counters.connections_reused.add();
            return Some(CheckedOut::new(self, id, connection));
        }
        self.counters.connections_stale.add();
        self.pools.borrow_mut().found_closed(id);
        if matches!(read, Ok(1..)) {
            self.record_surplus(host, id, SurplusPlace::Idle, &connection.history);
            self.record_unexpected_bytes(host);
        }
        None
    }

    /// Waits until a connection to this host comes free, or `retry_at`, or the deadline.
    ///
    /// # Errors
    /// `NotSent` if the host is no longer listed or the deadline has passed.
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
        let guard = ConnectGuard { upstreams: self, id: Some(id) };
        let address = self.address(host).ok_or(AttemptOutcome::NotSent)?;
        let permit = self.host_descriptor().ok_or(AttemptOutcome::NotSent)?;
        let connected = self.connect_with_retries(address, deadline).await;
        guard.disarm();
        let mut pools = self.pools.borrow_mut();
        match connected {
            // The host has moved meanwhile: the machine at the old address may be another host, or
            // may be draining.
            Ok(_) if self.address(host) != Some(address) => {
                pools.abandoned(id);
                Err(AttemptOutcome::NotSent)
            }
            Ok(stream) => {
                pools.connected(id);
                self.counters.connections_opened.add();
                let connection = UpstreamConnection::new(stream, Some(permit), MAX_BUFFERED_MESSAGE);
                let mut checked_out = CheckedOut::new(self, id, connection);
                checked_out.waited = true;
                Ok(checked_out)
            }
            Err(error) => {
                log::debug!(host = host.0, address:%, connection = id.0, error:%; "no connection");
                pools.connect_failed(self.clock.now(), id, error.pool_failure());
                Err(error.outcome())
            }
        }
    }

    fn address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).map(|entry| entry.address)
    }

    /// Gets a descriptor for a connection, if necessary by closing an idle connection.
    fn host_descriptor(&self) -> Option<DescriptorPermit> {
        if let Some(permit) = self.budget.host_descriptor() {
            return Some(permit);
        }
        if self.close_idle_connection() {
            self.budget.host_descriptor()
        } else {
            None
        }
    }

    /// Returns a connection after a whole response: it becomes idle, or is closed if its host
    /// accepts no new attempts.
    pub(super) fn return_connection(&self, host: HostId, id: ConnectionId, connection: UpstreamConnection) {
        self.idle.borrow_mut().insert(id, connection);
        match self.hosts.borrow().get(&host) {
            Some(entry) if entry.accepts_attempts => entry.connection_freed.notify_one(),
            // The host began to drain during this request, and has few connections to spare.
            _ => {
                self.pools.borrow_mut().host_draining(host);
                self.perform_pool_actions();
            }
        }
    }
}
