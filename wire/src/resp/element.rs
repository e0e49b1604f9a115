//! Parsing of the elements of messages: lines, numbers, bulk strings, nested arrays.

use std::ops::Range;

use super::{RespError, MAX_BUFFERED_VALUE, MAX_ELEMENTS};

/// The maximum length of a line, in bytes.
const MAX_LINE: usize = 1024;

/// The maximum nesting depth of arrays in a reply.
const MAX_DEPTH: u32 = 4;

/// A line without its terminator.
pub(super) struct Line<'a> {
    pub(super) text: &'a [u8],
    /// The offset after the line's terminator.
    pub(super) next: usize,
}

/// The head of a bulk string.
pub(super) struct BulkHead {
    /// The length in the head; -1 for null.
    pub(super) length: i64,
    /// The offset of the content.
    pub(super) start: usize,
}

/// A bulk string.
pub(super) struct Bulk {
    /// The offsets of the content; `None` for null.
    pub(super) range: Option<Range<usize>>,
    /// The offset after the bulk string's terminator.
    pub(super) next: usize,
}

pub(super) fn parse_line(bytes: &[u8], from: usize) -> Result<Option<Line<'_>>, RespError> {
    let rest = &bytes[from..];
    match rest.iter().take(MAX_LINE).position(|&byte| byte == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => {
            Ok(Some(Line { text: &rest[..end - 1], next: from + end + 1 }))
        }
        Some(_) => Err(RespError::MissingCarriageReturn),
        None if rest.len() >= MAX_LINE => Err(RespError::LineTooLong),
        None => Ok(None),
    }
}

pub(super) fn parse_number(digits: &[u8]) -> Result<i64, RespError> {
    let text = std::str::from_utf8(digits).map_err(|_| RespError::InvalidNumber)?;
    text.parse().map_err(|_| RespError::InvalidNumber)
}

pub(super) fn parse_bulk_head(bytes: &[u8], from: usize) -> Result<Option<BulkHead>, RespError> {
    // Check the type byte first: bytes of another type may never contain the line end that
    // `parse_line` waits for.
    if bytes.get(from).is_some_and(|&first| first != b'$') {
        return Err(RespError::ExpectedBulkString);
    }
    let Some(head) = parse_line(bytes, from)? else { return Ok(None) };
    Ok(Some(BulkHead { length: parse_number(&head.text[1..])?, start: head.next }))
}

pub(super) fn parse_bulk(bytes: &[u8], from: usize, max_length: usize) -> Result<Option<Bulk>, RespError> {
    let Some(head) = parse_bulk_head(bytes, from)? else { return Ok(None) };
    if head.length == -1 {
        return Ok(Some(Bulk { range: None, next: head.start }));
    }
    let length = usize::try_from(head.length).map_err(|_| RespError::InvalidLength)?;
    if length > max_length {
        return Err(RespError::BulkStringTooLong);
    }
    let end = head.start + length;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some(Bulk { range: Some(head.start..end), next: end + 2 })),
        Some(_) => Err(RespError::MissingBulkStringEnd),
        None => Ok(None),
    }
}

/// The number of elements in an array's head. More than [`MAX_ELEMENTS`] are an error, so that the
/// caller does not wait for elements that no valid reply has.
pub(super) fn parse_element_count(head: &[u8]) -> Result<i64, RespError> {
    let count = parse_number(&head[1..])?;
    if (0..=MAX_ELEMENTS).contains(&count) {
        Ok(count)
    } else {
        Err(RespError::InvalidElementCount)
    }
}

/// The offset after the element at `from`, which may be of any type; `depth` is the number of
/// arrays around it.
pub(super) fn find_element_end(bytes: &[u8], from: usize, depth: u32) -> Result<Option<usize>, RespError> {
    match bytes.get(from) {
        Some(b'$') => Ok(parse_bulk(bytes, from, MAX_BUFFERED_VALUE)?.map(|bulk| bulk.next)),
        Some(b'+' | b'-' | b':') => Ok(parse_line(bytes, from)?.map(|line| line.next)),
        Some(b'*') if depth < MAX_DEPTH => {
            let Some(head) = parse_line(bytes, from)? else { return Ok(None) };
            let mut at = head.next;
            for _ in 0..parse_element_count(head.text)? {
                let Some(next) = find_element_end(bytes, at, depth + 1)? else { return Ok(None) };
                at = next;
            }
            Ok(Some(at))
        }
        Some(_) => Err(RespError::InvalidElement),
        None => Ok(None),
    }
}
