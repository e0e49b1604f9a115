//! Commands and replies, as they are written.

use bytes::{BufMut, Bytes, BytesMut};

/// The end of a line, and of a bulk string.
pub const CRLF: &[u8] = b"\r\n";

/// More than the head and the end of a bulk string take, in bytes.
const BULK_OVERHEAD: usize = 16;

/// A command of these words.
pub fn encode_command(words: &[&[u8]]) -> Bytes {
    let mut out = BytesMut::with_capacity(encoded_length(words) + BULK_OVERHEAD);
    put_command(&mut out, words.len(), words);
    out.freeze()
}

/// A command of these words and of a value of so many bytes: all but the value and its [`CRLF`],
/// which are to follow.
pub fn encode_command_head(words: &[&[u8]], value_length: usize) -> Bytes {
    let mut out = BytesMut::with_capacity(encoded_length(words) + 2 * BULK_OVERHEAD);
    put_command(&mut out, words.len() + 1, words);
    out.put_slice(&encode_bulk_head(value_length));
    out.freeze()
}

/// The head of a bulk string of so many bytes; the bytes and [`CRLF`] are to follow.
pub fn encode_bulk_head(length: usize) -> Bytes {
    Bytes::from(format!("${length}\r\n"))
}

/// A bulk string.
pub fn encode_bulk(value: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(value.len() + BULK_OVERHEAD);
    put_bulk(&mut out, value);
    out.freeze()
}

/// An error line.
pub fn encode_error(text: &str) -> Bytes {
    Bytes::from(format!("-ERR {text}\r\n"))
}

/// A cache host's reply with a value or, with `None`, a miss; null for how the request went, and
/// the host's load where it reports that.
pub fn encode_reply(value: Option<&[u8]>, load: Option<&str>) -> Bytes {
    let mut out = BytesMut::with_capacity(value.map_or(0, <[u8]>::len) + 2 * BULK_OVERHEAD);
    out.put_slice(b"*3\r\n");
    put_bulk_or_null(&mut out, value);
    put_bulk_or_null(&mut out, None);
    put_bulk_or_null(&mut out, load.map(str::as_bytes));
    out.freeze()
}

fn encoded_length(words: &[&[u8]]) -> usize {
    words.iter().map(|word| word.len() + BULK_OVERHEAD).sum()
}

fn put_command(out: &mut BytesMut, count: usize, words: &[&[u8]]) {
    out.put_slice(format!("*{count}\r\n").as_bytes());
    for word in words {
        put_bulk(out, word);
    }
}

fn put_bulk_or_null(out: &mut BytesMut, bytes: Option<&[u8]>) {
    match bytes {
        Some(bytes) => put_bulk(out, bytes),
        None => out.put_slice(b"$-1\r\n"),
    }
}

fn put_bulk(out: &mut BytesMut, bytes: &[u8]) {
    out.put_slice(format!("${}\r\n", bytes.len()).as_bytes());
    out.put_slice(bytes);
    out.put_slice(CRLF);
}
