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
use basaltwood_wire::resp::{self, LongReply, Reply, MOST};
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
    last: Option<Stamp>,
}

const STAMPED: usize = 4 * 1024;

/// An answer as it came, and the key that it was for. Hashes of both: a connection that stands idle must not hold a request.
#[derive(Clone, Copy)]
struct Stamp(u64, u64);

impl Stamp {
    /// By its length and its last bytes: all of a long one would cost more than it tells.
    fn of(answer: &[u8], request: &ClientRequest) -> Stamp {
        let of = |what: (usize, &[u8])| {
            let mut hasher = DefaultHasher::new();
            what.hash(&mut hasher);
            hasher.finish()
        };
        let end = &answer[answer.len().saturating_sub(STAMPED)..];
        Stamp(of((answer.len(), end)), of((0, &request.key)))
    }

    /// The same bytes for another key, or for a write, which has a receipt of its own.
    fn repeated(self, next: Stamp, write: bool) -> bool {
        self.0 == next.0 && (self.1 != next.1 || write)
    }
}

/// What stands of an answer at the front of a buffer.
pub enum Found {
    /// All of it: the outcome, how many bytes it took, and whether the connection may carry another.
    Whole(AttemptResult, usize, bool),
    /// The head of one with a value of so many bytes that is too long to be held whole.
    Streamed { start: usize, length: usize, rest: Rest },
}

pub type Read = fn(&[u8]) -> Result<Option<Found>, String>;

/// Takes what follows a long value: how many bytes it took, and whether the connection may carry another answer.
pub type Rest = Box<dyn Fn(&[u8]) -> Result<Option<(usize, bool)>, String>>;

/// A request as it is written: its text, and the segments of a long value that follow it.
pub struct Text(pub Bytes, pub Vec<Bytes>);

impl Text {
    async fn write(self, stream: &mut TcpStream) -> io::Result<()> {
        stream.write_all(&self.0).await?;
        for segment in self.1 {
            stream.write_all(&segment).await?;
        }
        Ok(())
    }
}

/// A host that gives nothing of a long value for so long will not give the rest.
const STALLED: Duration = Duration::from_secs(5);
/// Hosts that were heard to say more than they were asked for are taken to answer twice for so long.
const TWICE_FOR: Duration = Duration::from_secs(10);
/// What follows a long value is awaited so long: the client has its value already.
const REST: Duration = Duration::from_millis(500);

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
    hosts: RefCell<BTreeMap<HostId, Place>>,
    pools: RefCell<ConnectionPools>,
    /// Connections that carry nothing.
    idle: RefCell<BTreeMap<ConnectionId, UpstreamConnection>>,
    /// Those whose push has given up, read for what may come late.
    listening: RefCell<BTreeMap<ConnectionId, AbortHandle>>,
    carrying: RefCell<BTreeMap<ConnectionId, AttemptKey>>,
    notes: RefCell<Vec<UpstreamEvent>>,
    /// When a host last said more than it was asked for.
    twice: Cell<Option<Instant>>,
    /// There are notes.
    pub noted: Notify,
    bounds: RuntimeLimits,
    budget: Rc<ResourceBudget>,
    counters: Rc<Counters>,
    pub metrics: Rc<Metrics>,
    pub clock: Rc<Clock>,
}

struct Place {
    address: SocketAddr,
    origin: bool,
    /// Whether it takes anything new, by the module's rule on drains as the list was last read.
    takes: bool,
    /// A connection came free there.
    freed: Rc<Notify>,
    /// It takes nothing new any more.
    closed: Rc<Notify>,
}

/// A connection that a push has; where that is called off, or fails, the pools learn of it.
struct CheckedOut<'a> {
    servers: &'a Upstreams,
    id: ConnectionId,
    link: Option<UpstreamConnection>,
}

impl Drop for CheckedOut<'_> {
    fn drop(&mut self) {
        self.servers.carrying.borrow_mut().remove(&self.id);
        if self.link.take().is_some() {
            self.servers.pools.borrow_mut().abandoned(self.id);
            self.servers.carry_out();
        }
    }
}

/// One that is being opened; the same.
struct Opening<'a>(&'a Upstreams, Option<ConnectionId>);

impl Drop for Opening<'_> {
    fn drop(&mut self) {
        if let Some(id) = self.1.take() {
            self.0.pools.borrow_mut().abandoned(id);
        }
    }
}

