//! A connection to a cache host, the origin or discovery.

use std::io;
use std::net::SocketAddr;

use basaltwood_wire::buffer::Buffer;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::duplicates::ResponseFingerprint;
use crate::budget::DescriptorPermit;

/// A connection that this balancer opened. Dropping it closes it.
pub struct UpstreamConnection {
    pub stream: TcpStream,
    pub buffer: Buffer,
    /// The last response on the connection.
    pub(super) last_response: Option<ResponseFingerprint>,
    /// `None` if the connection uses a descriptor that is reserved for it.
    _permit: Option<DescriptorPermit>,
}

impl UpstreamConnection {
    /// Wraps an established connection; at most `max_buffered` bytes are buffered.
    pub fn new(
        stream: TcpStream,
        permit: Option<DescriptorPermit>,
        max_buffered: usize,
    ) -> UpstreamConnection {
        let buffer = Buffer::new(max_buffered);
        UpstreamConnection { stream, buffer, last_response: None, _permit: permit }
    }
}

/// Opens a connection.
///
/// # Errors
/// `TimedOut` if it is not established by `deadline`; otherwise the error of the system call.
pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let stream = timeout_at(deadline, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
