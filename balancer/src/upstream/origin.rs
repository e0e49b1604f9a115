//! The protocol of the origin, which serves values that a cache host lacks and takes writes:
//! encodes an attempt as an HTTP/1.1 request and parses the response.

use std::net::SocketAddr;

use basaltwood::types::{AttemptOutcome, Micros};
use basaltwood_wire::http::{self, LongResponse};
use basaltwood_wire::resp::{MAX_BUFFERED_VALUE, MAX_INLINE_VALUE, MAX_VALUE};

use super::messages::{ParsedResponse, RequestBytes, ResponseError, ValueEnding, ValueHead, WholeResponse};
use crate::request::ClientRequest;

/// Encodes the HTTP request to the origin at `address`, with `time_left` as its timeout.
pub fn encode(address: SocketAddr, request: &ClientRequest, time_left: Micros) -> RequestBytes {
    let path = format!("/{}", http::percent_encode(&request.key));
    let facts = request.facts_within(time_left);
    let headers: [(&str, &[u8]); 2] = [("X-Correlation-Id", &request.id), ("X-Facts", &facts)];
    let method = if request.value.is_some() { "PUT" } else { "GET" };
    let authority = address.to_string();
    match request.separate_value() {
        Some((length, segments)) => {
            let head = http::encode_request_head(method, &path, &authority, &headers, Some(length)).freeze();
            RequestBytes { head, segments: segments.to_vec() }
        }
        None => {
            let value = request.inline_value();
            RequestBytes::whole(http::encode_request(method, &path, &authority, &headers, value.as_deref()))
        }
    }
}

/// Parses a response at the front of a buffer.
pub fn parse_response(bytes: &[u8]) -> Result<Option<ParsedResponse>, ResponseError> {
    let long = http::parse_long_response_head(bytes, MAX_INLINE_VALUE, MAX_VALUE);
    if let Some(LongResponse { head, body_length: length }) = long {
        if head.status == 200 {
            let (start, reusable) = (head.consumed, head.keep_alive);
            let ending = ValueEnding::Nothing { reusable };
            return Ok(Some(ParsedResponse::ValueHead(ValueHead { start, length, ending })));
        }
    }
    let parsed = http::parse_response(bytes, MAX_BUFFERED_VALUE)?;
    let Some(response) = parsed else { return Ok(None) };
    let (outcome, value) = match response.status {
        200 => (AttemptOutcome::Succeeded, Some(response.body)),
        503 | 504 if response.unprocessed => (AttemptOutcome::Rejected, None),
        _ => (AttemptOutcome::Error, None),
    };
    Ok(Some(ParsedResponse::Whole(WholeResponse {
        outcome,
        value,
        length: response.consumed,
        reusable: response.keep_alive,
    })))
}
