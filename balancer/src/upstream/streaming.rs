//! Streams long values to the client in pieces as they arrive.

use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::HostId;
use basaltwood_connection_pool::ConnectionId;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

use super::checkout::CheckedOut;
use super::messages::{Trailer, ValueEnding};
use super::value::{read_end, read_trailer, ValueError};
use super::{SurplusPlace, UpstreamConnection, UpstreamEvent, Upstreams};
use crate::budget::{PieceRoom, ResourceBudget, StreamGrant};
use crate::pauses::Pause;
use crate::socket_io::read_buf;
use crate::value::{Piece, StreamPart};

/// How often a host that pauses in the middle of a value is looked at.
const PAUSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long to wait for the bytes that show that a value is whole: its host has sent all of it.
const END_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait for the rest of a response whose value was passed on.
const TRAILER_TIMEOUT: Duration = Duration::from_millis(500);

/// A long value on its way from a host.
pub struct ValueStream {
    pub host: HostId,
    pub id: ConnectionId,
    /// A connection whose next bytes are the value.
    pub connection: UpstreamConnection,
    /// The length of the value, in bytes.
    pub length: usize,
    /// What follows the value.
    pub ending: ValueEnding,
}

/// Why a value was not passed on whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StreamFailure {
    /// The host sent no more of it.
    Truncated {
        /// The bytes that are missing.
        left: usize,
    },
    /// What follows the value shows that the length in its head is wrong.
    LengthWrong,
    /// Nobody reads it any more.
    ClientGone,
}

impl Upstreams {
    /// Streams a long value, reading only as fast as its pieces are taken. For the policy the
    /// attempt has ended; the result of the stream affects only the host's health and the connection.
    pub(super) async fn stream_value(
        self: Rc<Upstreams>,
        value: ValueStream,
        parts: mpsc::Sender<StreamPart>,
    ) {
        let ValueStream { host, id, connection, length, ending } = value;
        let mut checked_out = CheckedOut::new(&self, id, connection);
        let Some(connection) = checked_out.connection() else { return };
        let window = tokio::select! {
            window = self.budget.memory.start_stream() => window,
            () = parts.closed() => return,
        };
        if let Err(failure) = pass_on(&self.budget, connection, length, ending, &window, &parts).await {
            self.record_stream_failure(host, id, failure);
            return;
        }
        drop((parts, window));
        let trailer = timeout(TRAILER_TIMEOUT, read_trailer(connection, ending)).await;
        let Ok(Ok(Trailer { length, reusable })) = trailer else { return };
        connection.buffer.consume(length);
        connection.history.response_read(Instant::now());
        let more_follows = !connection.buffer.is_empty();
        if more_follows {
            self.record_surplus(host, id, SurplusPlace::BehindResponse, &connection.history);
            self.record_unexpected_bytes(host);
        }
        let keep = reusable && !more_follows && !self.wants_fresh_connections(host);
        let Some(connection) = checked_out.take() else { return };
        let kept = self.pools.borrow_mut().answered(self.clock.now(), id, keep);
        if kept {
            self.return_connection(host, id, connection);
        }
    }

    /// Counts and logs a value that was not passed on whole. A wrong length is a failed attempt that has
    /// run, found out after the policy was told of a success.
    fn record_stream_failure(&self, host: HostId, connection: ConnectionId, failure: StreamFailure) {
        match failure {
            StreamFailure::ClientGone => return,
            StreamFailure::Truncated { .. } => self.counters.values_truncated.add(),
            StreamFailure::LengthWrong => {
                self.counters.values_length_wrong.add();
                self.record_event(UpstreamEvent::ValueInvalid(host));
            }
        }
        log::debug!(host = host.0, connection = connection.0, failure:?; "long value not passed on whole");
    }
}

/// Passes on a value. Its end is passed on once the bytes behind it show that it is the end: until then
/// the client waits for the terminator of its bulk string.
async fn pass_on(
    budget: &ResourceBudget,
    connection: &mut UpstreamConnection,
    length: usize,
    ending: ValueEnding,
    window: &StreamGrant,
    parts: &mpsc::Sender<StreamPart>,
) -> Result<(), StreamFailure> {
    let mut left = length;
    while left > 0 {
        let PieceRoom { max_bytes, grant } = window.piece_room(left);
        let bytes = tokio::select! {
            bytes = next_piece(budget, connection, max_bytes) => bytes,
            () = parts.closed() => return Err(StreamFailure::ClientGone),
        };
        let Some(bytes) = bytes else { return Err(StreamFailure::Truncated { left }) };
        left -= bytes.len();
        let piece = StreamPart::Piece(Piece { bytes, memory: grant });
        parts.send(piece).await.map_err(|_| StreamFailure::ClientGone)?;
    }
    let end = tokio::select! {
        end = timeout(END_TIMEOUT, read_end(connection, ending)) => end,
        () = parts.closed() => return Err(StreamFailure::ClientGone),
    };
    match end {
        Ok(Ok(())) => parts.send(StreamPart::End).await.map_err(|_| StreamFailure::ClientGone),
        Ok(Err(ValueError::Invalid)) => Err(StreamFailure::LengthWrong),
        Ok(Err(ValueError::ConnectionEnded)) | Err(_) => Err(StreamFailure::Truncated { left: 0 }),
    }
}

/// The next piece of a value, from the buffer or else from the socket; `None` if the connection
/// ended or failed, or the host paused for too long. Cancelled only where the connection is dropped.
async fn next_piece(
    budget: &ResourceBudget,
    connection: &mut UpstreamConnection,
    max_bytes: usize,
) -> Option<Bytes> {
    let buffered = connection.buffer.bytes();
    if !buffered.is_empty() {
        let piece = Bytes::copy_from_slice(&buffered[..max_bytes.min(buffered.len())]);
        connection.buffer.consume(piece.len());
        return Some(piece);
    }
    let pause = Pause::begin();
    let mut piece = BytesMut::with_capacity(max_bytes);
    loop {
        let mut unfilled = (&mut piece).limit(max_bytes);
        match timeout(PAUSE_CHECK_INTERVAL, read_buf(&mut connection.stream, &mut unfilled)).await {
            Ok(Ok(1..)) => return Some(piece.freeze()),
            Ok(Ok(0) | Err(_)) => return None,
            Err(_) if pause.is_over(budget) => return None,
            Err(_) => {}
        }
    }
}
