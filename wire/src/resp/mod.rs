//! RESP2: commands of clients, replies of cache hosts and of balancers.
//!
//! Parsers read a message from the front of the bytes received so far, and return `None` while the
//! message is incomplete.

mod command;
mod element;
mod encode;
mod error;
mod reply;

pub use command::{parse_command, parse_complete_command, CompleteCommand, ParsedCommand};
pub use encode::{
    encode_bulk, encode_bulk_head, encode_command, encode_command_head, encode_error, encode_reply, CRLF,
};
pub use error::RespError;
pub use reply::{
    announced_length, is_long_value_whole, parse_after_long_value, parse_balancer_reply,
    parse_long_reply_head, parse_reply, BalancerReply, LongReply, MessageEnd, ParsedReply, Reply,
};

/// The maximum length of a value that is parsed with its message, in bytes. The memory for a longer
/// one is known from its head, before it is read.
pub const MAX_INLINE_VALUE: usize = 1024;

/// The maximum length of a value that is buffered in full before it is passed on, in bytes.
pub const MAX_BUFFERED_VALUE: usize = 64 * 1024;

/// The maximum length of a value, in bytes. Values above [`MAX_BUFFERED_VALUE`] are streamed.
pub const MAX_VALUE: usize = 4 * 1024 * 1024;

/// The maximum length of a command or reply that is buffered in full, in bytes.
pub const MAX_BUFFERED_MESSAGE: usize = MAX_BUFFERED_VALUE + 16 * 1024;

/// The maximum number of elements in an array; commands and replies need only a few.
const MAX_ELEMENTS: i64 = 16;
