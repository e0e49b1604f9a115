//! SimulatedBalancer balancers: the real facade, pools, membership and terms, and real connections to discovery and hosts.
//! No clients: ops are drawn inside, at a set rate with Poisson arrivals on keys by Zipf's law.
//!
//! Each has its own seed and identity; all of a process share its thread. `SimulatedBalancer::takes_list` is the one place
//! in which a list reaches the facade.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant as Started, SystemTime, UNIX_EPOCH};

use basaltwood::router::{NewRequest, RequestAction, Router};
use basaltwood::types::{
    AttemptNumber, AttemptOutcome, HostId, Lifecycle, Micros, RequestClassId, RequestId, RingPosition,
};
use basaltwood_connection_pool::{
    Checkout, ConnectFailure, ConnectionId, ConnectionPools, Fault, PoolAction,
};
use basaltwood_membership::{WatchError, WatchSchedule};
use basaltwood_settings::{EndpointRecord, NameTable, OperatorSettings, RuntimeLimits};
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::{http, resp};
use bytes::Bytes;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp1, Zipf};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{watch, Notify};
use tokio::task::{spawn_local, AbortHandle, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, timeout_at, Instant};

use crate::lateness::Lateness;
use crate::load::player::thread_cpu;
use crate::scale::discovery::unix_us;
use crate::scale::worker_process::{
    counts, in_json, resident_kb, ValueCounts, Worker, WorkerCommand, WorkerReply,
};
use crate::time::{span, MS};

#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SimulatedSpec {
    /// As a balancer is told them.
    pub settings: Value,
    /// The list at the start: a page of discovery.
    pub known: Value,
    pub discovery: SocketAddr,
    /// So many, numbered from here on.
    pub first: u32,
    pub balancers: u32,
    pub seed: u64,
    /// Ops a second of each.
    pub rate: f64,
    pub keys: u64,
    /// The exponent of the keys' popularity; 0 for all alike.
    pub zipf: f64,
    /// Descriptors that a balancer's connections to hosts may take.
    pub sockets: usize,
    pub target_ms: f64,
    pub ttl_ms: f64,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct SimulatedReady {
    pub balancers: u32,
}

/// Counters since the start over all balancers of the process; what are lists and histograms since the last mark.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SimulatedSnapshot {
    pub cpu_s: f64,
    pub resident_kb: u64,
    /// Before there were balancers in it.
    pub base_kb: u64,
    /// Bytes to and from discovery, without what TCP adds.
    pub control_out: u64,
    pub control_in: u64,
    /// The same to and from hosts.
    pub host_out: u64,
    pub host_in: u64,
    pub ops: u64,
    pub acked: u64,
    pub in_target: u64,
    pub nacked: u64,
    pub failed: u64,
    pub pushes: u64,
    pub opened: u64,
    /// Connections to hosts that are open now.
    pub open: u64,
    /// A balancer's number, a version, and when it was in force there (Unix time in microseconds).
    pub applied: Vec<(u32, u64, i64)>,
    /// By how much ops began later than they were due, less the timer's grain.
    pub late: ValueCounts,
    /// From when it was due until its ack, in microseconds.
    pub took: ValueCounts,
}

/// From one call to the next at least.
const CALL_SPACING: Duration = Duration::from_millis(20);
/// Between looks at connections and timers at the most, as the balancer has it.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

#[derive(Default, Deserialize)]
struct EndpointList {
    generation: u64,
    #[serde(default)]
    reset: bool,
    #[serde(default)]
    instances: Vec<EndpointEntry>,
}

/// A host as discovery writes it.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct EndpointEntry {
    pub instance_id: String,
    pub host_port: SocketAddr,
    pub zone: Option<String>,
    pub machine_type: Option<String>,
    pub cell: Option<u32>,
    pub lifecycle: String,
    pub weight: Option<f64>,
    pub started_at_ms: Option<f64>,
}

struct Clock {
    start: Started,
    unix_us: Micros,
}

