//! Listening sockets: bound by this process, or inherited from the platform, which passes the same
//! socket to every process of the balancer.

use std::io;
use std::net::SocketAddr;

use listenfd::ListenFd;
use socket2::SockRef;
use tokio::net::{TcpListener, TcpSocket};

use crate::io_errors::FaultOrigin;

/// The length of the kernel's queue of connections to accept.
const BACKLOG: u32 = 1024;

/// Why the process can't listen. Displayed, it is one line that names the field or variable at
/// fault.
#[derive(Debug, thiserror::Error)]
pub enum ListenError {
    /// An address can't be bound.
    #[error("{field} on {address}: {cause}")]
    Bind {
        /// The configuration's field that gave the address.
        field: &'static str,
        /// The address.
        address: SocketAddr,
        /// The system's error.
        cause: io::Error,
    },
    /// The inherited descriptor can't be used.
    #[error("PROXY_INHERITED_FD {descriptor}: {cause}")]
    Inherited {
        /// The descriptor's number.
        descriptor: u16,
        /// What is wrong with the descriptor.
        cause: InheritedError,
    },
}

impl ListenError {
    /// Whether this process or its machine temporarily lacks descriptors or memory.
    pub fn is_shortage(&self) -> bool {
        let cause = match self {
            ListenError::Bind { cause, .. } => cause,
            ListenError::Inherited { cause: InheritedError::Io(cause), .. } => cause,
            ListenError::Inherited { .. } => return false,
        };
        // Permanent: another program has the address, this machine does not, or it is forbidden.
        let is_address = matches!(
            cause.kind(),
            io::ErrorKind::AddrInUse | io::ErrorKind::AddrNotAvailable | io::ErrorKind::PermissionDenied
        );
        !is_address && FaultOrigin::of(cause) != FaultOrigin::Other
    }
}

/// What is wrong with an inherited descriptor.
#[derive(Debug, thiserror::Error)]
pub enum InheritedError {
    /// The descriptor is closed, a file, or a socket that does not listen.
    #[error("the descriptor is not a listening socket")]
    NotListening,
    /// The socket listens on another address than the configured one.
    #[error("the socket listens on {actual}, but the configuration says {configured}")]
    OtherAddress {
        /// The address that the socket listens on.
        actual: SocketAddr,
        /// The address that the configuration gives.
        configured: SocketAddr,
    },
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] io::Error),
}

/// Binds a socket and listens on the address that this field of the configuration gives.
///
/// # Errors
/// [`ListenError::Bind`] if the system refuses.
pub fn bind(field: &'static str, address: SocketAddr) -> Result<TcpListener, ListenError> {
    bind_and_listen(address).map_err(|cause| ListenError::Bind { field, address, cause })
}

fn bind_and_listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a restarted process bind at once.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Takes the listening socket that was inherited as this descriptor. The socket must not be shut
/// down: it would stop listening for every process that holds it.
///
/// # Errors
/// [`ListenError::Inherited`] if the descriptor is not a socket that listens on this address.
pub fn inherited(descriptor: u16, address: SocketAddr) -> Result<TcpListener, ListenError> {
    take_inherited(descriptor, address).map_err(|cause| ListenError::Inherited { descriptor, cause })
}

fn take_inherited(descriptor: u16, address: SocketAddr) -> Result<TcpListener, InheritedError> {
    // listenfd reads the descriptor's number from the variables that systemd sets.
    std::env::remove_var("LISTEN_PID");
    std::env::set_var("LISTEN_FDS", "1");
    std::env::set_var("LISTEN_FDS_FIRST_FD", descriptor.to_string());
    let taken = ListenFd::from_env().take_tcp_listener(0);
    std::env::remove_var("LISTEN_FDS_FIRST_FD");
    // The descriptor may be anything, for example a file of the platform.
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
