//! Cache hosts and the origin: their addresses, the connections to them, and a push over one of those. Which connection
//! carries it, and when another is opened, the pools decide; this carries that out on sockets.
//! One push at a time on each connection, so that calling it off closes nothing else.

pub mod origin;

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use basaltwood::types::{AttemptNumber, AttemptOutcome, HostId, Micros, RequestId};
use basaltwood_connection_pool::{
    Checkout, ConnectFailure, ConnectionId, ConnectionPools, Fault, PoolAction, PoolStats,
};
use basaltwood_settings::RuntimeLimits;
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp::{self, LongReply, Reply, MAX_BUFFERED_MESSAGE};
use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::{timeout, timeout_at, Instant};

use crate::budget::{DescriptorPermit, ResourceBudget};
use crate::clock::{duration, Clock};
use crate::counters::Counters;
use crate::metrics::Metrics;
use crate::read;
use crate::request::{AttemptResult, ClientRequest, StreamedValue, Value};

/// A connection that this balancer opened. Dropping it closes it.
pub struct UpstreamConnection {
    pub stream: TcpStream,
    pub buffer: Buffer,
    /// None where its descriptor is set aside.
    _permit: Option<DescriptorPermit>,
    /// The last answer that came on it.
    last: Option<ResponseFingerprint>,
}

const FINGERPRINTED_BYTES: usize = 4 * 1024;

/// An answer as it came, and the key that it was for. Hashes of both: a connection that stands idle must not hold a request.
#[derive(Clone, Copy)]
struct ResponseFingerprint(u64, u64);

impl ResponseFingerprint {
    /// By its length and its last bytes: all of a long one would cost more than it tells.
    fn of(answer: &[u8], request: &ClientRequest) -> ResponseFingerprint {
        let of = |what: (usize, &[u8])| {
            let mut hasher = DefaultHasher::new();
            what.hash(&mut hasher);
            hasher.finish()
        };
        let end = &answer[answer.len().saturating_sub(FINGERPRINTED_BYTES)..];
        ResponseFingerprint(of((answer.len(), end)), of((0, &request.key)))
    }

    /// The same bytes for another key, or for a write, which has a receipt of its own.
    fn repeated(self, next: ResponseFingerprint, write: bool) -> bool {
        self.0 == next.0 && (self.1 != next.1 || write)
    }
}

/// What stands of an answer at the front of a buffer.
pub enum ParsedResponse {
    /// All of it: the outcome, how many bytes it took, and whether the connection may carry another.
    Whole(AttemptResult, usize, bool),
    /// The head of one with a value of so many bytes that is too long to be held whole.
    Streamed { start: usize, length: usize, rest: ParseTrailer },
}

pub type ParseResponse = fn(&[u8]) -> Result<Option<ParsedResponse>, String>;

/// Takes what follows a long value: how many bytes it took, and whether the connection may carry another answer.
pub type ParseTrailer = Box<dyn Fn(&[u8]) -> Result<Option<(usize, bool)>, String>>;

/// A request as it is written: its text, and the segments of a long value that follow it.
pub struct RequestBytes(pub Bytes, pub Vec<Bytes>);

impl RequestBytes {
    async fn write(self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(&self.0).await?;
        for segment in self.1 {
            stream.write_all(&segment).await?;
        }
        Ok(())
    }
}

/// A host that gives nothing of a long value for so long will not give the rest.
const VALUE_READ_TIMEOUT: Duration = Duration::from_secs(5);
/// Hosts that were heard to say more than they were asked for are taken to answer twice for so long.
const DUPLICATES_SUSPECTED_FOR: Duration = Duration::from_secs(10);
/// What follows a long value is awaited so long: the client has its value already.
const TRAILER_TIMEOUT: Duration = Duration::from_millis(500);

/// The push of an op, as the facade numbers it.
pub type AttemptKey = (RequestId, AttemptNumber);

/// What connections tell of ops and hosts.
pub enum UpstreamEvent {
    AttemptInDoubt(AttemptKey),
    /// It goes on a new connection.
    NewConnection(AttemptKey),
    HostAlive(HostId),
    /// This process stood still for so long.
    ProcessStalled(Micros),
}

