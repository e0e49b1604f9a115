//! What all connections share: one budget of descriptors, and one of the bytes that they hold.
//!
//! Every grant is a guard that gives back what it stands for when it is dropped.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;

use basaltwood_wire::resp::MAX_BUFFERED_VALUE;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Descriptors that are no connections of clients or hosts: standard streams, the runtime's,
/// signals, the listener, discovery's, and a client that is not yet counted. 12 were seen without
/// discovery's.
const RESERVED_DESCRIPTORS: usize = 16;
/// However small the limit, so many connections are allowed.
const MIN_CONNECTIONS: usize = 4;
/// The unit, in bytes, in which memory for values is reserved.
const RESERVATION_UNIT: usize = 1024;
/// Chunks of a streamed value held at a time: one read, one handed over, one written.
const CHUNKS_PER_STREAM: usize = 3;
/// How large a chunk of a streamed value may be, in bytes.
const CHUNK_SIZES: RangeInclusive<usize> = 4 * 1024..=64 * 1024;

/// Memory reserved for a value that is being read.
pub type ValuePermit = OwnedSemaphorePermit;

/// Descriptors and memory of this process.
pub struct ResourceBudget {
    connections: Cell<usize>,
    max_connections: Cell<usize>,
    /// Descriptors that are no connections.
    reserved_descriptors: usize,
    client_connections: Cell<usize>,
    /// Every request needs a connection to a host beside its client's. What hosts use counts into
    /// their half: were it kept free on top of that, clients would wait unserved while descriptors
    /// lie idle.
    max_client_connections: Cell<usize>,
    held_bytes: Cell<usize>,
    max_held_bytes: Cell<usize>,
    /// For values that are read, each reserved whole before its first byte, first come, first
    /// served: long ones, and short ones, which long ones must not keep waiting.
    long_values: Arc<Semaphore>,
    short_values: Arc<Semaphore>,
    max_long_value_units: usize,
    streams: Cell<usize>,
    max_stream_bytes: usize,
    /// Notified whenever something was given back.
    pub freed: Notify,
    /// Clients that can make room, by when their silence began: idle ones, and those with part of a
    /// command or none.
    idle_clients: SheddableClients,
    partial_clients: SheddableClients,
    /// Clients whose connections are shut and that have not closed yet.
    closing_clients: SheddableClients,
    next_silence: Cell<u64>,
}

/// Clients that may be asked to make room, the longest silence first.
type SheddableClients = RefCell<BTreeMap<u64, Rc<Notify>>>;

/// Takes a client out of those that may be asked to make room.
struct SheddableGuard<'a> {
    clients: &'a SheddableClients,
    silence: u64,
}

impl Drop for SheddableGuard<'_> {
    fn drop(&mut self) {
        self.clients.borrow_mut().remove(&self.silence);
    }
}

/// One descriptor for a connection.
pub struct DescriptorPermit {
    budget: Rc<ResourceBudget>,
    is_client: bool,
}

impl Drop for DescriptorPermit {
    fn drop(&mut self) {
        let budget = &self.budget;
        budget.connections.set(budget.connections.get() - 1);
        budget.client_connections.set(budget.client_connections.get() - usize::from(self.is_client));
        budget.freed.notify_waiters();
    }
}

/// Bytes that one holder has in memory.
pub struct MemoryGuard {
    budget: Rc<ResourceBudget>,
    bytes: usize,
}

impl MemoryGuard {
    /// The holder has so many bytes now.
    pub fn set(&mut self, bytes: usize) {
        let budget = &self.budget;
        budget.held_bytes.set(budget.held_bytes.get() + bytes - self.bytes);
        if bytes < self.bytes {
            budget.freed.notify_waiters();
        }
        self.bytes = bytes;
    }
}

