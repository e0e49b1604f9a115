//! RESP2 as it is read and written: commands from clients, replies from cache hosts. Pure; knows no ops.

use std::ops::Range;

use bytes::{BufMut, Bytes, BytesMut};

/// The largest value that is held whole before any of it goes on.
pub const MAX_BUFFERED_VALUE: usize = 64 * 1024;
/// The largest value that may pass at all; past `MAX_BUFFERED_VALUE` it goes on in pieces.
pub const MAX_VALUE: usize = 4 * 1024 * 1024;
/// The largest command or reply that is held whole.
pub const MAX_BUFFERED_MESSAGE: usize = MAX_BUFFERED_VALUE + 16 * 1024;
const MAX_WORD: usize = 8 * 1024;
const MAX_ELEMENTS: i64 = 16;
const MAX_LINE: usize = 1024;
const MAX_DEPTH: u32 = 4;

/// What stands before a line's end, and where the next line begins; `None` while there is no end yet.
fn line(bytes: &[u8], from: usize) -> Result<Option<(&[u8], usize)>, &'static str> {
    let rest = &bytes[from..];
    match rest.iter().take(MAX_LINE).position(|&byte| byte == b'\n') {
        Some(end) if end > 0 && rest[end - 1] == b'\r' => Ok(Some((&rest[..end - 1], from + end + 1))),
        Some(_) => Err("a line without a carriage return"),
        None if rest.len() >= MAX_LINE => Err("too long a line"),
        None => Ok(None),
    }
}

fn number(digits: &[u8]) -> Result<i64, &'static str> {
    let text = std::str::from_utf8(digits).map_err(|_| "no number")?;
    text.parse().map_err(|_| "no number")
}

/// The length that a bulk string's head tells, and where its bytes begin.
fn bulk_length(bytes: &[u8], from: usize) -> Result<Option<(i64, usize)>, &'static str> {
    // What is no bulk string is found by its first byte: noise need not have an end to wait for.
    if bytes.get(from).is_some_and(|&first| first != b'$') {
        return Err("no bulk string");
    }
    let Some((head, start)) = line(bytes, from)? else { return Ok(None) };
    Ok(Some((number(&head[1..])?, start)))
}

/// One bulk string at `from`: where its bytes stand (`None` for null) and what follows.
type Bulk = (Option<Range<usize>>, usize);

fn bulk(bytes: &[u8], from: usize, most: usize) -> Result<Option<Bulk>, &'static str> {
    let Some((length, start)) = bulk_length(bytes, from)? else { return Ok(None) };
    if length == -1 {
        return Ok(Some((None, start)));
    }
    let length = usize::try_from(length).map_err(|_| "no length")?;
    if length > most {
        return Err("too long a bulk string");
    }
    let end = start + length;
    match bytes.get(end..end + 2) {
        Some(b"\r\n") => Ok(Some((Some(start..end), end + 2))),
        Some(_) => Err("a bulk string without its end"),
        None => Ok(None),
    }
}

/// A whole command at the front: its words, and how many bytes it took. `None` while it is not whole.
pub fn parse_complete_command(bytes: &[u8]) -> Result<Option<(Vec<Bytes>, usize)>, &'static str> {
    match parse_command(bytes)? {
        Some(ParsedCommand::Complete(words, used)) => Ok(Some((words, used))),
        Some(ParsedCommand::ValuePending { value_length, .. }) if value_length > MAX_BUFFERED_VALUE => {
            Err("too long a bulk string")
        }
        Some(ParsedCommand::ValuePending { .. }) | None => Ok(None),
    }
}

/// What stands of a command at the front.
#[derive(Debug, PartialEq, Eq)]
pub enum ParsedCommand {
    /// Its words, and how many bytes it took.
    Complete(Vec<Bytes>, usize),
    /// All words but its value, of so many bytes, which begins after `used`. A line's end follows the value.
    ValuePending { words: Vec<Bytes>, consumed: usize, value_length: usize },
}

