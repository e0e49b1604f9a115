//! Cache hosts: their addresses, the connections kept to them, and a push over one of those.
//! One push at a time on each connection, so that calling it off closes nothing else.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::rc::Rc;

use basaltwood::types::{End, HostId, Micros};
use basaltwood_terms::Bounds;
use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp::{self, Reply, MOST};
use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::{timeout_at, Instant};

use crate::budget::{Budget, Permit};
use crate::clock::{span, Clock};
use crate::counters::Counters;
use crate::read;
use crate::request::{Outcome, Request};

/// The part of a host's idle time after which a connection is not used again.
const FRESH: f64 = 0.8;

/// A connection that this balancer opened. Dropping it closes it.
pub struct Link {
    pub stream: TcpStream,
    pub buffer: Buffer,
    idle_since: Micros,
    _permit: Permit,
}

pub struct Servers {
    hosts: RefCell<BTreeMap<HostId, Place>>,
    bounds: Bounds,
    budget: Rc<Budget>,
    counters: Rc<Counters>,
    clock: Rc<Clock>,
}

struct Place {
    address: SocketAddr,
    origin: bool,
    /// The one used last is at the back and used first, so that those not needed grow old.
    idle: Vec<Link>,
}

impl Servers {
    pub fn new(bounds: Bounds, budget: Rc<Budget>, counters: Rc<Counters>, clock: Rc<Clock>) -> Servers {
        Servers { hosts: RefCell::default(), bounds, budget, counters, clock }
    }

    /// Where a host is to be found; connections to another address are closed.
    pub fn place(&self, host: HostId, address: SocketAddr, origin: bool) {
        let mut hosts = self.hosts.borrow_mut();
        let place = hosts.entry(host).or_insert_with(|| Place { address, origin, idle: Vec::new() });
        if place.address != address {
            (place.address, place.idle) = (address, Vec::new());
        }
        place.origin = origin;
    }

    /// A host that takes nothing new needs no idle connections.
    pub fn leave(&self, host: HostId) {
        if let Some(place) = self.hosts.borrow_mut().get_mut(&host) {
            place.idle.clear();
        }
    }

    /// A host that is gone, with nothing open there.
    pub fn forget(&self, host: HostId) {
        self.hosts.borrow_mut().remove(&host);
    }

    pub fn origin(&self, host: HostId) -> Option<SocketAddr> {
        self.hosts.borrow().get(&host).filter(|place| place.origin).map(|place| place.address)
    }

    /// Closes connections before the hosts do.
    pub fn drop_old(&self) {
        let now = self.clock.now();
        for place in self.hosts.borrow_mut().values_mut() {
            place.idle.retain(|link| self.fresh(link, now));
        }
    }

    /// Closes the connection that stood idle longest; whether there was one.
    pub fn drop_idle(&self) -> bool {
        let mut hosts = self.hosts.borrow_mut();
        let oldest = hosts
            .values_mut()
            .filter(|place| !place.idle.is_empty())
            .min_by_key(|place| place.idle[0].idle_since);
        oldest.map(|place| place.idle.remove(0)).is_some()
    }

    fn fresh(&self, link: &Link, now: Micros) -> bool {
        now - link.idle_since < (self.bounds.idle_for as f64 * FRESH) as Micros
    }

    /// A descriptor for a connection, at the cost of an idle one where there is no other.
    pub fn permit(&self) -> Option<Permit> {
        self.budget.take().or_else(|| self.drop_idle().then(|| self.budget.take()).flatten())
    }