impl Drop for MemoryGuard {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// A value that is being streamed.
pub struct StreamGuard(Rc<ResourceBudget>);

impl StreamGuard {
    /// How many bytes of it may be read at a time now: less, the more values stream.
    pub fn chunk_size(&self) -> usize {
        let per_stream = self.0.max_stream_bytes / CHUNKS_PER_STREAM / self.0.streams.get();
        per_stream.clamp(*CHUNK_SIZES.start(), *CHUNK_SIZES.end())
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

impl ResourceBudget {
    /// A budget of so many descriptors, of which some are reserved for others, and so many bytes.
    pub fn new(descriptors: usize, reserved: usize, memory: usize) -> Rc<ResourceBudget> {
        let max_long_value_units = memory / 3 / RESERVATION_UNIT;
        let budget = ResourceBudget {
            connections: Cell::new(0),
            max_connections: Cell::default(),
            reserved_descriptors: RESERVED_DESCRIPTORS + reserved,
            client_connections: Cell::new(0),
            max_client_connections: Cell::default(),
            held_bytes: Cell::new(0),
            max_held_bytes: Cell::default(),
            long_values: Arc::new(Semaphore::new(max_long_value_units)),
            short_values: Arc::new(Semaphore::new(memory / 12 / RESERVATION_UNIT)),
            max_long_value_units,
            streams: Cell::new(0),
            max_stream_bytes: memory / 6,
            freed: Notify::new(),
            idle_clients: SheddableClients::default(),
            partial_clients: SheddableClients::default(),
            closing_clients: SheddableClients::default(),
            next_silence: Cell::new(0),
        };
        budget.set_limits(descriptors, memory);
        Rc::new(budget)
    }

    /// The limits from now on. What is held past them is given back by and by: see
    /// [`ResourceBudget::excess_connections`].
    pub fn set_limits(&self, descriptors: usize, memory: usize) {
        let connections = descriptors.saturating_sub(self.reserved_descriptors).max(MIN_CONNECTIONS);
        self.max_connections.set(connections);
        self.max_client_connections.set(connections / 2);
        // Values wait twice, as a request and as an answer, and hosts' buffers come on top. Beside
        // this quarter stand a third for long requests, a twelfth for short ones that come in
        // parts, and a sixth for streams, all three from the start on; the last sixth is the
        // process's own.
        self.max_held_bytes.set(memory / 4);
        self.freed.notify_waiters();
    }

    /// How many connections there are more than there may be.
    pub fn excess_connections(&self) -> usize {
        self.connections.get().saturating_sub(self.max_connections.get())
    }

    /// A descriptor for a connection to a host; none where all are taken.
    pub fn host_descriptor(self: &Rc<ResourceBudget>) -> Option<DescriptorPermit> {
        self.descriptor(false)
    }

    /// A descriptor for a client's connection; none where all are taken, or the clients' half.
    pub fn client_descriptor(self: &Rc<ResourceBudget>) -> Option<DescriptorPermit> {
        if !self.has_client_descriptor() {
            return None;
        }
        self.descriptor(true)
    }

    fn descriptor(self: &Rc<ResourceBudget>, is_client: bool) -> Option<DescriptorPermit> {
        if self.connections.get() >= self.max_connections.get() {
            return None;
        }
        self.connections.set(self.connections.get() + 1);
        self.client_connections.set(self.client_connections.get() + usize::from(is_client));
        Some(DescriptorPermit { budget: self.clone(), is_client })
    }

    /// Whether one more client could have a descriptor.
    pub fn has_client_descriptor(&self) -> bool {
        self.connections.get() < self.max_connections.get() && !self.clients_at_limit()
    }

    /// Whether clients hold all the descriptors that they may.
    pub fn clients_at_limit(&self) -> bool {
        self.client_connections.get() >= self.max_client_connections.get()
    }

    /// Waits until this client is asked to make room, by its own wakeup. Each wait begins a new
    /// silence.
    pub async fn shed_requested(&self, is_partial: bool, wakeup: &Rc<Notify>) {
        let clients = if is_partial { &self.partial_clients } else { &self.idle_clients };
        self.asked_to_make_room(clients, wakeup).await;
    }

    /// Waits until the descriptor of a connection that is shut already is needed.
    pub async fn descriptor_wanted(&self, wakeup: &Rc<Notify>) {
        self.asked_to_make_room(&self.closing_clients, wakeup).await;
    }

    async fn asked_to_make_room(&self, clients: &SheddableClients, wakeup: &Rc<Notify>) {
        let silence = self.next_silence.replace(self.next_silence.get() + 1);
        let _guard = SheddableGuard { clients, silence };
        clients.borrow_mut().insert(silence, wakeup.clone());
        wakeup.notified().await;
    }

    /// Asks one client to make room: one whose connection is shut already, else the one that has
    /// been idle longest, and only where none is idle one with part of a command or none. A crowd
    /// of the latter must not keep others out.
    pub fn shed_client(&self) {
        for clients in [&self.closing_clients, &self.idle_clients, &self.partial_clients] {
            if let Some((_, wakeup)) = clients.borrow_mut().pop_first() {
                wakeup.notify_one();
                return;
            }
        }
    }

    /// Accounts for the bytes of one more holder.
    pub fn memory_guard(self: &Rc<ResourceBudget>) -> MemoryGuard {
        MemoryGuard { budget: self.clone(), bytes: 0 }
    }

    /// Whether a value of this length can ever be read.
    pub fn can_hold_value(&self, length: usize) -> bool {
        length.div_ceil(RESERVATION_UNIT) <= self.max_long_value_units
    }

    /// Memory for a value, once it is this one's turn.
    pub async fn reserve_value(self: Rc<ResourceBudget>, length: usize) -> Option<ValuePermit> {
        let values = if length > MAX_BUFFERED_VALUE { &self.long_values } else { &self.short_values };
        let units = length.div_ceil(RESERVATION_UNIT) as u32;
        values.clone().acquire_many_owned(units).await.ok()
    }

    /// One more value streams until the guard is dropped.
    pub fn start_stream(self: &Rc<ResourceBudget>) -> StreamGuard {
        self.streams.set(self.streams.get() + 1);
        StreamGuard(self.clone())
    }

    /// Whether any more bytes may be held.
    pub fn has_memory(&self) -> bool {
        self.held_bytes.get() < self.max_held_bytes.get()
    }
}
