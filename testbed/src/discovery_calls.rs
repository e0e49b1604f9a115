//! The server side of balancers' discovery calls, shared by all emulated discoveries: reads a call,
//! holds it until the list is newer, and encodes the list.

use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::http::{self, Request};
use bytes::Bytes;
use serde_json::{json, Value};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// Upper bound of a call in bytes; a call is a request line and a few headers.
const MAX_CALL_BYTES: usize = 16 * 1024;
/// The longest time that a call is held, in milliseconds.
const MAX_HOLD_MS: u64 = 60_000;

/// The query of a call for changes; a call without one asks for the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChangesQuery {
    /// The version of the list that the caller has.
    pub(crate) after: u64,
    /// How long the call may be held if there are no changes.
    pub(crate) hold: Duration,
}

impl ChangesQuery {
    /// Parses the query of a path; `None` if the call asks for the whole list.
    pub(crate) fn parse(path: &str) -> Option<ChangesQuery> {
        let (_, query) = path.split_once('?').unwrap_or_default();
        let hold_ms = number(query, "hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Some(ChangesQuery { after: number(query, "from")?, hold: Duration::from_millis(hold_ms) })
    }
}

/// The number that a query gives for a parameter.
fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}

/// The calls received on one connection.
pub(crate) struct Calls {
    stream: TcpStream,
    buffer: Buffer,
}

impl Calls {
    /// Reads calls from an accepted connection.
    pub(crate) fn new(stream: TcpStream) -> Calls {
        Calls { stream, buffer: Buffer::new(MAX_CALL_BYTES) }
    }

    /// The connection, for writing responses.
    pub(crate) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Reads the next call; `None` if the connection ended or sent an invalid request.
    pub(crate) async fn next(&mut self) -> Option<Request> {
        loop {
            if let Some(request) = http::parse_request(self.buffer.bytes(), 0).ok()? {
                self.buffer.consume(request.consumed);
                return Some(request);
            }
            let mut unfilled = self.buffer.unfilled().ok()?;
            if self.stream.read_buf(&mut unfilled).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Holds a call for changes until the list is newer or its hold time is over. Returns whether
    /// the caller is still connected: a response written to one that has gone would count as
    /// received.
    pub(crate) async fn hold(
        &mut self,
        generation: &watch::Sender<u64>,
        changes: Option<ChangesQuery>,
    ) -> bool {
        let Some(ChangesQuery { after, hold }) = changes else { return true };
        let mut generation = generation.subscribe();
        let newer = generation.wait_for(|&generation| generation > after);
        let stream = &mut self.stream;
        let disconnected = async { while !matches!(stream.read(&mut [0]).await, Ok(0) | Err(_)) {} };
        tokio::select! {
            _ = timeout(hold, newer) => true,
            () = disconnected => false,
        }
    }
}

/// The JSON of a list: the changes since a version or, with `reset`, the whole list.
pub(crate) fn list(generation: u64, reset: bool, instances: &[&Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": instances})
}

/// Encodes a list as an HTTP response.
pub(crate) fn encode_list(generation: u64, reset: bool, instances: &[&Value]) -> Bytes {
    let body = list(generation, reset, instances).to_string();
    http::encode_response(200, &[("Content-Type", "application/json")], body.as_bytes())
}
