//! Errors in HTTP messages.

use super::response::MAX_INTERIM;
use super::{MAX_HEAD, MAX_HEADERS};

/// Why a response can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The head is not HTTP/1.x.
    #[error("{0}")]
    Malformed(#[from] httparse::Error),
    /// Too many interim responses (1xx) before the final one.
    #[error("{MAX_INTERIM} interim responses (1xx) without a final response")]
    TooManyInterim,
    /// The head is incomplete and already too long.
    #[error("response head is longer than {MAX_HEAD} bytes")]
    HeadTooLong,
    /// The body is longer than the caller allows.
    #[error("response body is longer than allowed")]
    BodyTooLong,
    /// The head has no status code.
    #[error("response has no status code")]
    MissingStatus,
    /// A `Content-Length` is not a number.
    #[error("Content-Length is not a number")]
    InvalidLength,
    /// The `Transfer-Encoding` is not `chunked`.
    #[error("unsupported Transfer-Encoding {0}, expected chunked")]
    UnsupportedTransferEncoding(String),
    /// Several lengths that differ, or no length, so that only the close of the connection would
    /// end the body.
    #[error("response needs one Content-Length or chunked Transfer-Encoding")]
    AmbiguousLength,
    /// The size line of a chunk is malformed.
    #[error("size line of a chunk is malformed")]
    InvalidChunk,
    /// A chunk is not followed by CRLF, or trailers follow the last chunk.
    #[error("chunk is not followed by CRLF, or the response has trailers")]
    InvalidChunkEnd,
}

/// Why a request can't be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is not HTTP/1.x.
    #[error("{0}")]
    Malformed(httparse::Error),
    /// A `Content-Length` is not a number.
    #[error("Content-Length is not a number")]
    InvalidLength,
    /// The head is incomplete and already too long, or has too many header lines.
    #[error("request head is longer than {MAX_HEAD} bytes or {MAX_HEADERS} header lines")]
    HeadTooLong,
    /// The body is longer than the caller allows.
    #[error("request body is longer than allowed")]
    BodyTooLong,
    /// The request has a `Transfer-Encoding`, so the length of its body is unknown in advance.
    #[error("Transfer-Encoding is not supported in requests, expected Content-Length")]
    LengthRequired,
}
