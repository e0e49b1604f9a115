//! Parsing of replies of cache hosts and of balancers.

use std::ops::Range;

use super::element::{
    find_element_end, parse_bulk, parse_bulk_head, parse_element_count, parse_line, parse_number,
};
use super::{RespError, CRLF, MAX_BUFFERED_VALUE, MAX_VALUE};

/// The index of the first element that reports the host's load. Those before it are the value and
/// the request's status, which have to be valid.
const FIRST_LOAD_ELEMENT: i64 = 2;

/// What a cache host replied.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// An array that begins with a value, at these offsets.
    Value(Range<usize>),
    /// An array that begins with null: the host does not have the key.
    Miss,
    /// The host rejected the request before executing it.
    Busy,
    /// Any other error.
    Failed,
}

/// A parsed reply of a cache host.
#[derive(Debug, PartialEq, Eq)]
pub struct ParsedReply {
    /// The reply.
    pub reply: Reply,
    /// The end of the reply.
    pub end: MessageEnd,
}

/// The end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MessageEnd {
    /// The length of the encoded message, in bytes.
    pub consumed: usize,
    /// Whether the connection can be used for another message.
    pub keep_alive: bool,
}

/// The head of a reply whose value is not parsed with it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongReply {
    /// The offset of the value.
    pub start: usize,
    /// The length of the value, in bytes, without the CRLF after it.
    pub length: usize,
    /// The number of elements after the value, for [`parse_after_long_value`].
    pub trailing_elements: i64,
}

/// What a balancer replied to a request.
#[derive(Debug, PartialEq, Eq)]
pub enum BalancerReply {
    /// A value, at these offsets.
    Value(Range<usize>),
    /// A rejection, with its Retry-After in milliseconds if it has one.
    Busy(Option<u64>),
    /// An error line, or any other complete reply without a value.
    Failed,
}

/// Parses the head of a reply whose value is longer than `max_inline` bytes. Returns `None` for any
/// other reply, and while the head is incomplete.
pub fn parse_long_reply_head(bytes: &[u8], max_inline: usize) -> Option<LongReply> {
    let head = parse_line(bytes, 0).ok()??;
    if !head.text.starts_with(b"*") {
        return None;
    }
    let trailing_elements = parse_element_count(head.text).ok()? - 1;
    let value = parse_bulk_head(bytes, head.next).ok()??;
    let length = usize::try_from(value.length).ok()?;
    let is_long = (max_inline + 1..=MAX_VALUE).contains(&length);
    is_long.then_some(LongReply { start: value.start, length, trailing_elements })
}

/// Parses the bytes after a long value, from its CRLF on; returns `None` while they are incomplete.
///
/// # Errors
/// The value is not followed by CRLF, or the element with the request's status is malformed.
pub fn parse_after_long_value(bytes: &[u8], trailing_elements: i64) -> Result<Option<MessageEnd>, RespError> {
    match bytes.get(..2) {
        Some(b"\r\n") => trailing_end(bytes, 2, trailing_elements),
        Some(_) => Err(RespError::MissingBulkStringEnd),
        None => Ok(None),
    }
}

/// Whether the bytes after a long value, from its CRLF on, show that the value ended where its head said; false
/// while that is not known. The request's status has come in full then, and a load report, if one is announced,
/// has begun: a value whose head says too much would have taken them for its own.
///
/// # Errors
/// The value is not followed by CRLF and a valid status, so the length in its head is wrong.
pub fn is_long_value_whole(bytes: &[u8], trailing_elements: i64) -> Result<bool, RespError> {
    if !CRLF.starts_with(&bytes[..bytes.len().min(CRLF.len())]) {
        return Err(RespError::MissingBulkStringEnd);
    }
    if bytes.len() < CRLF.len() {
        return Ok(false);
    }
    let mut at = CRLF.len();
    for _ in 1..FIRST_LOAD_ELEMENT.min(trailing_elements + 1) {
        match find_element_end(bytes, at, 1)? {
            Some(next) => at = next,
            None => return Ok(false),
        }
    }
    let has_load_report = trailing_elements >= FIRST_LOAD_ELEMENT;
    Ok(!has_load_report || bytes.len() > at)
}

