//! Baselines: small routers that keep the protocol and decide next to nothing, to be measured beside a balancer. They are
//! programs of their own (`basaltwood-testbed router KIND`) and are told by PROXY_CONFIG like any other.
//!
//! Each picks a host (at random; with fewest of its own in flight; the next on a ring of 64 points a host), goes on to one
//! other where no connection came up, asks the origin for what the host lacks, and nacks what surely never ran. There are
//! no limits, no care for cold hosts and no memory of slow ones.
//!
//! A router can also be told to commit a misdeed, so that a test can show that the audit finds it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::{facts, http, resp};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout_at, Instant};
use xxhash_rust::xxh3::xxh3_64;

use crate::script::Baseline;

const POINTS: u64 = 64;
const MOST_BODY: usize = 4 * 1024 * 1024;

/// What a bad peer does in the balancer's place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum InjectedFault {
    /// Never answers one op in ten.
    Forget,
    /// Answers one op in ten past its time.
    Late,
    /// Answers one op in ten twice.
    Twice,
    /// Answers with the value of the op before.
    Foreign,
    /// Answers with a value of its own making.
    Forge,
    /// Closes the connection over one op in ten.
    Cut,
    /// Sends one op in ten on after its answer.
    After,
    /// Never asks discovery, and goes by what it knew at its start.
    Deaf,
    /// Sends at-most-once writes a second time.
    Again,
    /// Nacks writes that ran.
    Deny,
    /// Goes on sending to hosts that drain.
    Drain,
}

#[derive(Deserialize)]
struct Told {
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    known: Page,
}

#[derive(Deserialize)]
struct Page {
    generation: u64,
    #[serde(default)]
    reset: bool,
    instances: Vec<Instance>,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: SocketAddr,
    machine_type: String,
    lifecycle: String,
}

struct Node {
    address: SocketAddr,
    up: Cell<bool>,
    in_flight: Cell<usize>,
    idle: RefCell<Vec<(TcpStream, Instant)>>,
}

struct Router {
    kind: Baseline,
    misdeed: Option<InjectedFault>,
    nodes: RefCell<BTreeMap<String, Rc<Node>>>,
    origin: RefCell<Option<Rc<Node>>>,
    ring: RefCell<BTreeMap<u64, Rc<Node>>>,
    rng: RefCell<ChaCha8Rng>,
    before: RefCell<Bytes>,
}

/// How a push ended.
enum End {
    Value(Bytes),
    Miss,
    Never,
    /// No connection came up.
    Unreached,
    Failed,
}

/// Serves until it is killed.
///
/// # Errors
/// One line where PROXY_CONFIG makes no sense or its address can't be had.
pub fn serve(kind: Baseline, misdeed: Option<InjectedFault>) -> Result<(), String> {
    let path = std::env::var("PROXY_CONFIG").map_err(|_| "PROXY_CONFIG is not set".to_owned())?;
    let text = std::fs::read_to_string(&path).map_err(|cause| format!("{path}: {cause}"))?;
    let told: Told = serde_json::from_str(&text).map_err(|cause| format!("{path}: {cause}"))?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| format!("the runtime: {cause}"))?;
    let seed = u64::from_str_radix(&told.seed, 16).unwrap_or(0);
    let router = Rc::new(Router {
        kind,
        misdeed,
        nodes: RefCell::default(),
        origin: RefCell::default(),
        ring: RefCell::default(),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed)),
        before: RefCell::default(),
    });
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind(told.listen).await;
        let listener = listener.map_err(|cause| format!("listen on {}: {cause}", told.listen))?;
        let generation = told.known.generation;
        router.take(told.known);
        spawn_local(router.clone().watch(told.discovery, generation));
        loop {
            if let Ok((stream, _)) = listener.accept().await {
                spawn_local(router.clone().client(stream));
            }
        }
    })
}

impl Router {
    fn take(&self, page: Page) {
        let mut nodes = self.nodes.borrow_mut();
        if page.reset {
            nodes.clear();
        }
        for instance in page.instances {
            if instance.lifecycle == "left" {
                nodes.remove(&instance.instance_id);
                continue;
            }
            let up = instance.lifecycle == "active" || self.misdeed == Some(InjectedFault::Drain);
            let known = nodes.get(&instance.instance_id).filter(|node| node.address == instance.host_port);
            let node = known.cloned().unwrap_or_else(|| {
                Rc::new(Node {
                    address: instance.host_port,
                    up: Cell::new(up),
                    in_flight: Cell::new(0),
                    idle: RefCell::default(),
                })
            });
            node.up.set(up);
            if instance.machine_type == "origin" {
                self.origin.replace(Some(node));
            } else {
                nodes.insert(instance.instance_id, node);
            }
        }
        let points = nodes.iter().filter(|(_, node)| node.up.get()).flat_map(|(name, node)| {
            (0..POINTS).map(move |nth| (xxh3_64(format!("{name}/{nth}").as_bytes()), node.clone()))
        });
        self.ring.replace(points.collect());
    }

