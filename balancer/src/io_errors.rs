//! Errors of system calls, sorted by whose fault they are.

use std::io::{self, ErrorKind};

/// Whose fault an error is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultOrigin {
    /// The call was interrupted: it is made again at once.
    Interrupted,
    /// This machine lacks something for the moment: descriptors, memory, ports, a route.
    LocalShortage,
    /// The peer, or the way to it.
    Peer,
}

/// Whether an error says that no descriptor is left, here or on the whole machine.
pub fn lacks_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(libc::EMFILE | libc::ENFILE))
}

impl FaultOrigin {
    /// Whose fault this error is, by the numbers that Linux documents for sockets and files.
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
            _ => FaultOrigin::Peer,
        }
    }
}
