//! Baselines: small routers that speak the protocol with a minimal policy, to be compared with a
//! balancer. Each runs as a separate process (`basaltwood-testbed router KIND`), configured by
//! PROXY_CONFIG like a balancer.
//!
//! A router picks a host for each read (at random, with the fewest of its own requests in flight,
//! or the next on a ring with 64 positions per host). It tries one other host if the request could
//! not be sent, asks the origin on a miss, and rejects requests that certainly did not run. It has
//! no limits, treats hosts that are warming up like others and does not avoid slow hosts.
//!
//! A fault can be injected into a router ([`InjectedFault`]), so that a test can show that the
//! audit detects it.

mod endpoints;
mod exchange;
mod fault;

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::{facts, http, resp};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use thiserror::Error;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until, Instant};

use crate::experiment::Baseline;
use endpoints::{Endpoint, EndpointList, Endpoints};
use exchange::{send_to_host, send_to_origin, AttemptOutcome};
pub use fault::InjectedFault;

/// The largest list that is read from discovery, in bytes.
const MAX_LIST_BYTES: usize = 4 * 1024 * 1024;
/// The longest time for which discovery may hold a call for changes, in milliseconds.
const WATCH_HOLD_MS: u64 = 20_000;
/// The delay after a failed call to discovery.
const WATCH_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The most hosts to which a request is tried, if sending fails.
const MAX_ATTEMPTS: usize = 2;
/// How long before the client's deadline a router gives up, in milliseconds.
const REPLY_MARGIN_MS: u64 = 10;
/// The probability of a fault that affects only some requests.
const FAULT_PROBABILITY: f64 = 0.1;
/// How long after the deadline [`InjectedFault::ReplyLate`] sends the reply.
const LATE_REPLY_DELAY: Duration = Duration::from_millis(250);
/// How long after the reply [`InjectedFault::SendAfterReply`] sends the request again.
const RESEND_DELAY: Duration = Duration::from_millis(300);
/// The time from sending the request again to its new deadline.
const RESEND_TIMEOUT: Duration = Duration::from_millis(200);

/// Why a router could not start.
#[derive(Debug, Error)]
pub enum RouterError {
    /// PROXY_CONFIG is not set.
    #[error("PROXY_CONFIG is not set: expected the path of the configuration file")]
    NoConfig,
    /// The configuration can't be read.
    #[error("{path}: {cause}")]
    UnreadableConfig {
        /// The file.
        path: String,
        /// The error of the operating system.
        cause: std::io::Error,
    },
    /// The configuration is invalid.
    #[error("{path}: {cause}")]
    InvalidConfig {
        /// The file.
        path: String,
        /// The error, with line and column.
        cause: serde_json::Error,
    },
    /// The async runtime could not be started.
    #[error("starting the runtime: {0}")]
    Runtime(std::io::Error),
    /// Binding the listener failed.
    #[error("cannot listen on {address}: {cause}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The error of the operating system.
        cause: std::io::Error,
    },
}

/// The fields of the PROXY_CONFIG file that a router uses.
#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    known: EndpointList,
}

impl Config {
    fn from_environment() -> Result<Config, RouterError> {
        let path = std::env::var("PROXY_CONFIG").map_err(|_| RouterError::NoConfig)?;
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(cause) => return Err(RouterError::UnreadableConfig { path, cause }),
        };
        serde_json::from_str(&text).map_err(|cause| RouterError::InvalidConfig { path, cause })
    }
}

/// Serves until it is killed.
///
/// # Errors
/// PROXY_CONFIG is missing or invalid, or the listener can't be bound.
pub fn serve(baseline: Baseline, fault: Option<InjectedFault>) -> Result<(), RouterError> {
    let config = Config::from_environment()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(RouterError::Runtime)?;
    let seed = u64::from_str_radix(&config.seed, 16).unwrap_or(0);
    let sends_to_draining = fault == Some(InjectedFault::SendToDraining);
    let router = Rc::new(Router {
        fault,
        endpoints: RefCell::new(Endpoints::new(baseline, sends_to_draining)),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        previous_value: RefCell::default(),
    });
    LocalSet::new().block_on(&runtime, router.listen(config))
}