    /// A new connection, up by then; `most` bytes may stand in its buffer.
    pub async fn open(
        &self,
        permit: Permit,
        address: SocketAddr,
        until: Instant,
        most: usize,
    ) -> io::Result<Link> {
        let stream = timeout_at(until, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(Link { stream, buffer: Buffer::new(most), idle_since: 0, _permit: permit })
    }

    /// An idle connection that is still up, or a new one. A push that gets none never ran; want of descriptors
    /// is this balancer's own, and must not be held against the host.
    async fn link(&self, host: HostId, until: Instant) -> Result<Link, End> {
        let idle = || self.hosts.borrow_mut().get_mut(&host).and_then(|place| place.idle.pop());
        while let Some(link) = idle() {
            // Whatever can be read now, its end above all, means that it can't carry a push.
            let up =
                matches!(link.stream.try_read(&mut [0]), Err(cause) if cause.kind() == ErrorKind::WouldBlock);
            if up && self.fresh(&link, self.clock.now()) {
                self.counters.connections_reused.add();
                return Ok(link);
            }
            self.counters.connections_stale.add();
        }
        let address = self.hosts.borrow().get(&host).map(|place| place.address).ok_or(End::Void)?;
        let permit = self.permit().ok_or(End::Void)?;
        let until = until.min(Instant::now() + span(self.bounds.connect_within));
        match self.open(permit, address, until, MOST).await {
            Ok(link) => {
                self.counters.connections_opened.add();
                Ok(link)
            }
            Err(cause) => {
                log::debug!("host {} at {address} does not come up: {cause}", host.0);
                Err(End::Unreachable)
            }
        }
    }

    /// Sends one request and reads one answer. `whole` takes a whole answer from the front of the buffer:
    /// the outcome, how many bytes it took, and whether the connection may carry another.
    pub async fn exchange(
        &self,
        host: HostId,
        request: &Request,
        text: Bytes,
        within: Micros,
        whole: impl Fn(&[u8]) -> Result<Option<(Outcome, usize, bool)>, String>,
    ) -> Outcome {
        let until = Instant::now() + span(within);
        // The host begins with the last byte: until that is written the push never ran. An op that is over
        // meanwhile must not get that far, which says nothing of the host; its answer, once it has, is waited for.
        let sent = async {
            let mut link = self.link(host, until).await?;
            match timeout_at(until, link.stream.write_all(&text)).await {
                Ok(Ok(())) => Ok(link),
                _ => Err(End::Unreachable),
            }
        };
        let sent = tokio::select! {
            biased;
            () = request.ended() => Err(End::CalledOff),
            sent = sent => sent,
        };
        let mut link = match sent {
            Ok(link) => link,
            Err(end) => return (end, None),
        };
        drop(text);
        loop {
            match timeout_at(until, read(&mut link.stream, &mut link.buffer)).await {
                Err(_) => return (End::TimedOut, None),
                Ok(Ok(0) | Err(_)) => return (End::Broken, None),
                Ok(Ok(_)) => {}
            }
            match whole(link.buffer.bytes()) {
                Ok(None) => {}
                Ok(Some((outcome, used, keep))) => {
                    link.buffer.consume(used);
                    if keep && link.buffer.is_empty() {
                        self.give_back(host, link);
                    }
                    return outcome;
                }
                Err(cause) => {
                    log::debug!("host {}: {cause}", host.0);
                    return (End::Error, None);
                }
            }
        }
    }

    fn give_back(&self, host: HostId, mut link: Link) {
        link.idle_since = self.clock.now();
        let same = |address: SocketAddr| link.stream.peer_addr().is_ok_and(|peer| peer == address);
        if let Some(place) = self.hosts.borrow_mut().get_mut(&host).filter(|place| same(place.address)) {
            place.idle.push(link);
        }
    }

    /// One push of an op to a cache host.
    pub async fn push(&self, host: HostId, request: &Request, within: Micros) -> Outcome {
        let facts = request.facts(within);
        let mut words: Vec<&[u8]> = vec![&request.command, &request.key, &request.id, &facts];
        words.extend(request.value.as_deref());
        let whole = |bytes: &[u8]| {
            let Some((reply, used, keep)) = resp::reply(bytes)? else { return Ok(None) };
            let outcome = match reply {
                Reply::Value(place) => (End::Acked, Some(Bytes::copy_from_slice(&bytes[place]))),
                Reply::Miss => (End::Miss, None),
                Reply::Busy => (End::TurnedAway, None),
                Reply::Failed => (End::Error, None),
            };
            Ok(Some((outcome, used, keep)))
        };
        self.exchange(host, request, resp::written(&words), within, whole).await
    }
}
