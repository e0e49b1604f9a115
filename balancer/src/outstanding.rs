//! Cancels attempts that are still out when they could take effect a second time. When that is, is
//! the policy's decision ([`BegunAttempts::cancel_at`]); this module waits for it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::policy::BegunAttempts;
use basaltwood::types::{AttemptNumber, AttemptOutcome, Micros, RetrySafety};
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::clock::{duration, Clock};

/// The begun attempts of one request. Of a request that may run any number of times, or is never
/// repeated, nothing is recorded.
pub struct OutstandingAttempts {
    begun: Option<Rc<watch::Sender<BegunAttempts>>>,
    clock: Rc<Clock>,
}

impl OutstandingAttempts {
    /// Creates the record of a request that its client may repeat from `deadline` on.
    pub fn new(clock: Rc<Clock>, safety: RetrySafety, deadline: Micros) -> OutstandingAttempts {
        let begun = BegunAttempts::new(safety, deadline);
        let begun = begun.has_window().then(|| Rc::new(watch::Sender::new(begun)));
        OutstandingAttempts { begun, clock }
    }

    /// Records that the first byte of an attempt is written now.
    pub fn begin(&self, number: AttemptNumber) -> OutstandingAttempt {
        let now = self.clock.now();
        self.modify(|begun| begun.begin(number, now));
        OutstandingAttempt { begun: self.begun.clone(), clock: self.clock.clone(), number }
    }

    /// Records the outcome of an attempt, which may prove that it never ran.
    pub fn attempt_ended(&self, number: AttemptNumber, outcome: AttemptOutcome) {
        if outcome.proves_not_run() {
            self.modify(|begun| begun.prove_not_run(number));
        }
    }

    /// Records that the request has its final answer or that its client has left.
    pub fn request_ended(&self) {
        let now = self.clock.now();
        self.modify(|begun| begun.end_request(now));
    }

    fn modify(&self, change: impl FnOnce(&mut BegunAttempts)) {
        if let Some(begun) = &self.begun {
            begun.send_modify(change);
        }
    }
}

/// An attempt of which at least one byte was written. It outlives its request where a late response
/// is awaited.
pub struct OutstandingAttempt {
    begun: Option<Rc<watch::Sender<BegunAttempts>>>,
    clock: Rc<Clock>,
    number: AttemptNumber,
}

impl OutstandingAttempt {
    /// Waits until the attempt has to be cancelled, which the caller does by dropping its
    /// connection. Meanwhile the system is told as well, for the time in which this process may be
    /// stopped: it resets a connection whose bytes stay unacknowledged until then.
    pub async fn wait_overdue(&self, socket: &TcpStream, delivery_limit: &DeliveryLimit) {
        let Some(begun) = &self.begun else {
            delivery_limit.set(socket, None);
            return std::future::pending().await;
        };
        let mut changes = begun.subscribe();
        loop {
            let (began_at, cancel_at) = {
                let begun = changes.borrow_and_update();
                (begun.began_at(self.number), begun.cancel_at(self.number))
            };
            let (Some(began_at), Some(cancel_at)) = (began_at, cancel_at) else {
                return std::future::pending().await;
            };
            delivery_limit.set(socket, Some(duration(cancel_at - began_at)));
            tokio::select! {
                () = sleep_until(self.clock.at(cancel_at)) => return,
                // Can't fail: `self` owns the sender.
                _ = changes.changed() => {}
            }
        }
    }

    /// How long after the time to cancel it this attempt was still out; `None` if it was not.
    pub fn overdue_by(&self) -> Option<Micros> {
        let cancel_at = self.begun.as_ref()?.borrow().cancel_at(self.number)?;
        Some(self.clock.now() - cancel_at).filter(|overdue| *overdue > 0)
    }
}

/// How long the system may try to deliver a connection's bytes (`TCP_USER_TIMEOUT`), as last set.
#[derive(Default)]
pub struct DeliveryLimit(Cell<Option<Duration>>);

impl DeliveryLimit {
    /// The shortest limit: the system takes zero for no limit.
    const SHORTEST: Duration = Duration::from_millis(1);

    /// Sets the limit on the connection's socket, unless it is set already.
    fn set(&self, socket: &TcpStream, limit: Option<Duration>) {
        if self.0.replace(limit) == limit {
            return;
        }
        let timeout = limit.map_or(Duration::ZERO, |limit| limit.max(DeliveryLimit::SHORTEST));
        // If this fails, the attempt is cancelled by this process alone.
        let _ = SockRef::from(socket).set_tcp_user_timeout(Some(timeout));
    }
}
