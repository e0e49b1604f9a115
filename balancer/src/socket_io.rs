//! Reads and writes on sockets that a fault of the moment does not end: interrupted calls, short
//! ones, and a lack of memory that passes.
//!
//! The runtime waits for edges: it takes a call that moved fewer bytes than it might for the sign
//! that nothing is left (epoll(7)). Where that was not so, or an edge got lost, nothing would come
//! any more. So a socket that stays silent is read directly a few times, ever less often, and what a
//! short write left is offered once more at once.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use bytes::BufMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::io_errors::FaultOrigin;

/// The pause after a call failed for want of something that the system gets back soon.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// So many pauses follow one another at most: half a second.
const MAX_SHORTAGE_PAUSES: u32 = 100;
/// After so many interruptions in a row a call pauses for so long.
const INTERRUPTIONS_AT_ONCE: u32 = 8;
const INTERRUPTION_PAUSE: Duration = Duration::from_millis(1);
/// A silent socket is asked directly after this time, and again after twice as long each time.
const FIRST_DIRECT_CALL: Duration = Duration::from_millis(10);
/// So often: the last call comes 1.3 s after the silence began.
const MAX_DIRECT_CALLS: u32 = 7;
/// Bytes that a direct read takes at a time, and at most: a peer that never stops must not keep the
/// others waiting.
const DIRECT_READ_BYTES: usize = 4 * 1024;
const MAX_DIRECT_BYTES: usize = 64 * 1024;

/// Something that reads or writes a TCP socket.
pub trait TcpSocket {
    /// The socket.
    fn tcp(&self) -> &TcpStream;
}

impl TcpSocket for TcpStream {
    fn tcp(&self) -> &TcpStream {
        self
    }
}

impl TcpSocket for ReadHalf<'_> {
    fn tcp(&self) -> &TcpStream {
        self.as_ref()
    }
}

impl TcpSocket for WriteHalf<'_> {
    fn tcp(&self) -> &TcpStream {
        self.as_ref()
    }
}

/// The patience with one socket during one read or write.
#[derive(Default)]
struct Patience {
    direct_calls: u32,
    shortage_pauses: u32,
    interruptions: u32,
}

impl Patience {
    /// How long to wait for the runtime before the socket is asked directly; none where it was asked
    /// often enough.
    fn next_wait(&mut self) -> Option<Duration> {
        let wait = FIRST_DIRECT_CALL * 2u32.pow(self.direct_calls);
        (self.direct_calls < MAX_DIRECT_CALLS).then(|| {
            self.direct_calls += 1;
            wait
        })
    }

    /// Waits after a failed call until it can be made again.
    ///
    /// # Errors
    /// The error itself where the call must not be made again.
    async fn wait_to_retry(&mut self, error: io::Error) -> io::Result<()> {
        match FaultOrigin::of(&error) {
            FaultOrigin::Interrupted => {
                self.interruptions += 1;
                // A call that is interrupted again and again must not keep others waiting.
                if self.interruptions.is_multiple_of(INTERRUPTIONS_AT_ONCE) {
                    sleep(INTERRUPTION_PAUSE).await;
                }
                Ok(())
            }
            FaultOrigin::LocalShortage if self.shortage_pauses < MAX_SHORTAGE_PAUSES => {
                self.shortage_pauses += 1;
                sleep(SHORTAGE_PAUSE).await;
                Ok(())
            }
            FaultOrigin::LocalShortage | FaultOrigin::Peer => Err(error),
        }
    }
}

/// Reads once to the end of a growing buffer; 0 at the end of the stream. It is cancel safe.
///
/// # Errors
/// The peer's, or the system's where what it lacks does not come back.
pub async fn read_buf(
    from: &mut (impl AsyncRead + TcpSocket + Unpin),
    buffer: &mut impl BufMut,
) -> io::Result<usize> {
    let mut patience = Patience::default();
    loop {
        let read = match patience.next_wait() {
            Some(wait) => timeout(wait, from.read_buf(buffer)).await,
            None => Ok(from.read_buf(buffer).await),
        };
        match read.unwrap_or_else(|_| read_directly(from.tcp(), buffer)) {
            Ok(count) => return Ok(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => patience.wait_to_retry(error).await?,
        }
    }
}

/// Reads all that is there, as much as there is room for; 0 at the end of the stream.
fn read_directly(from: &TcpStream, buffer: &mut impl BufMut) -> io::Result<usize> {
    let socket = SockRef::from(from);
    let mut bytes = [0; DIRECT_READ_BYTES];
    let mut total = 0;
    while buffer.has_remaining_mut() && total < MAX_DIRECT_BYTES {
        let room = buffer.remaining_mut().min(bytes.len());
        match (&mut &*socket).read(&mut bytes[..room]) {
            Ok(0) => break,
            Ok(count) => {
                buffer.put_slice(&bytes[..count]);
                total += count;
            }
            // What was read counts; the error comes again with the next call.
            Err(_) if total > 0 => break,
            Err(error) => return Err(error),
        }
    }
    Ok(total)
}

/// Writes as much as is taken without waiting.
fn write_directly(to: &TcpStream, bytes: &[u8]) -> usize {
    let socket = SockRef::from(to);
    let mut total = 0;
    while total < bytes.len() {
        match (&mut &*socket).write(&bytes[total..]) {
            Ok(0) => break,
            Ok(count) => total += count,
            // What was written counts; the error comes again with the next call.
            Err(_) => break,
        }
    }
    total
}

/// Writes some of the bytes. It is cancel safe.
///
/// # Errors
/// As of [`read_buf`].
pub async fn write_some(to: &mut (impl AsyncWrite + TcpSocket + Unpin), bytes: &[u8]) -> io::Result<usize> {
    let mut patience = Patience::default();
    loop {
        match to.write(bytes).await {
            // The runtime waits for an edge now, which comes only where the system has no room.
            Ok(count) => return Ok(count + write_directly(to.tcp(), &bytes[count..])),
            Err(error) => patience.wait_to_retry(error).await?,
        }
    }
}

/// Writes all of the bytes.
///
/// # Errors
/// As of [`read_buf`].
pub async fn write_all(to: &mut (impl AsyncWrite + TcpSocket + Unpin), mut bytes: &[u8]) -> io::Result<()> {
    while !bytes.is_empty() {
        let written = write_some(to, bytes).await?;
        if written == 0 {
            return Err(ErrorKind::WriteZero.into());
        }
        bytes = &bytes[written..];
    }
    Ok(())
}
