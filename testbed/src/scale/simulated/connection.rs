//! A connection that a simulated balancer opened, to a host or to discovery.

use std::io;
use std::net::SocketAddr;

use basaltwood_wire::buffer::Buffer;
use tokio::net::TcpStream;

/// An open connection. Dropping it closes it.
pub(super) struct Connection {
    pub(super) stream: TcpStream,
    pub(super) buffer: Buffer,
}

impl Connection {
    /// Opens a connection that buffers at most `max_buffered` bytes.
    pub(super) async fn connect(address: SocketAddr, max_buffered: usize) -> io::Result<Connection> {
        let stream = TcpStream::connect(address).await?;
        let _ = stream.set_nodelay(true);
        Ok(Connection { stream, buffer: Buffer::new(max_buffered) })
    }
}
