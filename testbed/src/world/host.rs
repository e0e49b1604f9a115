//! A machine of the world on its sockets: a cache host that stores, or the origin. It has a listener for each balancer, so
//! that a fault can be seen by one of them alone.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::facts::fact;
use basaltwood_wire::{http, resp};
use bytes::Bytes;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep_until, timeout, Instant};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::faults::Faults;
use super::listener::{listen, reset_on_drop, LISTEN_BACKLOG};
use super::machine::{Job, Machine, Terms, Verdict};
use super::work::Work;
use crate::experiment::{CacheMode, DeduplicationScope, FaultKind, RetrySafety};
use crate::ledger::{HostNo, Ledger, Observation, RequestId};
use crate::time::{millis, Micros, MS, SECOND};

const MOST_BODY: usize = 64 * 1024;

/// How an open connection goes on; the first is how each begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fate {
    Alive,
    /// Stays open and says nothing more.
    Dead,
    /// Is reset as soon as anything comes on it.
    Gone,
    Reset,
}

/// How new connections fare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Door {
    Open,
    Refusing,
    /// They never come up.
    Silent,
}

/// The way from one balancer to a host.
struct Path {
    address: SocketAddr,
    fate: watch::Sender<Fate>,
    door: watch::Sender<Door>,
    accepting: RefCell<Option<JoinHandle<()>>>,
}

/// A host that lacked a key.
type Lacked = (Rc<Host>, Bytes);

/// What all machines share.
pub struct Shared {
    pub ledger: Ledger,
    pub faults: Faults,
    pub work: Work,
    pub mode: CacheMode,
    pub rng: RefCell<ChaCha8Rng>,
    /// Connections taken so far.
    opened: Arc<AtomicU64>,
    /// Keys that hosts lacked, by the op for which they did: the origin's answer is stored there.
    missed: RefCell<HashMap<RequestId, Vec<Lacked>>>,
    /// Which write was the last to a key, by its number: what a host has stored before it is stale.
    writes: RefCell<HashMap<Bytes, u64>>,
    last_write: Cell<u64>,
    /// Marks of deduplicated writes, by the group that drops their repeats: when each ran first.
    marks: RefCell<HashMap<(Bytes, u32), Micros>>,
    pub hosts: RefCell<Vec<Rc<Host>>>,
    pub origin: RefCell<Option<Rc<Host>>>,
}

impl Shared {
    pub fn new(
        ledger: Ledger,
        faults: Faults,
        work: Work,
        mode: CacheMode,
        rng: ChaCha8Rng,
        opened: Arc<AtomicU64>,
    ) -> Rc<Shared> {
        Rc::new(Shared {
            ledger,
            faults,
            work,
            mode,
            rng: RefCell::new(rng),
            opened,
            missed: RefCell::default(),
            writes: RefCell::default(),
            last_write: Cell::new(0),
            marks: RefCell::default(),
            hosts: RefCell::default(),
            origin: RefCell::default(),
        })
    }

    /// A key has another value from now on: no host has it any more.
    fn written(&self, key: &Bytes) {
        self.last_write.set(self.last_write.get() + 1);
        self.writes.borrow_mut().insert(key.clone(), self.last_write.get());
    }

    fn last_written(&self, key: &Bytes) -> Option<u64> {
        self.writes.borrow().get(key).copied()
    }

    fn chance(&self, part: f64) -> bool {
        part > 0.0 && self.rng.borrow_mut().random_bool(part.clamp(0.0, 1.0))
    }
}

/// Keys that a host holds: the newest, and at the start a part of all.
struct Store {
    most: usize,
    filled: f64,
    /// Whether it still has what it held at the start.
    first: bool,
    /// Each with the number of the last write to any key before it was stored.
    there: HashMap<Bytes, u64>,
    order: VecDeque<Bytes>,
}