impl Clock {
    fn start() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |unix| unix.as_micros() as Micros);
        Clock { start: Started::now(), unix_us: unix }
    }

    fn now(&self) -> Micros {
        self.start.elapsed().as_micros() as Micros
    }

    fn at(&self, time: Micros) -> Instant {
        (self.start + span(time)).into()
    }
}

/// A connection to a host.
struct UpstreamConnection {
    stream: TcpStream,
    buffer: Buffer,
}

struct HostEntry {
    address: SocketAddr,
    freed: Rc<Notify>,
}

pub struct SimulatedBalancer {
    no: u32,
    clock: Rc<Clock>,
    router: RefCell<Router>,
    words: RefCell<NameTable>,
    pools: RefCell<ConnectionPools>,
    bounds: RuntimeLimits,
    sockets: usize,
    ttl: Micros,
    target: Micros,
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
    idle: RefCell<BTreeMap<ConnectionId, UpstreamConnection>>,
    carrying: RefCell<BTreeMap<ConnectionId, (RequestId, AttemptNumber)>>,
    bells: RefCell<HashMap<u32, Rc<Notify>>>,
    shared: Rc<Shared>,
}

/// What all balancers of a process count together.
#[derive(Default)]
struct Shared {
    mark: RefCell<SimulatedSnapshot>,
    late: Arc<Lateness>,
    took: Arc<Lateness>,
}

impl Shared {
    fn count(&self, add: impl FnOnce(&mut SimulatedSnapshot)) {
        add(&mut self.mark.borrow_mut());
    }
}

/// A connection that a push has; where that ends otherwise than with an answer, the pools learn of it.
struct CheckedOut<'a> {
    of: &'a SimulatedBalancer,
    id: ConnectionId,
    link: Option<UpstreamConnection>,
}

impl Drop for CheckedOut<'_> {
    fn drop(&mut self) {
        self.of.carrying.borrow_mut().remove(&self.id);
        if self.link.take().is_some() {
            self.of.pools.borrow_mut().abandoned(self.id);
            self.of.carry_out();
        }
    }
}

/// One that is being opened; the same.
struct Opening<'a>(&'a SimulatedBalancer, Option<ConnectionId>);

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.1.take() {
            self.0.pools.borrow_mut().abandoned(id);
        }
    }
}

impl SimulatedBalancer {
    fn new(
        spec: &SimulatedSpec,
        no: u32,
        clock: &Rc<Clock>,
        shared: &Rc<Shared>,
    ) -> Result<Rc<SimulatedBalancer>, String> {
        let info = OperatorSettings::deserialize(&spec.settings).map_err(|cause| cause.to_string())?;
        let terms = info
            .policy_config(RingPosition(spec.seed).mixed(u64::from(no)).0)
            .map_err(|error| error.to_string())?;
        let bounds = info.runtime_limits();
        let pools = ConnectionPools::new(basaltwood_connection_pool::PoolConfig {
            seed: terms.seed,
            balancers: terms.balancers,
            idle_timeout: bounds.idle_timeout,
            max_connections: spec.sockets,
        });
        let hollow = Rc::new(SimulatedBalancer {
            no,
            clock: clock.clone(),
            router: RefCell::new(Router::new(&terms, bounds.max_open_requests)),
            words: RefCell::new(NameTable::new(&info)),
            pools: RefCell::new(pools),
            bounds,
            sockets: spec.sockets,
            ttl: (spec.ttl_ms * 1e3) as Micros,
            target: (spec.target_ms * 1e3) as Micros,
            hosts: RefCell::default(),
            idle: RefCell::default(),
            carrying: RefCell::default(),
            bells: RefCell::default(),
            shared: shared.clone(),
        });
        let known = EndpointList::deserialize(&spec.known).map_err(|cause| cause.to_string())?;
        let generation = known.generation;
        hollow.takes_list(true, known.instances);
        let schedule = WatchSchedule::new(basaltwood_membership::WatchConfig {
            seed: terms.seed,
            balancers: terms.balancers,
            known_version: Some(generation),
            drain_grace: bounds.drain_grace,
        });
        spawn_local(hollow.clone().watch(spec.discovery, schedule));
        spawn_local(hollow.clone().tick());
        Ok(hollow)
    }

