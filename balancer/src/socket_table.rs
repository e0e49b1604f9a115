//! Reads the kernel's table of TCP connections (`/proc/net/tcp`, proc(5)) to learn how many bytes
//! of a connection the peer's system has not acknowledged yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The table of this process's network namespace.
const TABLE_FILE: &str = "/proc/self/net/tcp";
/// A table is reused for at least this long after it was read: many connections may end together.
const MIN_REUSE_TIME: Duration = Duration::from_millis(40);
/// A table is reused for at least this multiple of the time that reading it took: a machine may
/// have tens of thousands of connections, and reading blocks the thread.
const REUSE_PER_READ_TIME: u32 = 20;
/// The size of the read buffer, in bytes.
const READ_BUFFER_BYTES: usize = 32 * 1024;
/// Positions of the fields in a line: both addresses and the queues.
const LOCAL_FIELD: usize = 1;
const REMOTE_FIELD: usize = 2;
const QUEUES_FIELD: usize = 4;

/// The local and the remote address of a connection.
type AddressPair = (SocketAddrV4, SocketAddrV4);

/// Whether the peer's system has received all that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// Everything is acknowledged.
    Complete,
    /// Some bytes are not acknowledged yet.
    Pending,
    /// The operating system does not report it.
    Unknown,
}

/// The unacknowledged bytes of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Unacknowledged {
    /// The number of bytes; the end of the stream counts as one.
    pub bytes: u32,
    /// When the table was read.
    pub as_of: Instant,
}

/// The table, read again once the last reading is out of date.
#[derive(Default)]
pub struct SocketTable {
    last: RefCell<Option<Snapshot>>,
}

struct Snapshot {
    read_at: Instant,
    valid_until: Instant,
    /// The local port of the connections.
    port: u16,
    /// The number of unacknowledged bytes; the end of the stream counts as one.
    unacknowledged: HashMap<AddressPair, u32>,
}

impl SocketTable {
    /// Whether everything sent on a connection was received.
    pub fn delivery(&self, local: SocketAddr, remote: SocketAddr) -> Delivery {
        match self.unacknowledged(local, remote) {
            Some(Unacknowledged { bytes: 0, .. }) => Delivery::Complete,
            Some(_) => Delivery::Pending,
            None => Delivery::Unknown,
        }
    }

    /// How many bytes of a connection the peer's system has not acknowledged; `None` where this
    /// system does not report it.
    pub fn unacknowledged(&self, local: SocketAddr, remote: SocketAddr) -> Option<Unacknowledged> {
        let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else { return None };
        let mut last = self.last.borrow_mut();
        let is_valid = |last: &Snapshot| last.port == local.port() && Instant::now() < last.valid_until;
        if !last.as_ref().is_some_and(is_valid) {
            *last = Some(Snapshot::read(local.port()));
        }
        let last = last.as_ref()?;
        let bytes = last.unacknowledged.get(&(local, remote)).copied()?;
        Some(Unacknowledged { bytes, as_of: last.read_at })
    }
}

impl Snapshot {
    fn read(port: u16) -> Snapshot {
        let read_at = Instant::now();
        let unacknowledged = read_table(port).unwrap_or_else(|cause| {
            log::debug!("can't read {TABLE_FILE}: {cause}; it is unknown what clients have received");
            HashMap::new()
        });
        let reuse_time = MIN_REUSE_TIME.max(read_at.elapsed() * REUSE_PER_READ_TIME);
        Snapshot { read_at, valid_until: Instant::now() + reuse_time, port, unacknowledged }
    }
}

fn read_table(port: u16) -> io::Result<HashMap<AddressPair, u32>> {
    let file = File::open(TABLE_FILE)?;
    parse_table(BufReader::with_capacity(READ_BUFFER_BYTES, file), port)
}

/// The connections of a table with this local port. Lines that can't be parsed, such as the header,
/// are skipped.
fn parse_table(table: impl BufRead, port: u16) -> io::Result<HashMap<AddressPair, u32>> {
    let mut connections = HashMap::new();
    for line in table.lines() {
        let connection = parse_line(&line?);
        connections.extend(connection.filter(|((local, _), _)| local.port() == port));
    }
    Ok(connections)
}

fn parse_line(line: &str) -> Option<(AddressPair, u32)> {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    let local = parse_address(fields.get(LOCAL_FIELD)?)?;
    let remote = parse_address(fields.get(REMOTE_FIELD)?)?;
    let (to_send, _) = fields.get(QUEUES_FIELD)?.split_once(':')?;
    Some(((local, remote), u32::from_str_radix(to_send, 16).ok()?))
}

/// Parses an address such as `0100007F:1F90`, which is 127.0.0.1:8080 on a little-endian machine:
/// the IP address is in the machine's byte order.
fn parse_address(text: &str) -> Option<SocketAddrV4> {
    let (address, port) = text.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from(address.to_ne_bytes()), port))
}
