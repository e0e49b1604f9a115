//! Why bytes are no RESP2 message that is expected here.

/// Why bytes are no message that is expected. A client reads the text after `Protocol error:`, so
/// its words are part of the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A line ends in a line feed alone.
    #[error("a line without a carriage return")]
    MissingCarriageReturn,
    /// A line has no end within the longest that is read.
    #[error("too long a line")]
    LineTooLong,
    /// Digits were expected.
    #[error("no number")]
    InvalidNumber,
    /// A `$` was expected.
    #[error("no bulk string")]
    ExpectedBulkString,
    /// A bulk string has a negative length that is not the null one's.
    #[error("no length")]
    InvalidLength,
    /// A bulk string is longer than is allowed in its place.
    #[error("too long a bulk string")]
    BulkStringTooLong,
    /// A bulk string is not followed by a line's end.
    #[error("a bulk string without its end")]
    MissingBulkStringEnd,
    /// A command has a negative number of words, or too many.
    #[error("no such number of words")]
    InvalidWordCount,
    /// A word of a command is null.
    #[error("a null word")]
    NullWord,
    /// A cache host sent what is neither an array nor an error.
    #[error("no reply to a command of ours")]
    UnexpectedReply,
    /// A cache host sent an array without an element.
    #[error("an array of nothing")]
    EmptyReply,
    /// An array of a reply has a negative number of elements, or too many.
    #[error("no such number of elements")]
    InvalidElementCount,
    /// An element of a reply is of no known type, or nested too deep.
    #[error("no element of a reply")]
    InvalidElement,
    /// A balancer sent what begins as no known type.
    #[error("no answer to a command of ours")]
    UnexpectedBalancerReply,
}
