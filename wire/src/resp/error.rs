//! Errors in RESP2 messages.

/// Why bytes are not the expected message. Clients get the text after `Protocol error:`, so the
/// texts are part of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RespError {
    /// A line ends with a line feed without a carriage return.
    #[error("a line without a carriage return")]
    MissingCarriageReturn,
    /// A line has no terminator within the maximum length.
    #[error("too long a line")]
    LineTooLong,
    /// A number was expected.
    #[error("no number")]
    InvalidNumber,
    /// A `$` was expected.
    #[error("no bulk string")]
    ExpectedBulkString,
    /// A bulk string has a negative length other than -1 (null).
    #[error("no length")]
    InvalidLength,
    /// A bulk string is longer than allowed at its position.
    #[error("too long a bulk string")]
    BulkStringTooLong,
    /// A bulk string is not followed by CRLF.
    #[error("a bulk string without its end")]
    MissingBulkStringEnd,
    /// A command has a negative number of words, or too many.
    #[error("no such number of words")]
    InvalidWordCount,
    /// A word of a command is null.
    #[error("a null word")]
    NullWord,
    /// A cache host's reply is neither an array nor an error.
    #[error("no reply to a command of ours")]
    UnexpectedReply,
    /// A cache host's reply is an empty array.
    #[error("an array of nothing")]
    EmptyReply,
    /// An array in a reply has a negative number of elements, or too many.
    #[error("no such number of elements")]
    InvalidElementCount,
    /// An element of a reply has an unknown type, or is nested too deeply.
    #[error("no element of a reply")]
    InvalidElement,
    /// A balancer's reply begins with an unknown type byte.
    #[error("no answer to a command of ours")]
    UnexpectedBalancerReply,
}
