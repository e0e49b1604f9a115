//! What an exchange needs of a protocol: the bytes of a request, and what stands of a response in a
//! buffer.

use std::io;

use basaltwood::policy::SendPermit;
use basaltwood_wire::http;
use basaltwood_wire::resp::RespError;
use bytes::Bytes;
use tokio::net::TcpStream;

use crate::request::AttemptResult;
use crate::socket_io::write_all;

/// Bytes from an upstream that are no response to what was sent. The connection they came on is of
/// no use any more.
#[derive(Debug, thiserror::Error)]
pub enum ResponseError {
    /// From a cache host: no RESP2 reply to one of our commands.
    #[error(transparent)]
    Resp2(#[from] RespError),
    /// From the origin: no HTTP/1.1 response whose end can be found.
    #[error(transparent)]
    Http(#[from] http::ResponseError),
}

/// A whole response at the front of a buffer.
pub struct WholeResponse {
    pub result: AttemptResult,
    /// How many bytes it took.
    pub length: usize,
    /// The connection may carry another request.
    pub reusable: bool,
}

/// The head of a response with a value that is too long to be held whole.
pub struct LongValueHead {
    /// Where the value begins.
    pub start: usize,
    /// The length of the value, in bytes.
    pub length: usize,
    pub parse_trailer: ParseTrailer,
}

/// What followed a long value.
pub struct Trailer {
    /// How many bytes it took.
    pub length: usize,
    /// The connection may carry another request.
    pub reusable: bool,
}

/// What stands of a response at the front of a buffer.
pub enum ParsedResponse {
    Whole(WholeResponse),
    LongValue(LongValueHead),
}

/// Parses the front of a buffer; `None` while neither a whole response nor the head of a long one
/// is there.
pub type ParseResponse = fn(&[u8]) -> Result<Option<ParsedResponse>, ResponseError>;

/// Parses what follows a long value; `None` while it is not whole.
pub type ParseTrailer = Box<dyn Fn(&[u8]) -> Result<Option<Trailer>, ResponseError>>;

/// A request as it is written.
pub struct RequestBytes {
    /// The whole request, or all of it before a long value.
    pub head: Bytes,
    /// A long value, and what follows it.
    pub segments: Vec<Bytes>,
}

impl RequestBytes {
    /// A request that is short enough to be written in one piece.
    pub fn whole(bytes: Bytes) -> RequestBytes {
        RequestBytes { head: bytes, segments: Vec::new() }
    }

    /// How many bytes it has.
    pub fn length(&self) -> usize {
        self.head.len() + self.segments.iter().map(Bytes::len).sum::<usize>()
    }

    /// Writes all of it, by the permission for this attempt.
    pub async fn write(self, _permit: SendPermit, stream: &mut TcpStream) -> io::Result<()> {
        write_all(stream, &self.head).await?;
        for segment in self.segments {
            write_all(stream, &segment).await?;
        }
        Ok(())
    }
}