    /// A list, or what changed of it, goes to the facade: the one place for whatever is to choose among its hosts.
    fn takes_list(&self, whole: bool, entries: Vec<EndpointEntry>) {
        let now = self.clock.now();
        let mut listed = Vec::with_capacity(entries.len());
        for entry in &entries {
            let lifecycle = match entry.lifecycle.as_str() {
                "active" => Lifecycle::Up,
                "leaving" => Lifecycle::Draining,
                _ => Lifecycle::Gone,
            };
            let started = entry.started_at_ms.filter(|&ms| ms != 0.0);
            let one = self.words.borrow_mut().endpoint(&EndpointRecord {
                host: &entry.instance_id,
                zone: entry.zone.as_deref(),
                kind: entry.machine_type.as_deref(),
                cell: entry.cell,
                lifecycle,
                weight: entry.weight,
                started_at: started.map(|ms| basaltwood_settings::micros(ms) - self.clock.unix_us),
            });
            self.place(one.host, entry.host_port);
            listed.push(one);
        }
        self.router.borrow_mut().update_endpoints(now, whole, listed);
        let gone = |host: &HostId| !self.router.borrow().accepts_attempts(*host);
        let hosts: Vec<HostId> = self.hosts.borrow().keys().copied().filter(gone).collect();
        hosts.into_iter().for_each(|host| self.pools.borrow_mut().host_draining(host));
        self.carry_out();
        self.ring();
        for host in self.router.borrow().released_hosts() {
            self.words.borrow_mut().hosts.release(host.0);
            self.hosts.borrow_mut().remove(&host);
            self.pools.borrow_mut().forget_host(host);
        }
    }

    fn place(&self, host: HostId, address: SocketAddr) {
        let mut hosts = self.hosts.borrow_mut();
        let seat = hosts.entry(host).or_insert_with(|| HostEntry { address, freed: Rc::default() });
        if std::mem::replace(&mut seat.address, address) != address {
            self.pools.borrow_mut().host_moved(host);
        }
    }

    // Discovery.

    async fn watch(self: Rc<SimulatedBalancer>, discovery: SocketAddr, mut schedule: WatchSchedule) {
        let mut connection = None;
        loop {
            let began = Instant::now();
            let next = began + CALL_SPACING;
            match self.call(&mut connection, discovery, &schedule).await {
                Ok(page) => {
                    let whole = page.reset || schedule.known_version().is_none();
                    let news = whole || !page.instances.is_empty();
                    self.takes_list(whole, page.instances);
                    if news {
                        let applied = (self.no, page.generation, unix_us());
                        self.shared.count(|mark| mark.applied.push(applied));
                    }
                    schedule.succeeded(page.generation, whole);
                    sleep_until(next).await;
                }
                Err(trouble) => {
                    connection = None;
                    let took = began.elapsed().as_micros() as Micros;
                    sleep(span(schedule.failed(&trouble, took))).await;
                }
            }
        }
    }