impl Store {
    /// Whether it has a key that was last written by the write of this number, if by any.
    fn has(&self, key: &Bytes, no: HostNo, written: Option<u64>) -> bool {
        let drawn = || xxh3_64_with_seed(key, u64::from(no.0)) as f64 / u64::MAX as f64;
        let newer = |&stored: &u64| written.is_none_or(|written| stored >= written);
        self.there.get(key).is_some_and(newer) || (self.first && written.is_none() && drawn() < self.filled)
    }

    fn put(&mut self, key: Bytes, now: u64) {
        if self.there.insert(key.clone(), now).is_none() {
            self.order.push_back(key);
        }
        while self.order.len() > self.most {
            if let Some(old) = self.order.pop_front() {
                self.there.remove(&old);
            }
        }
    }

    fn empty(&mut self) {
        (self.first, self.there, self.order) = Default::default();
    }
}

pub struct HostTerms {
    pub no: HostNo,
    pub name: String,
    pub zone: u32,
    pub machine: Terms,
    pub connections: usize,
    pub idle: Micros,
    pub open_cost: Micros,
    pub store: usize,
    pub filled: f64,
    pub report_every: Micros,
    pub started: Option<Micros>,
    /// How long it stays down when it has fallen; for good where there is nothing said.
    pub down_for: Option<Micros>,
}

pub struct Host {
    pub terms: HostTerms,
    shared: Rc<Shared>,
    machine: RefCell<Machine>,
    waiting: RefCell<HashMap<u64, oneshot::Sender<bool>>>,
    next: Cell<u64>,
    kick: Notify,
    store: RefCell<Store>,
    paths: Vec<Path>,
    open: Cell<usize>,
    /// Its last load report and when that was made.
    report: RefCell<(Micros, String)>,
    /// Fell over, or is at its end: what asks to open its doors is not heard.
    down: Cell<bool>,
    started: Cell<Option<Micros>>,
    misses: RefCell<VecDeque<(Micros, bool)>>,
}

/// What becomes of a connection after a command.
enum Says {
    Text(Bytes),
    /// This, and then the connection is mute.
    Last(Bytes),
    Mute,
    Reset,
}

impl Host {
    /// Comes up with a listener for each balancer; `addresses` where it takes over those of another.
    pub fn start(
        shared: &Rc<Shared>,
        terms: HostTerms,
        addresses: &[SocketAddr],
    ) -> std::io::Result<Rc<Host>> {
        let path = |address: &SocketAddr| -> std::io::Result<(Path, TcpListener)> {
            let listener = listen(*address)?;
            let path = Path {
                address: listener.local_addr()?,
                fate: watch::Sender::new(Fate::Alive),
                door: watch::Sender::new(Door::Open),
                accepting: RefCell::default(),
            };
            Ok((path, listener))
        };
        let paths = addresses.iter().map(path).collect::<Result<Vec<_>, _>>()?;
        let (paths, listeners): (Vec<_>, Vec<_>) = paths.into_iter().unzip();
        let host = Rc::new(Host {
            machine: RefCell::new(Machine::new(terms.machine, terms.started)),
            waiting: RefCell::default(),
            next: Cell::new(0),
            kick: Notify::new(),
            store: RefCell::new(Store {
                most: terms.store,
                filled: terms.filled,
                first: terms.filled > 0.0,
                there: HashMap::new(),
                order: VecDeque::new(),
            }),
            paths,
            open: Cell::new(0),
            report: RefCell::default(),
            down: Cell::new(false),
            started: Cell::new(terms.started),
            misses: RefCell::default(),
            shared: shared.clone(),
            terms,
        });
        for (balancer, listener) in listeners.into_iter().enumerate() {
            let accepting = spawn_local(host.clone().accept(balancer, Some(listener)));
            host.paths[balancer].accepting.replace(Some(accepting));
        }
        spawn_local(host.clone().work());
        Ok(host)
    }

