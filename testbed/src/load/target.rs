//! A balancer as seen by its clients: its address, the connections to it and its reachability.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};

use super::connection::{self, set_if_unset, Connection, SentAt};
use crate::ledger::Ledger;
use crate::time::Micros;

/// How long a client waits for a connection to be established.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// How often a balancer that could not be reached is probed.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Bounds on the connections to one balancer.
#[derive(Clone, Copy)]
pub(super) struct ConnectionBounds {
    /// Connections that may be open or opening.
    pub(super) max_connections: usize,
    /// Commands that may await their reply on one connection.
    pub(super) max_pipelined: usize,
}

/// One balancer.
pub(super) struct Target {
    /// The balancer's number.
    pub(super) balancer: usize,
    address: SocketAddr,
    connections: RefCell<Vec<Rc<Connection>>>,
    /// Connections being opened.
    opening: Cell<usize>,
    failing_since: Cell<Option<Micros>>,
    /// Notified when a connection can take another command, or has ended.
    pub(super) freed: Rc<Notify>,
}

impl Target {
    pub(super) fn new(balancer: usize, address: SocketAddr) -> Target {
        Target {
            balancer,
            address,
            connections: RefCell::default(),
            opening: Cell::new(0),
            failing_since: Cell::new(None),
            freed: Rc::default(),
        }
    }

    /// Whether clients send to the balancer: they stop `notice_after` after it began to fail.
    pub(super) fn is_in_use(&self, now: Micros, notice_after: Micros) -> bool {
        self.failing_since.get().is_none_or(|since| now - since < notice_after)
    }

    /// Records that the balancer could not be reached.
    pub(super) fn record_failure(&self, now: Micros) {
        if self.failing_since.get().is_none() {
            self.failing_since.set(Some(now));
        }
    }

    /// Probes the balancer at intervals while it counts as failing.
    pub(super) async fn probe(self: Rc<Target>) {
        loop {
            sleep(PROBE_INTERVAL).await;
            if self.failing_since.get().is_some() {
                let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
                if let Ok(Ok(_)) = connected {
                    self.failing_since.set(None);
                }
            }
        }
    }

    /// A connection that can take one more command: an open one, else a new one, else, at the limit
    /// on connections, the first to become free. `None` if there is none by the deadline. A request
    /// that waits for a connection counts as sent: the wait is not lateness of the generator.
    pub(super) async fn check_out(
        self: &Rc<Target>,
        bounds: ConnectionBounds,
        deadline: Micros,
        sent_at: &SentAt,
        ledger: &Ledger,
    ) -> Option<Rc<Connection>> {
        loop {
            if let Some(connection) = self.free_connection(bounds) {
                return Some(connection);
            }
            set_if_unset(sent_at, ledger.clock.now());
            let connections = self.connections.borrow().len() + self.opening.get();
            if connections < bounds.max_connections {
                return self.open_connection(ledger).await;
            }
            timeout_at(ledger.clock.tokio_instant(deadline), self.freed.notified()).await.ok()?;
        }
    }

    fn free_connection(&self, bounds: ConnectionBounds) -> Option<Rc<Connection>> {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| !connection.is_closed());
        // The newest one first, so that connections that are not needed become idle.
        let mut newest_first = connections.iter().rev();
        newest_first.find(|connection| connection.in_flight() < bounds.max_pipelined).cloned()
    }

    async fn open_connection(self: &Rc<Target>, ledger: &Ledger) -> Option<Rc<Connection>> {
        self.opening.set(self.opening.get() + 1);
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address)).await;
        self.opening.set(self.opening.get() - 1);
        let stream = connected.ok()?.ok()?;
        self.failing_since.set(None);
        let _ = stream.set_nodelay(true);
        let connection = Rc::new(Connection::default());
        self.connections.borrow_mut().push(connection.clone());
        spawn_local(connection::run(
            connection.clone(),
            stream,
            self.balancer,
            self.freed.clone(),
            ledger.clone(),
        ));
        Some(connection)
    }
}
