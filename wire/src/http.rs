//! HTTP/1.1 as it is spoken with the origin and with discovery: requests written, answers read. Pure.

use std::ops::Range;

use bytes::{BufMut, Bytes, BytesMut};

const MAX_HEAD: usize = 16 * 1024;
const MAX_HEADERS: usize = 64;
const MAX_INTERIM: usize = 16;

/// The head of an answer, and where its body stands.
#[derive(Debug)]
pub struct Response {
    pub status: u16,
    /// It says itself that what was asked never ran.
    pub unprocessed: bool,
    /// Seconds after which to come again, where it says so.
    pub retry_after: Option<u32>,
    /// The connection may carry another request.
    pub keep_alive: bool,
    pub body: Bytes,
    /// How many bytes it all took.
    pub consumed: usize,
}

/// A whole answer at the front; `None` while it is not whole. An answer whose end only the connection's end
/// would tell is refused: it could not be known to be whole.
pub fn parse_response(bytes: &[u8], max_body: usize) -> Result<Option<Response>, String> {
    let mut from = 0;
    for _ in 0..MAX_INTERIM {
        match one(&bytes[from..], max_body)? {
            Some(interim) if interim.status / 100 == 1 && interim.status != 101 => from += interim.consumed,
            found => return Ok(found.map(|answer| Response { consumed: from + answer.consumed, ..answer })),
        }
    }
    Err("too many interim answers".to_owned())
}

/// The head of an answer whose body of one told length is past `held`, too long to be held whole, and up to `most`: the
/// answer without its body, `consumed` where that begins, and its length. `None` for any other, or while no head is whole.
pub fn parse_long_response_head(bytes: &[u8], held: usize, most: usize) -> Option<(Response, usize)> {
    let mut from = 0;
    for _ in 0..MAX_INTERIM {
        let (answer, framing) = head(&bytes[from..]).ok()??;
        match framing {
            Framing::None if answer.status / 100 == 1 && answer.status != 101 => from += answer.consumed,
            Framing::Length(length) if (held + 1..=most).contains(&length) => {
                return Some((Response { consumed: from + answer.consumed, ..answer }, length));
            }
            _ => return None,
        }
    }
    None
}

/// How the end of an answer is told.
enum Framing {
    None,
    Length(usize),
    Chunks,
}

/// The first answer, perhaps an interim one (1xx) that stands ahead of the one that counts.
fn one(bytes: &[u8], max_body: usize) -> Result<Option<Response>, String> {
    let Some((answer, framing)) = head(bytes)? else { return Ok(None) };
    let start = answer.consumed;
    let found = match framing {
        Framing::None => Some((Bytes::new(), start)),
        Framing::Chunks => chunks(bytes, start, max_body)?,
        Framing::Length(length) if length > max_body => return Err("too long a body".to_owned()),
        Framing::Length(length) => {
            let place = start..start + length;
            bytes.get(place.clone()).map(|body| (Bytes::copy_from_slice(body), place.end))
        }
    };
    Ok(found.map(|(body, used)| Response { body, consumed: used, ..answer }))
}

/// An answer's head, `consumed` where its body begins; `None` while it is not whole.
fn head(bytes: &[u8]) -> Result<Option<(Response, Framing)>, String> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let start = match head.parse(bytes).map_err(|cause| cause.to_string())? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if bytes.len() > MAX_HEAD => return Err("too long a head".to_owned()),
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.ok_or("no status")?;
    let mut lengths: Vec<usize> = Vec::new();
    let (mut chunked, mut unprocessed, mut retry_after) = (false, false, None);
    // After 101 it is no longer HTTP that is spoken.
    let mut keep = head.version == Some(1) && status != 101;
    for header in head.headers.iter() {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            lengths.push(text.parse().map_err(|_| "no length".to_owned())?);
        } else if is("transfer-encoding") {
            chunked = text.eq_ignore_ascii_case("chunked");
            if !chunked {
                return Err(format!("transfer encoding {text}"));
            }
        } else if is("connection") {
            keep &= !text.eq_ignore_ascii_case("close");
        } else if is("x-unprocessed") {
            unprocessed = text == "1";
        } else if is("retry-after") {
            // A date may stand there too; then the caller's own pause has to do.
            retry_after = text.parse().ok();
        }
    }
    let framing = match lengths[..] {
        _ if chunked => Framing::Chunks,
        [] if status / 100 == 1 || status == 204 || status == 304 => Framing::None,
        [length, ..] if lengths.iter().all(|other| *other == length) => Framing::Length(length),
        _ => return Err("no one length".to_owned()),
    };
    Ok(Some((
        Response { status, unprocessed, retry_after, keep_alive: keep, body: Bytes::new(), consumed: start },
        framing,
    )))
}

