//! Encoding of commands and replies.

use bytes::{BufMut, Bytes, BytesMut};

/// The terminator of lines and bulk strings.
pub const CRLF: &[u8] = b"\r\n";

/// An upper bound on the length of a bulk string's head and terminator, in bytes.
const BULK_OVERHEAD: usize = 16;

/// Encodes a command.
pub fn encode_command(words: &[&[u8]]) -> Bytes {
    let mut out = BytesMut::with_capacity(encoded_length(words) + BULK_OVERHEAD);
    put_command(&mut out, words.len(), words);
    out.freeze()
}

/// Encodes a command that ends with a value of `value_length` bytes, up to the value. The caller
/// appends the value and [`CRLF`].
pub fn encode_command_head(words: &[&[u8]], value_length: usize) -> Bytes {
    let mut out = BytesMut::with_capacity(encoded_length(words) + 2 * BULK_OVERHEAD);
    put_command(&mut out, words.len() + 1, words);
    out.put_slice(&encode_bulk_head(value_length));
    out.freeze()
}

/// Encodes the head of a bulk string of `length` bytes. The caller appends the bytes and [`CRLF`].
pub fn encode_bulk_head(length: usize) -> Bytes {
    Bytes::from(format!("${length}\r\n"))
}

/// Encodes a bulk string.
pub fn encode_bulk(value: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(value.len() + BULK_OVERHEAD);
    put_bulk(&mut out, value);
    out.freeze()
}

/// Encodes an error line that begins with `-ERR`.
pub fn encode_error(text: &str) -> Bytes {
    Bytes::from(format!("-ERR {text}\r\n"))
}

/// Encodes a cache host's reply of three elements: the value (null for a miss), the request's
/// status (always null here), and the host's load if it reports any.
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
