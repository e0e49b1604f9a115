//! Watches discovery. The real schedule decides when to call and how long a call may be held; the
//! lists go to the balancer.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::Micros;
use basaltwood_membership::{WatchError, WatchSchedule};
use basaltwood_wire::http::{self, Response};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use super::balancer::SimulatedBalancer;
use super::connection::Connection;
use super::counters::Counters;
use super::endpoints::EndpointList;
use crate::scale::system::unix_micros;
use crate::time::{to_duration, MS};

/// The shortest time from the start of one call to the start of the next.
const MIN_CALL_INTERVAL: Duration = Duration::from_millis(20);
/// The largest list that is read, in bytes.
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
/// Buffer space for the head of a response, in addition to the list, in bytes.
const MAX_HEAD_BYTES: usize = 64 * 1024;

impl SimulatedBalancer {
    /// Watches discovery for as long as the process runs.
    pub(super) async fn watch(self: Rc<SimulatedBalancer>, discovery: SocketAddr, schedule: WatchSchedule) {
        let counters = self.counters.clone();
        let mut client = DiscoveryClient { address: discovery, connection: None, counters };
        let mut schedule = schedule;
        loop {
            let started_at = Instant::now();
            match client.call(&schedule).await {
                Ok(list) => {
                    let generation = list.generation;
                    let whole = list.reset || schedule.known_version().is_none();
                    self.apply_list(list, whole);
                    schedule.succeeded(generation, whole);
                    sleep_until(started_at + MIN_CALL_INTERVAL).await;
                }
                Err(error) => {
                    let call_took = elapsed(started_at);
                    sleep(to_duration(schedule.failed(&error, call_took))).await;
                }
            }
        }
    }

    /// Applies a list, and records when, unless the list has no changes.
    fn apply_list(&self, list: EndpointList, whole: bool) {
        let has_changes = whole || !list.instances.is_empty();
        self.update_endpoints(whole, list.instances);
        if has_changes {
            let applied = (self.number, list.generation, unix_micros());
            self.counters.count(|counters| counters.applied.push(applied));
        }
    }
}

/// Calls discovery, over one connection while that stays open.
struct DiscoveryClient {
    address: SocketAddr,
    connection: Option<Connection>,
    counters: Rc<Counters>,
}

impl DiscoveryClient {
    /// Makes one call. A failure closes the connection.
    async fn call(&mut self, schedule: &WatchSchedule) -> Result<EndpointList, WatchError> {
        let started_at = Instant::now();
        let deadline = started_at + to_duration(schedule.call_timeout());
        let mut connection = match self.connection.take() {
            Some(connection) => connection,
            None => self.connect(schedule).await?,
        };
        let path = match schedule.known_version() {
            Some(version) => {
                let hold_ms = schedule.hold_for(elapsed(started_at)) / MS;
                format!("/v1/servers?from={version}&hold_ms={hold_ms}")
            }
            None => "/v1/servers".to_owned(),
        };
        let request = http::encode_request("GET", &path, &self.address.to_string(), &[], None);
        let exchange = timeout_at(deadline, self.exchange(&mut connection, &request)).await;
        let response = exchange.map_err(|_| WatchError::TimedOut("no response in time".to_owned()))??;
        connection.buffer.consume(response.consumed);
        if response.status != 200 {
            return Err(WatchError::InvalidResponse(format!("expected status 200, got {}", response.status)));
        }
        let list = serde_json::from_slice(&response.body)
            .map_err(|cause| WatchError::InvalidResponse(cause.to_string()))?;
        self.connection = Some(connection).filter(|_| response.keep_alive);
        Ok(list)
    }

    async fn connect(&self, schedule: &WatchSchedule) -> Result<Connection, WatchError> {
        let connecting = Connection::connect(self.address, MAX_BODY_BYTES + MAX_HEAD_BYTES);
        let connected = timeout(to_duration(schedule.response_timeout()), connecting).await;
        connected.map_err(|_| WatchError::TimedOut("connecting took too long".to_owned()))?.map_err(timed_out)
    }

    /// Writes a request and reads its whole response, which stays in the buffer.
    async fn exchange(&self, connection: &mut Connection, request: &[u8]) -> Result<Response, WatchError> {
        let Connection { stream, buffer } = connection;
        stream.write_all(request).await.map_err(timed_out)?;
        self.counters.count(|counters| counters.discovery_bytes_out += request.len() as u64);
        loop {
            let mut unfilled = buffer.unfilled().map_err(timed_out)?;
            let read = stream.read_buf(&mut unfilled).await.map_err(timed_out)?;
            if read == 0 {
                return Err(WatchError::TimedOut(
                    "connection closed before the end of the response".to_owned(),
                ));
            }
            self.counters.count(|counters| counters.discovery_bytes_in += read as u64);
            let parsed = http::parse_response(buffer.bytes(), MAX_BODY_BYTES);
            let parsed = parsed.map_err(|error| WatchError::InvalidResponse(error.to_string()))?;
            if let Some(response) = parsed {
                return Ok(response);
            }
        }
    }
}

/// Treats a failed connection like a timeout.
fn timed_out(cause: io::Error) -> WatchError {
    WatchError::TimedOut(cause.to_string())
}

fn elapsed(since: Instant) -> Micros {
    since.elapsed().as_micros() as Micros
}
