//! Parsing of responses by a client.

use bytes::{BufMut, Bytes, BytesMut};

use super::{ResponseError, MAX_HEAD, MAX_HEADERS};

/// The number of interim responses (1xx) without a final one that is an error.
pub(super) const MAX_INTERIM: usize = 16;

/// The status 101. The connection no longer uses HTTP after it, so it is a final response.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A parsed response.
#[derive(Debug)]
pub struct Response {
    /// The status, such as 200.
    pub status: u16,
    /// Whether the server states that it did not process the request (`X-Unprocessed: 1`).
    pub unprocessed: bool,
    /// The `Retry-After` header in seconds, if the server sent a number.
    pub retry_after: Option<u32>,
    /// Whether the connection can be used for another request.
    pub keep_alive: bool,
    /// The body; empty if only the head was parsed.
    pub body: Bytes,
    /// The length of the encoded response with all interim responses, in bytes; without the body if
    /// only the head was parsed.
    pub consumed: usize,
}

/// A response whose body is too long to be buffered.
#[derive(Debug)]
pub struct LongResponse {
    /// The response without its body, which begins at offset `consumed`.
    pub head: Response,
    /// The length of the body, in bytes.
    pub body_length: usize,
}

/// Parses a response; returns `None` while it is incomplete.
///
/// # Errors
/// The bytes are not HTTP, or the response is too long. A response that only the close of the
/// connection would end is an error too, since it can't be told from a truncated one.
pub fn parse_response(bytes: &[u8], max_body: usize) -> Result<Option<Response>, ResponseError> {
    let mut start = 0;
    for _ in 0..MAX_INTERIM {
        match parse_one(&bytes[start..], max_body)? {
            Some(interim) if is_interim(interim.status) => start += interim.consumed,
            found => {
                return Ok(found.map(|response| Response { consumed: start + response.consumed, ..response }))
            }
        }
    }
    Err(ResponseError::TooManyInterim)
}

/// Parses the head of a response whose `Content-Length` is above `max_buffered` and at most
/// `max_body` bytes. Returns `None` for any other response, and while the head is incomplete.
pub fn parse_long_response_head(bytes: &[u8], max_buffered: usize, max_body: usize) -> Option<LongResponse> {
    let mut start = 0;
    for _ in 0..MAX_INTERIM {
        let head = parse_head(&bytes[start..]).ok()??;
        let response = head.response;
        match head.framing {
            Framing::None if is_interim(response.status) => start += response.consumed,
            Framing::Length(length) if (max_buffered + 1..=max_body).contains(&length) => {
                let head = Response { consumed: start + response.consumed, ..response };
                return Some(LongResponse { head, body_length: length });
            }
            _ => return None,
        }
    }
    None
}

fn is_interim(status: u16) -> bool {
    status / 100 == 1 && status != SWITCHING_PROTOCOLS
}

/// How the end of a body is marked.
#[derive(Clone, Copy)]
enum Framing {
    /// There is no body.
    None,
    /// By `Content-Length`, in bytes.
    Length(usize),
    /// By the last chunk.
    Chunked,
}

/// The head of a response, and how the end of its body is marked.
struct Head {
    /// The response with an empty body; `consumed` is the offset of the body.
    response: Response,
    framing: Framing,
}

/// A body and the offset of its end.
struct ParsedBody {
    body: Bytes,
    end: usize,
}

/// Parses the first response, which may be an interim response (1xx).
fn parse_one(bytes: &[u8], max_body: usize) -> Result<Option<Response>, ResponseError> {
    let Some(Head { response, framing }) = parse_head(bytes)? else { return Ok(None) };
    let start = response.consumed;
    let parsed = match framing {
        Framing::None => Some(ParsedBody { body: Bytes::new(), end: start }),
        Framing::Chunked => parse_chunks(bytes, start, max_body)?,
        Framing::Length(length) if length > max_body => return Err(ResponseError::BodyTooLong),
        Framing::Length(length) => {
            let end = start + length;
            bytes.get(start..end).map(|body| ParsedBody { body: Bytes::copy_from_slice(body), end })
        }
    };
    Ok(parsed.map(|ParsedBody { body, end }| Response { body, consumed: end, ..response }))
}

