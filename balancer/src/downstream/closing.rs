//! Closes a client's connection without losing replies.
//!
//! A reply counts once the client's system has received all of it. A close while received bytes are
//! unread, or before further bytes arrive, resets the connection, and the client loses what its
//! system has not received yet. So the sending side is shut down first, and input is read and
//! discarded until the client has closed too or a time limit is reached.

use std::rc::Rc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{sleep_until, timeout, Instant};

use crate::invariants::Invariant;
use crate::shared::Shared;
use crate::socket_io::read_buf;
use crate::socket_table::Delivery;

/// How long to wait for the client to close: by the operators' protocol no client waits longer for
/// an answer. The wait ends early if another client needs the descriptor.
const MAX_LINGER: Duration = Duration::from_secs(3);
/// The same where the operating system does not report what the client has received. Most clients
/// read at once; on such a system a slower one may lose the end of its last reply.
const MAX_UNKNOWN_LINGER: Duration = Duration::from_millis(1_200);
/// How long the client has to close by itself before the first check of what it has received.
const FIRST_CHECK: Duration = Duration::from_millis(200);
/// The time between further checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes that are read and discarded at a time.
const DISCARD_BUFFER: usize = 16 * 1024;

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed its connection or its sending side.
    ClientLeft,
    /// A read or write failed.
    ConnectionBroken,
    /// The client sent QUIT.
    ClientQuit,
    /// The client violated the protocol and was sent an error.
    ProtocolError,
    /// The client sent no command, or not the rest of one, in time.
    ClientSilent,
    /// The client received nothing of a reply between two checks of its unacknowledged bytes.
    ReaderStalled,
    /// Another client needs the descriptor.
    Shed,
    /// The process drains or ends, and the connection is idle.
    Draining,
    /// A host sent only the beginning of a long value.
    ValueTruncated,
}

impl CloseReason {
    /// Whether replies may be left unsent for this reason: the client can't receive them (it left
    /// or does not read), or it can tell that they are missing (its last value is incomplete).
    pub fn allows_pending_replies(self) -> bool {
        use CloseReason::{ClientLeft, ConnectionBroken, ReaderStalled, ValueTruncated};
        matches!(self, ClientLeft | ConnectionBroken | ReaderStalled | ValueTruncated)
    }

    /// Whether the client may still be reading what was written.
    pub fn client_may_read(self) -> bool {
        use CloseReason::{ClientLeft, ConnectionBroken, ReaderStalled};
        !matches!(self, ClientLeft | ConnectionBroken | ReaderStalled)
    }
}

/// The state of a connection that is no longer served.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
    /// The connection's number in the log.
    pub number: u64,
    /// Why the connection is closed.
    pub reason: CloseReason,
    /// The number of replies that were not written in full.
    pub pending_replies: usize,
    /// Whether anything was ever sent to the client.
    pub has_sent: bool,
    /// The number of requests among them that have begun and whose client has to be told how they ended.
    pub untold_effects: usize,
}

/// Closes a client's connection. Returns once the client has closed too, has received everything,
/// or is no longer waited for.
pub async fn close(shared: &Rc<Shared>, mut stream: TcpStream, closed: Closed) {
    let Closed { number, reason, pending_replies, has_sent, untold_effects } = closed;
    log::debug!(client = number, reason:?, owed = pending_replies, untold_effects; "client connection ends");
    let is_truncated = reason == CloseReason::ValueTruncated;
    if (pending_replies > 0 && !reason.allows_pending_replies()) || (untold_effects > 0 && is_truncated) {
        shared.invariants.violated(
            Invariant::ReplyOwedAtClose,
            format_args!("client {number}, {reason:?}, {pending_replies} replies pending, {untold_effects} with effects"),
        );
    }
    // A client that was sent nothing can lose nothing, and another one waits for its descriptor.
    let can_lose_nothing = reason == CloseReason::Shed && !has_sent;
    if !reason.client_may_read() || can_lose_nothing || stream.shutdown().await.is_err() {
        return;
    }
    let wakeup = Rc::default();
    tokio::select! {
        _ = timeout(MAX_LINGER, discard_until_delivered(shared, &mut stream)) => {}
        () = shared.budget.descriptor_wanted(&wakeup) => {}
    }
}

/// Reads and discards input until the client has closed, or its system has received all that was
/// sent: a reset loses nothing then.
async fn discard_until_delivered(shared: &Shared, stream: &mut TcpStream) {
    let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else { return };
    let started_at = Instant::now();
    let mut check_at = started_at + FIRST_CHECK;
    loop {
        let mut discarded = BytesMut::with_capacity(DISCARD_BUFFER).limit(DISCARD_BUFFER);
        tokio::select! {
            read = read_buf(stream, &mut discarded) => if !matches!(read, Ok(1..)) {
                return;
            },
            () = sleep_until(check_at) => {
                match shared.sockets.delivery(local, remote) {
                    Delivery::Complete => return,
                    Delivery::Unknown if started_at.elapsed() >= MAX_UNKNOWN_LINGER => return,
                    Delivery::Unknown | Delivery::Pending => {}
                }
                check_at = Instant::now() + CHECK_INTERVAL;
            }
        }
    }
}