    /// Addresses for the machines of a world: each has its own, and each balancer sees another.
    pub fn addresses(no: HostNo, balancers: usize) -> Vec<SocketAddr> {
        let [high, low] = (no.0 as u16).wrapping_add(1).to_be_bytes();
        let address = |balancer: usize| Ipv4Addr::new(127, 32 + balancer as u8, high, low);
        (0..balancers).map(|balancer| SocketAddr::from((address(balancer), 0))).collect()
    }

    pub fn address(&self, balancer: usize) -> SocketAddr {
        self.paths[balancer].address
    }

    pub fn every_address(&self) -> Vec<SocketAddr> {
        self.paths.iter().map(|path| path.address).collect()
    }

    pub fn started(&self) -> Option<Micros> {
        self.started.get()
    }

    pub fn is_down(&self) -> bool {
        self.down.get()
    }

    fn now(&self) -> Micros {
        self.shared.ledger.clock.now()
    }

    fn seen_by(&self, balancer: Option<usize>) -> impl Iterator<Item = &Path> {
        let seen = move |nth: usize| balancer.is_none_or(|only| only == nth);
        self.paths.iter().enumerate().filter(move |(nth, _)| seen(*nth)).map(|(_, path)| path)
    }

    // What faults do.

    pub fn freeze(&self) {
        self.machine.borrow_mut().freeze(self.now());
    }

    pub fn thaw(&self) {
        self.machine.borrow_mut().thaw(self.now());
        self.kick.notify_one();
    }

    pub fn slow(&self, factor: f64) {
        self.machine.borrow_mut().slow(factor);
    }

    /// Open connections are dead from now on.
    pub fn deaden(&self, balancer: Option<usize>) {
        self.seen_by(balancer).for_each(|path| {
            path.fate.send_replace(Fate::Dead);
        });
    }

    /// Open connections are known no more: what comes on one is met by a reset.
    pub fn disown(&self, balancer: Option<usize>) {
        self.seen_by(balancer).for_each(|path| {
            path.fate.send_replace(Fate::Gone);
        });
    }

    pub fn reset(&self, balancer: Option<usize>) {
        self.seen_by(balancer).for_each(|path| {
            path.fate.send_replace(Fate::Reset);
        });
    }

    pub fn refuse(&self, balancer: Option<usize>) {
        self.doors(balancer, Door::Refusing);
        self.reset(balancer);
    }

    /// Says nothing more to anyone, and nothing new comes up.
    pub fn fall_silent(&self, balancer: Option<usize>) {
        self.doors(balancer, Door::Silent);
        self.deaden(balancer);
    }

    pub fn open(&self, balancer: Option<usize>) {
        if !self.down.get() {
            self.doors(balancer, Door::Open);
        }
    }

    fn doors(&self, balancer: Option<usize>, door: Door) {
        self.seen_by(balancer).for_each(|path| {
            path.door.send_if_modified(|now| std::mem::replace(now, door) != door);
        });
    }

    /// Everything it held is lost, and nobody is answered.
    pub fn die(&self) {
        self.down.set(true);
        self.refuse(None);
        self.waiting.borrow_mut().clear();
        self.store.borrow_mut().empty();
        let now = self.now();
        self.machine.borrow_mut().restart(now);
    }

    /// Its listeners end for good; their addresses are free when this is over.
    pub async fn end(&self) {
        self.die();
        for path in &self.paths {
            let accepting = path.accepting.take();
            if let Some(accepting) = accepting {
                accepting.abort();
                let _ = accepting.await;
            }
        }
    }

    /// Comes back empty and cold.
    pub fn come_back(&self) {
        let now = self.now();
        self.down.set(false);
        self.started.set(Some(now));
        self.machine.borrow_mut().restart(now);
        self.open(None);
    }

    // Its cores.