impl Upstreams {
    pub fn new(
        bounds: RuntimeLimits,
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
            listening: RefCell::default(),
            carrying: RefCell::default(),
            notes: RefCell::default(),
            twice: Cell::default(),
            noted: Notify::new(),
            bounds,
            budget,
            counters,
            metrics,
            clock,
        })
    }

    /// Where a host is to be found; connections to another address are closed.
    pub fn place(&self, host: HostId, address: SocketAddr, origin: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let fresh = || Place { address, origin, takes: true, freed: Rc::default(), closed: Rc::default() };
        let place = hosts.entry(host).or_insert_with(fresh);
        place.origin = origin;
        if std::mem::replace(&mut place.address, address) != address {
            self.pools.borrow_mut().host_moved(host);
        }
        drop(hosts);
        self.carry_out();
    }

    /// Which hosts take anything new, asked whenever the list was read. One that does not needs no idle connections, and
    /// pushes that wait for one of its connections are let go.
    pub fn settle(&self, takes: impl Fn(HostId) -> bool) {
        for (&host, place) in self.hosts.borrow_mut().iter_mut() {
            place.takes = takes(host);
            if !place.takes {
                self.pools.borrow_mut().host_draining(host);
                place.closed.notify_waiters();
            }
        }
        self.carry_out();
    }

    /// Ends once the host takes nothing new.
    async fn closed(&self, host: HostId) {
        loop {
            let closed = match self.hosts.borrow().get(&host) {
                Some(place) if place.takes => place.closed.clone(),
                _ => return,
            };
            closed.notified().await;
        }
    }

    /// A host that is gone, with nothing open there.
    pub fn forget(&self, host: HostId) {
        self.hosts.borrow_mut().remove(&host);
        self.pools.borrow_mut().forget_host(host);
        self.carry_out();
    }

    pub fn origin(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).filter(|place| place.origin).map(|place| place.address)
    }

    /// So many descriptors are this process's from now on.
    pub fn allow(&self, most: usize) {
        self.pools.borrow_mut().set_max_connections(most);
    }

    pub fn counted(&self) -> PoolStats {
        self.pools.borrow().stats()
    }

    /// What was noted since this was last asked.
    pub fn notes(&self) -> Vec<UpstreamEvent> {
        self.notes.take()
    }

    /// Has the pools look after all connections.
    pub fn tick(&self) {
        let stopped = self.pools.borrow_mut().tick(self.clock.now());
        if stopped > 0 {
            log::warn!("stood still for {} ms; nobody's silence counts for that time", stopped / 1000);
            self.note(UpstreamEvent::ProcessStalled(stopped));
        }
        self.carry_out();
    }

    fn note(&self, note: UpstreamEvent) {
        self.notes.borrow_mut().push(note);
        self.noted.notify_one();
    }

    fn carry_out(&self) {
        let orders = self.pools.borrow_mut().take_actions();
        for order in orders {
            match order {
                PoolAction::Close(id) => self.shut(id),
                PoolAction::AttemptInDoubt(id) => {
                    let ticket = self.carrying.borrow().get(&id).copied();
                    if let Some(ticket) = ticket {
                        log::debug!(
                            "push {} of op {} is in doubt: later ones are answered",
                            ticket.1 .0,
                            ticket.0 .0
                        );
                        self.note(UpstreamEvent::AttemptInDoubt(ticket));
                    }
                }
                PoolAction::HostAlive(host) => {
                    log::debug!("host {} answers again on a connection from before its silence", host.0);
                    self.note(UpstreamEvent::HostAlive(host));
                }
            }
        }
    }

    fn shut(&self, id: ConnectionId) {
        self.idle.borrow_mut().remove(&id);
        if let Some(listening) = self.listening.borrow_mut().remove(&id) {
            listening.abort();
        }
    }

    /// Closes a connection that is needed least; whether there was one.
    pub fn drop_idle(&self) -> bool {
        let oldest = self.pools.borrow_mut().evict_idle();
        oldest.map(|id| self.shut(id)).is_some()
    }

    /// A descriptor for a connection, at the cost of an idle one where there is no other.
    fn permit(&self) -> Option<DescriptorPermit> {
        self.budget
            .host_descriptor()
            .or_else(|| self.drop_idle().then(|| self.budget.host_descriptor()).flatten())
    }

    /// A new connection, up by then; `most` bytes may stand in its buffer.
    pub async fn open(
        &self,
        permit: Option<DescriptorPermit>,
        address: SocketAddr,
        until: Instant,
        most: usize,
    ) -> io::Result<UpstreamConnection> {
        let stream = timeout_at(until, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(UpstreamConnection { stream, buffer: Buffer::new(most), _permit: permit, last: None })
    }

    /// A connection for a push: one that is kept, or a new one. A push that gets none never ran; what is this balancer's
    /// own want must not be held against the host.
    async fn link(
        &self,
        host: HostId,
        ticket: AttemptKey,
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
                    // Whatever can be read now, its end above all, means that it can't carry a push.
                    let read = link.stream.try_read(&mut [0]);
                    if matches!(&read, Err(cause) if cause.kind() == ErrorKind::WouldBlock) {
                        self.counters.connections_reused.add();
                        return Ok(CheckedOut { servers: self, id, link: Some(link) });
                    }
                    if matches!(read, Ok(1..)) {
                        self.twice.set(Some(Instant::now()));
                    }
                    self.counters.connections_stale.add();
                    self.pools.borrow_mut().found_closed(id);
                }
                Checkout::Open(id) => {
                    self.note(UpstreamEvent::NewConnection(ticket));
                    return self.opened(host, id, until).await;
                }
                Checkout::RetryAt(at) => {
                    let freed = self.hosts.borrow().get(&host).map(|place| place.freed.clone());
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

    async fn opened(
        &self,
        host: HostId,
        id: ConnectionId,
        until: Instant,
    ) -> Result<CheckedOut<'_>, AttemptOutcome> {
        let mut opening = Opening(self, Some(id));
        let address =
            self.hosts.borrow().get(&host).map(|place| place.address).ok_or(AttemptOutcome::NotSent)?;
        let permit = self.permit().ok_or(AttemptOutcome::NotSent)?;
        let bound = Instant::now() + duration(self.bounds.connect_timeout);
        let outcome = self.open(Some(permit), address, until.min(bound), MOST).await;
        opening.1 = None;
        let now = self.clock.now();
        match outcome {
            // Its host has moved meanwhile: what stands at the old address may be another, or one that drains.
            Ok(_) if self.hosts.borrow().get(&host).map(|place| place.address) != Some(address) => {
                self.pools.borrow_mut().abandoned(id);
                Err(AttemptOutcome::NotSent)
            }
            Ok(link) => {
                self.counters.connections_opened.add();
                self.pools.borrow_mut().connected(now, id);
                Ok(CheckedOut { servers: self, id, link: Some(link) })
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
        ticket: AttemptKey,
        request: &ClientRequest,
        text: impl FnOnce(Micros) -> Text,
        until: Micros,
        find: Read,
    ) -> AttemptResult {
        let (ends, until) = (until, self.clock.at(until));
        // Rule 3 again, at the one place that every push passes before its first byte: the module judged when it decided, and
        // leave to open, a handshake or a connection in use may have taken longer than the grace since. A host that was
        // announced as leaving meanwhile gets nothing, and the op hears so at once. Whatever the order in which its parts are
        // woken, the look at the host comes before the step that has the connection, and the first byte goes in the same turn.
        let granted = tokio::select! {
            biased;
            () = request.ended() => Err(AttemptOutcome::Cancelled),
            () = self.closed(host) => Err(AttemptOutcome::NotSent),
            granted = self.link(host, ticket, until) => granted,
        };
        let mut held = match granted {
            // Rule 1 again: a connection may come up in the very turn in which the time is over, after a stop of this process
            // long after it. Nothing is begun then.
            Ok(_) if Instant::now() >= until => return (AttemptOutcome::NotSent, None),
            Ok(held) => held,
            Err(end) => return (end, None),
        };
        // The host begins with the last byte: until that is written the push never ran. An op that is over
        // meanwhile must not get that far, which says nothing of the host; its answer, once it has, is waited for.
        // A long value whose first byte went in time goes on.
        let text = text(ends - self.clock.now());
        let sent = async {
            let Some(link) = &mut held.link else { return Err(AttemptOutcome::NotSent) };
            match timeout_at(until, text.write(&mut link.stream)).await {
                Ok(Ok(())) => Ok(()),
                _ => Err(AttemptOutcome::Unreachable),
            }
        };
        let sent = tokio::select! {
            biased;
            () = request.ended() => Err(AttemptOutcome::Cancelled),
            sent = sent => sent,
        };
        if let Err(end) = sent {
            return (end, None);
        }
        let id = held.id;
        self.pools.borrow_mut().request_sent(self.clock.now(), id);
        self.metrics.attempt_sent();
        self.carrying.borrow_mut().insert(id, ticket);
        loop {
            let Some(link) = &mut held.link else { return (AttemptOutcome::NotSent, None) };
            let filled = timeout_at(until, read(&mut link.stream, &mut link.buffer)).await;
            let now = self.clock.now();
            match filled {
                Err(_) => {
                    let link = held.link.take();
                    let (_, listens) = self.pools.borrow_mut().attempt_timed_out(now, id);
                    if let Some(link) = link.filter(|_| listens) {
                        self.listen(host, id, link, find);
                    }
                    return (AttemptOutcome::TimedOut, None);
                }
                Ok(Ok(0) | Err(_)) => {
                    held.link = None;
                    let fault = self.pools.borrow_mut().connection_lost(now, id);
                    self.carry_out();
                    log::debug!("host {}: a connection ended over a push, {fault:?} at fault", host.0);
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
            match find(link.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some(Found::Streamed { start, length, rest })) => {
                    link.buffer.consume(start);
                    self.pools.borrow_mut().response_begun(now, id);
                    let (give, pieces) = mpsc::channel(1);
                    let passing = Passing { host, id, link: held.link.take(), length, rest };
                    spawn_local(self.clone().pass(passing, give));
                    return (
                        AttemptOutcome::Succeeded,
                        Some(Value::Streamed(StreamedValue { length, pieces })),
                    );
                }
                Ok(Some(Found::Whole(outcome, used, keep))) => {
                    let stamp = Stamp::of(&link.buffer.bytes()[..used], request);
                    link.buffer.consume(used);
                    let more = !link.buffer.is_empty();
                    if more {
                        self.twice.set(Some(Instant::now()));
                    }
                    // Answers carry no id: of hosts that answer twice a copy may come after the look before the write, and be
                    // taken for the next one's. The same value as before is not served then. A copy of a refusal would say
                    // of the next push that it never ran: that is the last on its connection.
                    let twice = self.twice.get().is_some_and(|at| at.elapsed() < TWICE_FOR);
                    let last = link.last.take().filter(|_| twice && outcome.1.is_some());
                    if last.is_some_and(|last| last.repeated(stamp, request.value.is_some())) {
                        log::debug!("host {}: the same answer as to the push before", host.0);
                        return (AttemptOutcome::ConnectionFault, None);
                    }
                    link.last = Some(stamp);
                    let keep = keep && !more && !(twice && outcome.0 == AttemptOutcome::Rejected);
                    let link = held.link.take();
                    if self.pools.borrow_mut().answered(now, id, keep) {
                        self.give_back(host, id, link);
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
    async fn pass(self: Rc<Upstreams>, passing: Passing, give: mpsc::Sender<Bytes>) {
        let Passing { host, id, link, length, rest } = passing;
        let mut held = CheckedOut { servers: &self, id, link };
        let Some(link) = &mut held.link else { return };
        let stream = self.budget.start_stream();
        let mut left = length;
        while left > 0 {
            let most = stream.chunk_size().min(left);
            let piece = if link.buffer.is_empty() {
                let mut piece = BytesMut::with_capacity(most);
                let mut room = (&mut piece).limit(most);
                match timeout(STALLED, link.stream.read_buf(&mut room)).await {
                    Ok(Ok(1..)) => piece.freeze(),
                    // The client can tell: its connection ends before the length that it was told.
                    _ => {
                        self.counters.values_truncated.add();
                        log::debug!("host {}: a value ended {left} bytes before its end", host.0);
                        return;
                    }
                }
            } else {
                let there = link.buffer.bytes();
                let piece = Bytes::copy_from_slice(&there[..most.min(there.len())]);
                link.buffer.consume(piece.len());
                piece
            };
            left -= piece.len();
            if give.send(piece).await.is_err() {
                return;
            }
        }
        drop((give, stream));
        let after = async {
            loop {
                match rest(link.buffer.bytes()) {
                    Ok(Some(found)) => return Some(found),
                    Ok(None) if matches!(read(&mut link.stream, &mut link.buffer).await, Ok(1..)) => {}
                    _ => return None,
                }
            }
        };
        let Ok(Some((used, keep))) = timeout(REST, after).await else { return };
        link.buffer.consume(used);
        let keep = keep && link.buffer.is_empty();
        let link = held.link.take();
        if self.pools.borrow_mut().answered(self.clock.now(), id, keep) {
            self.give_back(host, id, link);
        }
    }

    fn give_back(&self, host: HostId, id: ConnectionId, link: Option<UpstreamConnection>) {
        if let Some(link) = link {
            self.idle.borrow_mut().insert(id, link);
        }
        match self.hosts.borrow().get(&host) {
            Some(place) if place.takes => place.freed.notify_one(),
            // It drained under its last push: places there are scarce.
            _ => {
                self.pools.borrow_mut().host_draining(host);
                self.carry_out();
            }
        }
    }

    /// Reads on for what may come late: that tells that the host is there again, and the connection can carry pushes.
    fn listen(
        self: &Rc<Upstreams>,
        host: HostId,
        id: ConnectionId,
        mut link: UpstreamConnection,
        find: Read,
    ) {
        const LONGEST: Duration = Duration::from_secs(60);
        let servers = self.clone();
        let listening = async move {
            let answer = async {
                loop {
                    if !matches!(read(&mut link.stream, &mut link.buffer).await, Ok(1..)) {
                        return false;
                    }
                    match find(link.buffer.bytes()) {
                        Ok(None) => {}
                        Ok(Some(Found::Whole(_, used, keep))) => {
                            link.buffer.consume(used);
                            return keep && link.buffer.is_empty();
                        }
                        // Nobody waits for a long value any more.
                        Ok(Some(Found::Streamed { .. })) | Err(_) => return false,
                    }
                }
            };
            let good = timeout(LONGEST, answer).await.unwrap_or(false);
            servers.listening.borrow_mut().remove(&id);
            let kept = servers.pools.borrow_mut().late_response(servers.clock.now(), id, good);
            if kept {
                servers.give_back(host, id, Some(link));
            }
            servers.carry_out();
        };
        let task = spawn_local(listening);
        self.listening.borrow_mut().insert(id, task.abort_handle());
    }

    /// One push of an op to a cache host.
    pub async fn push(
        self: &Rc<Upstreams>,
        host: HostId,
        ticket: AttemptKey,
        request: &ClientRequest,
        until: Micros,
    ) -> AttemptResult {
        let text = |left| {
            let facts = request.facts(left);
            let mut words: Vec<&[u8]> = vec![&request.command, &request.key, &request.id, &facts];
            let short = request.short();
            match request.long() {
                Some((length, segments)) => {
                    let segments = segments.iter().cloned().chain([Bytes::from_static(resp::END)]);
                    Text(resp::begun(&words, length), segments.collect())
                }
                None => {
                    words.extend(short.as_deref());
                    Text(resp::written(&words), Vec::new())
                }
            }
        };
        self.exchange(host, ticket, request, text, until, reply).await
    }
}

/// A long value on its way from a host.
struct Passing {
    host: HostId,
    id: ConnectionId,
    link: Option<UpstreamConnection>,
    length: usize,
    rest: Rest,
}

fn reply(bytes: &[u8]) -> Result<Option<Found>, String> {
    if let Some(LongReply { start, length, more }) = resp::long_reply(bytes) {
        let rest: Rest = Box::new(move |bytes| Ok(resp::rest(bytes, more)?));
        return Ok(Some(Found::Streamed { start, length, rest }));
    }
    let Some((reply, used, keep)) = resp::reply(bytes)? else { return Ok(None) };
    let outcome = match reply {
        Reply::Value(place) => {
            (AttemptOutcome::Succeeded, Some(Value::Whole(Bytes::copy_from_slice(&bytes[place]))))
        }
        Reply::Miss => (AttemptOutcome::Miss, None),
        Reply::Busy => (AttemptOutcome::Rejected, None),
        Reply::Failed => (AttemptOutcome::Error, None),
    };
    Ok(Some(Found::Whole(outcome, used, keep)))
}