/// A command at the front, also one of which the value is not there yet; `None` while less is.
pub fn parse_command(bytes: &[u8]) -> Result<Option<ParsedCommand>, &'static str> {
    let Some(first) = bytes.first() else { return Ok(None) };
    if *first != b'*' {
        // A person at a terminal may write a command as a plain line.
        let Some((text, used)) = line(bytes, 0)? else { return Ok(None) };
        let words = text.split(u8::is_ascii_whitespace).filter(|word| !word.is_empty());
        return Ok(Some(ParsedCommand::Complete(words.map(Bytes::copy_from_slice).collect(), used)));
    }
    let Some((head, mut at)) = line(bytes, 0)? else { return Ok(None) };
    let count = number(&head[1..])?;
    if !(0..=MAX_ELEMENTS).contains(&count) {
        return Err("no such number of words");
    }
    let mut places = Vec::with_capacity(count as usize);
    // One copy that the words share: the buffer itself stays whole, so that it can be compacted in place.
    let words = |places: Vec<Range<usize>>, used: usize| {
        let whole = Bytes::copy_from_slice(&bytes[..used]);
        places.into_iter().map(|place| whole.slice(place)).collect()
    };
    for nth in 0..count {
        // Only the fifth word of a command is a value, and only as the last one may it be long.
        let value = nth == 4 && count == 5;
        let most = if value { MAX_VALUE } else { MAX_WORD };
        if let Some((place, next)) = bulk(bytes, at, most)? {
            places.push(place.ok_or("a null word")?);
            at = next;
            continue;
        }
        // Its length was just looked at, so it is one.
        return Ok(bulk_length(bytes, at)?.filter(|_| value).map(|(length, used)| {
            ParsedCommand::ValuePending {
                words: words(places, used),
                consumed: used,
                value_length: length as usize,
            }
        }));
    }
    Ok(Some(ParsedCommand::Complete(words(places, at), at)))
}

/// What a cache host answered.
#[derive(Debug, PartialEq, Eq)]
pub enum Reply {
    /// An array that begins with a value.
    Value(Range<usize>),
    /// The same with null for the value.
    Miss,
    Busy,
    Failed,
}

/// A reply of which the value is too long to be held whole: so many bytes that begin at `start`, then a line's end and so
/// many more elements, which [`parse_after_long_value`] reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LongReply {
    pub start: usize,
    pub length: usize,
    pub trailing_elements: i64,
}

/// The head of a reply with a long value; `None` where the reply is another, or no head is whole yet.
pub fn parse_long_reply_head(bytes: &[u8]) -> Option<LongReply> {
    let (head, start) = line(bytes, 0).ok()??;
    let trailing_elements = elements(head.strip_prefix(b"*").map(|_| head)?).ok()? - 1;
    let (length, start) = bulk_length(bytes, start).ok()??;
    let length = usize::try_from(length)
        .ok()
        .filter(|length| (MAX_BUFFERED_VALUE + 1..=MAX_VALUE).contains(length))?;
    Some(LongReply { start, length, trailing_elements })
}

/// What follows a long value, from its line's end on: how many bytes it took, and whether the connection may carry
/// another. `None` while it is not whole.
pub fn parse_after_long_value(
    bytes: &[u8],
    trailing_elements: i64,
) -> Result<Option<(usize, bool)>, &'static str> {
    match bytes.get(..2) {
        Some(b"\r\n") => elements_after(bytes, 2, 1..trailing_elements + 1),
        Some(_) => Err("a bulk string without its end"),
        None => Ok(None),
    }
}

/// The elements of a reply past its value: where they end, and whether the connection may carry another.
fn elements_after(
    bytes: &[u8],
    mut at: usize,
    numbers: Range<i64>,
) -> Result<Option<(usize, bool)>, &'static str> {
    for nth in numbers {
        match skip(bytes, at, 1) {
            Ok(Some(next)) => at = next,
            Ok(None) => return Ok(None),
            // Past the value and how it went stands the host's load: a value is good whatever that says.
            Err(_) if nth >= 2 => return Ok(Some((bytes.len(), false))),
            Err(cause) => return Err(cause),
        }
    }
    Ok(Some((at, true)))
}

/// A whole reply at the front, how many bytes it took, and whether the connection may carry another. `None`
/// while it is not whole.
pub fn parse_reply(bytes: &[u8]) -> Result<Option<(Reply, usize, bool)>, &'static str> {
    if !matches!(bytes.first(), None | Some(b'*' | b'-')) {
        return Err("no reply to a command of ours");
    }
    let Some((head, start)) = line(bytes, 0)? else { return Ok(None) };
    match head {
        _ if head == b"-BUSY" || head.starts_with(b"-BUSY ") => return Ok(Some((Reply::Busy, start, true))),
        [b'-', ..] => return Ok(Some((Reply::Failed, start, true))),
        _ => {}
    }
    let count = elements(head)?;
    if count == 0 {
        return Err("an array of nothing");
    }
    let Some((value, at)) = bulk(bytes, start, MAX_BUFFERED_VALUE)? else { return Ok(None) };
    let reply = value.map_or(Reply::Miss, Reply::Value);
    Ok(elements_after(bytes, at, 1..count)?.map(|(used, keep)| (reply, used, keep)))
}

/// How many elements an array's head announces. More than a few are no reply, and must not be waited for.
fn elements(head: &[u8]) -> Result<i64, &'static str> {
    let count = number(&head[1..])?;
    if (0..=MAX_ELEMENTS).contains(&count) {
        Ok(count)
    } else {
        Err("no such number of elements")
    }
}