    /// Has its cores work for so long; whether they did. Nothing where it fell or died over it.
    async fn worked(&self, need: Micros, until: Micros) -> Worked {
        let no = self.next.get();
        self.next.set(no + 1);
        let (tell, told) = oneshot::channel();
        let now = self.now();
        let verdict = self.machine.borrow_mut().arrive(now, Job { no, need, until });
        match verdict {
            Verdict::Taken => {
                self.waiting.borrow_mut().insert(no, tell);
                self.kick.notify_one();
                match told.await {
                    Ok(true) => Worked::Ran,
                    Ok(false) => Worked::Never,
                    Err(_) => Worked::Died,
                }
            }
            Verdict::Full => Worked::Never,
            Verdict::Fell => {
                self.fell(now);
                Worked::Died
            }
        }
    }

    fn fell(&self, now: Micros) {
        let cold = self.machine.borrow().cold(now);
        let misses = self.misses.borrow();
        let recent = misses.iter().filter(|miss| miss.0 > now - self.terms.machine.fall_window);
        let (mut of_cold, mut all) = (0_usize, 0_usize);
        for miss in recent {
            (of_cold, all) = (of_cold + usize::from(miss.1), all + 1);
        }
        self.shared.ledger.note(Observation::Overloaded {
            host: self.terms.no,
            cold,
            by_cold_misses: self.terms.no == HostNo::ORIGIN && of_cold * 2 > all,
        });
        log::info!("{} falls over", self.terms.name);
        self.down.set(true);
        self.refuse(None);
        self.waiting.borrow_mut().clear();
        self.kick.notify_one();
    }

    async fn work(self: Rc<Host>) {
        loop {
            let due = self.machine.borrow().due();
            tokio::select! {
                () = self.kick.notified() => {}
                () = sleep_until(due.map_or_else(Instant::now, |due| self.shared.ledger.clock.tokio_instant(due))),
                    if due.is_some() => {}
            }
            let done = self.machine.borrow_mut().done(self.now());
            for done in done {
                if let Some(tell) = self.waiting.borrow_mut().remove(&done.no) {
                    // One whose connection is gone ran all the same.
                    let _ = tell.send(done.ran);
                }
            }
            if let Some(after) = self.terms.down_for.filter(|_| self.down.get()) {
                tokio::time::sleep(crate::time::to_duration(after)).await;
                self.down.set(false);
                self.machine.borrow_mut().restart(self.now());
                self.open(None);
            }
        }
    }

    // Its sockets.

    async fn accept(self: Rc<Host>, balancer: usize, mut listener: Option<TcpListener>) {
        let path = &self.paths[balancer];
        let mut door = path.door.subscribe();
        // Where nothing is to come up: connections of our own that fill the queue of the listener.
        let mut fillers: Vec<TcpStream> = Vec::new();
        let mut silenced = false;
        loop {
            let now = *door.borrow_and_update();
            match now {
                Door::Open => {
                    fillers.clear();
                    if listener.is_none() {
                        listener = listen(path.address).ok();
                    }
                    let Some(listening) = &listener else {
                        tokio::time::sleep(Duration::from_millis(5)).await;
                        continue;
                    };
                    if std::mem::take(&mut silenced) {
                        let _ = SockRef::from(listening).listen(LISTEN_BACKLOG);
                    }
                    tokio::select! {
                        _ = door.changed() => {}
                        accepted = listening.accept() => if let Ok((stream, _)) = accepted {
                            if self.open.get() >= self.terms.connections {
                                reset_on_drop(&stream);
                            } else {
                                spawn_local(self.clone().attend(balancer, stream));
                            }
                        }
                    }
                }
                Door::Refusing => {
                    listener = None;
                    let _ = door.changed().await;
                }
                Door::Silent => {
                    silenced = true;
                    if let Some(listening) = &listener {
                        // A queue of one that is full: the kernel answers no further connection.
                        let _ = SockRef::from(listening).listen(0);
                        for _ in 0..4 {
                            let filler = TcpStream::connect(path.address);
                            match timeout(Duration::from_millis(20), filler).await {
                                Ok(Ok(filler)) => fillers.push(filler),
                                _ => break,
                            }
                        }
                    }
                    let _ = door.changed().await;
                }
            }
        }
    }

