//! What all connections share: one budget of descriptors, and one of the bytes they hold.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;

use basaltwood_wire::resp::MOST_VALUE;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Descriptors that are no connections of clients or hosts: standard streams, the runtime's, signals, the listener, discovery's, and
/// a client that is not yet counted. 12 were seen without discovery's.
const OWN: usize = 16;

/// What room for values is counted in.
const UNIT: usize = 1024;
/// Pieces of a stream at a time: one read, one handed over, one written.
const WINDOW: usize = 3;
const PIECES: std::ops::RangeInclusive<usize> = 4 * 1024..=64 * 1024;

/// Memory for a value that is read, given back when dropped.
pub type ValuePermit = OwnedSemaphorePermit;

pub struct ResourceBudget {
    used: Cell<usize>,
    most: Cell<usize>,
    /// Descriptors that are no connections.
    aside: usize,
    clients: Cell<usize>,
    /// Every op needs a connection to a host beside its client's. What hosts use counts into their half: were
    /// it kept free on top of that, clients would wait unheard while descriptors lie idle.
    most_clients: Cell<usize>,
    bytes: Cell<usize>,
    most_bytes: Cell<usize>,
    /// For values that are read, each whole before its first byte, the first come first served: long ones, and short ones
    /// that they must not keep waiting.
    long: Arc<Semaphore>,
    short: Arc<Semaphore>,
    most_long: usize,
    streams: Cell<usize>,
    most_windows: usize,
    /// Something came back.
    pub freed: Notify,
    /// Clients that can make room, by when they fell silent: those that stand idle, and those with half a command or none.
    idle: Standing,
    halves: Standing,
    next: Cell<u64>,
}

type Standing = RefCell<BTreeMap<u64, Rc<Notify>>>;

/// Takes a client off the books of those that can make room.
struct Stands<'a>(&'a Standing, u64);

impl Drop for Stands<'_> {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// One descriptor, given back when dropped.
pub struct DescriptorPermit {
    budget: Rc<ResourceBudget>,
    client: bool,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.used.set(budget.used.get() - 1);
        budget.clients.set(budget.clients.get() - usize::from(self.client));
        budget.freed.notify_waiters();
    }
}

/// So many bytes held, given back when dropped.
pub struct MemoryGuard(Rc<ResourceBudget>, usize);

impl MemoryGuard {
    pub fn set(&mut self, bytes: usize) {
        let budget = &self.0;
        budget.bytes.set(budget.bytes.get() + bytes - self.1);
        if bytes < self.1 {
            budget.freed.notify_waiters();
        }
        self.1 = bytes;
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A value that streams.
pub struct StreamGuard(Rc<ResourceBudget>);

impl StreamGuard {
    /// How much of it may be read at a time now.
    pub fn piece(&self) -> usize {
        (self.0.most_windows / WINDOW / self.0.streams.get()).clamp(*PIECES.start(), *PIECES.end())
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

impl ResourceBudget {
    /// With some of the descriptors set aside for others.
    pub fn new(descriptors: usize, aside: usize, memory: usize) -> Rc<ResourceBudget> {
        let budget = ResourceBudget {
            used: Cell::new(0),
            most: Cell::default(),
            aside: OWN + aside,
            clients: Cell::new(0),
            most_clients: Cell::default(),
            bytes: Cell::new(0),
            most_bytes: Cell::default(),
            long: Arc::new(Semaphore::new(memory / 3 / UNIT)),
            short: Arc::new(Semaphore::new(memory / 12 / UNIT)),
            most_long: memory / 3 / UNIT,
            streams: Cell::new(0),
            most_windows: memory / 6,
            freed: Notify::new(),
            idle: Standing::default(),
            halves: Standing::default(),
            next: Cell::new(0),
        };
        budget.allow(descriptors, memory);
        Rc::new(budget)
    }

    /// So much is there from now on. What is held past that is given back by and by: see `over`.
    pub fn allow(&self, descriptors: usize, memory: usize) {
        let connections = descriptors.saturating_sub(self.aside).max(4);
        self.most.set(connections);
        self.most_clients.set(connections / 2);
        // Values wait twice, as a request and as an answer, and hosts' buffers come on top. Beside this quarter stand a
        // third for long requests, a twelfth for short ones that come in parts, and a sixth for streams' windows, all
        // three from the start on; the last sixth is the process's own.
        self.most_bytes.set(memory / 4);
        self.freed.notify_waiters();
    }

    /// How many connections there are more than there may be.
    pub fn over(&self) -> usize {
        self.used.get().saturating_sub(self.most.get())
    }

    pub fn take(self: &Rc<ResourceBudget>) -> Option<DescriptorPermit> {
        self.permit(false)
    }

    pub fn take_for_client(self: &Rc<ResourceBudget>) -> Option<DescriptorPermit> {
        self.room_for_client().then(|| self.permit(true)).flatten()
    }

    fn permit(self: &Rc<ResourceBudget>, client: bool) -> Option<DescriptorPermit> {
        if self.used.get() >= self.most.get() {
            return None;
        }
        self.used.set(self.used.get() + 1);
        self.clients.set(self.clients.get() + usize::from(client));
        Some(DescriptorPermit { budget: self.clone(), client })
    }

    pub fn room_for_client(&self) -> bool {
        self.used.get() < self.most.get() && !self.clients_full()
    }

    pub fn clients_full(&self) -> bool {
        self.clients.get() >= self.most_clients.get()
    }

    /// Waits until this client is to make room, by its bell. Each wait begins a new silence.
    pub async fn asked(&self, half: bool, bell: &Rc<Notify>) {
        let number = self.next.replace(self.next.get() + 1);
        let standing = if half { &self.halves } else { &self.idle };
        let _stands = Stands(standing, number);
        standing.borrow_mut().insert(number, bell.clone());
        bell.notified().await;
    }

    /// Asks one client to make room: the one that stood idle longest, and only where none does one that is owed an end of
    /// its silence. A crowd of halves must not keep others out.
    pub fn shed(&self) {
        let idle = self.idle.borrow_mut().pop_first();
        if let Some((_, bell)) = idle.or_else(|| self.halves.borrow_mut().pop_first()) {
            bell.notify_one();
        }
    }

    pub fn hold(self: &Rc<ResourceBudget>) -> MemoryGuard {
        MemoryGuard(self.clone(), 0)
    }

    /// Whether a value of this length can ever be read.
    pub fn bears(&self, length: usize) -> bool {
        length.div_ceil(UNIT) <= self.most_long
    }

    /// Memory for a value, once it is this one's turn.
    pub async fn reserve(self: Rc<ResourceBudget>, length: usize) -> Option<ValuePermit> {
        let part = if length > MOST_VALUE { &self.long } else { &self.short };
        part.clone().acquire_many_owned(length.div_ceil(UNIT) as u32).await.ok()
    }

    /// One more value streams until this is dropped.
    pub fn stream(self: &Rc<ResourceBudget>) -> StreamGuard {
        self.streams.set(self.streams.get() + 1);
        StreamGuard(self.clone())
    }

    pub fn room_for_bytes(&self) -> bool {
        self.bytes.get() < self.most_bytes.get()
    }
}