    async fn watch(self: Rc<Router>, discovery: SocketAddr, mut generation: u64) {
        while self.misdeed != Some(InjectedFault::Deaf) {
            match self.listen_to(discovery, generation).await {
                Some(page) => {
                    generation = page.generation;
                    self.take(page);
                }
                None => sleep(Duration::from_millis(100)).await,
            }
        }
    }

    async fn listen_to(&self, discovery: SocketAddr, generation: u64) -> Option<Page> {
        let mut stream = TcpStream::connect(discovery).await.ok()?;
        let path = format!("/v1/servers?from={generation}&hold_ms=20000");
        let request = http::encode_request("GET", &path, &discovery.to_string(), &[], None);
        stream.write_all(&request).await.ok()?;
        let mut buffer = Buffer::new(MOST_BODY);
        loop {
            if stream.read_buf(buffer.unfilled().ok()?).await.ok()? == 0 {
                return None;
            }
            if let Some(answer) = http::parse_response(buffer.bytes(), MOST_BODY).ok()? {
                return serde_json::from_slice(&answer.body).ok();
            }
        }
    }

    fn chance(&self, misdeed: InjectedFault) -> bool {
        self.misdeed == Some(misdeed) && self.rng.borrow_mut().random_bool(0.1)
    }

    async fn client(self: Rc<Router>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE);
        loop {
            match resp::parse_complete_command(buffer.bytes()) {
                Ok(Some(resp::CompleteCommand { words, consumed: used })) => {
                    buffer.consume(used);
                    if words.is_empty() {
                        continue;
                    }
                    let Some(text) = self.answer(&words).await else { return };
                    if stream.write_all(&text).await.is_err() {
                        return;
                    }
                }
                Ok(None) => {
                    let Ok(room) = buffer.unfilled() else { return };
                    if !matches!(stream.read_buf(room).await, Ok(1..)) {
                        return;
                    }
                }
                Err(_) => return,
            }
        }
    }

    /// What one command is answered; nothing where the connection is to end.
    async fn answer(self: &Rc<Router>, words: &[Bytes]) -> Option<Bytes> {
        let name = words[0].to_ascii_uppercase();
        if !name.starts_with(b"CACHE.") || words.len() < 4 {
            return Some(Bytes::from_static(b"+PONG\r\n"));
        }
        let text = String::from_utf8_lossy(&words[3]).into_owned();
        let wait = facts::fact(&text, "d").and_then(|wait| wait.parse::<u64>().ok()).unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.saturating_sub(10));
        let end = self.op(words, until).await;
        if self.chance(InjectedFault::Forget) {
            std::future::pending::<()>().await;
        }
        if self.chance(InjectedFault::Late) {
            tokio::time::sleep_until(until + Duration::from_millis(250)).await;
        }
        if self.chance(InjectedFault::Cut) {
            return None;
        }
        if self.chance(InjectedFault::After) {
            let (router, words) = (self.clone(), words.to_vec());
            spawn_local(async move {
                sleep(Duration::from_millis(300)).await;
                router.op(&words, Instant::now() + Duration::from_millis(200)).await;
            });
        }
        let write = words.len() > 4;
        Some(match end {
            End::Value(_) if write && self.misdeed == Some(InjectedFault::Deny) => {
                Bytes::from_static(b"-BUSY\r\n")
            }
            End::Value(value) => {
                let value = match self.misdeed {
                    Some(InjectedFault::Foreign) => {
                        let before = self.before.replace(value.clone());
                        if before.is_empty() {
                            value
                        } else {
                            before
                        }
                    }
                    Some(InjectedFault::Forge) => Bytes::from([&words[2][..], b":nobody:"].concat()),
                    _ => value,
                };
                let text = resp::encode_bulk(&value);
                if self.chance(InjectedFault::Twice) {
                    [&text[..], &text[..]].concat().into()
                } else {
                    text
                }
            }
            End::Never | End::Unreached => Bytes::from_static(b"-BUSY\r\n"),
            End::Miss | End::Failed => resp::encode_error("dead-lettered"),
        })
    }

    async fn op(&self, words: &[Bytes], until: Instant) -> End {
        let write = words.len() > 4;
        let origin = self.origin.borrow().clone();
        if let Some(origin) = origin.clone().filter(|_| write) {
            let end = fetch(&origin, words, until).await;
            if self.misdeed == Some(InjectedFault::Again) {
                return fetch(&origin, words, until).await;
            }
            return end;
        }
        // A forged value is one that no host was asked for.
        if self.misdeed == Some(InjectedFault::Forge) {
            return End::Value(Bytes::new());
        }
        let mut not = None;
        let mut end = End::Unreached;
        for _ in 0..2 {
            let Some(node) = self.pick(&words[1], not.as_ref()) else { return end };
            node.in_flight.set(node.in_flight.get() + 1);
            end = push(&node, words, until).await;
            node.in_flight.set(node.in_flight.get() - 1);
            if !matches!(end, End::Unreached) {
                break;
            }
            not = Some(node);
        }
        match (end, origin) {
            (End::Miss, Some(origin)) => fetch(&origin, words, until).await,
            (end, _) => end,
        }
    }

    fn pick(&self, key: &Bytes, not: Option<&Rc<Node>>) -> Option<Rc<Node>> {
        let free = |node: &&Rc<Node>| node.up.get() && not.is_none_or(|not| !Rc::ptr_eq(not, node));
        if self.kind == Baseline::PlainRing {
            let ring = self.ring.borrow();
            let place = xxh3_64(key);
            return ring.range(place..).chain(ring.range(..place)).map(|(_, node)| node).find(free).cloned();
        }
        let nodes = self.nodes.borrow();
        let mut free: Vec<&Rc<Node>> = nodes.values().filter(free).collect();
        if self.kind == Baseline::LeastInFlight {
            let fewest = free.iter().map(|node| node.in_flight.get()).min()?;
            free.retain(|node| node.in_flight.get() == fewest);
        }
        if free.is_empty() {
            return None;
        }
        Some(free[self.rng.borrow_mut().random_range(0..free.len())].clone())
    }
}