struct Router {
    fault: Option<InjectedFault>,
    endpoints: RefCell<Endpoints>,
    rng: RefCell<ChaCha8Rng>,
    /// The last value from a host or the origin, for [`InjectedFault::ReplyWithPreviousValue`].
    previous_value: RefCell<Bytes>,
}

/// Serves clients and watches discovery.
impl Router {
    async fn listen(self: Rc<Router>, config: Config) -> Result<(), RouterError> {
        let address = config.listen;
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|cause| RouterError::Listen { address, cause })?;
        let generation = config.known.generation;
        self.endpoints.borrow_mut().apply(config.known);
        spawn_local(self.clone().watch(config.discovery, generation));
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(self.clone().serve_client(stream));
            }
        }
    }

    async fn watch(self: Rc<Router>, discovery: SocketAddr, mut generation: u64) {
        while self.fault != Some(InjectedFault::IgnoreDiscovery) {
            match fetch_changes(discovery, generation).await {
                Some(changes) => {
                    generation = changes.generation;
                    self.endpoints.borrow_mut().apply(changes);
                }
                None => sleep(WATCH_RETRY_DELAY).await,
            }
        }
    }

    async fn serve_client(self: Rc<Router>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE);
        loop {
            match resp::parse_complete_command(buffer.bytes()) {
                Ok(Some(resp::CompleteCommand { words, consumed })) => {
                    buffer.consume(consumed);
                    if words.is_empty() {
                        continue;
                    }
                    let Some(reply) = self.reply(&words).await else { return };
                    if stream.write_all(&reply).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {
                    let Ok(mut unfilled) = buffer.unfilled() else { return };
                    if !matches!(stream.read_buf(&mut unfilled).await, Ok(1..)) {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }
}

/// Makes one call to discovery; `None` if it fails.
async fn fetch_changes(discovery: SocketAddr, generation: u64) -> Option<EndpointList> {
    let mut stream = TcpStream::connect(discovery).await.ok()?;
    let path = format!("/v1/servers?from={generation}&hold_ms={WATCH_HOLD_MS}");
    let request = http::encode_request("GET", &path, &discovery.to_string(), &[], None);
    stream.write_all(&request).await.ok()?;
    let mut buffer = Buffer::new(MAX_LIST_BYTES);
    loop {
        if stream.read_buf(&mut buffer.unfilled().ok()?).await.ok()? == 0 {
            return None;
        }
        if let Some(response) = http::parse_response(buffer.bytes(), MAX_LIST_BYTES).ok()? {
            return serde_json::from_slice(&response.body).ok();
        }
    }
}

/// Answers requests.
impl Router {
    /// The reply to one command; `None` if the connection must close.
    async fn reply(self: &Rc<Router>, words: &[Bytes]) -> Option<Bytes> {
        let name = words[0].to_ascii_uppercase();
        if !name.starts_with(b"CACHE.") || words.len() < 4 {
            return Some(Bytes::from_static(b"+PONG\r\n"));
        }
        let facts = String::from_utf8_lossy(&words[3]).into_owned();
        let timeout_ms = facts::fact(&facts, "d").and_then(|ms| ms.parse::<u64>().ok()).unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(timeout_ms.saturating_sub(REPLY_MARGIN_MS));
        let outcome = self.route(words, deadline).await;
        if self.should_inject(InjectedFault::NeverReply) {
            std::future::pending::<()>().await;
        }
        if self.should_inject(InjectedFault::ReplyLate) {
            sleep_until(deadline + LATE_REPLY_DELAY).await;
        }
        if self.should_inject(InjectedFault::CloseConnection) {
            return None;
        }
        if self.should_inject(InjectedFault::SendAfterReply) {
            spawn_local(self.clone().resend_later(words.to_vec()));
        }
        Some(self.encode_outcome(outcome, words))
    }

    /// Whether to inject a fault into a request: with [`FAULT_PROBABILITY`], if this router has the
    /// fault.
    fn should_inject(&self, fault: InjectedFault) -> bool {
        self.fault == Some(fault) && self.rng.borrow_mut().random_bool(FAULT_PROBABILITY)
    }

    async fn resend_later(self: Rc<Router>, words: Vec<Bytes>) {
        sleep(RESEND_DELAY).await;
        self.route(&words, Instant::now() + RESEND_TIMEOUT).await;
    }

    fn encode_outcome(&self, outcome: AttemptOutcome, words: &[Bytes]) -> Bytes {
        match outcome {
            AttemptOutcome::Value(_)
                if is_write(words) && self.fault == Some(InjectedFault::RejectExecutedWrites) =>
            {
                Bytes::from_static(b"-BUSY\r\n")
            }
            AttemptOutcome::Value(value) => {
                let reply = resp::encode_bulk(&self.apply_value_fault(value, words));
                if self.should_inject(InjectedFault::ReplyTwice) {
                    [&reply[..], &reply[..]].concat().into()
                } else {
                    reply
                }
            }
            AttemptOutcome::Rejected | AttemptOutcome::Unreachable => Bytes::from_static(b"-BUSY\r\n"),
            AttemptOutcome::Miss | AttemptOutcome::Failed => resp::encode_error("dead-lettered"),
        }
    }

    /// The value to send to the client: the received one, unless a fault replaces it.
    fn apply_value_fault(&self, value: Bytes, words: &[Bytes]) -> Bytes {
        match self.fault {
            Some(InjectedFault::ReplyWithPreviousValue) => {
                let previous = self.previous_value.replace(value.clone());
                if previous.is_empty() {
                    value
                } else {
                    previous
                }
            }
            Some(InjectedFault::ForgeValue) => Bytes::from([&words[2][..], b":nobody:"].concat()),
            _ => value,
        }
    }

    /// Sends a write to the origin, a read to a host and, on a miss, to the origin.
    async fn route(&self, words: &[Bytes], deadline: Instant) -> AttemptOutcome {
        let origin = self.endpoints.borrow().origin();
        if let Some(origin) = origin.as_ref().filter(|_| is_write(words)) {
            let outcome = send_to_origin(origin, words, deadline).await;
            if self.fault == Some(InjectedFault::RepeatWrites) {
                return send_to_origin(origin, words, deadline).await;
            }
            return outcome;
        }
        // For a forged value no host is asked. `apply_value_fault` makes the value.
        if self.fault == Some(InjectedFault::ForgeValue) {
            return AttemptOutcome::Value(Bytes::new());
        }
        match (self.try_hosts(words, deadline).await, origin) {
            (AttemptOutcome::Miss, Some(origin)) => send_to_origin(&origin, words, deadline).await,
            (outcome, _) => outcome,
        }
    }

    async fn try_hosts(&self, words: &[Bytes], deadline: Instant) -> AttemptOutcome {
        let mut unreachable = None;
        for _ in 0..MAX_ATTEMPTS {
            let Some(host) = self.select(&words[1], unreachable.as_ref()) else { break };
            host.in_flight.set(host.in_flight.get() + 1);
            let outcome = send_to_host(&host, words, deadline).await;
            host.in_flight.set(host.in_flight.get() - 1);
            if !matches!(outcome, AttemptOutcome::Unreachable) {
                return outcome;
            }
            unreachable = Some(host);
        }
        AttemptOutcome::Unreachable
    }

    fn select(&self, key: &[u8], excluded: Option<&Rc<Endpoint>>) -> Option<Rc<Endpoint>> {
        self.endpoints.borrow().select(key, excluded, &mut self.rng.borrow_mut())
    }
}

fn is_write(words: &[Bytes]) -> bool {
    words.len() > 4
}
