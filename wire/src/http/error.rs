//! Why bytes are no HTTP message that can be used.

/// Why a client can't use a response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ResponseError {
    /// The head is no HTTP.
    #[error("{0}")]
    Malformed(#[from] httparse::Error),
    /// More interim responses (1xx) than are skipped.
    #[error("too many interim answers")]
    TooManyInterim,
    /// The head is longer than is waited for.
    #[error("too long a head")]
    HeadTooLong,
    /// The body is longer than the caller takes.
    #[error("too long a body")]
    BodyTooLong,
    /// The head has no status.
    #[error("no status")]
    MissingStatus,
    /// A `Content-Length` that is no number.
    #[error("no length")]
    InvalidLength,
    /// A `Transfer-Encoding` other than `chunked`.
    #[error("transfer encoding {0}")]
    UnsupportedTransferEncoding(String),
    /// Several lengths that differ, or none where the connection's end would have to mark the
    /// body's.
    #[error("no one length")]
    AmbiguousLength,
    /// A chunk's head is no HTTP.
    #[error("no chunk")]
    InvalidChunk,
    /// A chunk is not followed by a line's end, or trailers follow the last one.
    #[error("a chunk without its end, or trailers")]
    InvalidChunkEnd,
}

/// Why a server can't use a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RequestError {
    /// The head is no HTTP.
    #[error("{0}")]
    Malformed(httparse::Error),
    /// A `Content-Length` that is no number.
    #[error("no length")]
    InvalidLength,
    /// The head is longer than is waited for, or has more header lines.
    #[error("too long a head")]
    HeadTooLong,
    /// The body is longer than the caller takes.
    #[error("too long a body")]
    BodyTooLong,
    /// A body whose length is not given beforehand.
    #[error("no length")]
    LengthRequired,
}
