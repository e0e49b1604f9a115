//! Socket reads and writes that survive transient faults: interrupted calls, short reads and
//! writes, and a temporary lack of memory.
//!
//! The runtime uses edge-triggered polling: it takes a call that moved fewer bytes than it could as
//! the sign that the socket is drained (epoll(7)). If the socket was not drained, or an edge was
//! lost, the socket would never become ready again. So a socket without input is also read directly
//! a few times, at growing intervals, and the rest of a short write is written again at once.

use std::io::{self, ErrorKind, Read, Write};
use std::time::Duration;

use bytes::BufMut;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::io_errors::FaultOrigin;

/// The pause after a call failed for lack of a resource that the system soon frees.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(5);
/// The maximum number of such pauses during one read or write: half a second in total.
const MAX_SHORTAGE_PAUSES: u32 = 100;
/// After each group of this many interrupted calls there is a pause.
const INTERRUPTIONS_PER_PAUSE: u32 = 8;
const INTERRUPTION_PAUSE: Duration = Duration::from_millis(1);
/// The wait before the first direct read; it doubles before each further one.
const FIRST_DIRECT_READ: Duration = Duration::from_millis(10);
/// The maximum number of direct reads; the last one comes 1.3 s after the wait began.
const MAX_DIRECT_READS: u32 = 7;
/// The size of one call of a direct read.
const DIRECT_READ_BYTES: usize = 4 * 1024;
/// The maximum size of a direct read: a peer that sends without pause must not delay others.
const MAX_DIRECT_BYTES: usize = 64 * 1024;

/// Access to the TCP socket of a stream or of one of its halves.
pub trait TcpSocket {
    /// The underlying socket.
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

/// Counts the retries of one read or write.
#[derive(Default)]
struct RetryState {
    direct_reads: u32,
    shortage_pauses: u32,
    interruptions: u32,
}

impl RetryState {
    /// How long to wait for the runtime before the next direct read; `None` after the last one.
    fn next_wait(&mut self) -> Option<Duration> {
        let wait = FIRST_DIRECT_READ * 2u32.pow(self.direct_reads);
        (self.direct_reads < MAX_DIRECT_READS).then(|| {
            self.direct_reads += 1;
            wait
        })
    }

    /// Waits after a failed call until it can be repeated.
    ///
    /// # Errors
    /// The error itself if the call must not be repeated.
    async fn wait_to_retry(&mut self, error: io::Error) -> io::Result<()> {
        match FaultOrigin::of(&error) {
            FaultOrigin::Interrupted => {
                self.interruptions += 1;
                // A call that is interrupted repeatedly must not delay other tasks.
                if self.interruptions.is_multiple_of(INTERRUPTIONS_PER_PAUSE) {
                    sleep(INTERRUPTION_PAUSE).await;
                }
                Ok(())
            }
            FaultOrigin::LocalShortage if self.shortage_pauses < MAX_SHORTAGE_PAUSES => {
                self.shortage_pauses += 1;
                sleep(SHORTAGE_PAUSE).await;
                Ok(())
            }
            FaultOrigin::LocalShortage | FaultOrigin::Other => Err(error),
        }
    }
}

/// Reads available bytes and appends them to the buffer. Returns the number of bytes, 0 at the end
/// of the stream. Cancel safe.
///
/// # Errors
/// An error of the connection, or a shortage of system resources that lasts.
pub async fn read_buf(
    from: &mut (impl AsyncRead + TcpSocket + Unpin),
    buffer: &mut impl BufMut,
) -> io::Result<usize> {
    let mut retries = RetryState::default();
    loop {
        let read = match retries.next_wait() {
            Some(wait) => timeout(wait, from.read_buf(buffer)).await,
            None => Ok(from.read_buf(buffer).await),
        };
        match read.unwrap_or_else(|_| read_directly(from.tcp(), buffer)) {
            Ok(count) => return Ok(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => retries.wait_to_retry(error).await?,
        }
    }
}

/// Reads available bytes without the runtime, up to [`MAX_DIRECT_BYTES`] and the buffer's capacity;
/// 0 at the end of the stream.
///
/// # Errors
/// `WouldBlock` if nothing can be read now; any other error of the system call.
pub fn read_directly(from: &TcpStream, buffer: &mut impl BufMut) -> io::Result<usize> {
    let socket = SockRef::from(from);
    let mut bytes = [0; DIRECT_READ_BYTES];
    let mut total = 0;
    while buffer.has_remaining_mut() && total < MAX_DIRECT_BYTES {
        let max_bytes = buffer.remaining_mut().min(bytes.len());
        match (&mut &*socket).read(&mut bytes[..max_bytes]) {
            Ok(0) => break,
            Ok(count) => {
                buffer.put_slice(&bytes[..count]);
                total += count;
            }
            // The bytes read are returned first; the next call fails with the error again.
            Err(_) if total > 0 => break,
            Err(error) => return Err(error),
        }
    }
    Ok(total)
}

/// Writes as many bytes as the socket accepts without waiting.
fn write_directly(to: &TcpStream, bytes: &[u8]) -> usize {
    let socket = SockRef::from(to);
    let mut total = 0;
    while total < bytes.len() {
        match (&mut &*socket).write(&bytes[total..]) {
            Ok(0) => break,
            Ok(count) => total += count,
            // The bytes written are reported first; the next call fails with the error again.
            Err(_) => break,
        }
    }
    total
}

/// Writes some of the bytes and returns their number. Cancel safe.
///
/// # Errors
/// As of [`read_buf`].
pub async fn write_some(to: &mut (impl AsyncWrite + TcpSocket + Unpin), bytes: &[u8]) -> io::Result<usize> {
    let mut retries = RetryState::default();
    loop {
        match to.write(bytes).await {
            // After a short write the runtime waits for an edge, which comes only if the socket's
            // buffer was full.
            Ok(count) => return Ok(count + write_directly(to.tcp(), &bytes[count..])),
            Err(error) => retries.wait_to_retry(error).await?,
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
