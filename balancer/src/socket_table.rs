//! What the system shows of this machine's TCP connections (`/proc/net/tcp`, proc(5)): how many bytes
//! of one the peer's system has not acknowledged yet.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fs::File;
use std::io::{self, BufRead, BufReader};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};
use std::time::Duration;

use tokio::time::Instant;

#[cfg(test)]
mod tests;

/// The table of this process's own network.
const TABLE_FILE: &str = "/proc/self/net/tcp";
/// A table that was read is good for so long: many connections may end together.
const MIN_TABLE_AGE: Duration = Duration::from_millis(40);
/// And for so many times as long as it took to read: a machine may have tens of thousands of
/// connections, and reading holds this thread up.
const READING_SHARE: u32 = 20;
/// Bytes of the table that are held at a time.
const READ_BUFFER_BYTES: usize = 32 * 1024;
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

/// What a peer's system has not acknowledged.
#[derive(Clone, Copy, Debug)]
pub struct Unacknowledged {
    /// So many bytes, the end of the stream counted as one.
    pub bytes: u32,
    /// When the table was read.
    pub as_of: Instant,
}

/// The table as it was last read.
#[derive(Default)]
pub struct SocketTable {
    last: RefCell<Option<Snapshot>>,
}

struct Snapshot {
    read_at: Instant,
    /// Until when it is good.
    good_until: Instant,
    /// The local port of its connections.
    port: u16,
    /// Bytes that are not acknowledged, the end of the stream counted as one.
    unacknowledged: HashMap<Ends, u32>,
}

impl SocketTable {
    /// How far what was sent on a connection has come.
    pub fn delivery(&self, local: SocketAddr, remote: SocketAddr) -> Delivery {
        match self.unacknowledged(local, remote) {
            Some(Unacknowledged { bytes: 0, .. }) => Delivery::Complete,
            Some(_) => Delivery::Pending,
            None => Delivery::Unknown,
        }
    }

    /// How many bytes of a connection the peer's system has not acknowledged; none where this system
    /// does not tell.
    pub fn unacknowledged(&self, local: SocketAddr, remote: SocketAddr) -> Option<Unacknowledged> {
        let (SocketAddr::V4(local), SocketAddr::V4(remote)) = (local, remote) else { return None };
        let mut last = self.last.borrow_mut();
        let is_good = |last: &Snapshot| last.port == local.port() && Instant::now() < last.good_until;
        if !last.as_ref().is_some_and(is_good) {
            *last = Some(Snapshot::read(local.port()));
        }
        let last = last.as_ref()?;
        let bytes = last.unacknowledged.get(&(local, remote)).copied()?;
        Some(Unacknowledged { bytes, as_of: last.read_at })
    }
}

impl Snapshot {
    fn read(port: u16) -> Snapshot {
        let began = Instant::now();
        let unacknowledged = read_table(port).unwrap_or_else(|cause| {
            log::debug!("{TABLE_FILE}: {cause}; it is unknown what clients have received");
            HashMap::new()
        });
        let age = MIN_TABLE_AGE.max(began.elapsed() * READING_SHARE);
        Snapshot { read_at: began, good_until: Instant::now() + age, port, unacknowledged }
    }
}

fn read_table(port: u16) -> io::Result<HashMap<Ends, u32>> {
    let file = File::open(TABLE_FILE)?;
    parse_table(BufReader::with_capacity(READ_BUFFER_BYTES, file), port)
}

/// The connections of a table with this local port; lines that make no sense, its head among them,
/// are passed over.
fn parse_table(table: impl BufRead, port: u16) -> io::Result<HashMap<Ends, u32>> {
    let mut connections = HashMap::new();
    for line in table.lines() {
        let connection = parse_line(&line?);
        connections.extend(connection.filter(|((local, _), _)| local.port() == port));
    }
    Ok(connections)
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
