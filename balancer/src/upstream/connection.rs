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
    /// The last response that came on it.
    pub(super) last_response: Option<ResponseFingerprint>,
    /// None where its descriptor is set aside.
    _permit: Option<DescriptorPermit>,
}

impl UpstreamConnection {
    /// A connection that is up, and buffers `max_buffered` bytes at most.
    pub fn new(
        stream: TcpStream,
        permit: Option<DescriptorPermit>,
        max_buffered: usize,
    ) -> UpstreamConnection {
        let buffer = Buffer::new(max_buffered);
        UpstreamConnection { stream, buffer, last_response: None, _permit: permit }
    }
}

/// Opens a connection that is up by `deadline`.
///
/// # Errors
/// `TimedOut` where it is not up by then; else what the system says.
pub async fn connect(address: SocketAddr, deadline: Instant) -> io::Result<TcpStream> {
    let stream = timeout_at(deadline, TcpStream::connect(address)).await??;
    stream.set_nodelay(true)?;
    Ok(stream)
}
