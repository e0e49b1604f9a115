//! The budgets that all connections share: file descriptors, and bytes held in memory.
//!
//! Each grant returns its share to the budget when it is dropped. A permit is a hard limit: without
//! a free share it is refused or waited for. A guard only accounts for what its holder uses, which
//! may exceed the limit: before reading more, callers ask `has_memory` or `chunk_size`.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::rc::Rc;
use std::sync::Arc;

use basaltwood_wire::resp::MAX_BUFFERED_VALUE;
use tokio::sync::{Notify, OwnedSemaphorePermit, Semaphore};

/// Descriptors other than the connections of clients and hosts: standard streams, the runtime's,
/// signals, the listener, discovery's, and one accepted client that is not counted yet. Before the
/// first client, and without discovery's, 12 are in use.
const RESERVED_DESCRIPTORS: usize = 16;
/// The minimum number of connections, even if the descriptor limit is smaller.
const MIN_CONNECTIONS: usize = 4;
/// The unit, in bytes, in which memory for values is reserved.
const RESERVATION_UNIT: usize = 1024;
/// Chunks of a streamed value held at a time: one being read, one in the channel, one being
/// written.
const CHUNKS_PER_STREAM: usize = 3;
/// The smallest and the largest chunk of a streamed value, in bytes.
const CHUNK_SIZES: RangeInclusive<usize> = 4 * 1024..=64 * 1024;

/// Memory reserved for a value that is being read.
pub type ValuePermit = OwnedSemaphorePermit;

/// Descriptors and memory of this process.
pub struct ResourceBudget {
    connections: Cell<usize>,
    max_connections: Cell<usize>,
    /// Descriptors not available to connections.
    reserved_descriptors: usize,
    client_connections: Cell<usize>,
    /// Half of all connections, since each request needs a connection to a host beside its
    /// client's. Open connections to hosts do not lower it: clients would then wait while
    /// descriptors are unused.
    max_client_connections: Cell<usize>,
    held_bytes: Cell<usize>,
    max_held_bytes: Cell<usize>,
    /// Memory for values above 4 KiB that arrive in parts, in units of [`RESERVATION_UNIT`]. A
    /// value's whole size is reserved before the rest of it is read, in order of arrival. Values up
    /// to [`MAX_BUFFERED_VALUE`] are short; they have a semaphore of their own so that long ones do
    /// not delay them.
    long_values: Arc<Semaphore>,
    short_values: Arc<Semaphore>,
    max_long_value_units: usize,
    streams: Cell<usize>,
    /// The memory that the chunk size aims at for all streams together. As each of a stream's three
    /// chunks has at least 4 KiB, it is exceeded if there is more than one stream per 12 KiB of it.
    target_stream_bytes: usize,
    /// Notified when a descriptor or a guard's memory is returned and when the limits change, but
    /// not at the end of a reservation for a value or of a stream.
    pub freed: Notify,
    /// Clients that can be shed and have sent only complete commands, at least one.
    idle_clients: SheddableClients,
    /// Clients that can be shed and sent part of a command, or no command yet.
    awaited_clients: SheddableClients,
    /// Clients whose connections are shut down on this side and that have not closed yet.
    closing_clients: SheddableClients,
    next_wait: Cell<u64>,
}

/// The wakeups of clients that can be shed, by the number of their wait: the longest wait first.
type SheddableClients = RefCell<BTreeMap<u64, Rc<Notify>>>;

/// Removes a client from those that can be shed.
struct SheddableGuard<'a> {
    clients: &'a SheddableClients,
    wait: u64,
}

