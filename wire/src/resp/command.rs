//! Commands, as a server reads them.

use std::ops::Range;

use bytes::Bytes;

use super::element::{bulk, bulk_head, line, number};
use super::{RespError, MAX_BUFFERED_VALUE, MAX_ELEMENTS, MAX_VALUE};

/// The longest word of a command that is no value, in bytes.
const MAX_WORD: usize = 8 * 1024;

/// The place of the value among the words of a command. It may be long only as the last of them.
const VALUE_INDEX: i64 = 4;

/// What there is of a command.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedCommand {
    /// All of it.
    Complete(CompleteCommand),
    /// All words but the value, which has not come in full.
    ValuePending {
        /// The words ahead of the value.
        words: Vec<Bytes>,
        /// How many bytes they took, the value's head included: the value begins after these.
        consumed: usize,
        /// The length of the value, in bytes. [`CRLF`](super::CRLF) follows it.
        value_length: usize,
    },
}

/// All of a command.
#[derive(Debug, PartialEq, Eq)]
pub struct CompleteCommand {
    /// Its words, which share one copy of the bytes.
    pub words: Vec<Bytes>,
    /// How many bytes it took.
    pub consumed: usize,
}

/// A command whose value is buffered in full.
///
/// # Errors
/// What is no command, or has a value past [`MAX_BUFFERED_VALUE`].
pub fn parse_complete_command(bytes: &[u8]) -> Result<Option<CompleteCommand>, RespError> {
    match parse_command(bytes)? {
        Some(ParsedCommand::Complete(command)) => Ok(Some(command)),
        Some(ParsedCommand::ValuePending { value_length, .. }) if value_length > MAX_BUFFERED_VALUE => {
            Err(RespError::BulkStringTooLong)
        }
        Some(ParsedCommand::ValuePending { .. }) | None => Ok(None),
    }
}

/// A command, also one whose value is yet to come; `None` while there is less.
///
/// # Errors
/// What is no command.
pub fn parse_command(bytes: &[u8]) -> Result<Option<ParsedCommand>, RespError> {
    match bytes.first() {
        None => Ok(None),
        Some(b'*') => parse_array(bytes),
        Some(_) => parse_inline(bytes),
    }
}

/// A person at a terminal may write a command as a plain line.
fn parse_inline(bytes: &[u8]) -> Result<Option<ParsedCommand>, RespError> {
    let Some(line) = line(bytes, 0)? else { return Ok(None) };
    let words = line.text.split(u8::is_ascii_whitespace).filter(|word| !word.is_empty());
    let words = words.map(Bytes::copy_from_slice).collect();
    Ok(Some(ParsedCommand::Complete(CompleteCommand { words, consumed: line.next })))
}

fn parse_array(bytes: &[u8]) -> Result<Option<ParsedCommand>, RespError> {
    let Some(head) = line(bytes, 0)? else { return Ok(None) };
    let count = number(&head.text[1..])?;
    if !(0..=MAX_ELEMENTS).contains(&count) {
        return Err(RespError::InvalidWordCount);
    }
    let mut ranges = Vec::with_capacity(count as usize);
    let mut at = head.next;
    for index in 0..count {
        let is_value = index == VALUE_INDEX && count == VALUE_INDEX + 1;
        let max_length = if is_value { MAX_VALUE } else { MAX_WORD };
        match bulk(bytes, at, max_length)? {
            Some(word) => {
                ranges.push(word.range.ok_or(RespError::NullWord)?);
                at = word.next;
            }
            None if is_value => return pending(bytes, at, ranges),
            None => return Ok(None),
        }
    }
    let words = shared_words(&bytes[..at], ranges);
    Ok(Some(ParsedCommand::Complete(CompleteCommand { words, consumed: at })))
}

/// A command whose value begins at `from`, if at least the value's head is there. Its length has
/// been checked.
fn pending(bytes: &[u8], from: usize, ranges: Vec<Range<usize>>) -> Result<Option<ParsedCommand>, RespError> {
    let Some(head) = bulk_head(bytes, from)? else { return Ok(None) };
    Ok(Some(ParsedCommand::ValuePending {
        words: shared_words(&bytes[..head.start], ranges),
        consumed: head.start,
        value_length: head.length as usize,
    }))
}

/// The words share one copy: the buffer itself stays whole, so that it can be compacted in place.
fn shared_words(bytes: &[u8], ranges: Vec<Range<usize>>) -> Vec<Bytes> {
    let copy = Bytes::copy_from_slice(bytes);
    ranges.into_iter().map(|range| copy.slice(range)).collect()
}
