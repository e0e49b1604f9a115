//! What an exchange needs from a protocol: the encoded request, and the parsed response at the
//! front of a buffer.

use std::io;

use basaltwood::policy::SendPermit;
use basaltwood::types::AttemptOutcome;
use basaltwood_wire::http;
use basaltwood_wire::resp::{self, RespError};
use bytes::Bytes;
use tokio::io::AsyncWrite;

use crate::socket_io::{write_all, TcpSocket};

/// Bytes from an upstream that are no valid response to the request. Their connection can't be used
/// any more.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// From a cache host: no valid RESP2 reply to a cache command.
    #[error(transparent)]
    Resp2(#[from] RespError),
    /// From the origin: no HTTP/1.1 response whose end can be determined.
    #[error(transparent)]
    Http(#[from] http::ResponseError),
}

/// A whole response at the front of a buffer.
pub struct WholeResponse {
    pub outcome: AttemptOutcome,
    /// The value; `None` if the outcome has none.
    pub value: Option<Bytes>,
    /// The length of the response, in bytes.
    pub length: usize,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// The head of a response whose value is read separately, into memory granted for it.
pub struct ValueHead {
    /// Offset of the value in the buffer.
    pub start: usize,
    /// The length of the value, in bytes.
    pub length: usize,
    /// What follows the value.
    pub ending: ValueEnding,
}

/// The bytes that follow a value that was read separately.
pub struct Trailer {
    /// The length of the trailer, in bytes.
    pub length: usize,
    /// Whether the connection may carry another request.
    pub reusable: bool,
}

/// The response, or the head of one with a longer value, at the front of a buffer.
pub enum ParsedResponse {
    Whole(WholeResponse),
    ValueHead(ValueHead),
}

/// Parses the front of a buffer; `None` until it holds a whole response or the head of one with a
/// longer value.
pub type ParseResponse = fn(&[u8]) -> Result<Option<ParsedResponse>, ResponseError>;

/// What follows a value that is read separately, by its protocol.
#[derive(Clone, Copy, Debug)]
pub enum ValueEnding {
    /// CRLF and the further elements of a RESP2 array.
    Elements(i64),
    /// Nothing: the body of an HTTP response ends with its length.
    Nothing {
        /// Whether the connection may carry another request.
        reusable: bool,
    },
}

impl ValueEnding {
    /// Whether the bytes after the value show that it ended where its head said; false while that is not
    /// known.
    ///
    /// # Errors
    /// The length in the head is wrong.
    pub fn is_value_whole(self, bytes: &[u8]) -> Result<bool, ResponseError> {
        match self {
            ValueEnding::Elements(count) => Ok(resp::is_long_value_whole(bytes, count)?),
            ValueEnding::Nothing { .. } => Ok(true),
        }
    }

    /// Parses what follows the value; `None` until it is complete.
    ///
    /// # Errors
    /// The bytes are not what follows a value.
    pub fn parse(self, bytes: &[u8]) -> Result<Option<Trailer>, ResponseError> {
        match self {
            ValueEnding::Elements(count) => {
                let end = resp::parse_after_long_value(bytes, count)?;
                Ok(end.map(|end| Trailer { length: end.consumed, reusable: end.keep_alive }))
            }
            ValueEnding::Nothing { reusable } => Ok(Some(Trailer { length: 0, reusable })),
        }
    }
}

/// An encoded request.
pub struct RequestBytes {
    /// The whole request, or the part before a long value.
    pub head: Bytes,
    /// The long value and what follows it.
    pub segments: Vec<Bytes>,
}

impl RequestBytes {
    /// Wraps a request that is short enough to be written in one piece.
    pub fn whole(bytes: Bytes) -> RequestBytes {
        RequestBytes { head: bytes, segments: Vec::new() }
    }

    /// The length of the request, in bytes.
    pub fn length(&self) -> usize {
        self.head.len() + self.segments.iter().map(Bytes::len).sum::<usize>()
    }

    /// Writes the whole request, using up the permission for this attempt.
    pub async fn write(
        self,
        _permit: SendPermit,
        stream: &mut (impl AsyncWrite + TcpSocket + Unpin),
    ) -> io::Result<()> {
        write_all(stream, &self.head).await?;
        for segment in self.segments {
            write_all(stream, &segment).await?;
        }
        Ok(())
    }
}