fn parse_head(bytes: &[u8]) -> Result<Option<Head>, ResponseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Response::new(&mut headers);
    let body_start = match head.parse(bytes)? {
        httparse::Status::Complete(start) => start,
        httparse::Status::Partial if bytes.len() > MAX_HEAD => return Err(ResponseError::HeadTooLong),
        httparse::Status::Partial => return Ok(None),
    };
    let status = head.code.ok_or(ResponseError::MissingStatus)?;
    let mut fields = HeaderFields::default();
    for header in head.headers.iter() {
        fields.read(header)?;
    }
    let response = Response {
        status,
        unprocessed: fields.unprocessed,
        retry_after: fields.retry_after,
        keep_alive: head.version == Some(1) && status != SWITCHING_PROTOCOLS && !fields.closes,
        body: Bytes::new(),
        consumed: body_start,
    };
    Ok(Some(Head { response, framing: fields.framing(status)? }))
}

/// The header fields that are used.
#[derive(Default)]
struct HeaderFields {
    lengths: Vec<usize>,
    chunked: bool,
    /// The server closes the connection after this response.
    closes: bool,
    unprocessed: bool,
    retry_after: Option<u32>,
}

impl HeaderFields {
    fn read(&mut self, header: &httparse::Header) -> Result<(), ResponseError> {
        let text = std::str::from_utf8(header.value).unwrap_or("").trim();
        let is = |name: &str| header.name.eq_ignore_ascii_case(name);
        if is("content-length") {
            self.lengths.push(text.parse().map_err(|_| ResponseError::InvalidLength)?);
        } else if is("transfer-encoding") {
            self.chunked = text.eq_ignore_ascii_case("chunked");
            if !self.chunked {
                return Err(ResponseError::UnsupportedTransferEncoding(text.to_owned()));
            }
        } else if is("connection") {
            self.closes |= text.eq_ignore_ascii_case("close");
        } else if is("x-unprocessed") {
            self.unprocessed = text == "1";
        } else if is("retry-after") {
            // It may also be a date, which is ignored: the caller then uses its default pause.
            self.retry_after = text.parse().ok();
        }
        Ok(())
    }

    fn framing(&self, status: u16) -> Result<Framing, ResponseError> {
        if self.chunked {
            return Ok(Framing::Chunked);
        }
        match self.lengths[..] {
            [] if status / 100 == 1 || status == 204 || status == 304 => Ok(Framing::None),
            [length, ..] if self.lengths.iter().all(|other| *other == length) => Ok(Framing::Length(length)),
            _ => Err(ResponseError::AmbiguousLength),
        }
    }
}

fn parse_chunks(bytes: &[u8], mut at: usize, max_body: usize) -> Result<Option<ParsedBody>, ResponseError> {
    let mut body = BytesMut::new();
    loop {
        let (head_length, length) = match httparse::parse_chunk_size(&bytes[at..]) {
            Ok(httparse::Status::Complete((head_length, length))) => (head_length, length as usize),
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(ResponseError::InvalidChunk),
        };
        if length > max_body - body.len() {
            return Err(ResponseError::BodyTooLong);
        }
        let start = at + head_length;
        let end = start + length;
        match bytes.get(end..end + 2) {
            Some(b"\r\n") => body.put_slice(&bytes[start..end]),
            Some(_) => return Err(ResponseError::InvalidChunkEnd),
            None => return Ok(None),
        }
        at = end + 2;
        if length == 0 {
            return Ok(Some(ParsedBody { body: body.freeze(), end: at }));
        }
    }
}