pub struct Upstreams {
    hosts: RefCell<BTreeMap<HostId, HostEntry>>,
    pools: RefCell<ConnectionPools>,
    /// Connections that carry nothing.
    idle: RefCell<BTreeMap<ConnectionId, UpstreamConnection>>,
    /// Those whose push has given up, read for what may come late.
    late_readers: RefCell<BTreeMap<ConnectionId, AbortHandle>>,
    attempts: RefCell<BTreeMap<ConnectionId, AttemptKey>>,
    events: RefCell<Vec<UpstreamEvent>>,
    /// When a host last said more than it was asked for.
    duplicate_seen_at: Cell<Option<Instant>>,
    /// There are notes.
    pub events_ready: Notify,
    limits: RuntimeLimits,
    budget: Rc<ResourceBudget>,
    counters: Rc<Counters>,
    pub metrics: Rc<Metrics>,
    pub clock: Rc<Clock>,
}

struct HostEntry {
    address: SocketAddr,
    is_origin: bool,
    /// Whether it takes anything new, by the module's rule on drains as the list was last read.
    accepts_attempts: bool,
    /// A connection came free there.
    connection_freed: Rc<Notify>,
    /// It takes nothing new any more.
    stopped_accepting: Rc<Notify>,
}

/// A connection that a push has; where that is called off, or fails, the pools learn of it.
struct CheckedOut<'a> {
    upstreams: &'a Upstreams,
    id: ConnectionId,
    connection: Option<UpstreamConnection>,
}

impl Drop for CheckedOut<'_> {
    fn drop(&mut self) {
        self.upstreams.attempts.borrow_mut().remove(&self.id);
        if self.connection.take().is_some() {
            self.upstreams.pools.borrow_mut().abandoned(self.id);
            self.upstreams.perform_pool_actions();
        }
    }
}

/// One that is being opened; the same.
struct ConnectGuard<'a>(&'a Upstreams, Option<ConnectionId>);

impl Drop for ConnectGuard<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.1.take() {
            self.0.pools.borrow_mut().abandoned(id);
        }
    }
}

impl Upstreams {
    pub fn new(
        limits: RuntimeLimits,
        pools: ConnectionPools,
        budget: Rc<ResourceBudget>,
        counters: Rc<Counters>,
        metrics: Rc<Metrics>,
        clock: Rc<Clock>,
    ) -> Rc<Upstreams> {
        Rc::new(Upstreams {
            hosts: RefCell::default(),
            pools: RefCell::new(pools),
            idle: RefCell::default(),
            late_readers: RefCell::default(),
            attempts: RefCell::default(),
            events: RefCell::default(),
            duplicate_seen_at: Cell::default(),
            events_ready: Notify::new(),
            limits,
            budget,
            counters,
            metrics,
            clock,
        })
    }

    /// Where a host is to be found; connections to another address are closed.
    pub fn update_host(&self, host: HostId, address: SocketAddr, is_origin: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let fresh = || HostEntry {
            address,
            is_origin,
            accepts_attempts: true,
            connection_freed: Rc::default(),
            stopped_accepting: Rc::default(),
        };
        let entry = hosts.entry(host).or_insert_with(fresh);
        entry.is_origin = is_origin;
        if std::mem::replace(&mut entry.address, address) != address {
            self.pools.borrow_mut().host_moved(host);
        }
        drop(hosts);
        self.perform_pool_actions();
    }

    /// Which hosts take anything new, asked whenever the list was read. One that does not needs no idle connections, and
    /// pushes that wait for one of its connections are let go.
    pub fn update_accepting_hosts(&self, accepts_attempts: impl Fn(HostId) -> bool) {
        for (&host, entry) in self.hosts.borrow_mut().iter_mut() {
            entry.accepts_attempts = accepts_attempts(host);
            if !entry.accepts_attempts {
                self.pools.borrow_mut().host_draining(host);
                entry.stopped_accepting.notify_waiters();
            }
        }
        self.perform_pool_actions();
    }

    /// Ends once the host takes nothing new.
    async fn stopped_accepting(&self, host: HostId) {
        loop {
            let stopped_accepting = match self.hosts.borrow().get(&host) {
                Some(entry) if entry.accepts_attempts => entry.stopped_accepting.clone(),
                _ => return,
            };
            stopped_accepting.notified().await;
        }
    }

    /// A host that is gone, with nothing open there.
    pub fn forget_host(&self, host: HostId) {
        self.hosts.borrow_mut().remove(&host);
        self.pools.borrow_mut().forget_host(host);
        self.perform_pool_actions();
    }

