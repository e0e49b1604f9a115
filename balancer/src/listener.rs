//! Where clients connect: a socket bound here, or one that the platform holds and every process of this balancer inherits.

use std::net::SocketAddr;

use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

/// Binds and listens.
///
/// # Errors
/// One line with the address.
pub fn bind(field: &str, address: SocketAddr) -> Result<TcpListener, String> {
    let listen = || {
        let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        // A restart takes its address over at once.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(1024)
    };
    listen().map_err(|cause: std::io::Error| format!("{field} on {address}: {cause}"))
}

/// Serves a listening socket that was inherited as this descriptor. It is never shut down: that would end it for every
/// process that holds it.
///
/// # Errors
/// One line where that is no socket which listens at this address.
pub fn inherited(descriptor: u16, address: SocketAddr) -> Result<TcpListener, String> {
    let named = |cause: &dyn std::fmt::Display| format!("PROXY_INHERITED_FD {descriptor}: {cause}");
    let none = "it is no socket that listens";
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    // What is open under this number may be anything, a file of the platform's included.
    let listener = taken.ok().flatten().ok_or_else(|| named(&none))?;
    if !SockRef::from(&listener).is_listener().unwrap_or(false) {
        return Err(named(&none));
    }
    let there = listener.local_addr().map_err(|cause| named(&cause))?;
    if there != address {
        return Err(named(&format_args!("it listens on {there}, not on {address}")));
    }
    listener.set_nonblocking(true).map_err(|cause| named(&cause))?;
    TcpListener::from_std(listener).map_err(|cause| named(&cause))
}
