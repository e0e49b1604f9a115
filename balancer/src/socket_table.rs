//! What the system shows of this machine's TCP connections (`/proc/net/tcp`, proc(5)): how many bytes
//! of one the peer's system has not acknowledged yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The table of this process's own network.
const TABLE_FILE: &str = "/proc/self/net/tcp";
/// A table that was read is good for so long: many connections may end together.
const MAX_TABLE_AGE: Duration = Duration::from_millis(40);
/// A longer table, in bytes, would hold up this thread: some ten thousand connections.
const MAX_TABLE_BYTES: usize = 4 * 1024 * 1024;
/// Fields of a line that are read: both addresses and the queues.
const LOCAL_FIELD: usize = 1;
const REMOTE_FIELD: usize = 2;
const QUEUES_FIELD: usize = 4;

/// Both ends of a connection, this side's first.
type Ends = (SocketAddrV4, SocketAddrV4);

/// Whether the peer's system has all that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It has acknowledged all of it.
    Complete,
    /// It has not yet.
    Pending,
    /// The system does not tell.
    Unknown,
}

/// The table as it was last read.
#[derive(Default)]
pub struct SocketTable {
    last: RefCell<Option<Snapshot>>,
}

struct Snapshot {
    read_at: Instant,
    /// Bytes that are not acknowledged, the end of the stream counted as one.
    unacknowledged: HashMap<Ends, u32>,
}

impl SocketTable {
    /// How far what was sent on a connection has come.
    pub fn delivery(&self, local: SocketAddr, remote: SocketAddr) -> Delivery {
        let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else {
            return Delivery::Unknown;
        };
        let mut last = self.last.borrow_mut();
        if last.as_ref().is_none_or(|last| last.read_at.elapsed() > MAX_TABLE_AGE) {
            *last = Some(Snapshot { read_at: Instant::now(), unacknowledged: read_table() });
        }
        let unacknowledged = last.as_ref().and_then(|last| last.unacknowledged.get(&(local, remote)));
        match unacknowledged {
            Some(0) => Delivery::Complete,
            Some(_) => Delivery::Pending,
            None => Delivery::Unknown,
        }
    }
}

fn read_table() -> HashMap<Ends, u32> {
    match std::fs::read_to_string(TABLE_FILE) {
        Ok(table) if table.len() <= MAX_TABLE_BYTES => parse_table(&table),
        Ok(_) => HashMap::new(),
        Err(cause) => {
            log::debug!("{TABLE_FILE}: {cause}; it is unknown what clients have received");
            HashMap::new()
        }
    }
}

/// The connections of a table; lines that make no sense, its head among them, are passed over.
fn parse_table(table: &str) -> HashMap<Ends, u32> {
    table.lines().filter_map(parse_line).collect()
}

fn parse_line(line: &str) -> Option<(Ends, u32)> {
    let fields: Vec<&str> = line.split_ascii_whitespace().collect();
    let local = parse_address(fields.get(LOCAL_FIELD)?)?;
    let remote = parse_address(fields.get(REMOTE_FIELD)?)?;
    let (to_send, _) = fields.get(QUEUES_FIELD)?.split_once(':')?;
    Some(((local, remote), u32::from_str_radix(to_send, 16).ok()?))
}

/// `0100007F:1F90` is 127.0.0.1:8080: the address in the order of the machine's bytes.
fn parse_address(text: &str) -> Option<SocketAddrV4> {
    let (address, port) = text.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    let port = u16::from_str_radix(port, 16).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from(address.to_ne_bytes()), port))
}
