//! Errors of system calls, sorted by whose fault they are; and reads and writes that a fault of the
//! moment does not end.

use std::io::{self, ErrorKind};
use std::time::Duration;

use bytes::BufMut;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::sleep;

/// The pause after a call failed for want of something that the system gets back soon.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// So many pauses follow one another at most: half a second.
const MAX_SHORTAGE_PAUSES: u32 = 100;

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

/// Waits after a failed call until it can be made again.
///
/// # Errors
/// The error itself where the call must not be made again.
async fn wait_to_retry(error: io::Error, pauses: &mut u32) -> io::Result<()> {
    match FaultOrigin::of(&error) {
        FaultOrigin::Interrupted => Ok(()),
        FaultOrigin::LocalShortage if *pauses < MAX_SHORTAGE_PAUSES => {
            *pauses += 1;
            sleep(SHORTAGE_PAUSE).await;
            Ok(())
        }
        FaultOrigin::LocalShortage | FaultOrigin::Peer => Err(error),
    }
}

/// Reads once into a buffer; 0 at the end of the stream. It is cancel safe.
///
/// # Errors
/// The peer's, or the system's where what it lacks does not come back.
pub async fn read_some(from: &mut (impl AsyncRead + Unpin), buffer: &mut [u8]) -> io::Result<usize> {
    let mut pauses = 0;
    loop {
        match from.read(buffer).await {
            Ok(count) => return Ok(count),
            Err(error) => wait_to_retry(error, &mut pauses).await?,
        }
    }
}

/// Reads once to the end of a growing buffer; 0 at the end of the stream. It is cancel safe.
///
/// # Errors
/// As of [`read_some`].
pub async fn read_buf(
    from: &mut (impl AsyncRead + Unpin),
    buffer: &mut (impl BufMut + ?Sized),
) -> io::Result<usize> {
    let mut pauses = 0;
    loop {
        match from.read_buf(buffer).await {
            Ok(count) => return Ok(count),
            Err(error) => wait_to_retry(error, &mut pauses).await?,
        }
    }
}

/// Writes some of the bytes. It is cancel safe.
///
/// # Errors
/// As of [`read_some`].
pub async fn write_some(to: &mut (impl AsyncWrite + Unpin), bytes: &[u8]) -> io::Result<usize> {
    let mut pauses = 0;
    loop {
        match to.write(bytes).await {
            Ok(count) => return Ok(count),
            Err(error) => wait_to_retry(error, &mut pauses).await?,
        }
    }
}

/// Writes all of the bytes.
///
/// # Errors
/// As of [`read_some`].
pub async fn write_all(to: &mut (impl AsyncWrite + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = write_some(to, bytes).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
