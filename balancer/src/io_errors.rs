//! Classifies errors of system calls by their origin.

use std::io::{self, ErrorKind};

/// The origin of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultOrigin {
    /// The call was interrupted by a signal and can be repeated at once.
    Interrupted,
    /// This machine temporarily lacks descriptors, memory, ports, a route or the like.
    LocalShortage,
    /// Neither an interruption nor a shortage: with a socket, the peer or the network path to it;
    /// with a file, for example that it does not exist.
    Other,
}

/// Whether an error means that the process or the machine has no free descriptor.
pub fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

impl FaultOrigin {
    /// Classifies an error by the numbers that Linux documents for sockets and files.
    pub fn of(error: &io::Error) -> FaultOrigin {
        if error.kind() == ErrorKind::Interrupted {
            return FaultOrigin::Interrupted;
        }
        match error.raw_os_error() {
            Some(
                libc::EMFILE
                | libc::ENFILE
                | libc::ENOBUFS
                | libc::ENOMEM
                | libc::EAGAIN
                | libc::EADDRNOTAVAIL
                | libc::EADDRINUSE
                | libc::ENETUNREACH
                | libc::ENETDOWN
                | libc::EPERM
                | libc::EACCES
                | libc::ENOSPC
                | libc::EIO,
            ) => FaultOrigin::LocalShortage,
            _ => FaultOrigin::Other,
        }
    }
}