fn left(until: Instant) -> u64 {
    until.saturating_duration_since(Instant::now()).as_millis() as u64
}

async fn push(node: &Node, words: &[Bytes], until: Instant) -> End {
    let facts = facts::with_timeout(&words[3], left(until));
    let mut sent: Vec<&[u8]> = words.iter().map(|word| &word[..]).collect();
    sent[3] = &facts;
    exchange(node, resp::encode_command(&sent), until, |bytes| {
        let Some(resp::ParsedReply { reply, end: place }) = resp::parse_reply(bytes)? else {
            return Ok(None);
        };
        let (used, keep) = (place.consumed, place.keep_alive);
        let end = match reply {
            resp::Reply::Value(place) => End::Value(Bytes::copy_from_slice(&bytes[place])),
            resp::Reply::Miss => End::Miss,
            resp::Reply::Busy => End::Never,
            resp::Reply::Failed => End::Failed,
        };
        Ok(Some((end, used, keep)))
    })
    .await
}

async fn fetch(node: &Node, words: &[Bytes], until: Instant) -> End {
    let facts = facts::with_timeout(&words[3], left(until));
    let path = format!("/{}", http::percent_encode(&words[1]));
    let headers: [(&str, &[u8]); 2] = [("X-Correlation-Id", &words[2]), ("X-Facts", &facts)];
    let value = words.get(4).map(|value| &value[..]);
    let method = if value.is_some() { "PUT" } else { "GET" };
    let request = http::encode_request(method, &path, &node.address.to_string(), &headers, value);
    exchange(node, request, until, |bytes| {
        let Some(answer) = http::parse_response(bytes, resp::MAX_BUFFERED_VALUE)? else { return Ok(None) };
        let end = match answer.status {
            200 => End::Value(answer.body),
            503 | 504 if answer.unprocessed => End::Never,
            _ => End::Failed,
        };
        Ok(Some((end, answer.consumed, answer.keep_alive)))
    })
    .await
}

/// One request, one answer, on a connection kept for less than half a minute.
async fn exchange(
    node: &Node,
    text: Bytes,
    until: Instant,
    read: impl Fn(&[u8]) -> Result<Option<(End, usize, bool)>, String>,
) -> End {
    const KEPT: Duration = Duration::from_secs(10);
    let kept = node.idle.borrow_mut().pop().filter(|(_, since)| since.elapsed() < KEPT);
    let mut stream = match kept {
        Some((stream, _)) => stream,
        None => {
            let within = until.min(Instant::now() + Duration::from_millis(250));
            match timeout_at(within, TcpStream::connect(node.address)).await {
                Ok(Ok(stream)) => stream,
                _ => return End::Unreached,
            }
        }
    };
    let _ = stream.set_nodelay(true);
    if !matches!(timeout_at(until, stream.write_all(&text)).await, Ok(Ok(()))) {
        return End::Unreached;
    }
    let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE + 16 * 1024);
    loop {
        let Ok(room) = buffer.unfilled() else { return End::Failed };
        if !matches!(timeout_at(until, stream.read_buf(room)).await, Ok(Ok(1..))) {
            return End::Failed;
        }
        match read(buffer.bytes()) {
            Ok(None) => {}
            Ok(Some((end, used, keep))) => {
                if keep && used == buffer.bytes().len() {
                    node.idle.borrow_mut().push((stream, Instant::now()));
                }
                return end;
            }
            Err(_) => return End::Failed,
        }
    }
}
