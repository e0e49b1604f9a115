//! Listening sockets of the emulated machines.

use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that the kernel may hold ready to be accepted.
pub const LISTEN_BACKLOG: i32 = 1024;

/// Listens on an IPv4 address that may have been in use until now.
///
/// # Errors
/// What the kernel says where the address can't be had.
pub fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG as u32)
}

/// The connection is reset, not closed in good order, when it is dropped.
pub fn reset_on_drop(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
