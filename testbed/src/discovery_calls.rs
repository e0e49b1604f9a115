//! The server's side of a balancer's calls at discovery, as every emulated discovery needs it:
//! reading a call, holding it until the list is newer, and writing the list.

use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::http::{self, Request};
use bytes::Bytes;
use serde_json::{json, Value};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::timeout;

/// A call is a request line and a few headers.
const MAX_CALL_BYTES: usize = 16 * 1024;
/// No call is held for longer, whatever it asks for.
const MAX_HOLD_MS: u64 = 60_000;

/// A call for what changed; one without this asks for the whole list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ChangesQuery {
    /// The version that the caller has.
    pub(crate) after: u64,
    /// For how long the call may be held.
    pub(crate) hold: Duration,
}

impl ChangesQuery {
    /// Reads the query of a path; none where the call asks for the whole list.
    pub(crate) fn parse(path: &str) -> Option<ChangesQuery> {
        let (_, query) = path.split_once('?').unwrap_or_default();
        let hold_ms = number(query, "hold_ms").unwrap_or(0).min(MAX_HOLD_MS);
        Some(ChangesQuery { after: number(query, "from")?, hold: Duration::from_millis(hold_ms) })
    }
}

/// The number that a query gives under a name.
fn number(query: &str, name: &str) -> Option<u64> {
    let mut pairs = query.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))?;
    value.parse().ok()
}

/// The calls that come on one connection.
pub(crate) struct Calls {
    stream: TcpStream,
    buffer: Buffer,
}

impl Calls {
    /// Of a connection that was accepted.
    pub(crate) fn new(stream: TcpStream) -> Calls {
        Calls { stream, buffer: Buffer::new(MAX_CALL_BYTES) }
    }

    /// The connection, to write responses to.
    pub(crate) fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// The next call; none where the connection ended or sent what is no call.
    pub(crate) async fn next(&mut self) -> Option<Request> {
        loop {
            if let Some(request) = http::parse_request(self.buffer.bytes(), 0).ok()? {
                self.buffer.consume(request.consumed);
                return Some(request);
            }
            let unfilled = self.buffer.unfilled().ok()?;
            if self.stream.read_buf(unfilled).await.ok()? == 0 {
                return None;
            }
        }
    }

    /// Holds a call for changes until there is something newer or its time is over; whether its
    /// caller is still there. One that has gone must not be sent anything: that would count as told.
    pub(crate) async fn hold(
        &mut self,
        generation: &watch::Sender<u64>,
        changes: Option<ChangesQuery>,
    ) -> bool {
        let Some(ChangesQuery { after, hold }) = changes else { return true };
        let mut generation = generation.subscribe();
        let newer = generation.wait_for(|&generation| generation > after);
        let stream = &mut self.stream;
        let gone = async { while !matches!(stream.read(&mut [0]).await, Ok(0) | Err(_)) {} };
        tokio::select! {
            _ = timeout(hold, newer) => true,
            () = gone => false,
        }
    }
}

/// A list as discovery writes it: what is newer than a version, or, with `reset`, all.
pub(crate) fn list(generation: u64, reset: bool, instances: &[&Value]) -> Value {
    json!({"generation": generation, "reset": reset, "instances": instances})
}

/// A list as a whole response.
pub(crate) fn encode_list(generation: u64, reset: bool, instances: &[&Value]) -> Bytes {
    let body = list(generation, reset, instances).to_string();
    http::encode_response(200, &[("Content-Type", "application/json")], body.as_bytes())
}
