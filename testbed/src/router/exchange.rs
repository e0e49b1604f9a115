//! Attempts of a baseline router: sends a command to a cache host or a request to the origin, and
//! reads the response.

use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::{facts, http, resp};
use bytes::Bytes;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::endpoints::{Endpoint, IdleConnection};

/// The longest idle time of a connection that is reused, below the idle timeout of every host.
const MAX_IDLE: Duration = Duration::from_secs(10);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The most bytes of a response in addition to its value.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// The outcome of an attempt.
pub(super) enum AttemptOutcome {
    Value(Bytes),
    Miss,
    /// The host or the origin rejected the request without running it.
    Rejected,
    /// The request could not be sent: connecting or writing failed.
    Unreachable,
    /// The request failed and may have run.
    Failed,
}

/// Why a response could not be parsed.
#[derive(Debug, Error)]
enum ResponseError {
    #[error(transparent)]
    Resp(#[from] resp::RespError),
    #[error(transparent)]
    Http(#[from] http::ResponseError),
}

/// A complete response.
struct ParsedResponse {
    outcome: AttemptOutcome,
    consumed: usize,
    /// Whether the connection can be reused.
    keep_alive: bool,
}

type ParseResult = Result<Option<ParsedResponse>, ResponseError>;

/// Sends a command to a cache host.
pub(super) async fn send_to_host(host: &Endpoint, words: &[Bytes], deadline: Instant) -> AttemptOutcome {
    let facts = facts::with_timeout(&words[3], remaining_ms(deadline));
    let mut command: Vec<&[u8]> = words.iter().map(|word| &word[..]).collect();
    command[3] = &facts;
    exchange(host, &resp::encode_command(&command), deadline, parse_host_reply).await
}

/// Sends a command to the origin as an HTTP request.
pub(super) async fn send_to_origin(origin: &Endpoint, words: &[Bytes], deadline: Instant) -> AttemptOutcome {
    let facts = facts::with_timeout(&words[3], remaining_ms(deadline));
    let path = format!("/{}", http::percent_encode(&words[1]));
    let headers: [(&str, &[u8]); 2] = [("X-Correlation-Id", &words[2]), ("X-Facts", &facts)];
    let value = words.get(4).map(|value| &value[..]);
    let method = if value.is_some() { "PUT" } else { "GET" };
    let request = http::encode_request(method, &path, &origin.address.to_string(), &headers, value);
    exchange(origin, &request, deadline, parse_origin_response).await
}

fn remaining_ms(deadline: Instant) -> u64 {
    deadline.saturating_duration_since(Instant::now()).as_millis() as u64
}

fn parse_host_reply(bytes: &[u8]) -> ParseResult {
    let Some(resp::ParsedReply { reply, end }) = resp::parse_reply(bytes)? else { return Ok(None) };
    let outcome = match reply {
        resp::Reply::Value(range) => AttemptOutcome::Value(Bytes::copy_from_slice(&bytes[range])),
        resp::Reply::Miss => AttemptOutcome::Miss,
        resp::Reply::Busy => AttemptOutcome::Rejected,
        resp::Reply::Failed => AttemptOutcome::Failed,
    };
    Ok(Some(ParsedResponse { outcome, consumed: end.consumed, keep_alive: end.keep_alive }))
}

fn parse_origin_response(bytes: &[u8]) -> ParseResult {
    let Some(response) = http::parse_response(bytes, resp::MAX_BUFFERED_VALUE)? else { return Ok(None) };
    let (consumed, keep_alive) = (response.consumed, response.keep_alive);
    let outcome = match response.status {
        200 => AttemptOutcome::Value(response.body),
        503 | 504 if response.unprocessed => AttemptOutcome::Rejected,
        _ => AttemptOutcome::Failed,
    };
    Ok(Some(ParsedResponse { outcome, consumed, keep_alive }))
}

/// Sends a request on an idle or a new connection and reads the response.
async fn exchange(
    endpoint: &Endpoint,
    request: &[u8],
    deadline: Instant,
    parse: fn(&[u8]) -> ParseResult,
) -> AttemptOutcome {
    let Some(mut stream) = check_out(endpoint, deadline).await else { return AttemptOutcome::Unreachable };
    let _ = stream.set_nodelay(true);
    if !matches!(timeout_at(deadline, stream.write_all(request)).await, Ok(Ok(()))) {
        return AttemptOutcome::Unreachable;
    }
    let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE + MAX_HEAD_BYTES);
    loop {
        let Ok(mut unfilled) = buffer.unfilled() else { return AttemptOutcome::Failed };
        let read = timeout_at(deadline, stream.read_buf(&mut unfilled)).await;
        if !matches!(read, Ok(Ok(1..))) {
            return AttemptOutcome::Failed;
        }
        match parse(buffer.bytes()) {
            Ok(None) => {}
            Ok(Some(response)) => {
                if response.keep_alive && response.consumed == buffer.bytes().len() {
                    endpoint.idle.borrow_mut().push(IdleConnection { stream, since: Instant::now() });
                }
                return response.outcome;
            }
            Err(_) => return AttemptOutcome::Failed,
        }
    }
}

/// The most recently used idle connection, or a new one if that was idle for too long.
async fn check_out(endpoint: &Endpoint, deadline: Instant) -> Option<TcpStream> {
    let newest = endpoint.idle.borrow_mut().pop();
    if let Some(idle) = newest.filter(|idle| idle.since.elapsed() < MAX_IDLE) {
        return Some(idle.stream);
    }
    let connect_deadline = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connected = timeout_at(connect_deadline, TcpStream::connect(endpoint.address)).await;
    connected.ok()?.ok()
}
