//! RESP2: commands from clients, replies from cache hosts and from balancers. Pure; knows no
//! requests.
//!
//! Parsers read a message at the front of the bytes that have come so far, and return `None` while
//! it is incomplete.

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
    parse_after_long_value, parse_balancer_reply, parse_long_reply_head, parse_reply, BalancerReply,
    LongReply, MessageEnd, ParsedReply, Reply,
};

/// The largest value that is buffered in full before any of it is passed on, in bytes.
pub const MAX_BUFFERED_VALUE: usize = 64 * 1024;

/// The largest value that may pass at all, in bytes; past [`MAX_BUFFERED_VALUE`] it is streamed.
pub const MAX_VALUE: usize = 4 * 1024 * 1024;

/// The largest command or reply that is buffered in full, in bytes.
pub const MAX_BUFFERED_MESSAGE: usize = MAX_BUFFERED_VALUE + 16 * 1024;

/// The maximum number of elements in an array: commands and replies have only a few.
const MAX_ELEMENTS: i64 = 16;