    async fn call(
        &self,
        connection: &mut Option<UpstreamConnection>,
        discovery: SocketAddr,
        schedule: &WatchSchedule,
    ) -> Result<EndpointList, WatchError> {
        let began = Instant::now();
        let until = began + span(schedule.call_timeout());
        let silent = |cause: io::Error| WatchError::TimedOut(cause.to_string());
        let UpstreamConnection { stream, buffer } = match connection {
            Some(open) => open,
            None => {
                let opening = timeout(span(schedule.response_timeout()), TcpStream::connect(discovery));
                let opened =
                    opening.await.map_err(|_| WatchError::TimedOut("it does not come up".to_owned()))?;
                let stream = opened.map_err(silent)?;
                let _ = stream.set_nodelay(true);
                connection
                    .insert(UpstreamConnection { stream, buffer: Buffer::new(MAX_BODY_BYTES + 64 * 1024) })
            }
        };
        let path = match schedule.known_version() {
            Some(from) => format!(
                "/v1/servers?from={from}&hold_ms={}",
                schedule.hold_for(began.elapsed().as_micros() as Micros) / MS
            ),
            None => "/v1/servers".to_owned(),
        };
        let request = http::encode_request("GET", &path, &discovery.to_string(), &[], None);
        let answer = timeout_at(until, async {
            stream.write_all(&request).await.map_err(silent)?;
            self.shared.count(|mark| mark.control_out += request.len() as u64);
            loop {
                let room = buffer.unfilled().map_err(silent)?;
                match stream.read_buf(room).await.map_err(silent)? {
                    0 => return Err(WatchError::TimedOut("it closed the connection".to_owned())),
                    read => self.shared.count(|mark| mark.control_in += read as u64),
                }
                if let Some(answer) = http::parse_response(buffer.bytes(), MAX_BODY_BYTES)
                    .map_err(|error| WatchError::InvalidResponse(error.to_string()))?
                {
                    return Ok(answer);
                }
            }
        });
        let answer = answer.await.map_err(|_| WatchError::TimedOut("it is silent".to_owned()))??;
        buffer.consume(answer.consumed);
        if !answer.keep_alive {
            *connection = None;
        }
        match answer.status {
            200 => {}
            status => return Err(WatchError::InvalidResponse(format!("status {status}"))),
        }
        serde_json::from_slice(&answer.body).map_err(|cause| WatchError::InvalidResponse(cause.to_string()))
    }

    // Timers.

    async fn tick(self: Rc<SimulatedBalancer>) {
        loop {
            let now = self.clock.now();
            let stopped = self.pools.borrow_mut().tick(now);
            if stopped > 0 {
                self.router.borrow_mut().process_stalled(now, stopped);
            }
            self.carry_out();
            let due = self.router.borrow_mut().tick(self.clock.now());
            self.ring();
            let look = Instant::now() + POLL_INTERVAL;
            sleep_until(due.map_or(look, |due| self.clock.at(due).min(look))).await;
        }
    }

    fn ring(&self) {
        for op in self.router.borrow_mut().requests_with_actions() {
            if let Some(bell) = self.bells.borrow().get(&op.0) {
                bell.notify_one();
            }
        }
    }

    fn carry_out(&self) {
        let orders = self.pools.borrow_mut().take_actions();
        for order in orders {
            match order {
                PoolAction::Close(id) => drop(self.idle.borrow_mut().remove(&id)),
                PoolAction::AttemptInDoubt(id) => {
                    let ticket = self.carrying.borrow().get(&id).copied();
                    if let Some((op, push)) = ticket {
                        self.router.borrow_mut().attempt_in_doubt(self.clock.now(), op, push);
                    }
                }
                PoolAction::HostAlive(host) => self.router.borrow_mut().host_alive(self.clock.now(), host),
            }
        }
    }

    // Ops.