/// Where the element at `from` ends.
fn skip(bytes: &[u8], from: usize, depth: u32) -> Result<Option<usize>, &'static str> {
    match bytes.get(from) {
        Some(b'$') => Ok(bulk(bytes, from, MAX_BUFFERED_VALUE)?.map(|(_, end)| end)),
        Some(b'+' | b'-' | b':') => Ok(line(bytes, from)?.map(|(_, end)| end)),
        Some(b'*') if depth < MAX_DEPTH => {
            let Some((head, mut at)) = line(bytes, from)? else { return Ok(None) };
            for _ in 0..elements(head)? {
                let Some(next) = skip(bytes, at, depth + 1)? else { return Ok(None) };
                at = next;
            }
            Ok(Some(at))
        }
        Some(_) => Err("no element of a reply"),
        None => Ok(None),
    }
}

/// A cache host's reply with a value or, with `None`, a miss; nothing on how it went, and its load where it tells that.
pub fn encode_reply(value: Option<&[u8]>, load: Option<&str>) -> Bytes {
    let mut out = BytesMut::with_capacity(value.map_or(0, <[u8]>::len) + 32);
    out.put_slice(b"*3\r\n");
    match value {
        Some(value) => put_bulk(&mut out, value),
        None => out.put_slice(b"$-1\r\n"),
    }
    out.put_slice(b"$-1\r\n");
    match load {
        Some(load) => put_bulk(&mut out, load.as_bytes()),
        None => out.put_slice(b"$-1\r\n"),
    }
    out.freeze()
}

/// What a balancer answered to an op.
#[derive(Debug, PartialEq, Eq)]
pub enum BalancerReply {
    Value(Range<usize>),
    /// Turned away, with the milliseconds after which to come again where it said so.
    Busy(Option<u64>),
    /// An error line, or anything else that is whole and no value.
    Failed,
}

/// A balancer's whole answer at the front, and how many bytes it took; `None` while it is not whole.
pub fn parse_balancer_reply(bytes: &[u8]) -> Result<Option<(BalancerReply, usize)>, &'static str> {
    match bytes.first() {
        None => Ok(None),
        Some(b'$') => {
            let Some((value, end)) = bulk(bytes, 0, MAX_BUFFERED_VALUE)? else { return Ok(None) };
            Ok(Some((value.map_or(BalancerReply::Failed, BalancerReply::Value), end)))
        }
        Some(b'+' | b'-' | b':') => {
            let Some((head, end)) = line(bytes, 0)? else { return Ok(None) };
            let answer = match head.strip_prefix(b"-BUSY") {
                Some([]) => BalancerReply::Busy(None),
                Some([b' ', ms @ ..]) => {
                    BalancerReply::Busy(number(ms).ok().and_then(|ms| ms.try_into().ok()))
                }
                _ => BalancerReply::Failed,
            };
            Ok(Some((answer, end)))
        }
        // As a cache host answers: what is asked of one directly.
        Some(b'*') => Ok(parse_reply(bytes)?.map(|(reply, used, _)| match reply {
            Reply::Value(value) => (BalancerReply::Value(value), used),
            Reply::Miss | Reply::Busy | Reply::Failed => (BalancerReply::Failed, used),
        })),
        Some(_) => Err("no answer to a command of ours"),
    }
}

/// A command of these words, and of a value of so many bytes of which only the head stands at its end: value and
/// [`CRLF`] are to follow.
pub fn encode_command_head(words: &[&[u8]], value: usize) -> Bytes {
    let mut out = BytesMut::with_capacity(words.iter().map(|word| word.len() + 16).sum::<usize>() + 32);
    out.put_slice(format!("*{}\r\n", words.len() + 1).as_bytes());
    words.iter().for_each(|word| put_bulk(&mut out, word));
    out.put_slice(&encode_bulk_head(value));
    out.freeze()
}

/// The head of a value of so many bytes; value and [`CRLF`] are to follow.
pub fn encode_bulk_head(length: usize) -> Bytes {
    Bytes::from(format!("${length}\r\n"))
}

pub const CRLF: &[u8] = b"\r\n";

/// A command of these words.
pub fn encode_command(words: &[&[u8]]) -> Bytes {
    let length = words.iter().map(|word| word.len() + 16).sum::<usize>() + 16;
    let mut out = BytesMut::with_capacity(length);
    out.put_slice(format!("*{}\r\n", words.len()).as_bytes());
    words.iter().for_each(|word| put_bulk(&mut out, word));
    out.freeze()
}

pub fn encode_bulk(value: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(value.len() + 16);
    put_bulk(&mut out, value);
    out.freeze()
}

pub fn encode_error(text: &str) -> Bytes {
    Bytes::from(format!("-ERR {text}\r\n"))
}

fn put_bulk(out: &mut BytesMut, bytes: &[u8]) {
    out.put_slice(format!("${}\r\n", bytes.len()).as_bytes());
    out.put_slice(bytes);
    out.put_slice(b"\r\n");
}
