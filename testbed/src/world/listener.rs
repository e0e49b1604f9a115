//! Listening sockets of the emulated machines.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Length of the listen queue, in connections.
pub const LISTEN_BACKLOG: i32 = 1024;

/// Listens on an IPv4 address, also right after another listener there was closed.
///
/// # Errors
/// The kernel's error if the address can't be bound.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG as u32)
}

/// Makes dropping the connection reset it instead of closing it gracefully.
pub fn reset_on_drop(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