    /// One connection of a balancer, until either side ends it.
    async fn attend(self: Rc<Host>, balancer: usize, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        self.open.set(self.open.get() + 1);
        self.shared.opened.fetch_add(1, Ordering::Relaxed);
        let mut fate = self.paths[balancer].fate.subscribe();
        fate.mark_unchanged();
        let served = tokio::select! {
            biased;
            fate = changed(&mut fate) => fate,
            end = self.serve(balancer, &mut stream) => end,
        };
        if served == Fate::Dead {
            // Open, and nothing is read any more, until it is reset.
            let end = async { while changed(&mut fate).await != Fate::Reset {} };
            let _ = timeout(Duration::from_secs(600), end).await;
        }
        if served == Fate::Gone {
            let _ = timeout(Duration::from_secs(600), stream.readable()).await;
        }
        if served != Fate::Alive {
            reset_on_drop(&stream);
        }
        self.open.set(self.open.get() - 1);
    }

    async fn serve(self: &Rc<Host>, balancer: usize, stream: &mut TcpStream) -> Fate {
        let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE + MOST_BODY);
        let mut fresh = true;
        // When the first byte of what stands in the buffer came.
        let mut began = 0;
        loop {
            let asked = match self.asked(buffer.bytes()) {
                Ok(Some((asked, used))) => {
                    buffer.consume(used);
                    asked
                }
                Ok(None) => {
                    let Ok(room) = buffer.unfilled() else { return Fate::Reset };
                    let idle = crate::time::to_duration(self.terms.idle);
                    match timeout(idle, stream.read_buf(room)).await {
                        Ok(Ok(1..)) => {}
                        _ => return Fate::Alive,
                    }
                    if began == 0 {
                        began = self.now();
                    }
                    continue;
                }
                Err(_) => {
                    let _ = stream.write_all(b"-SYNTAX\r\n").await;
                    return Fate::Alive;
                }
            };
            let open_cost = if std::mem::take(&mut fresh) { self.terms.open_cost } else { 0 };
            let says = match asked {
                Asked::Plain(text) => Says::Text(text),
                Asked::Op(command) => self.op(balancer, command, std::mem::take(&mut began), open_cost).await,
            };
            match says {
                Says::Text(text) => {
                    if stream.write_all(&text).await.is_err() {
                        return Fate::Alive;
                    }
                }
                Says::Last(text) => {
                    let _ = stream.write_all(&text).await;
                    return Fate::Dead;
                }
                Says::Mute => return Fate::Dead,
                Says::Reset => return Fate::Reset,
            }
        }
    }

    fn asked(&self, bytes: &[u8]) -> Result<Option<(Asked, usize)>, String> {
        if self.terms.no == HostNo::ORIGIN {
            let Some(request) = http::parse_request(bytes, MOST_BODY)? else { return Ok(None) };
            let id = request.header("x-correlation-id").and_then(|id| RequestId::read(id.as_bytes()));
            let command = Command {
                id: id.ok_or("no id")?,
                write: request.method == "PUT",
                facts: request.header("x-facts").unwrap_or("").to_owned(),
                key: http::percent_decode(&request.path).into(),
            };
            return Ok(Some((Asked::Op(command), request.consumed)));
        }
        let Some(resp::CompleteCommand { words, consumed: used }) = resp::parse_complete_command(bytes)?
        else {
            return Ok(None);
        };
        let name = words.first().map(|word| word.to_ascii_uppercase()).unwrap_or_default();
        let asked = match &name[..] {
            b"CACHE.GET" | b"CACHE.SET" if words.len() >= 4 => Asked::Op(Command {
                key: words[1].clone(),
                id: RequestId::read(&words[2]).ok_or("no id")?,
                write: name == b"CACHE.SET",
                facts: String::from_utf8_lossy(&words[3]).into_owned(),
            }),
            b"PING" => Asked::Plain(Bytes::from_static(b"+PONG\r\n")),
            b"CLIENT" | b"SELECT" => Asked::Plain(Bytes::from_static(b"+OK\r\n")),
            b"INFO" => Asked::Plain(resp::encode_bulk(self.load().as_bytes())),
            _ => return Err("no command of ours".to_owned()),
        };
        Ok(Some((asked, used)))
    }

    /// One push, from its last byte to what is said on it.
    async fn op(self: &Rc<Host>, balancer: usize, asked: Command, began: Micros, open_cost: Micros) -> Says {
        let shared = self.shared.clone();
        let (ledger, no, id) = (&shared.ledger, self.terms.no, asked.id);
        let now = self.now();
        let began = if began == 0 { now } else { began };
        ledger.note(Observation::AttemptReceived { id, host: no, balancer, began });
        let part = |kind: FaultKind| shared.faults.part(now, kind, no, balancer);
        let turned = || {
            ledger.note(Observation::AttemptRejected { id, host: no });
            self.says(None, "-BUSY")
        };
        if shared.chance(part(FaultKind::Busy)) {
            return Says::Text(turned());
        }
        let wait = fact(&asked.facts, "d").and_then(|wait| wait.parse::<f64>().ok()).unwrap_or(0.0);
        let until = now + millis(wait.clamp(0.0, 3.6e6));
        let category = fact(&asked.facts, "c").and_then(|name| shared.work.category(name));
        let need = shared.work.draw(&mut *shared.rng.borrow_mut(), category, no == HostNo::ORIGIN);
        // A miss is found out at once; only what is there, or is written, is worked on for long.
        let there = asked.write
            || no == HostNo::ORIGIN
            || self.store.borrow().has(&asked.key, no, self.shared.last_written(&asked.key));
        let work = if there || shared.mode == CacheMode::Through { need } else { need / 4 };
        match self.worked(work + open_cost, until).await {
            Worked::Ran => {}
            Worked::Never => return Says::Text(turned()),
            Worked::Died => return Says::Reset,
        }
        if !there {
            if shared.mode == CacheMode::Aside {
                ledger.note(Observation::KeyMissing { id, host: no });
                let mut missed = shared.missed.borrow_mut();
                missed.entry(id).or_default().push((self.clone(), asked.key.clone()));
                drop(missed);
                self.tell_origin_of_miss();
                return Says::Text(self.says(None, ""));
            }
            match self.through(&asked, need, until).await {
                Worked::Ran => self.keep(asked.key.clone()),
                Worked::Never => return Says::Text(turned()),
                Worked::Died => return Says::Text(Bytes::from_static(b"-ERR failed\r\n")),
            }
        } else if asked.write && no != HostNo::ORIGIN && shared.mode == CacheMode::Through {
            match self.through(&asked, need, until).await {
                Worked::Ran => {}
                Worked::Never => return Says::Text(turned()),
                Worked::Died => return Says::Text(Bytes::from_static(b"-ERR failed\r\n")),
            }
        }
        self.ran(&asked, category);
        if shared.chance(part(FaultKind::Error)) {
            return Says::Text(self.says(None, "-ERR failed"));
        }
        if shared.chance(part(FaultKind::Lost)) {
            return Says::Mute;
        }
        if shared.chance(part(FaultKind::Reset)) {
            return Says::Reset;
        }
        if shared.chance(part(FaultKind::Spoil)) {
            let noise: [u8; 24] = shared.rng.borrow_mut().random();
            return Says::Last(Bytes::copy_from_slice(&noise));
        }
        Says::Text(self.says(Some(self.value(&asked)), ""))
    }

    /// The origin's part of a read or write that a host passes on itself.
    async fn through(&self, asked: &Command, need: Micros, until: Micros) -> Worked {
        self.tell_origin_of_miss();
        let origin = self.shared.origin.borrow().clone();
        match origin {
            Some(origin) if !origin.is_down() => {
                let category = fact(&asked.facts, "c").and_then(|name| self.shared.work.category(name));
                let need =
                    self.shared.work.draw(&mut *self.shared.rng.borrow_mut(), category, true).max(need);
                origin.worked(need, until).await
            }
            _ => Worked::Died,
        }
    }

    fn tell_origin_of_miss(&self) {
        let now = self.now();
        let cold = self.machine.borrow().cold(now);
        if let Some(origin) = &*self.shared.origin.borrow() {
            let mut misses = origin.misses.borrow_mut();
            misses.push_back((now, cold));
            while misses.front().is_some_and(|miss| miss.0 < now - 10 * SECOND) {
                misses.pop_front();
            }
        }
    }

    fn keep(&self, key: Bytes) {
        self.store.borrow_mut().put(key, self.shared.last_write.get());
    }

    /// It ran: what that does to stores and marks.
    fn ran(&self, asked: &Command, category: Option<usize>) {
        let shared = &self.shared;
        let now = self.now();
        let mut effect = asked.write;
        if asked.write {
            let terms = category.map(|category| shared.work.terms(category));
            if let (Some(mark), Some(terms)) = (fact(&asked.facts, "k"), terms) {
                if terms.retry_safety == RetrySafety::Deduplicated {
                    let group = match terms.deduplication_scope {
                        DeduplicationScope::All => 0,
                        DeduplicationScope::Zone => 1 + self.terms.zone,
                        DeduplicationScope::Cell => 1_000_000 + self.terms.no.0,
                    };
                    let mut marks = shared.marks.borrow_mut();
                    let first = *marks.entry((Bytes::copy_from_slice(mark.as_bytes()), group)).or_insert(now);
                    effect = first == now || now - first > millis(terms.window_ms);
                }
            }
            shared.written(&asked.key);
        } else if self.terms.no == HostNo::ORIGIN {
            for (host, key) in shared.missed.borrow_mut().remove(&asked.id).unwrap_or_default() {
                host.keep(key);
            }
        }
        shared.ledger.note(Observation::Executed { id: asked.id, host: self.terms.no, effect });
    }

    /// The value made for this op: it begins with the op's id.
    fn value(&self, asked: &Command) -> Vec<u8> {
        let mut value = format!("{}:{}:", asked.id, self.terms.name).into_bytes();
        let size = fact(&asked.facts, "size").and_then(|size| size.parse::<usize>().ok()).unwrap_or(0);
        value.resize(value.len().max(size.min(resp::MAX_BUFFERED_VALUE)), b'.');
        value
    }

    /// An answer in this machine's protocol.
    fn says(&self, value: Option<Vec<u8>>, line: &str) -> Bytes {
        match (self.terms.no == HostNo::ORIGIN, line) {
            (true, "") => http::encode_response(200, &[], &value.unwrap_or_default()),
            (true, "-BUSY") => http::encode_response(503, &[("X-Unprocessed", "1")], b""),
            (true, _) => http::encode_response(500, &[], b""),
            (false, "") => {
                let report = (self.terms.report_every > 0).then(|| self.load());
                resp::encode_reply(value.as_deref(), report.as_deref())
            }
            (false, line) => Bytes::from(format!("{line}\r\n")),
        }
    }

    /// Its load as it was when it last looked.
    fn load(&self) -> String {
        let now = self.now();
        let mut report = self.report.borrow_mut();
        if report.1.is_empty() || now - report.0 >= self.terms.report_every.max(MS) {
            let machine = self.machine.borrow();
            *report =
                (now, format!("inflight={},util={:.2}", machine.held(), machine.pressure(now).min(1.0)));
        }
        report.1.clone()
    }
}

enum Asked {
    Plain(Bytes),
    Op(Command),
}

struct Command {
    id: RequestId,
    key: Bytes,
    write: bool,
    facts: String,
}

enum Worked {
    Ran,
    /// Turned away, or its time was over before it began.
    Never,
    /// The machine went down over it.
    Died,
}

async fn changed(fate: &mut watch::Receiver<Fate>) -> Fate {
    match fate.changed().await {
        Ok(()) => *fate.borrow_and_update(),
        Err(_) => Fate::Reset,
    }
}
