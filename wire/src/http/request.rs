//! Parsing of requests by a server.

use bytes::Bytes;

use super::{RequestError, MAX_HEAD, MAX_HEADERS};

/// A parsed request.
#[derive(Debug)]
pub struct Request {
    /// The method, unchanged.
    pub method: String,
    /// The path and query, still percent-encoded.
    pub path: String,
    /// The header names, in lower case, and values.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
    /// The length of the encoded request, in bytes.
    pub consumed: usize,
}

impl Request {
    /// The value of the first header with this name, which has to be in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> Option<&'a str> {
    headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
}

/// Parses a request; returns `None` while it is incomplete. A body needs a `Content-Length`.
///
/// # Errors
/// The bytes are not HTTP, the head or body is too long, or the length of the body is not given.
pub fn parse_request(bytes: &[u8], max_body: usize) -> Result<Option<Request>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut head = httparse::Request::new(&mut headers);
    let body_start = match head.parse(bytes) {
        Err(httparse::Error::TooManyHeaders) => return Err(RequestError::HeadTooLong),
        Err(error) => return Err(RequestError::Malformed(error)),
        Ok(httparse::Status::Complete(start)) => start,
        Ok(httparse::Status::Partial) if bytes.len() > MAX_HEAD => return Err(RequestError::HeadTooLong),
        Ok(httparse::Status::Partial) => return Ok(None),
    };
    let headers: Vec<(String, String)> = head.headers.iter().map(owned_header).collect();
    let consumed = body_start + body_length(&headers, max_body)?;
    let Some(body) = bytes.get(body_start..consumed) else { return Ok(None) };
    Ok(Some(Request {
        method: head.method.unwrap_or("").to_owned(),
        path: head.path.unwrap_or("").to_owned(),
        headers,
        body: Bytes::copy_from_slice(body),
        consumed,
    }))
}

fn owned_header(header: &httparse::Header) -> (String, String) {
    let value = String::from_utf8_lossy(header.value).trim().to_owned();
    (header.name.to_ascii_lowercase(), value)
}

fn body_length(headers: &[(String, String)], max_body: usize) -> Result<usize, RequestError> {
    if header(headers, "transfer-encoding").is_some() {
        return Err(RequestError::LengthRequired);
    }
    let length = header(headers, "content-length").unwrap_or("0");
    let length = length.parse().map_err(|_| RequestError::InvalidLength)?;
    if length > max_body {
        return Err(RequestError::BodyTooLong);
    }
    Ok(length)
}
