//! The elements that messages are made of: lines, numbers, bulk strings.

use std::ops::Range;

use super::{RespError, MAX_BUFFERED_VALUE, MAX_ELEMENTS};

/// The longest line that is read, in bytes.
const MAX_LINE: usize = 1024;

/// How deep arrays of a reply may be nested.
const MAX_DEPTH: u32 = 4;

/// A line without its end.
pub(super) struct Line<'a> {
    pub(super) text: &'a [u8],
    /// Where the next line begins.
    pub(super) next: usize,
}

/// The head of a bulk string.
pub(super) struct BulkHead {
    /// The length that it gives; -1 for null.
    pub(super) length: i64,
    /// Where its bytes begin.
    pub(super) start: usize,
}

/// A bulk string.
pub(super) struct Bulk {
    /// Where its bytes are; none for null.
    pub(super) range: Option<Range<usize>>,
    /// Where the next element begins.
    pub(super) next: usize,
}

pub(super) fn line(bytes: &[u8], from: usize) -> Result<Option<Line<'_>>, RespError> {
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

pub(super) fn number(digits: &[u8]) -> Result<i64, RespError> {
    let text = std::str::from_utf8(digits).map_err(|_| RespError::InvalidNumber)?;
    text.parse().map_err(|_| RespError::InvalidNumber)
}

pub(super) fn bulk_head(bytes: &[u8], from: usize) -> Result<Option<BulkHead>, RespError> {
    // The first byte decides whether it is a bulk string: noise need not have a line's end to wait
    // for.
    if bytes.get(from).is_some_and(|&first| first != b'$') {
        return Err(RespError::ExpectedBulkString);
    }
    let Some(head) = line(bytes, from)? else { return Ok(None) };
    Ok(Some(BulkHead { length: number(&head.text[1..])?, start: head.next }))
}

pub(super) fn bulk(bytes: &[u8], from: usize, max_length: usize) -> Result<Option<Bulk>, RespError> {
    let Some(head) = bulk_head(bytes, from)? else { return Ok(None) };
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

/// How many elements an array's head announces. More than a few are no reply, and must not be
/// waited for.
pub(super) fn element_count(head: &[u8]) -> Result<i64, RespError> {
    let count = number(&head[1..])?;
    if (0..=MAX_ELEMENTS).contains(&count) {
        Ok(count)
    } else {
        Err(RespError::InvalidElementCount)
    }
}

/// Where the element of any type at `from` ends; `depth` is how many arrays it is in.
pub(super) fn element_end(bytes: &[u8], from: usize, depth: u32) -> Result<Option<usize>, RespError> {
    match bytes.get(from) {
        Some(b'$') => Ok(bulk(bytes, from, MAX_BUFFERED_VALUE)?.map(|bulk| bulk.next)),
        Some(b'+' | b'-' | b':') => Ok(line(bytes, from)?.map(|line| line.next)),
        Some(b'*') if depth < MAX_DEPTH => {
            let Some(head) = line(bytes, from)? else { return Ok(None) };
            let mut at = head.next;
            for _ in 0..element_count(head.text)? {
                let Some(next) = element_end(bytes, at, depth + 1)? else { return Ok(None) };
                at = next;
            }
            Ok(Some(at))
        }
        Some(_) => Err(RespError::InvalidElement),
        None => Ok(None),
    }
}
