//! Replies of cache hosts and of balancers, as their clients read them.

use std::ops::Range;

use super::element::{bulk, bulk_head, element_count, element_end, line, number};
use super::{RespError, MAX_BUFFERED_VALUE, MAX_VALUE};

/// The elements of a reply up to here count: the value, and how the request went. Past them is the
/// host's load.
const FIRST_LOAD_ELEMENT: i64 = 2;

/// What a cache host replied.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// An array that begins with a value, which is here in the bytes.
    Value(Range<usize>),
    /// The same with null for the value: the host lacks the key.
    Miss,
    /// The host rejected the request before it ran.
    Busy,
    /// Any other error.
    Failed,
}

/// A cache host's reply and its end.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedReply {
    /// The reply.
    pub reply: Reply,
    /// Where it ends.
    pub end: MessageEnd,
}

/// The end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageEnd {
    /// How many bytes the message took.
    pub consumed: usize,
    /// Whether the connection may carry another.
    pub keep_alive: bool,
}

/// The head of a reply whose value is too long to be buffered in full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongReply {
    /// Where the value begins.
    pub start: usize,
    /// The length of the value, in bytes. A line's end follows it.
    pub length: usize,
    /// How many elements follow that, which [`parse_after_long_value`] reads.
    pub trailing_elements: i64,
}

/// What a balancer replied to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum BalancerReply {
    /// A value, which is here in the bytes.
    Value(Range<usize>),
    /// A rejection, with the Retry-After in milliseconds where it has one.
    Busy(Option<u64>),
    /// An error line, or anything else that is complete and no value.
    Failed,
}

/// The head of a reply with a long value; `None` where the reply is another, or its head is
/// incomplete.
pub fn parse_long_reply_head(bytes: &[u8]) -> Option<LongReply> {
    let head = line(bytes, 0).ok()??;
    if !head.text.starts_with(b"*") {
        return None;
    }
    let trailing_elements = element_count(head.text).ok()? - 1;
    let value = bulk_head(bytes, head.next).ok()??;
    let length = usize::try_from(value.length).ok()?;
    let is_long = (MAX_BUFFERED_VALUE + 1..=MAX_VALUE).contains(&length);
    is_long.then_some(LongReply { start: value.start, length, trailing_elements })
}

/// What follows a long value, from its line's end on; `None` while it is incomplete.
///
/// # Errors
/// No line's end follows the value, or what says how the request went is no element.
pub fn parse_after_long_value(bytes: &[u8], trailing_elements: i64) -> Result<Option<MessageEnd>, RespError> {
    match bytes.get(..2) {
        Some(b"\r\n") => trailing_end(bytes, 2, trailing_elements),
        Some(_) => Err(RespError::MissingBulkStringEnd),
        None => Ok(None),
    }
}

/// The end of a reply's elements past its value.
fn trailing_end(bytes: &[u8], mut at: usize, count: i64) -> Result<Option<MessageEnd>, RespError> {
    for index in 1..=count {
        match element_end(bytes, at, 1) {
            Ok(Some(next)) => at = next,
            Ok(None) => return Ok(None),
            // A value is good whatever the host's load says.
            Err(_) if index >= FIRST_LOAD_ELEMENT => {
                return Ok(Some(MessageEnd { consumed: bytes.len(), keep_alive: false }));
            }
            Err(error) => return Err(error),
        }
    }
    Ok(Some(MessageEnd { consumed: at, keep_alive: true }))
}

/// A complete reply of a cache host; `None` while it is incomplete.
///
/// # Errors
/// What is no reply to a command of the router.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<ParsedReply>, RespError> {
    if !matches!(bytes.first(), None | Some(b'*' | b'-')) {
        return Err(RespError::UnexpectedReply);
    }
    let Some(head) = line(bytes, 0)? else { return Ok(None) };
    if head.text.starts_with(b"-") {
        let is_busy = head.text == b"-BUSY" || head.text.starts_with(b"-BUSY ");
        let reply = if is_busy { Reply::Busy } else { Reply::Failed };
        let end = MessageEnd { consumed: head.next, keep_alive: true };
        return Ok(Some(ParsedReply { reply, end }));
    }
    let count = element_count(head.text)?;
    if count == 0 {
        return Err(RespError::EmptyReply);
    }
    let Some(value) = bulk(bytes, head.next, MAX_BUFFERED_VALUE)? else { return Ok(None) };
    let reply = value.range.map_or(Reply::Miss, Reply::Value);
    let end = trailing_end(bytes, value.next, count - 1)?;
    Ok(end.map(|end| ParsedReply { reply, end }))
}

/// A complete reply of a balancer, and how many bytes it took; `None` while it is incomplete.
///
/// # Errors
/// What is no reply to a command of ours.
pub fn parse_balancer_reply(bytes: &[u8]) -> Result<Option<(BalancerReply, usize)>, RespError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'$') => {
            let Some(value) = bulk(bytes, 0, MAX_BUFFERED_VALUE)? else { return Ok(None) };
            Ok(Some((value.range.map_or(BalancerReply::Failed, BalancerReply::Value), value.next)))
        }
        Some(b'+' | b'-' | b':') => {
            let Some(head) = line(bytes, 0)? else { return Ok(None) };
            Ok(Some((status_reply(head.text), head.next)))
        }
        // As a cache host replies, where a client talks to one directly.
        Some(b'*') => {
            let Some(ParsedReply { reply, end }) = parse_reply(bytes)? else { return Ok(None) };
            let reply = match reply {
                Reply::Value(range) => BalancerReply::Value(range),
                Reply::Miss | Reply::Busy | Reply::Failed => BalancerReply::Failed,
            };
            Ok(Some((reply, end.consumed)))
        }
        Some(_) => Err(RespError::UnexpectedBalancerReply),
    }
}

fn status_reply(line: &[u8]) -> BalancerReply {
    match line.strip_prefix(b"-BUSY") {
        Some([]) => BalancerReply::Busy(None),
        Some([b' ', ms @ ..]) => {
            let retry_after_ms = number(ms).ok().and_then(|ms| ms.try_into().ok());
            BalancerReply::Busy(retry_after_ms)
        }
        _ => BalancerReply::Failed,
    }
}