impl Drop for SheddableGuard<'_> {
    fn drop(&mut self) {
        self.clients.borrow_mut().remove(&self.wait);
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

/// The bytes in memory that one holder accounts for.
pub struct MemoryGuard {
    budget: Rc<ResourceBudget>,
    bytes: usize,
}

impl MemoryGuard {
    /// Sets how many bytes the holder has now.
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

/// Counts a value as being streamed until it is dropped.
pub struct StreamGuard(Rc<ResourceBudget>);

impl StreamGuard {
    /// The size in bytes of the chunks to read now; it shrinks as more values are streamed.
    pub fn chunk_size(&self) -> usize {
        let per_stream = self.0.target_stream_bytes / CHUNKS_PER_STREAM / self.0.streams.get();
        per_stream.clamp(*CHUNK_SIZES.start(), *CHUNK_SIZES.end())
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.0.streams.set(self.0.streams.get() - 1);
    }
}

impl ResourceBudget {
    /// Creates a budget of `descriptors` file descriptors, `reserved` of which are not for
    /// connections, and of `memory` bytes.
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
            target_stream_bytes: memory / 6,
            freed: Notify::new(),
            idle_clients: SheddableClients::default(),
            awaited_clients: SheddableClients::default(),
            closing_clients: SheddableClients::default(),
            next_wait: Cell::new(0),
        };
        budget.set_limits(descriptors, memory);
        Rc::new(budget)
    }

    /// Changes the limits. Connections past a lowered limit stay open until they are closed one by
    /// one: see [`ResourceBudget::excess_connections`].
    pub fn set_limits(&self, descriptors: usize, memory: usize) {
        let connections = descriptors.saturating_sub(self.reserved_descriptors).max(MIN_CONNECTIONS);
        self.max_connections.set(connections);
        self.max_client_connections.set(connections / 2);
        // A value may be held twice, in a request and in an answer, and hosts' buffers add to that.
        // Besides this quarter, a third is for long values of requests, a twelfth for short ones
        // that arrive in parts, and a sixth for streams; the last sixth is for the process itself.
        // The third, the twelfth and the sixth for streams are shares of the memory given to `new`
        // and do not change here: a successor that begins with half keeps the shares of that half.
        self.max_held_bytes.set(memory / 4);
        self.freed.notify_waiters();
    }

    /// The number of open connections above the limit.
    pub fn excess_connections(&self) -> usize {
        self.connections.get().saturating_sub(self.max_connections.get())
    }

    /// A descriptor for a connection to a host; `None` if all are in use.
    pub fn host_descriptor(self: &Rc<ResourceBudget>) -> Option<DescriptorPermit> {
        self.descriptor(false)
    }

    /// A descriptor for a client's connection; `None` if all are in use, or all of the clients'
    /// half.
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

    /// Whether a descriptor is available for one more client.
    pub fn has_client_descriptor(&self) -> bool {
        self.connections.get() < self.max_connections.get() && !self.clients_at_limit()
    }

    /// Whether clients hold all descriptors of their half.
    pub fn clients_at_limit(&self) -> bool {
        self.client_connections.get() >= self.max_client_connections.get()
    }

    /// Waits until this client is to be shed, which its `wakeup` signals. `awaits_command` means
    /// that it sent part of a command, or no command yet. Each call restarts the client's waiting
    /// time.
    pub async fn shed_requested(&self, awaits_command: bool, wakeup: &Rc<Notify>) {
        let clients = if awaits_command { &self.awaited_clients } else { &self.idle_clients };
        self.wait_to_be_shed(clients, wakeup).await;
    }

    /// Waits until the descriptor of a connection that is already shut down is needed.
    pub async fn descriptor_wanted(&self, wakeup: &Rc<Notify>) {
        self.wait_to_be_shed(&self.closing_clients, wakeup).await;
    }

    async fn wait_to_be_shed(&self, clients: &SheddableClients, wakeup: &Rc<Notify>) {
        let wait = self.next_wait.replace(self.next_wait.get() + 1);
        let _guard = SheddableGuard { clients, wait };
        clients.borrow_mut().insert(wait, wakeup.clone());
        wakeup.notified().await;
    }

    /// Asks one client to give up its descriptor: first one whose connection is already shut down,
    /// then the idle one whose connection has had no event for longest, and only if there is none,
    /// one whose command is awaited. Many clients of the last kind must not keep others out.
    pub fn shed_client(&self) {
        for clients in [&self.closing_clients, &self.idle_clients, &self.awaited_clients] {
            if let Some((_, wakeup)) = clients.borrow_mut().pop_first() {
                wakeup.notify_one();
                return;
            }
        }
    }

    /// Creates a guard for the bytes of one more holder.
    pub fn memory_guard(self: &Rc<ResourceBudget>) -> MemoryGuard {
        MemoryGuard { budget: self.clone(), bytes: 0 }
    }

    /// Whether a value of this length can ever be read.
    pub fn can_hold_value(&self, length: usize) -> bool {
        length.div_ceil(RESERVATION_UNIT) <= self.max_long_value_units
    }

    /// Waits for memory for a value, in order of the calls. `None` only if the semaphore is closed,
    /// which never happens.
    pub async fn reserve_value(self: Rc<ResourceBudget>, length: usize) -> Option<ValuePermit> {
        let values = if length > MAX_BUFFERED_VALUE { &self.long_values } else { &self.short_values };
        let units = length.div_ceil(RESERVATION_UNIT) as u32;
        values.clone().acquire_many_owned(units).await.ok()
    }

    /// Counts one more streamed value until the guard is dropped.
    pub fn start_stream(self: &Rc<ResourceBudget>) -> StreamGuard {
        self.streams.set(self.streams.get() + 1);
        StreamGuard(self.clone())
    }

    /// Whether more bytes may be held.
    pub fn has_memory(&self) -> bool {
        self.held_bytes.get() < self.max_held_bytes.get()
    }
}
