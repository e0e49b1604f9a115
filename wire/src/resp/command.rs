//! Parsing of commands by a server.

use std::ops::Range;

use bytes::Bytes;

use super::element::{parse_bulk, parse_bulk_head, parse_line, parse_number};
use super::{RespError, MAX_BUFFERED_VALUE, MAX_ELEMENTS, MAX_VALUE};

/// The maximum length of a word that is not the value, in bytes.
const MAX_WORD: usize = 8 * 1024;

/// The index of the value among the words of a command. Only a value that is the last word may be
/// longer than [`MAX_WORD`].
const VALUE_INDEX: i64 = 4;

/// A command that has been received, in full or up to its value.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedCommand {
    /// The complete command.
    Complete(CompleteCommand),
    /// All words but the value, which is incomplete.
    ValuePending {
        /// The words before the value.
        words: Vec<Bytes>,
        /// The offset at which the value begins, after its head.
        consumed: usize,
        /// The length of the value, in bytes. [`CRLF`](super::CRLF) follows it.
        value_length: usize,
    },
}

/// A complete command.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteCommand {
    /// The words, which share one copy of the bytes.
    pub words: Vec<Bytes>,
    /// The length of the encoded command, in bytes.
    pub consumed: usize,
}

/// Parses a command with its value; returns `None` while it is incomplete.
///
/// # Errors
/// The bytes are not a command, or an incomplete value is longer than [`MAX_BUFFERED_VALUE`].
pub fn parse_complete_command(bytes: &[u8]) -> Result<Option<CompleteCommand>, RespError> {
    match parse_command(bytes)? {
        Some(ParsedCommand::Complete(command)) => Ok(Some(command)),
        Some(ParsedCommand::ValuePending { value_length, .. }) if value_length > MAX_BUFFERED_VALUE => {
            Err(RespError::BulkStringTooLong)
        }
        Some(ParsedCommand::ValuePending { .. }) | None => Ok(None),
    }
}

/// Parses a command; returns `None` until all words but the value, and the head of the value, are
/// complete.
///
/// # Errors
/// The bytes are not a command.
pub fn parse_command(bytes: &[u8]) -> Result<Option<ParsedCommand>, RespError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'*') => parse_array(bytes),
        Some(_) => parse_inline(bytes),
    }
}

/// Parses an inline command: a plain line, as a person at a terminal writes it.
fn parse_inline(bytes: &[u8]) -> Result<Option<ParsedCommand>, RespError> {
    let Some(line) = parse_line(bytes, 0)? else { return Ok(None) };
    let words = line.text.split(u8::is_ascii_whitespace).filter(|word| !word.is_empty());
    let words = words.map(Bytes::copy_from_slice).collect();
    Ok(Some(ParsedCommand::Complete(CompleteCommand { words, consumed: line.next })))
}

fn parse_array(bytes: &[u8]) -> Result<Option<ParsedCommand>, RespError> {
    let Some(head) = parse_line(bytes, 0)? else { return Ok(None) };
    let count = parse_number(&head.text[1..])?;
    if !(0..=MAX_ELEMENTS).contains(&count) {
        return Err(RespError::InvalidWordCount);
    }
    let mut ranges = Vec::with_capacity(count as usize);
    let mut at = head.next;
    for index in 0..count {
        let is_value = index == VALUE_INDEX && count == VALUE_INDEX + 1;
        let max_length = if is_value { MAX_VALUE } else { MAX_WORD };
        match parse_bulk(bytes, at, max_length)? {
            Some(word) => {
                ranges.push(word.range.ok_or(RespError::NullWord)?);
                at = word.next;
            }
            None if is_value => return value_pending(bytes, at, ranges),
            None => return Ok(None),
        }
    }
    let words = shared_words(&bytes[..at], ranges);
    Ok(Some(ParsedCommand::Complete(CompleteCommand { words, consumed: at })))
}

/// A command with an incomplete value at `from`; `None` while the value's head is incomplete. The
/// caller has checked the length of the value.
fn value_pending(
    bytes: &[u8],
    from: usize,
    ranges: Vec<Range<usize>>,
) -> Result<Option<ParsedCommand>, RespError> {
    let Some(head) = parse_bulk_head(bytes, from)? else { return Ok(None) };
    Ok(Some(ParsedCommand::ValuePending {
        words: shared_words(&bytes[..head.start], ranges),
        consumed: head.start,
        value_length: head.length as usize,
    }))
}

/// Copies the words out of the buffer, as slices of one allocation. Slices of the buffer itself
/// would prevent its compaction in place.
fn shared_words(bytes: &[u8], ranges: Vec<Range<usize>>) -> Vec<Bytes> {
    let copy = Bytes::copy_from_slice(bytes);
    ranges.into_iter().map(|range| copy.slice(range)).collect()
}