    async fn op(self: Rc<SimulatedBalancer>, key: u64, due: Micros) {
        let key = format!("{key:016x}");
        let ask = NewRequest {
            class: RequestClassId(0),
            tenant: None,
            key: Some(RingPosition::of(&key)),
            is_write: false,
            is_retry: false,
            deadline: due + self.ttl,
        };
        let (op, decisions) = self.router.borrow_mut().submit(self.clock.now(), ask);
        let bell: Rc<Notify> = Rc::default();
        self.bells.borrow_mut().insert(op.0, bell.clone());
        let text = format!("c=read,d={},size=128", (due + self.ttl - self.clock.now()).max(0) / MS);
        let id = RingPosition(u64::from(op.0)).mixed(u64::from(self.no)).0;
        let id = format!("{id:016x}");
        let text = resp::encode_command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), text.as_bytes()]);
        let mut tasks: JoinSet<(AttemptNumber, AttemptOutcome)> = JoinSet::new();
        let mut out: BTreeMap<AttemptNumber, AbortHandle> = BTreeMap::new();
        let mut over = false;
        let mut decisions: VecDeque<RequestAction> = decisions.into();
        loop {
            while let Some(decision) = decisions.pop_front() {
                match decision {
                    RequestAction::StartAttempt { attempt: push, host, deadline: until } => {
                        self.shared.count(|mark| mark.pushes += 1);
                        let (hollow, text) = (self.clone(), text.clone());
                        let task = async move { (push, hollow.push(host, (op, push), text, until).await) };
                        out.insert(push, tasks.spawn_local(task));
                    }
                    RequestAction::CancelAttempt(push) => {
                        if let Some(task) = out.remove(&push) {
                            task.abort();
                            let now = self.clock.now();
                            decisions.extend(self.router.borrow_mut().attempt_ended(
                                now,
                                op,
                                push,
                                AttemptOutcome::Cancelled,
                            ));
                        }
                    }
                    RequestAction::Succeed(_) => {
                        over = true;
                        let took = self.clock.now() - due;
                        self.shared.took.record(took);
                        self.shared.count(|mark| {
                            mark.acked += 1;
                            mark.in_target += u64::from(took <= self.target);
                        });
                    }
                    RequestAction::Reject { .. } => {
                        over = true;
                        self.shared.count(|mark| mark.nacked += 1);
                    }
                    RequestAction::Fail => {
                        over = true;
                        self.shared.count(|mark| mark.failed += 1);
                    }
                }
            }
            self.ring();
            if over && out.is_empty() {
                break;
            }
            let heard = tokio::select! {
                biased;
                ended = tasks.join_next(), if !out.is_empty() => match ended {
                    Some(Ok((push, end))) if out.remove(&push).is_some() => {
                        self.router.borrow_mut().attempt_ended(self.clock.now(), op, push, end)
                    }
                    _ => Vec::new(),
                },
                () = bell.notified() => self.router.borrow_mut().take_actions(op),
            };
            decisions.extend(heard);
        }
        self.bells.borrow_mut().remove(&op.0);
    }

    /// One push over a connection that the pools grant.
    async fn push(
        &self,
        host: HostId,
        ticket: (RequestId, AttemptNumber),
        text: Bytes,
        until: Micros,
    ) -> AttemptOutcome {
        let until = self.clock.at(until);
        let mut held = match self.link(host, ticket, until).await {
            Ok(_) if Instant::now() >= until => return AttemptOutcome::NotSent,
            Ok(held) => held,
            Err(end) => return end,
        };
        let id = held.id;
        let Some(link) = &mut held.link else { return AttemptOutcome::NotSent };
        if !matches!(timeout_at(until, link.stream.write_all(&text)).await, Ok(Ok(()))) {
            return AttemptOutcome::Unreachable;
        }
        self.shared.count(|mark| mark.host_out += text.len() as u64);
        self.pools.borrow_mut().request_sent(self.clock.now(), id);
        self.carrying.borrow_mut().insert(id, ticket);
        loop {
            let Some(link) = &mut held.link else { return AttemptOutcome::NotSent };
            let Ok(room) = link.buffer.unfilled() else { return AttemptOutcome::Error };
            let read = timeout_at(until, link.stream.read_buf(room)).await;
            let now = self.clock.now();
            match read {
                Err(_) => {
                    // Whatever may come late is not listened to here.
                    self.pools.borrow_mut().attempt_timed_out(now, id);
                    return AttemptOutcome::TimedOut;
                }
                Ok(Ok(0) | Err(_)) => {
                    held.link = None;
                    let fault = self.pools.borrow_mut().connection_lost(now, id);
                    self.carry_out();
                    return if fault == Fault::Connection {
                        AttemptOutcome::ConnectionFault
                    } else {
                        AttemptOutcome::ConnectionLost
                    };
                }
                Ok(Ok(read)) => self.shared.count(|mark| mark.host_in += read as u64),
            }
            match resp::parse_reply(link.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some(resp::ParsedReply {
                    reply,
                    end: resp::MessageEnd { consumed: used, keep_alive: keep },
                })) => {
                    link.buffer.consume(used);
                    let link = held.link.take();
                    if self.pools.borrow_mut().answered(now, id, keep) {
                        if let Some(link) = link {
                            self.idle.borrow_mut().insert(id, link);
                        }
                    }
                    if let Some(seat) = self.hosts.borrow().get(&host) {
                        seat.freed.notify_one();
                    }
                    return match reply {
                        resp::Reply::Value(_) => AttemptOutcome::Succeeded,
                        resp::Reply::Miss => AttemptOutcome::Miss,
                        resp::Reply::Busy => AttemptOutcome::Rejected,
                        resp::Reply::Failed => AttemptOutcome::Error,
                    };
                }
                Err(_) => return AttemptOutcome::Error,
            }
        }
    }

    async fn link(
        &self,
        host: HostId,
        ticket: (RequestId, AttemptNumber),
        until: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        loop {
            let grant = self.pools.borrow_mut().checkout(self.clock.now(), host);
            self.carry_out();
            match grant {
                Checkout::Reuse(id) => {
                    let Some(link) = self.idle.borrow_mut().remove(&id) else {
                        self.pools.borrow_mut().abandoned(id);
                        continue;
                    };
                    let read = link.stream.try_read(&mut [0]);
                    if matches!(&read, Err(cause) if cause.kind() == ErrorKind::WouldBlock) {
                        return Ok(CheckedOut { of: self, id, link: Some(link) });
                    }
                    self.pools.borrow_mut().found_closed(id);
                }
                Checkout::Open(id) => {
                    self.router.borrow_mut().attempt_on_new_connection(self.clock.now(), ticket.0, ticket.1);
                    self.ring();
                    return self.open(host, id, until).await;
                }
                Checkout::RetryAt(at) => {
                    let freed = self.hosts.borrow().get(&host).map(|seat| seat.freed.clone());
                    let freed = freed.ok_or(AttemptOutcome::NotSent)?;
                    if Instant::now() >= until {
                        return Err(AttemptOutcome::NotSent);
                    }
                    let _ = timeout_at(until.min(self.clock.at(at)), freed.notified()).await;
                }
                Checkout::CircuitOpen => return Err(AttemptOutcome::Unreachable),
                Checkout::Exhausted => return Err(AttemptOutcome::NotSent),
            }
        }
    }

    async fn open(
        &self,
        host: HostId,
        id: ConnectionId,
        until: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        let mut opening = Opening(self, Some(id));
        let address =
            self.hosts.borrow().get(&host).map(|seat| seat.address).ok_or(AttemptOutcome::NotSent)?;
        // A descriptor, at the cost of an idle connection where there is no other.
        while self.pools.borrow().open_connections() > self.sockets {
            let Some(old) = self.pools.borrow_mut().evict_idle() else { return Err(AttemptOutcome::NotSent) };
            self.idle.borrow_mut().remove(&old);
        }
        let bound = Instant::now() + span(self.bounds.connect_timeout);
        let opened = timeout_at(until.min(bound), TcpStream::connect(address)).await;
        opening.1 = None;
        let now = self.clock.now();
        match opened {
            Ok(Ok(stream)) => {
                let _ = stream.set_nodelay(true);
                self.shared.count(|mark| mark.opened += 1);
                self.pools.borrow_mut().connected(id);
                Ok(CheckedOut {
                    of: self,
                    id,
                    link: Some(UpstreamConnection {
                        stream,
                        buffer: Buffer::new(resp::MAX_BUFFERED_MESSAGE),
                    }),
                })
            }
            failed => {
                let own = failed.is_err() && until < bound;
                let why = if own { ConnectFailure::Local } else { ConnectFailure::Host };
                self.pools.borrow_mut().connect_failed(now, id, why);
                Err(AttemptOutcome::Unreachable)
            }
        }
    }
}

