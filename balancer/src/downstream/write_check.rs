//! Whether a client that a reply is written to takes anything of it.

use tokio::net::tcp::ReadHalf;

use crate::socket_table::{SocketTable, Unacknowledged};

/// What was known of a reply that waits to be written.
#[derive(Clone, Copy)]
pub struct WriteCheck {
    /// What the client's system has not acknowledged; none where this system does not tell.
    unacknowledged: Option<Unacknowledged>,
}

impl WriteCheck {
    /// What the system shows of this connection now.
    pub fn of(reader: &ReadHalf<'_>, sockets: &SocketTable) -> WriteCheck {
        let unacknowledged = match (reader.local_addr(), reader.peer_addr()) {
            (Ok(local), Ok(remote)) => sockets.unacknowledged(local, remote),
            _ => None,
        };
        WriteCheck { unacknowledged }
    }

    /// Whether the client took something since, or may have: on a machine with many connections
    /// the system is asked seldom.
    pub fn may_show_progress_since(self, before: WriteCheck) -> bool {
        match (before.unacknowledged, self.unacknowledged) {
            (Some(before), Some(now)) => now.bytes < before.bytes || now.as_of == before.as_of,
            _ => false,
        }
    }
}
