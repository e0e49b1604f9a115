//! Where clients and operators connect: a socket bound here, or one that the platform holds and every process of this
//! balancer inherits.

use std::io;
use std::net::SocketAddr;

use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

/// Connections that the system holds until they are accepted.
const BACKLOG: u32 = 1024;

/// Why the process can't listen. It displays as one line that names the field or variable.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// An address can't be bound.
    #[error("{field} on {address}: {cause}")]
    Bind {
        /// The configuration's field that gave the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// What the system says.
        cause: io::Error,
    },
    /// The inherited descriptor is of no use.
    #[error("PROXY_INHERITED_FD {descriptor}: {cause}")]
    Inherited {
        /// The descriptor's number.
        descriptor: u16,
        /// What is wrong with it.
        cause: InheritedError,
    },
}

/// What is wrong with an inherited descriptor.
#[derive(Debug, thiserror::Error)]
pub enum InheritedError {
    /// It is closed, or a file, or a socket of another kind.
    #[error("it is no socket that listens")]
    NotListening,
    /// It listens where the configuration does not say.
    #[error("it listens on {actual}, not on {configured}")]
    OtherAddress {
        /// Where it listens.
        actual: SocketAddr,
        /// Where the configuration has clients connect.
        configured: SocketAddr,
    },
    /// The system refuses something.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Binds and listens at the address that a field of the configuration gave.
///
/// # Errors
/// [`ListenError::Bind`] where the system refuses.
pub fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    bind_and_listen(address).map_err(|cause| ListenError::Bind { field, address, cause })
}

fn bind_and_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restart takes its address over at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves a listening socket that was inherited as this descriptor. It is never shut down: that would end it for every
/// process that holds it.
///
/// # Errors
/// [`ListenError::Inherited`] where that is no socket which listens at this address.
pub fn inherited(descriptor: u16, address: SocketAddr) -> Result<TcpListener, ListenError> {
    take_inherited(descriptor, address).map_err(|cause| ListenError::Inherited { descriptor, cause })
}

fn take_inherited(descriptor: u16, address: SocketAddr) -> Result<TcpListener, InheritedError> {
    // listenfd reads the descriptor's number from variables as systemd sets them.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    // What is open under this number may be anything, a file of the platform's included.
    let listener = taken.ok().flatten().ok_or(InheritedError::NotListening)?;
    if !SockRef::from(&listener).is_listener().unwrap_or(false) {
        return Err(InheritedError::NotListening);
    }
    let actual = listener.local_addr()?;
    if actual != address {
        return Err(InheritedError::OtherAddress { actual, configured: address });
    }
    listener.set_nonblocking(true)?;
    Ok(TcpListener::from_std(listener)?)
}
