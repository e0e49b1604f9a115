//! The one way in which a client's connection ends: its reason, and what the client is still owed.
//!
//! A reply counts once its client's system has all of it. A close over bytes that were not read, or
//! that come after it, resets the connection and takes with it what the client's system has not got
//! yet. So the sending side is shut first, and what still comes is read and discarded until the
//! client has closed or its time is up.

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

/// The client's end is awaited so long: no client waits longer for an answer, by the operators'
/// protocol. One whose descriptor is needed by another is waited for no longer.
const MAX_LINGER: Duration = Duration::from_secs(3);
/// The same where the system does not tell what the client has received. Most read at once; a client
/// that is slower, on such a system, may lose the end of its last reply.
const MAX_UNKNOWN_LINGER: Duration = Duration::from_millis(1_200);
/// The client is given so long to close by itself; then the system is asked what it has received,
/// again and again.
const FIRST_CHECK: Duration = Duration::from_millis(200);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Bytes that are read and discarded at a time meanwhile.
const DISCARD_BUFFER: usize = 16 * 1024;

/// Why a client's connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseReason {
    /// The client has closed its connection, or ended its sending.
    ClientLeft,
    /// The connection broke.
    ConnectionBroken,
    /// The client asked to be let go.
    ClientQuit,
    /// The client broke the protocol, and was told so.
    ProtocolError,
    /// The client sent nothing, or nothing more of a command, for too long.
    ClientSilent,
    /// The client took nothing of a reply for too long.
    ReaderStalled,
    /// Another client needs its descriptor.
    Shed,
    /// The process drains or ends, and the connection is idle.
    Draining,
    /// A host gave only the beginning of a long value.
    ValueTruncated,
}

impl CloseReason {
    /// Whether replies may be owed at this end: the client can't get them (it left, or takes
    /// nothing), or can tell that it has not (nothing can be written behind half a value).
    pub fn may_owe_replies(self) -> bool {
        use CloseReason::{ClientLeft, ConnectionBroken, ReaderStalled, ValueTruncated};
        matches!(self, ClientLeft | ConnectionBroken | ReaderStalled | ValueTruncated)
    }

    /// Whether the client may still be reading what was written.
    pub fn client_may_read(self) -> bool {
        use CloseReason::{ClientLeft, ConnectionBroken, ReaderStalled};
        !matches!(self, ClientLeft | ConnectionBroken | ReaderStalled)
    }
}

/// How a connection stood at its end.
#[derive(Clone, Copy, Debug)]
pub struct Closed {
    /// The connection's number in the log.
    pub number: u64,
    /// Why it ends.
    pub reason: CloseReason,
    /// Replies that its client has not been written.
    pub owed: usize,
}

/// Ends a client's connection, and returns once its client has closed too or is not waited for.
pub async fn close(shared: &Rc<Shared>, mut stream: TcpStream, closed: Closed) {
    let Closed { number, reason, owed } = closed;
    log::debug!(client = number, reason:?, owed; "client connection ends");
    if owed > 0 && !reason.may_owe_replies() {
        shared
            .invariants
            .violated(Invariant::ReplyOwedAtClose, format_args!("client {number}, {reason:?}, {owed} owed"));
    }
    if !reason.client_may_read() || stream.shutdown().await.is_err() {
        return;
    }
    let wakeup = Rc::default();
    tokio::select! {
        _ = timeout(MAX_LINGER, delivered(shared, &mut stream)) => {}
        () = shared.budget.descriptor_wanted(&wakeup) => {}
    }
}

/// Reads and discards until the client has closed, or its system has all that was sent: a reset
/// takes nothing from it then.
async fn delivered(shared: &Shared, stream: &mut TcpStream) {
    let (Ok(local), Ok(remote)) = (stream.local_addr(), stream.peer_addr()) else { return };
    let began = Instant::now();
    let mut check_at = began + FIRST_CHECK;
    loop {
        let mut discarded = BytesMut::with_capacity(DISCARD_BUFFER).limit(DISCARD_BUFFER);
        tokio::select! {
            read = read_buf(stream, &mut discarded) => if !matches!(read, Ok(1..)) {
                return;
            },
            () = sleep_until(check_at) => {
                match shared.sockets.delivery(local, remote) {
                    Delivery::Complete => return,
                    Delivery::Unknown if began.elapsed() >= MAX_UNKNOWN_LINGER => return,
                    Delivery::Unknown | Delivery::Pending => {}
                }
                check_at = Instant::now() + CHECK_INTERVAL;
            }
        }
    }
}
