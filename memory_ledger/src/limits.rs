//! How the memory of a process is divided among the pools.

use crate::Pool;

/// The program itself: relocated code, the runtime and the policy with its open requests.
const PROCESS_BYTES: usize = 2 * 1024 * 1024;
/// A listed host: its state in the policy, its place in the ring, and its entry while a list is
/// read. Source: CAPACITY.md.
const LISTED_HOST_BYTES: usize = 4_500;
/// A client's connection: its task, a read buffer, one short command with its short answer, and the
/// short value of the next.
const CLIENT_BYTES: usize = 14 * 1024;
/// A connection to a host: its task and a read buffer.
const HOST_CONNECTION_BYTES: usize = 6 * 1024;
/// Connections may need one part in this many of the limit.
const CONNECTIONS_PART: usize = 4;
/// One part in this many is left to the allocator, which can't reuse every gap.
const ALLOCATOR_PART: usize = 8;
/// The parts of what can be granted, in forty-eighths.
const PARTS: [(Pool, usize); Pool::EACH.len()] =
    [(Pool::Commands, 4), (Pool::RequestValues, 23), (Pool::Answers, 13), (Pool::Streams, 8)];
const ALL_PARTS: usize = 48;

/// What a process may have open at a time, and the hosts that it knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Connections {
    /// Connections of clients.
    pub clients: usize,
    /// Connections to hosts.
    pub to_hosts: usize,
    /// Listed hosts.
    pub listed_hosts: usize,
}

impl Connections {
    /// The most connections that a limit on memory allows, half of them clients'.
    pub fn most_within(memory: usize) -> usize {
        memory / CONNECTIONS_PART / ((CLIENT_BYTES + HOST_CONNECTION_BYTES) / 2)
    }

    /// The memory that these need without any grant, in bytes.
    pub fn bytes(&self) -> usize {
        self.clients * CLIENT_BYTES
            + self.to_hosts * HOST_CONNECTION_BYTES
            + self.listed_hosts * LISTED_HOST_BYTES
    }
}

/// The most that may be held in each pool. With what is set aside for the process and for its
/// connections, their sum stays within the limit of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    memory: usize,
    pools: [usize; Pool::EACH.len()],
}

impl MemoryLimits {
    /// Divides `memory` bytes, if up to so many connections are open.
    pub fn derive(memory: usize, most: Connections) -> MemoryLimits {
        let free = memory.saturating_sub(PROCESS_BYTES + most.bytes());
        let granted = free - free / ALLOCATOR_PART;
        let mut pools = [0; Pool::EACH.len()];
        for (pool, parts) in PARTS {
            pools[pool as usize] = granted / ALL_PARTS * parts;
        }
        MemoryLimits { memory, pools }
    }

    /// The limit of the process, in bytes.
    pub fn memory(&self) -> usize {
        self.memory
    }

    /// The most bytes that may be held in a pool.
    pub fn of(&self, pool: Pool) -> usize {
        self.pools[pool as usize]
    }

    /// What the program itself needs, in bytes.
    pub fn process(&self) -> usize {
        PROCESS_BYTES
    }
}
