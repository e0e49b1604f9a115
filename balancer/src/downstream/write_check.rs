//! Detects whether a client is still receiving the reply that is being written to it.

use tokio::net::tcp::ReadHalf;

use crate::socket_table::{SocketTable, Unacknowledged};

/// The unacknowledged bytes of a connection at one point in time.
#[derive(Clone, Copy)]
pub struct WriteCheck {
    /// `None` where the operating system does not report them.
    unacknowledged: Option<Unacknowledged>,
}

impl WriteCheck {
    /// Checks the connection now.
    pub fn of(reader: &ReadHalf<'_>, sockets: &SocketTable) -> WriteCheck {
        let unacknowledged = match (reader.local_addr(), reader.peer_addr()) {
            (Ok(local), Ok(remote)) => sockets.unacknowledged(local, remote),
            _ => None,
        };
        WriteCheck { unacknowledged }
    }

    /// Whether the client has received bytes since the check `before`, or may have: on a machine
    /// with many connections both checks may rest on the same reading of the socket table.
    pub fn may_show_progress_since(self, before: WriteCheck) -> bool {
        match (before.unacknowledged, self.unacknowledged) {
            (Some(before), Some(now)) => now.bytes < before.bytes || now.as_of == before.as_of,
            _ => false,
        }
    }
}