/// All hollow balancers of a process.
pub struct SimulatedBalancers {
    spec: SimulatedSpec,
    clock: Rc<Clock>,
    shared: Rc<Shared>,
    all: Vec<Rc<SimulatedBalancer>>,
    base_kb: u64,
    asks: watch::Sender<bool>,
}

impl SimulatedBalancers {
    /// # Errors
    /// Where the settings make no sense.
    pub fn start(spec: SimulatedSpec) -> Result<Rc<SimulatedBalancers>, String> {
        let (clock, shared) = (Rc::new(Clock::start()), Rc::<Shared>::default());
        let base_kb = resident_kb();
        let new = |no| SimulatedBalancer::new(&spec, no, &clock, &shared);
        let all = (spec.first..spec.first + spec.balancers).map(new).collect::<Result<Vec<_>, _>>()?;
        let hollows = Rc::new(SimulatedBalancers {
            clock,
            shared,
            all,
            base_kb,
            asks: watch::Sender::new(false),
            spec,
        });
        spawn_local(hollows.clone().asks());
        Ok(hollows)
    }

    /// Draws ops for all balancers together, each for one of them by chance: that is a Poisson process at each.
    async fn asks(self: Rc<SimulatedBalancers>) {
        let mut rng = ChaCha8Rng::seed_from_u64(self.spec.seed ^ u64::from(self.spec.first) << 20);
        let law = Zipf::new(self.spec.keys as f64, self.spec.zipf).ok().filter(|_| self.spec.zipf > 0.0);
        let rate = self.spec.rate * f64::from(self.spec.balancers);
        let mut schedule = self.asks.subscribe();
        loop {
            if schedule.wait_for(|schedule| *schedule).await.is_err() || rate <= 0.0 || self.all.is_empty() {
                return;
            }
            let mut due = self.clock.now() as f64;
            while *self.asks.borrow() {
                due += rng.sample::<f64, _>(Exp1) / rate * 1e6;
                let at = due as Micros;
                if at > self.clock.now() {
                    sleep_until(self.clock.at(at)).await;
                } else {
                    // Behind: the balancers are not to starve for it.
                    tokio::task::yield_now().await;
                }
                self.shared.late.record(self.clock.now() - at - MS);
                let rank = match &law {
                    Some(law) => law.sample(&mut rng) as u64,
                    None => rng.random_range(0..self.spec.keys.max(1)),
                };
                let hollow = self.all[rng.random_range(0..self.all.len())].clone();
                self.shared.count(|mark| mark.ops += 1);
                spawn_local(hollow.op(RingPosition(rank).mixed(7).0, at));
            }
        }
    }
}

impl Worker for SimulatedBalancers {
    fn up(&self) -> WorkerReply {
        in_json(&SimulatedReady { balancers: self.spec.balancers })
    }

    fn asked(self: Rc<Self>, asked: WorkerCommand) -> WorkerReply {
        match asked {
            WorkerCommand::Start => drop(self.asks.send_replace(true)),
            WorkerCommand::Stop => drop(self.asks.send_replace(false)),
            WorkerCommand::Snapshot | WorkerCommand::StopResponding | WorkerCommand::ResumeResponding => {}
        }
        let open = self.all.iter().map(|hollow| hollow.pools.borrow().open_connections() as u64).sum();
        let mut mark = self.shared.mark.borrow_mut();
        (mark.cpu_s, mark.resident_kb, mark.base_kb) = (thread_cpu(), resident_kb(), self.base_kb);
        mark.open = open;
        (mark.late, mark.took) =
            (counts(&self.shared.late.seen().late), counts(&self.shared.took.seen().late));
        self.shared.late.clear();
        self.shared.took.clear();
        let said = in_json(&*mark);
        mark.applied.clear();
        said
    }
}
