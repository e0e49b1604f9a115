//! Responses, as a client reads them.

use bytes::{BufMut, Bytes, BytesMut};

use super::{ResponseError, MAX_HEAD, MAX_HEADERS};

/// The maximum number of interim responses (1xx) ahead of the final one.
const MAX_INTERIM: usize = 16;

/// After this status the connection no longer speaks HTTP, so it counts as the final response.
const SWITCHING_PROTOCOLS: u16 = 101;

/// A response.
#[derive(Debug)]
pub struct Response {
    /// The status, such as 200.
    pub status: u16,
    /// The server says itself that the request never ran.
    pub unprocessed: bool,
    /// Seconds after which to retry, where the server says.
    pub retry_after: Option<u32>,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
    /// The body; empty where only the head was read.
    pub body: Bytes,
    /// How many bytes the response took, those of interim ones included; without its body where
    /// only the head was read.
    pub consumed: usize,
}

/// A response whose body is too long to be buffered.
#[derive(Debug)]
pub struct LongResponse {
    /// The response without its body, which begins after `consumed` bytes.
    pub head: Response,
    /// The length of the body, in bytes.
    pub body_length: usize,
}

/// A complete response; `None` while it is incomplete.
///
/// # Errors
/// What is no HTTP or too long; also a response whose end only the connection's end would mark: it
/// could not be known to be complete.
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

/// The head of a response whose body is too long to be buffered: past `max_buffered` and up to
/// `max_body` bytes, by the head. `None` for any other, or while no head is complete.
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
    /// By its length, in bytes.
    Length(usize),
    /// By its last chunk.
    Chunked,
}

/// A response's head: the response as far as it goes, and how its body follows.
struct Head {
    /// `consumed` is where the body begins.
    response: Response,
    framing: Framing,
}

/// A body and where it ends.
struct ParsedBody {
    body: Bytes,
    end: usize,
}

/// The first response, which may be an interim one (1xx).
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
            // It may be a date, too; then the caller's own pause has to do.
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