fn chunks(bytes: &[u8], mut at: usize, most: usize) -> Result<Option<(Bytes, usize)>, String> {
    let mut body = BytesMut::new();
    loop {
        let (length, chunk) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((head, length))) => (length as usize, at + head),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err("no chunk".to_owned()),
        };
        if length > most - body.len() {
            return Err("too long a body".to_owned());
        }
        let place: Range<usize> = chunk..chunk + length;
        match bytes.get(place.end..place.end + 2) {
            Some(b"\r\n") => body.put_slice(&bytes[place.clone()]),
            Some(_) => return Err("a chunk without its end, or trailers".to_owned()),
            None => return Ok(None),
        }
        at = place.end + 2;
        if length == 0 {
            return Ok(Some((body.freeze(), at)));
        }
    }
}

/// A request as a server reads it.
#[derive(Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    /// Names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Bytes,
    /// How many bytes it all took.
    pub consumed: usize,
}

impl Request {
    /// The value of a header, its name in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }
}

/// Why a server takes no request from what came.
#[derive(Debug, PartialEq, Eq)]
pub enum RequestError {
    Malformed(String),
    HeadTooLong,
    BodyTooLong,
    /// A body of which nothing tells the length beforehand.
    LengthRequired,
}

impl From<RequestError> for String {
    fn from(refused: RequestError) -> String {
        match refused {
            RequestError::Malformed(cause) => cause,
            RequestError::HeadTooLong => "too long a head".to_owned(),
            RequestError::BodyTooLong => "too long a body".to_owned(),
            RequestError::LengthRequired => "no length".to_owned(),
        }
    }
}

/// A whole request at the front; `None` while it is not whole. Only bodies whose length is told are read.
pub fn parse_request(bytes: &[u8], max_body: usize) -> Result<Option<Request>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let start = match head.parse(bytes) {
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(cause) => return Err(RequestError::Malformed(cause.to_string())),
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD => return Err(RequestError::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
    };
    let headers: Vec<(String, String)> = head
        .headers
        .iter()
        .map(|header| {
            (header.name.to_ascii_lowercase(), String::from_utf8_lossy(header.value).trim().to_owned())
        })
        .collect();
    let length = headers.iter().find(|header| header.0 == "content-length").map_or("0", |header| &header.1);
    if headers.iter().any(|header| header.0 == "transfer-encoding") {
        return Err(RequestError::LengthRequired);
    }
    let length: usize = length.parse().map_err(|_| RequestError::Malformed("no length".to_owned()))?;
    if length > max_body {
        return Err(RequestError::BodyTooLong);
    }
    let Some(body) = bytes.get(start..start + length).map(Bytes::copy_from_slice) else { return Ok(None) };
    let (method, path) = (head.method.unwrap_or("").to_owned(), head.path.unwrap_or("").to_owned());
    Ok(Some(Request { method, path, headers, body, consumed: start + length }))
}

/// An answer as a server writes it, its body's length told.
pub fn encode_response(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Bytes {
    let mut out = BytesMut::with_capacity(128 + body.len());
    out.put_slice(format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len()).as_bytes());
    for (name, value) in headers {
        out.put_slice(format!("{name}: {value}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    out.put_slice(body);
    out.freeze()
}

/// The bytes that an escaped path stands for, without its first slash; what is no escape stays as it is.
pub fn percent_decode(path: &str) -> Vec<u8> {
    let bytes = path.strip_prefix('/').unwrap_or(path).as_bytes();
    let mut out = Vec::with_capacity(bytes.len());
    let mut at = 0;
    while let Some(&byte) = bytes.get(at) {
        let code = bytes.get(at + 1..at + 3).and_then(|code| std::str::from_utf8(code).ok());
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()).filter(|_| byte == b'%') {
            Some(code) => {
                out.push(code);
                at += 3;
            }
            None => {
                out.push(byte);
                at += 1;
            }
        }
    }
    out
}

/// A request; the path's parts are to be escaped before.
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

/// The same without its body, of so many bytes, which is to follow.
pub fn encode_request_head(
    method: &str,
    path: &str,
    host: &str,
    headers: &[(&str, &[u8])],
    body: Option<usize>,
) -> BytesMut {
    let mut out = BytesMut::with_capacity(256 + body.unwrap_or(0).min(64 * 1024));
    out.put_slice(format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n").as_bytes());
    for (name, value) in headers {
        out.put_slice(name.as_bytes());
        out.put_slice(b": ");
        out.put_slice(value);
        out.put_slice(b"\r\n");
    }
    if let Some(length) = body {
        out.put_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    out.put_slice(b"\r\n");
    out
}

/// A key as a path: all but unreserved characters are escaped.
pub fn percent_encode(key: &[u8]) -> String {
    let mut path = String::with_capacity(key.len() + 1);
    for &byte in key {
        if byte.is_ascii_alphanumeric() || b"-._~".contains(&byte) {
            path.push(char::from(byte));
        } else {
            path.push_str(&format!("%{byte:02X}"));
        }
    }
    path
}
