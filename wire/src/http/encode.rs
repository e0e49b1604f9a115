//! Encoding of requests and responses.

use bytes::{BufMut, Bytes, BytesMut};

/// The initial buffer capacity for a head, in bytes; the buffer grows for a longer head.
const HEAD_CAPACITY: usize = 256;

/// The maximum body length for which the buffer is allocated together with that for the head, in
/// bytes.
const MAX_BODY_CAPACITY: usize = 64 * 1024;

/// Encodes a request. The caller has to percent-encode the path.
pub fn encode_request(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &[u8])],
    body: Option<&[u8]>,
) -> Bytes {
    let mut out = encode_request_head(method, path, host, headers, body.map(<[u8]>::len));
    out.put_slice(body.unwrap_or_default());
    out.freeze()
}

/// Encodes a request without its body; the caller appends `body_length` bytes.
pub fn encode_request_head(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &[u8])],
    body_length: Option<usize>,
) -> BytesMut {
    let body_capacity = body_length.unwrap_or(0).min(MAX_BODY_CAPACITY);
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY + body_capacity);
    out.put_slice(format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").as_bytes());
    for (name, value) in headers {
        out.put_slice(name.as_bytes());
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
    if let Some(length) = body_length {
        out.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    out
}

/// Encodes a response with its `Content-Length`.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(HEAD_CAPACITY / 2 + body.len());
    out.put_slice(format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len()).as_bytes());
    for (name, value) in headers {
        out.put_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}
