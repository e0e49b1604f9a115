//! What all connections share: one budget of descriptors, and one of the bytes they hold.

use std::cell::Cell;
use std::rc::Rc;

use tokio::sync::Notify;

/// Descriptors that are no connections: standard streams, the runtime's, signals, the listener.
const OWN: usize = 24;

pub struct Budget {
    free: Cell<usize>,
    /// Clients leave so many to hosts, origin and list.
    kept_from_clients: usize,
    bytes: Cell<usize>,
    most_bytes: usize,
    /// Something came back.
    pub freed: Notify,
    /// Clients that stand idle are asked, one at a time, to make room.
    pub shed: Notify,
}

/// One descriptor, given back when dropped.
pub struct Permit(Rc<Budget>);

impl Drop for Permit {
    fn drop(&mut self) {
        self.0.free.set(self.0.free.get() + 1);
        self.0.freed.notify_waiters();
    }
}

/// So many bytes held, given back when dropped.
pub struct Held(Rc<Budget>, usize);

impl Held {
    pub fn set(&mut self, bytes: usize) {
        let budget = &self.0;
        budget.bytes.set(budget.bytes.get() + bytes - self.1);
        if bytes < self.1 {
            budget.freed.notify_waiters();
        }
        self.1 = bytes;
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.set(0);
    }
}

impl Budget {
    pub fn new(descriptors: usize, memory: usize) -> Rc<Budget> {
        let connections = descriptors.saturating_sub(OWN).max(4);
        Rc::new(Budget {
            free: Cell::new(connections),
            kept_from_clients: connections / 4,
            bytes: Cell::new(0),
            // Values wait twice, as a request and as an answer, and hosts' buffers come on top.
            most_bytes: memory / 4,
            freed: Notify::new(),
            shed: Notify::new(),
        })
    }

    pub fn take(self: &Rc<Budget>) -> Option<Permit> {
        let free = self.free.get();
        (free > 0).then(|| {
            self.free.set(free - 1);
            Permit(self.clone())
        })
    }

    pub fn take_for_client(self: &Rc<Budget>) -> Option<Permit> {
        self.room_for_client().then(|| self.take()).flatten()
    }

    pub fn room_for_client(&self) -> bool {
        self.free.get() > self.kept_from_clients
    }

    pub fn hold(self: &Rc<Budget>) -> Held {
        Held(self.clone(), 0)
    }

    pub fn room_for_bytes(&self) -> bool {
        self.bytes.get() < self.most_bytes
    }
}