    pub fn origin_address(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).filter(|entry| entry.is_origin).map(|entry| entry.address)
    }

    /// So many descriptors are this process's from now on.
    pub fn set_max_connections(&self, max_connections: usize) {
        self.pools.borrow_mut().set_max_connections(max_connections);
    }

    pub fn pool_stats(&self) -> PoolStats {
        self.pools.borrow().stats()
    }

    /// What was noted since this was last asked.
    pub fn take_events(&self) -> Vec<UpstreamEvent> {
        self.events.take()
    }

    /// Has the pools look after all connections.
    pub fn tick(&self) {
        let stopped = self.pools.borrow_mut().tick(self.clock.now());
        if stopped > 0 {
            log::warn!(
                "this process stalled for {} ms; no host's silence counts for that time",
                stopped / 1000
            );
            self.record_event(UpstreamEvent::ProcessStalled(stopped));
        }
        self.perform_pool_actions();
    }

    fn record_event(&self, event: UpstreamEvent) {
        self.events.borrow_mut().push(event);
        self.events_ready.notify_one();
    }

    fn perform_pool_actions(&self) {
        let actions = self.pools.borrow_mut().take_actions();
        for action in actions {
            match action {
                PoolAction::Close(id) => self.close(id),
                PoolAction::AttemptInDoubt(id) => {
                    let attempt = self.attempts.borrow().get(&id).copied();
                    if let Some(attempt) = attempt {
                        log::debug!(
                            "attempt {} of request {} is in doubt: later ones are answered",
                            attempt.1 .0,
                            attempt.0 .0
                        );
                        self.record_event(UpstreamEvent::AttemptInDoubt(attempt));
                    }
                }
                PoolAction::HostAlive(host) => {
                    log::debug!("host {} answers again on a connection from before its silence", host.0);
                    self.record_event(UpstreamEvent::HostAlive(host));
                }
            }
        }
    }

    fn close(&self, id: ConnectionId) {
        self.idle.borrow_mut().remove(&id);
        if let Some(listening) = self.late_readers.borrow_mut().remove(&id) {
            listening.abort();
        }
    }

    /// Closes a connection that is needed least; whether there was one.
    pub fn close_idle_connection(&self) -> bool {
        let oldest = self.pools.borrow_mut().evict_idle();
        oldest.map(|id| self.close(id)).is_some()
    }

    /// A descriptor for a connection, at the cost of an idle one where there is no other.
    fn permit(&self) -> Option<DescriptorPermit> {
        self.budget
            .host_descriptor()
            .or_else(|| self.close_idle_connection().then(|| self.budget.host_descriptor()).flatten())
    }

    /// A new connection, up by then; `most` bytes may stand in its buffer.
    pub async fn connect(
        &self,
        permit: Option<DescriptorPermit>,
        address: SocketAddr,
        until: Instant,
        max_bytes: usize,
    ) -> io::Result<UpstreamConnection> {
        let stream = timeout_at(until, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(UpstreamConnection { stream, buffer: Buffer::new(max_bytes), _permit: permit, last: None })
    }

    /// A connection for a push: one that is kept, or a new one. A push that gets none never ran; what is this balancer's
    /// own want must not be held against the host.
    async fn checkout(
        &self,
        host: HostId,
        attempt: AttemptKey,
        until: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        loop {
            let grant = self.pools.borrow_mut().checkout(self.clock.now(), host);
            self.perform_pool_actions();
            match grant {
                Checkout::Reuse(id) => {
                    let Some(connection) = self.idle.borrow_mut().remove(&id) else {
                        self.pools.borrow_mut().abandoned(id);
                        continue;
                    };
                    // Whatever can be read now, its end above all, means that it can't carry a push.
                    let read = connection.stream.try_read(&mut [0]);
                    if matches!(&read, Err(cause) if cause.kind() == ErrorKind::WouldBlock) {
                        self.counters.connections_reused.add();
                        return Ok(CheckedOut { upstreams: self, id, connection: Some(connection) });
                    }
                    if matches!(read, Ok(1..)) {
                        self.duplicate_seen_at.set(Some(Instant::now()));
                    }
                    self.counters.connections_stale.add();
                    self.pools.borrow_mut().found_closed(id);
                }
                Checkout::Open(id) => {
                    self.record_event(UpstreamEvent::NewConnection(attempt));
                    return self.open_connection(host, id, until).await;
                }
                Checkout::RetryAt(at) => {
                    let freed = self.hosts.borrow().get(&host).map(|entry| entry.connection_freed.clone());
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

    async fn open_connection(
        &self,
        host: HostId,
        id: ConnectionId,
        until: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        let mut opening = ConnectGuard(self, Some(id));
        let address =
            self.hosts.borrow().get(&host).map(|entry| entry.address).ok_or(AttemptOutcome::NotSent)?;
        let permit = self.permit().ok_or(AttemptOutcome::NotSent)?;
        let bound = Instant::now() + duration(self.limits.connect_timeout);
        let outcome = self.connect(Some(permit), address, until.min(bound), MAX_BUFFERED_MESSAGE).await;
        opening.1 = None;
        let now = self.clock.now();
        match outcome {
            // Its host has moved meanwhile: what stands at the old address may be another, or one that drains.
            Ok(_) if self.hosts.borrow().get(&host).map(|entry| entry.address) != Some(address) => {
                self.pools.borrow_mut().abandoned(id);
                Err(AttemptOutcome::NotSent)
            }
            Ok(connection) => {
                self.counters.connections_opened.add();
                self.pools.borrow_mut().connected(id);
                Ok(CheckedOut { upstreams: self, id, connection: Some(connection) })
            }
            Err(cause) => {
                log::debug!("host {} at {address} does not come up: {cause}", host.0);
                // Cut off by the op's own time it tells nothing of the host.
                let own = cause.kind() == ErrorKind::TimedOut && until < bound;
                let why = if own { ConnectFailure::Local } else { ConnectFailure::Host };
                self.pools.borrow_mut().connect_failed(now, id, why);
                Err(AttemptOutcome::Unreachable)
            }
        }
    }

    /// Sends one request and reads one answer. Its text is made when it has its connection, and told how much time is left
    /// then: the wait for one may be as long as the op's own time, and a host must not work on what nobody waits for.
    pub async fn exchange(
        self: &Rc<Upstreams>,
        host: HostId,
        attempt: AttemptKey,
        request: &ClientRequest,
        text: impl FnOnce(Micros) -> RequestBytes,
        until: Micros,
        parse: ParseResponse,
    ) -> AttemptResult {
        let (ends, until) = (until, self.clock.at(until));
        // Rule 3 again, at the one place that every push passes before its first byte: the module judged when it decided, and
        // leave to open, a handshake or a connection in use may have taken longer than the grace since. A host that was
        // announced as leaving meanwhile gets nothing, and the op hears so at once. Whatever the order in which its parts are
        // woken, the look at the host comes before the step that has the connection, and the first byte goes in the same turn.
        let checkout = tokio::select! {
            biased;
            () = request.wait_finished() => Err(AttemptOutcome::Cancelled),
            () = self.stopped_accepting(host) => Err(AttemptOutcome::NotSent),
            checkout = self.checkout(host, attempt, until) => checkout,
        };
        let mut checked_out = match checkout {
            // Rule 1 again: a connection may come up in the very turn in which the time is over, after a stop of this process
            // long after it. Nothing is begun then.
            Ok(_) if Instant::now() >= until => return (AttemptOutcome::NotSent, None),
            Ok(checked_out) => checked_out,
            Err(end) => return (end, None),
        };
        // The host begins with the last byte: until that is written the push never ran. An op that is over
        // meanwhile must not get that far, which says nothing of the host; its answer, once it has, is waited for.
        // A long value whose first byte went in time goes on.
        let text = text(ends - self.clock.now());
        let sent = async {
            let Some(connection) = &mut checked_out.connection else { return Err(AttemptOutcome::NotSent) };
            match timeout_at(until, text.write(&mut connection.stream)).await {
                Ok(Ok(())) => Ok(()),
                _ => Err(AttemptOutcome::Unreachable),
            }
        };
        let sent = tokio::select! {
            biased;
            () = request.wait_finished() => Err(AttemptOutcome::Cancelled),
            sent = sent => sent,
        };
        if let Err(end) = sent {
            return (end, None);
        }
        let id = checked_out.id;
        self.pools.borrow_mut().request_sent(self.clock.now(), id);
        self.metrics.attempt_sent();
        self.attempts.borrow_mut().insert(id, attempt);
        loop {
            let Some(connection) = &mut checked_out.connection else {
                return (AttemptOutcome::NotSent, None);
            };
            let filled = timeout_at(until, read(&mut connection.stream, &mut connection.buffer)).await;
            let now = self.clock.now();
            match filled {
                Err(_) => {
                    let connection = checked_out.connection.take();
                    let verdict = self.pools.borrow_mut().attempt_timed_out(now, id);
                    if let Some(connection) = connection.filter(|_| verdict.await_late_response) {
                        self.await_late_response(host, id, connection, parse);
                    }
                    return (AttemptOutcome::TimedOut, None);
                }
                Ok(Ok(0) | Err(_)) => {
                    checked_out.connection = None;
                    let fault = self.pools.borrow_mut().connection_lost(now, id);
                    self.perform_pool_actions();
                    log::debug!("host {}: a connection ended under a request, {fault:?} at fault", host.0);
                    return (
                        if fault == Fault::Connection {
                            AttemptOutcome::ConnectionFault
                        } else {
                            AttemptOutcome::ConnectionLost
                        },
                        None,
                    );
                }
                Ok(Ok(_)) => {}
            }
            match parse(connection.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some(ParsedResponse::Streamed { start, length, rest })) => {
                    connection.buffer.consume(start);
                    self.pools.borrow_mut().response_begun(now, id);
                    let (sender, pieces) = mpsc::channel(1);
                    let value_stream =
                        ValueStream { host, id, connection: checked_out.connection.take(), length, rest };
                    spawn_local(self.clone().stream_value(value_stream, sender));
                    return (
                        AttemptOutcome::Succeeded,
                        Some(Value::Streamed(StreamedValue { length, pieces })),
                    );
                }
                Ok(Some(ParsedResponse::Whole(outcome, used, keep))) => {
                    let fingerprint = ResponseFingerprint::of(&connection.buffer.bytes()[..used], request);
                    connection.buffer.consume(used);
                    let more = !connection.buffer.is_empty();
                    if more {
                        self.duplicate_seen_at.set(Some(Instant::now()));
                    }
                    // Answers carry no id: of hosts that answer twice a copy may come after the look before the write, and be
                    // taken for the next one's. The same value as before is not served then. A copy of a refusal would say
                    // of the next push that it never ran: that is the last on its connection.
                    let duplicates_suspected = self
                        .duplicate_seen_at
                        .get()
                        .is_some_and(|at| at.elapsed() < DUPLICATES_SUSPECTED_FOR);
                    let last = connection.last.take().filter(|_| duplicates_suspected && outcome.1.is_some());
                    if last.is_some_and(|last| last.repeated(fingerprint, request.value.is_some())) {
                        log::debug!("host {}: the same response as to the request before", host.0);
                        return (AttemptOutcome::ConnectionFault, None);
                    }
                    connection.last = Some(fingerprint);
                    let keep =
                        keep && !more && !(duplicates_suspected && outcome.0 == AttemptOutcome::Rejected);
                    let connection = checked_out.connection.take();
                    if self.pools.borrow_mut().answered(now, id, keep) {
                        self.return_connection(host, id, connection);
                    }
                    return outcome;
                }
                Err(cause) => {
                    log::debug!("host {}: {cause}", host.0);
                    return (AttemptOutcome::Error, None);
                }
            }
        }
    }

    /// Passes a long value on, read only as its pieces are taken. Its op has ended for the module: what becomes of it tells
    /// of the connection alone.
    async fn stream_value(self: Rc<Upstreams>, value_stream: ValueStream, pieces: mpsc::Sender<Bytes>) {
        let ValueStream { host, id, connection, length, rest } = value_stream;
        let mut checked_out = CheckedOut { upstreams: &self, id, connection };
        let Some(connection) = &mut checked_out.connection else { return };
        let stream = self.budget.start_stream();
        let mut left = length;
        while left > 0 {
            let max_bytes = stream.chunk_size().min(left);
            let piece = if connection.buffer.is_empty() {
                let mut piece = BytesMut::with_capacity(max_bytes);
                let mut room = (&mut piece).limit(max_bytes);
                match timeout(VALUE_READ_TIMEOUT, connection.stream.read_buf(&mut room)).await {
                    Ok(Ok(1..)) => piece.freeze(),
                    // The client can tell: its connection ends before the length that it was told.
                    _ => {
                        self.counters.values_truncated.add();
                        log::debug!("host {}: a value ended {left} bytes before its end", host.0);
                        return;
                    }
                }
            } else {
                let there = connection.buffer.bytes();
                let piece = Bytes::copy_from_slice(&there[..max_bytes.min(there.len())]);
                connection.buffer.consume(piece.len());
                piece
            };
            left -= piece.len();
            if pieces.send(piece).await.is_err() {
                return;
            }
        }
        drop((pieces, stream));
        let after = async {
            loop {
                match rest(connection.buffer.bytes()) {
                    Ok(Some(found)) => return Some(found),
                    Ok(None)
                        if matches!(read(&mut connection.stream, &mut connection.buffer).await, Ok(1..)) => {}
                    _ => return None,
                }
            }
        };
        let Ok(Some((used, keep))) = timeout(TRAILER_TIMEOUT, after).await else { return };
        connection.buffer.consume(used);
        let keep = keep && connection.buffer.is_empty();
        let connection = checked_out.connection.take();
        if self.pools.borrow_mut().answered(self.clock.now(), id, keep) {
            self.return_connection(host, id, connection);
        }
    }

    fn return_connection(&self, host: HostId, id: ConnectionId, connection: Option<UpstreamConnection>) {
        if let Some(connection) = connection {
            self.idle.borrow_mut().insert(id, connection);
        }
        match self.hosts.borrow().get(&host) {
            Some(entry) if entry.accepts_attempts => entry.connection_freed.notify_one(),
            // It drained under its last push: places there are scarce.
            _ => {
                self.pools.borrow_mut().host_draining(host);
                self.perform_pool_actions();
            }
        }
    }

    /// Reads on for what may come late: that tells that the host is there again, and the connection can carry pushes.
    fn await_late_response(
        self: &Rc<Upstreams>,
        host: HostId,
        id: ConnectionId,
        mut connection: UpstreamConnection,
        parse: ParseResponse,
    ) {
        const LONGEST: Duration = Duration::from_secs(60);
        let upstreams = self.clone();
        let listening = async move {
            let answer = async {
                loop {
                    if !matches!(read(&mut connection.stream, &mut connection.buffer).await, Ok(1..)) {
                        return false;
                    }
                    match parse(connection.buffer.bytes()) {
                        Ok(None) => {}
                        Ok(Some(ParsedResponse::Whole(_, used, keep))) => {
                            connection.buffer.consume(used);
                            return keep && connection.buffer.is_empty();
                        }
                        // Nobody waits for a long value any more.
                        Ok(Some(ParsedResponse::Streamed { .. })) | Err(_) => return false,
                    }
                }
            };
            let good = timeout(LONGEST, answer).await.unwrap_or(false);
            upstreams.late_readers.borrow_mut().remove(&id);
            let kept = upstreams.pools.borrow_mut().late_response(upstreams.clock.now(), id, good);
            if kept {
                upstreams.return_connection(host, id, Some(connection));
            }
            upstreams.perform_pool_actions();
        };
        let task = spawn_local(listening);
        self.late_readers.borrow_mut().insert(id, task.abort_handle());
    }

    /// One push of an op to a cache host.
    pub async fn attempt(
        self: &Rc<Upstreams>,
        host: HostId,
        attempt: AttemptKey,
        request: &ClientRequest,
        until: Micros,
    ) -> AttemptResult {
        let text = |left| {
            let facts = request.facts_within(left);
            let mut words: Vec<&[u8]> = vec![&request.command, &request.key, &request.id, &facts];
            let short = request.short_value();
            match request.long_value() {
                Some((length, segments)) => {
                    let segments = segments.iter().cloned().chain([Bytes::from_static(resp::CRLF)]);
                    RequestBytes(resp::encode_command_head(&words, length), segments.collect())
                }
                None => {
                    words.extend(short.as_deref());
                    RequestBytes(resp::encode_command(&words), Vec::new())
                }
            }
        };
        self.exchange(host, attempt, request, text, until, reply).await
    }
}

/// A long value on its way from a host.
struct ValueStream {
    host: HostId,
    id: ConnectionId,
    connection: Option<UpstreamConnection>,
    length: usize,
    rest: ParseTrailer,
}

fn reply(bytes: &[u8]) -> Result<Option<ParsedResponse>, String> {
    if let Some(LongReply { start, length, trailing_elements }) = resp::parse_long_reply_head(bytes) {
        let rest: ParseTrailer =
            Box::new(move |bytes| Ok(resp::parse_after_long_value(bytes, trailing_elements)?));
        return Ok(Some(ParsedResponse::Streamed { start, length, rest }));
    }
    let Some((reply, used, keep)) = resp::parse_reply(bytes)? else { return Ok(None) };
    let outcome = match reply {
        Reply::Value(range) => {
            (AttemptOutcome::Succeeded, Some(Value::Whole(Bytes::copy_from_slice(&bytes[range]))))
        }
        Reply::Miss => (AttemptOutcome::Miss, None),
        Reply::Busy => (AttemptOutcome::Rejected, None),
        Reply::Failed => (AttemptOutcome::Error, None),
    };
    Ok(Some(ParsedResponse::Whole(outcome, used, keep)))
}