/// Finds the end of the elements after the value of a reply.
fn trailing_end(bytes: &[u8], mut at: usize, count: i64) -> Result<Option<MessageEnd>, RespError> {
    for index in 1..=count {
        match find_element_end(bytes, at, 1) {
            Ok(Some(next)) => at = next,
            Ok(None) => return Ok(None),
            // A malformed load report does not invalidate the value, only the connection.
            Err(_) if index >= FIRST_LOAD_ELEMENT => {
                return Ok(Some(MessageEnd { consumed: bytes.len(), keep_alive: false }));
            }
            Err(error) => return Err(error),
        }
    }
    Ok(Some(MessageEnd { consumed: at, keep_alive: true }))
}

/// Parses a reply of a cache host; returns `None` while it is incomplete.
///
/// # Errors
/// The bytes are not a reply to a command of the router.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<ParsedReply>, RespError> {
    if !matches!(bytes.first(), None | Some(b'*' | b'-')) {
        return Err(RespError::UnexpectedReply);
    }
    let Some(head) = parse_line(bytes, 0)? else { return Ok(None) };
    if head.text.starts_with(b"-") {
        let is_busy = head.text == b"-BUSY" || head.text.starts_with(b"-BUSY ");
        let reply = if is_busy { Reply::Busy } else { Reply::Failed };
        let end = MessageEnd { consumed: head.next, keep_alive: true };
        return Ok(Some(ParsedReply { reply, end }));
    }
    let count = parse_element_count(head.text)?;
    if count == 0 {
        return Err(RespError::EmptyReply);
    }
    let Some(value) = parse_bulk(bytes, head.next, MAX_BUFFERED_VALUE)? else { return Ok(None) };
    let reply = value.range.map_or(Reply::Miss, Reply::Value);
    let end = trailing_end(bytes, value.next, count - 1)?;
    Ok(end.map(|end| ParsedReply { reply, end }))
}

/// Parses a reply of a balancer and returns it with its encoded length in bytes, or `None` while it
/// is incomplete.
///
/// # Errors
/// The bytes are not a reply to a client's request.
pub fn parse_balancer_reply(bytes: &[u8]) -> Result<Option<(BalancerReply, usize)>, RespError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'$') => {
            let Some(value) = parse_bulk(bytes, 0, MAX_BUFFERED_VALUE)? else { return Ok(None) };
            Ok(Some((value.range.map_or(BalancerReply::Failed, BalancerReply::Value), value.next)))
        }
        Some(b'+' | b'-' | b':') => {
            let Some(head) = parse_line(bytes, 0)? else { return Ok(None) };
            Ok(Some((status_reply(head.text), head.next)))
        }
        // The reply of a cache host, if a client talks to the host without a balancer.
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

/// The length of the reply that begins with these bytes, as its first line announces it; `None` while that
/// line is incomplete. Only strings, errors and numbers are expected, as a balancer sends them.
pub fn announced_length(beginning: &[u8]) -> Option<usize> {
    let head = parse_line(beginning, 0).ok()??;
    if !head.text.starts_with(b"$") {
        return Some(head.next);
    }
    // A null has neither content nor terminator.
    let content = parse_number(&head.text[1..]).ok().and_then(|length| usize::try_from(length).ok());
    Some(head.next + content.map_or(0, |length| length + CRLF.len()))
}

fn status_reply(line: &[u8]) -> BalancerReply {
    match line.strip_prefix(b"-BUSY") {
        Some([]) => BalancerReply::Busy(None),
        Some([b' ', ms @ ..]) => {
            let retry_after_ms = parse_number(ms).ok().and_then(|ms| ms.try_into().ok());
            BalancerReply::Busy(retry_after_ms)
        }
        _ => BalancerReply::Failed,
    }
}
