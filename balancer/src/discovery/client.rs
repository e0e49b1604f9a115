//! One call to discovery over HTTP/1.1, on a connection that is kept from call to call.

use std::io;
use std::net::SocketAddr;

use basaltwood::types::Micros;
use basaltwood_membership::{WatchError, WatchSchedule};
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::http::{self, Response};
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use super::EndpointList;
use crate::clock::duration;
use crate::loop_profile::{LoopProfile, Stage};
use crate::read;
use crate::socket_io::write_all;
use crate::upstream::{self, UpstreamConnection};

/// The largest list that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Buffer space for a response's head, in addition to the list.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Discovery at one address.
pub struct DiscoveryClient<'a> {
    address: SocketAddr,
    /// Records the time that parsing a list takes.
    profile: &'a LoopProfile,
    /// Kept from call to call; closed when a call fails.
    connection: Option<UpstreamConnection>,
}

impl<'a> DiscoveryClient<'a> {
    /// A client that has no connection yet.
    pub fn new(address: SocketAddr, profile: &'a LoopProfile) -> DiscoveryClient<'a> {
        DiscoveryClient { address, profile, connection: None }
    }

    /// Fetches the changes since the schedule's known version, or the whole list if it has none.
    /// The schedule's timeouts count from `began`.
    ///
    /// # Errors
    /// [`WatchError`] if discovery refuses, does not answer in time, or sends an invalid response.
    /// The connection is closed then.
    pub async fn fetch(
        &mut self,
        schedule: &WatchSchedule,
        began: Instant,
    ) -> Result<EndpointList, WatchError> {
        let list = self.call(schedule, began).await;
        if list.is_err() {
            self.connection = None;
        }
        list
    }

    async fn call(&mut self, schedule: &WatchSchedule, began: Instant) -> Result<EndpointList, WatchError> {
        let is_reused = self.connection.is_some();
        let connection = match &mut self.connection {
            Some(open) => open,
            closed => closed.insert(connect(self.address, schedule, began).await?),
        };
        let path = request_path(schedule, began);
        let request = http::encode_request("GET", &path, &self.address.to_string(), &[], None);
        let call_ends = began + duration(schedule.call_timeout());
        let UpstreamConnection { stream, buffer, .. } = connection;
        let answer = match timeout_at(call_ends, exchange(stream, buffer, &request)).await {
            Ok(answer) => answer?,
            Err(_) => {
                return Err(WatchError::TimedOut("no complete answer within the call timeout".to_owned()))
            }
        };
        buffer.consume(answer.consumed);
        // Nothing may follow an answer: it would be taken for the answer to the next call.
        if !answer.keep_alive || !buffer.is_empty() {
            self.connection = None;
        }
        let list = self.profile.timed(Stage::ListParsed, || read_list(&answer))?;
        // The first answer on a connection is its own call's, whatever its version.
        if is_reused && schedule.known_version().is_some_and(|known| list.version() < known) {
            let cause = format!("an answer of version {}, older than the known one", list.version());
            return Err(WatchError::TimedOut(cause));
        }
        Ok(list)
    }
}

async fn connect(
    address: SocketAddr,
    schedule: &WatchSchedule,
    began: Instant,
) -> Result<UpstreamConnection, WatchError> {
    let until = began + duration(schedule.response_timeout().min(schedule.call_timeout()));
    // This needs no permit: the budget reserves a descriptor for it, so that drains are read even
    // while clients and hosts hold all other descriptors.
    let stream = upstream::connect(address, until).await.map_err(connection_failed)?;
    Ok(UpstreamConnection::new(stream, None, MAX_BODY_BYTES + MAX_HEAD_BYTES))
}

/// The path of the whole list, or of the changes since the known version. Discovery holds the
/// latter call until there are changes.
fn request_path(schedule: &WatchSchedule, began: Instant) -> String {
    let Some(version) = schedule.known_version() else { return "/v1/servers".to_owned() };
    let connecting_took = began.elapsed().as_micros() as Micros;
    let hold_ms = schedule.hold_for(connecting_took) / 1000;
    format!("/v1/servers?from={version}&hold_ms={hold_ms}")
}

async fn exchange(
    stream: &mut TcpStream,
    buffer: &mut Buffer,
    request: &[u8],
) -> Result<Response, WatchError> {
    write_all(stream, request).await.map_err(connection_failed)?;
    loop {
        let bytes_read = read(stream, buffer).await.map_err(connection_failed)?;
        if bytes_read == 0 {
            return Err(WatchError::TimedOut("connection closed before the answer was complete".to_owned()));
        }
        let answer = http::parse_response(buffer.bytes(), MAX_BODY_BYTES)
            .map_err(|error| WatchError::InvalidResponse(error.to_string()))?;
        if let Some(answer) = answer {
            return Ok(answer);
        }
    }
}

/// A failed connection counts as no answer: the known version is still valid.
fn connection_failed(cause: io::Error) -> WatchError {
    WatchError::TimedOut(cause.to_string())
}

fn read_list(answer: &Response) -> Result<EndpointList, WatchError> {
    match answer.status {
        200 => serde_json::from_slice(&answer.body)
            .map_err(|cause| WatchError::InvalidResponse(cause.to_string())),
        // Discovery is overloaded or broken, and a call at once would add to its load.
        429 | 500.. => {
            let retry_after = answer.retry_after.map(|seconds| Micros::from(seconds) * 1_000_000);
            Err(WatchError::Unavailable { cause: format!("status {}", answer.status), retry_after })
        }
        status => Err(WatchError::InvalidResponse(format!("status {status}"))),
    }
}
