//! The origin: where a value is fetched that a cache host lacks, and where writes go, over HTTP/1.1.

use std::net::SocketAddr;
use std::rc::Rc;

use basaltwood::types::{AttemptOutcome, HostId, Micros};
use basaltwood_wire::http;
use basaltwood_wire::resp::{MAX_BUFFERED_VALUE, MAX_VALUE};

use crate::request::{AttemptResult, ClientRequest, Value};
use crate::upstream::{AttemptKey, ParseTrailer, ParsedResponse, RequestBytes, Upstreams};

/// One push of an op to the origin.
pub async fn attempt(
    upstreams: &Rc<Upstreams>,
    host: HostId,
    address: SocketAddr,
    attempt: AttemptKey,
    request: &ClientRequest,
    until: Micros,
) -> AttemptResult {
    let path = format!("/{}", http::percent_encode(&request.key));
    let text = |left| {
        let facts = request.facts_within(left);
        let headers: [(&str, &[u8]); 2] = [("X-Correlation-Id", &request.id), ("X-Facts", &facts)];
        let method = if request.value.is_some() { "PUT" } else { "GET" };
        let to = address.to_string();
        match request.long_value() {
            Some((length, segments)) => RequestBytes(
                http::encode_request_head(method, &path, &to, &headers, Some(length)).freeze(),
                segments.to_vec(),
            ),
            None => RequestBytes(
                http::encode_request(method, &path, &to, &headers, request.short_value().as_deref()),
                Vec::new(),
            ),
        }
    };
    upstreams.exchange(host, attempt, request, text, until, answer).await
}

fn answer(bytes: &[u8]) -> Result<Option<ParsedResponse>, String> {
    if let Some((answer, length)) = http::parse_long_response_head(bytes, MAX_BUFFERED_VALUE, MAX_VALUE) {
        if answer.status == 200 {
            let (start, rest): (usize, ParseTrailer) =
                (answer.consumed, Box::new(move |_| Ok(Some((0, answer.keep_alive)))));
            return Ok(Some(ParsedResponse::Streamed { start, length, rest }));
        }
    }
    let Some(answer) = http::parse_response(bytes, MAX_BUFFERED_VALUE)? else { return Ok(None) };
    let outcome = match answer.status {
        200 => (AttemptOutcome::Succeeded, Some(Value::Whole(answer.body))),
        503 | 504 if answer.unprocessed => (AttemptOutcome::Rejected, None),
        _ => (AttemptOutcome::Error, None),
    };
    Ok(Some(ParsedResponse::Whole(outcome, answer.consumed, answer.keep_alive)))
}
