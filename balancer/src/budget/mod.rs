//! The budgets that all connections share: file descriptors, and bytes held in memory.
//!
//! Each permit or grant returns its share to the budget when it is dropped. All are hard limits:
//! without a free share they are refused or waited for.

mod memory;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

use basaltwood_memory_ledger::{Connections, MemoryLimits};
use tokio::sync::Notify;

pub use memory::{MemoryBudget, MemoryGrant, PieceRoom, StreamGrant, ValueGrant};

/// Descriptors other than the connections of clients and hosts: standard streams, the runtime's,
/// signals, the listener, discovery's, and one accepted client that is not counted yet. Before the
/// first client, and without discovery's, 12 are in use.
const RESERVED_DESCRIPTORS: usize = 16;
/// The minimum number of connections, even if the descriptor limit is smaller.
const MIN_CONNECTIONS: usize = 4;

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
    /// The limits given last, from which those of memory follow.
    descriptors: Cell<usize>,
    memory_bytes: Cell<usize>,
    listed_hosts: Cell<usize>,
    /// The memory that may be held.
    pub memory: Rc<MemoryBudget>,
    /// Notified when a descriptor is returned and when the limits change.
    pub freed: Notify,
    /// Clients that can be shed and have sent only complete commands, at least one.
    idle_clients: SheddableClients,
    /// Clients that can be shed and sent part of a command, or no command yet.
    awaited_clients: SheddableClients,
    /// Clients whose connections are shut down on this side and that have not closed yet.
    closing_clients: SheddableClients,
    next_wait: Cell<u64>,
    /// Whether the process is about to end.
    is_ending: Cell<bool>,
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

impl ResourceBudget {
    /// Creates a budget of `descriptors` file descriptors, `reserved` of which are not for
    /// connections, and of `memory` bytes.
    pub fn new(descriptors: usize, reserved: usize, memory: usize) -> Rc<ResourceBudget> {
        let reserved_descriptors = RESERVED_DESCRIPTORS + reserved;
        let connections = most_connections(descriptors, reserved_descriptors, memory);
        let limits = memory_limits(memory, connections, 0);
        Rc::new(ResourceBudget {
            connections: Cell::new(0),
            max_connections: Cell::new(connections),
            reserved_descriptors,
            client_connections: Cell::new(0),
            max_client_connections: Cell::new(connections / 2),
            descriptors: Cell::new(descriptors),
            memory_bytes: Cell::new(memory),
            listed_hosts: Cell::new(0),
            memory: MemoryBudget::new(limits),
            freed: Notify::new(),
            idle_clients: SheddableClients::default(),
            awaited_clients: SheddableClients::default(),
            closing_clients: SheddableClients::default(),
            next_wait: Cell::new(0),
            is_ending: Cell::new(false),
        })
    }

    /// Changes the limits. Connections past a lowered limit stay open until they are closed one by
    /// one: see [`ResourceBudget::excess_connections`].
    pub fn set_limits(&self, descriptors: usize, memory: usize) {
        self.descriptors.set(descriptors);
        self.memory_bytes.set(memory);
        self.apply_limits();
    }

    /// Sets the number of listed hosts, each of which needs memory.
    pub fn set_listed_hosts(&self, listed_hosts: usize) {
        if self.listed_hosts.replace(listed_hosts) != listed_hosts {
            self.apply_limits();
        }
    }

    fn apply_limits(&self) {
        let (descriptors, memory) = (self.descriptors.get(), self.memory_bytes.get());
        let connections = most_connections(descriptors, self.reserved_descriptors, memory);
        self.max_connections.set(connections);
        self.max_client_connections.set(connections / 2);
        let limits = memory_limits(memory, connections, self.listed_hosts.get());
        self.memory.set_limits(limits);
        self.freed.notify_waiters();
    }

    /// The connections that are open, and the listed hosts.
    pub fn open_connections(&self) -> Connections {
        let clients = self.client_connections.get();
        let to_hosts = self.connections.get() - clients;
        Connections { clients, to_hosts, listed_hosts: self.listed_hosts.get() }
    }

    /// Whether others need what a peer holds that pauses in the middle of a value: over three quarters of the
    /// descriptors are in use, or over half of the memory for replies; or the process is about to end.
    pub fn is_scarce(&self) -> bool {
        let is_scarce = |used: usize, limit: usize| 4 * used > 3 * limit;
        self.is_ending.get()
            || is_scarce(self.connections.get(), self.max_connections.get())
            || is_scarce(self.client_connections.get(), self.max_client_connections.get())
            || self.memory.replies_are_scarce()
    }

    /// Records that the process is about to end: it waits for no pauses.
    pub fn process_ends(&self) {
        self.is_ending.set(true);
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
}

/// How many connections fit into the limits.
fn most_connections(descriptors: usize, reserved: usize, memory: usize) -> usize {
    let most = descriptors.saturating_sub(reserved).min(Connections::most_within(memory));
    most.max(MIN_CONNECTIONS)
}

/// The limits on memory beside so many connections, half of them clients'.
fn memory_limits(memory: usize, connections: usize, listed_hosts: usize) -> MemoryLimits {
    let clients = connections / 2;
    MemoryLimits::derive(memory, Connections { clients, to_hosts: connections - clients, listed_hosts })
}
