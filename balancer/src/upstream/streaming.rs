//! Streams long values to the client in pieces as they arrive.

use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::HostId;
use basaltwood_connection_pool::ConnectionId;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::mpsc;
use tokio::time::{timeout, Instant};

use super::checkout::CheckedOut;
use super::messages::{ParseTrailer, Trailer};
use super::value::read_trailer;
use super::{SurplusPlace, UpstreamConnection, Upstreams};
use crate::budget::{PieceRoom, StreamGrant};
use crate::socket_io::read_buf;
use crate::value::Piece;

/// A host that sends no byte of a long value for this long is expected to send no more of it.
const PIECE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long to wait for the bytes after a long value; the client has its value already.
const TRAILER_TIMEOUT: Duration = Duration::from_millis(500);

/// A long value on its way from a host.
pub struct ValueStream {
    pub host: HostId,
    pub id: ConnectionId,
    /// A connection whose next bytes are the first of the value.
    pub connection: UpstreamConnection,
    /// The length of the value, in bytes.
    pub length: usize,
    pub parse_trailer: ParseTrailer,
}

impl Upstreams {
    /// Streams a long value, reading only as fast as its pieces are taken. For the policy the
    /// attempt has ended; the result of the stream affects only the connection.
    pub(super) async fn stream_value(self: Rc<Upstreams>, value: ValueStream, pieces: mpsc::Sender<Piece>) {
        let ValueStream { host, id, connection, length, parse_trailer } = value;
        let mut checked_out = CheckedOut::new(&self, id, connection);
        let Some(connection) = checked_out.connection() else { return };
        let window = tokio::select! {
            window = self.budget.memory.start_stream() => window,
            () = pieces.closed() => return,
        };
        let whole = self.send_pieces(host, connection, length, &window, &pieces).await;
        if !whole {
            return;
        }
        drop((pieces, window));
        let trailer = timeout(TRAILER_TIMEOUT, read_trailer(connection, parse_trailer)).await;
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

    /// Passes on the pieces of a value; returns whether all of them were passed on.
    async fn send_pieces(
        &self,
        host: HostId,
        connection: &mut UpstreamConnection,
        length: usize,
        window: &StreamGrant,
        pieces: &mpsc::Sender<Piece>,
    ) -> bool {
        let mut left = length;
        while left > 0 {
            let PieceRoom { max_bytes, grant } = window.piece_room(left);
            let Some(bytes) = next_piece(connection, max_bytes).await else {
                // The client notices: its connection ends before the announced length.
                self.counters.values_truncated.add();
                log::debug!("host {}: a value ended {left} bytes before its end", host.0);
                return false;
            };
            left -= bytes.len();
            if pieces.send(Piece { bytes, memory: grant }).await.is_err() {
                return false;
            }
        }
        true
    }
}

/// The next piece of a value, from the buffer or else from the socket; `None` if the connection
/// ended, failed or sent nothing within [`PIECE_TIMEOUT`].
async fn next_piece(connection: &mut UpstreamConnection, max_bytes: usize) -> Option<Bytes> {
    if connection.buffer.is_empty() {
        let mut piece = BytesMut::with_capacity(max_bytes);
        let mut unfilled = (&mut piece).limit(max_bytes);
        return match timeout(PIECE_TIMEOUT, read_buf(&mut connection.stream, &mut unfilled)).await {
            Ok(Ok(1..)) => Some(piece.freeze()),
            _ => None,
        };
    }
    let buffered = connection.buffer.bytes();
    let piece = Bytes::copy_from_slice(&buffered[..max_bytes.min(buffered.len())]);
    connection.buffer.consume(piece.len());
    Some(piece)
}
