//! Plays a plan against balancers: on one thread, with a second that only looks at the clock. What an op's answer takes
//! has no bearing on when the next one leaves.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use basaltwood_wire::buffer::Buffer;
use basaltwood_wire::resp;
use bytes::{BufMut, Bytes, BytesMut};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::{spawn_local, JoinSet};
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

use super::plan::{Plan, Planned};
use crate::lateness::Lateness;
use crate::ledger::{Ledger, Observation, Reply as AuditedReply, RequestId};
use crate::script::{Experiment, Group, Repeats, Retry};
use crate::time::{millis, seconds, span, Micros, MS};

/// How long after its time an answer is still awaited, so that one that is late is seen as late.
const PATIENCE: Micros = 400 * MS;
const CONNECT: Duration = Duration::from_millis(500);
const PROBE: Duration = Duration::from_millis(250);

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    /// With a value made for another op.
    Foreign,
    Nacked,
    Failed,
    /// The balancer ended the connection, and the client did not try again, or in vain.
    Lost,
    Unanswered,
    /// The client went away.
    Left,
    /// No balancer could be reached in time.
    Unreached,
}

/// One op, from when it was due.
#[derive(Clone, Copy, Debug)]
pub struct Record {
    pub due: Micros,
    /// When it left.
    pub left: Micros,
    pub ended: Micros,
    pub category: u16,
    pub customer: Option<u16>,
    pub end: End,
    pub tries: u32,
    pub nacks: u32,
    /// Tries whose connection the balancer ended.
    pub cut: u32,
}

impl Record {
    pub fn took(&self) -> Micros {
        self.ended - self.due
    }
}

/// A lateness that is planted in the generator, to show that it is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stall {
    pub from: Micros,
    pub to: Micros,
    /// What each op costs its thread; it stands still all the while where nothing is said.
    pub each: Option<Micros>,
}

/// What was played.
#[derive(Debug, Default)]
pub struct Played {
    pub records: Vec<Record>,
    pub cpu_s: f64,
}

/// Seen by others while it goes on.
#[derive(Debug, Default)]
pub struct Progress {
    pub left: AtomicI64,
    pub served: AtomicI64,
    pub ended: AtomicI64,
    pub took_sum: AtomicI64,
}

/// Plays it all and returns when the last op has its end. Blocks: it is a thread's whole work. `stalls` are planted
/// in it; `late` tells how late this thread was.
#[allow(clippy::too_many_arguments)] // each is a part of the run that others share
pub fn play(
    experiment: &Experiment,
    plan: Arc<Plan>,
    seed: u64,
    balancers: &[SocketAddr],
    ledger: &Ledger,
    stalls: Vec<Stall>,
    progress: Arc<Progress>,
    late: Arc<Lateness>,
) -> Result<Played, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|cause| format!("the runtime: {cause}"))?;
    let local = tokio::task::LocalSet::new();
    let targets = balancers.iter().map(|&address| Rc::new(Target::new(address))).collect();
    let player = Rc::new(Player {
        experiment: experiment.clone(),
        plan: plan.clone(),
        ledger: ledger.clone(),
        targets,
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(seed ^ 0x636c_6965)),
        records: RefCell::new(Vec::with_capacity(plan.ops.len())),
        progress,
    });
    let before = thread_cpu();
    local.block_on(&runtime, async {
        spawn_local(crate::world::beat(late));
        for target in &player.targets {
            spawn_local(player.clone().probe(target.clone()));
        }
        if experiment.load.closed_loop {
            player.clone().closed().await;
        } else {
            player.clone().open(stalls).await;
        }
    });
    let cpu_s = thread_cpu() - before;
    let records = std::mem::take(&mut *player.records.borrow_mut());
    Ok(Played { records, cpu_s })
}

/// The CPU time of this thread, in seconds.
pub fn thread_cpu() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|time| time.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

struct Player {
    experiment: Experiment,
    plan: Arc<Plan>,
    ledger: Ledger,
    targets: Vec<Rc<Target>>,
    rng: RefCell<ChaCha8Rng>,
    records: RefCell<Vec<Record>>,
    progress: Arc<Progress>,
}

/// A balancer as its clients' front sees it.
struct Target {
    address: SocketAddr,
    links: RefCell<Vec<Rc<Link>>>,
    /// Since when it could not be reached.
    failing: Cell<Option<Micros>>,
    /// Connections being opened.
    opening: Cell<usize>,
    freed: Notify,
}

impl Target {
    fn new(address: SocketAddr) -> Target {
        Target {
            address,
            links: RefCell::default(),
            failing: Cell::new(None),
            opening: Cell::new(0),
            freed: Notify::new(),
        }
    }
}

/// One connection of a client.
struct Link {
    out: RefCell<BytesMut>,
    /// Commands that stand in `out`, to be noted as asked once they are written.
    unsent: RefCell<Vec<(Observation, Rc<Cell<Micros>>)>>,
    waiting: RefCell<VecDeque<(RequestId, oneshot::Sender<Reply>)>>,
    kick: Notify,
    closed: Cell<bool>,
}

enum Reply {
    Served { own: bool },
    Busy(Option<u64>),
    Failed,
    Cut,
}

impl Player {
    /// Each op leaves when it is due, whatever became of those before.
    async fn open(self: Rc<Player>, stalls: Vec<Stall>) {
        let (tell, mut due) = mpsc::unbounded_channel::<std::ops::Range<usize>>();
        let (plan, clock) = (self.plan.clone(), self.ledger.clock.clone());
        let stopped = thread::spawn(move || {
            let mut next = 0;
            while let Some(op) = plan.ops.get(next) {
                let now = clock.now();
                if op.at > now {
                    thread::sleep(span(op.at - now));
                    continue;
                }
                let behind = plan.ops[next..].iter().take_while(|op| op.at <= now).count();
                if tell.send(next..next + behind).is_err() {
                    return;
                }
                next += behind;
            }
        });
        let (each, whole): (Vec<Stall>, Vec<Stall>) =
            stalls.into_iter().partition(|stall| stall.each.is_some());
        for stall in whole {
            let clock = self.ledger.clock.clone();
            spawn_local(async move {
                sleep_until(clock.at(stall.from)).await;
                // The whole thread, as a machine that stalls would have it.
                thread::sleep(span(stall.to - stall.from));
            });
        }
        let cost = |now: Micros| {
            let on = each.iter().filter(|stall| (stall.from..stall.to).contains(&now));
            on.filter_map(|stall| stall.each).sum::<Micros>()
        };
        let mut ops = JoinSet::new();
        loop {
            tokio::select! {
                batch = due.recv() => {
                    let Some(batch) = batch else { break };
                    for nth in batch {
                        if !each.is_empty() {
                            thread::sleep(span(cost(self.ledger.clock.now())));
                        }
                        ops.spawn_local(self.clone().op(self.plan.ops[nth]));
                    }
                }
                Some(_) = ops.join_next(), if !ops.is_empty() => {}
            }
        }
        while ops.join_next().await.is_some() {}
        let _ = stopped.join();
    }

    /// How not to do it: so many clients, each asks again once it has its answer, and time counts from then.
    async fn closed(self: Rc<Player>) {
        let next = Rc::new(Cell::new(0));
        let mut clients = JoinSet::new();
        for _ in 0..self.experiment.load.connections {
            let (player, next) = (self.clone(), next.clone());
            clients.spawn_local(async move {
                while let Some(&op) = player.plan.ops.get(next.get()) {
                    next.set(next.get() + 1);
                    sleep_until(player.ledger.clock.at(op.at)).await;
                    let now = player.ledger.clock.now();
                    if now > player.experiment.length() {
                        break;
                    }
                    player.clone().op(Planned { at: now, ..op }).await;
                }
            });
        }
        while clients.join_next().await.is_some() {}
    }

    /// A front looks after balancers that it could not reach.
    async fn probe(self: Rc<Player>, target: Rc<Target>) {
        loop {
            sleep(PROBE).await;
            if target.failing.get().is_some() {
                if let Ok(Ok(_)) = timeout(CONNECT, TcpStream::connect(target.address)).await {
                    target.failing.set(None);
                }
            }
        }
    }

    /// The front deals ops out evenly by chance; one that has failed is left out only after a while.
    fn target(&self) -> Rc<Target> {
        let now = self.ledger.clock.now();
        let notice = seconds(self.experiment.load.notice_s);
        let there = |target: &&Rc<Target>| target.failing.get().is_none_or(|since| now - since < notice);
        let alive: Vec<&Rc<Target>> = self.targets.iter().filter(there).collect();
        let among = if alive.is_empty() { self.targets.iter().collect() } else { alive };
        among[self.rng.borrow_mut().random_range(0..among.len())].clone()
    }

    /// One op, from when it is due to its end, with what its client does by itself.
    async fn op(self: Rc<Player>, planned: Planned) {
        let clock = &self.ledger.clock;
        let category = &self.experiment.categories[usize::from(planned.category)];
        let deadline = planned.at + category.ttl();
        let (mark, gives_up) = {
            let mut rng = self.rng.borrow_mut();
            let gives_up = self.experiment.load.give_up.filter(|terms| rng.random::<f64>() < terms.part);
            (rng.random::<u64>(), gives_up.map(|terms| millis(terms.after_ms)))
        };
        let left = Rc::new(Cell::new(-1));
        self.progress.left.fetch_add(1, Ordering::Relaxed);
        let mut record = Record {
            due: planned.at,
            left: 0,
            ended: 0,
            category: planned.category,
            customer: planned.customer,
            end: End::Unreached,
            tries: 0,
            nacks: 0,
            cut: 0,
        };
        loop {
            let (end, come_back) =
                self.try_once(&planned, deadline, mark, gives_up, &left, record.tries > 0).await;
            record.end = end;
            record.tries += 1;
            record.nacks += u32::from(end == End::Nacked);
            record.cut += u32::from(end == End::Lost);
            let harmless = match (end, category.repeats) {
                (End::Served | End::Left | End::Foreign | End::Unanswered, _) => false,
                (End::Nacked | End::Unreached, _) => true,
                (_, Repeats::Redeliverable) => true,
                (_, Repeats::Deduplicated) => {
                    category.group == Group::All
                        && clock.now() - planned.at < millis(category.window_ms) - 100 * MS
                }
                (_, Repeats::AtMostOnce) => false,
            };
            let pause = harmless.then(|| self.pause(record.tries, end, come_back)).flatten();
            match pause.filter(|pause| clock.now() + pause + MS < deadline) {
                Some(pause) => sleep(span(pause)).await,
                None => break,
            }
        }
        record.ended = clock.now();
        record.left = if left.get() < 0 { record.ended } else { left.get() };
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
        if record.end == End::Served {
            self.progress.served.fetch_add(1, Ordering::Relaxed);
            self.progress.took_sum.fetch_add(record.took(), Ordering::Relaxed);
        }
        self.records.borrow_mut().push(record);
    }

    /// After which pause the client asks again by itself, if at all.
    fn pause(&self, tries: u32, end: End, come_back: Option<u64>) -> Option<Micros> {
        let told = come_back.map_or(0, |ms| ms.min(600_000) as Micros * MS);
        let pause = match self.experiment.load.retry {
            // A connection that was never there is tried once more elsewhere, as any client would.
            Retry::None if end == End::Unreached => (tries < 3).then_some(10 * MS),
            Retry::None => None,
            Retry::AtOnce { times } => (tries <= times).then_some(0),
            Retry::After { times, pause_ms } => (tries <= times).then(|| millis(pause_ms).max(told)),
            Retry::BackOff { times, pause_ms } => (tries <= times).then(|| {
                let most = millis(pause_ms) << (tries - 1).min(16);
                most / 2 + self.rng.borrow_mut().random_range(0..=most / 2).max(told - most / 2)
            }),
        };
        pause
    }

    async fn try_once(
        &self,
        planned: &Planned,
        deadline: Micros,
        mark: u64,
        gives_up: Option<Micros>,
        left: &Rc<Cell<Micros>>,
        again: bool,
    ) -> (End, Option<u64>) {
        let clock = &self.ledger.clock;
        let nth = self.target();
        let balancer = self.targets.iter().position(|target| Rc::ptr_eq(target, &nth)).unwrap_or(0);
        let target = nth;
        let link = match self.link(&target, deadline, left).await {
            Some(link) => link,
            None => {
                if target.failing.get().is_none() {
                    target.failing.set(Some(clock.now()));
                }
                return (End::Unreached, None);
            }
        };
        let now = clock.now();
        if now + MS > deadline {
            return (End::Unreached, None);
        }
        let id = RequestId(self.rng.borrow_mut().random());
        // Whole milliseconds, rounded down: the balancer is not to think that it has longer than the client waits.
        let wait = (deadline - now) / MS;
        let until = now + wait * MS;
        let text = self.command(planned, id, wait, mark, again);
        let (tell, told) = oneshot::channel();
        link.out.borrow_mut().put_slice(&text);
        let asked = Observation::RequestSent { id, balancer, category: usize::from(planned.category), until };
        link.unsent.borrow_mut().push((asked, left.clone()));
        link.waiting.borrow_mut().push_back((id, tell));
        link.kick.notify_one();
        let patience = gives_up.map_or(until + PATIENCE, |after| (now + after).min(until + PATIENCE));
        let reply = match timeout_at(clock.at(patience), told).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(_)) => Reply::Cut,
            Err(_) => {
                // The client goes away: its connection ends.
                let gone = if patience < until {
                    Observation::ClientLeft { id }
                } else {
                    Observation::Unanswered { id }
                };
                self.ledger.note(gone);
                link.closed.set(true);
                link.kick.notify_one();
                return (if patience < until { End::Left } else { End::Unanswered }, None);
            }
        };
        let (end, answer, come_back) = match reply {
            Reply::Served { own } => {
                (if own { End::Served } else { End::Foreign }, Some(AuditedReply::Served { own }), None)
            }
            Reply::Busy(ms) => (End::Nacked, Some(AuditedReply::Busy), ms),
            Reply::Failed => (End::Failed, Some(AuditedReply::Failed), None),
            Reply::Cut => (End::Lost, None, None),
        };
        self.ledger.note(answer.map_or(Observation::ConnectionClosed { id }, |answer| {
            Observation::ReplyReceived { id, answer }
        }));
        if answer.is_some() && self.rng.borrow_mut().random::<f64>() < self.experiment.load.close {
            link.closed.set(true);
            link.kick.notify_one();
        }
        target.freed.notify_one();
        (end, come_back)
    }

    fn command(&self, planned: &Planned, id: RequestId, wait: Micros, mark: u64, again: bool) -> Bytes {
        let category = &self.experiment.categories[usize::from(planned.category)];
        let key = &self.plan.keys[planned.key as usize];
        let customer = planned.customer.and_then(|nth| self.experiment.customers.get(usize::from(nth)));
        let customer = customer.map_or(String::new(), |customer| format!(",t={}", customer.name));
        let marked =
            if category.repeats == Repeats::Deduplicated { format!(",k={mark:016x}") } else { String::new() };
        let again = if again { ",r=1" } else { "" };
        let facts = format!("c={}{customer},d={wait}{marked}{again},size={}", category.name, planned.size);
        let id = id.to_string();
        if category.write {
            let value = vec![b'v'; planned.size as usize];
            resp::encode_command(&[b"CACHE.SET", key.as_bytes(), id.as_bytes(), facts.as_bytes(), &value])
        } else {
            resp::encode_command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), facts.as_bytes()])
        }
    }

    /// A connection that has room, or a new one; where there may be no more, the first that comes free.
    /// An op that has to wait for one has left all the same: that is not the generator's lateness.
    async fn link(&self, target: &Rc<Target>, deadline: Micros, left: &Cell<Micros>) -> Option<Rc<Link>> {
        let load = &self.experiment.load;
        loop {
            {
                let mut links = target.links.borrow_mut();
                links.retain(|link| !link.closed.get());
                // The one used last first, so that those not needed grow old.
                let free = links.iter().rev().find(|link| link.waiting.borrow().len() < load.pipeline);
                if let Some(free) = free {
                    return Some(free.clone());
                }
            }
            if left.get() < 0 {
                left.set(self.ledger.clock.now());
            }
            if target.links.borrow().len() + target.opening.get() >= load.connections {
                let freed = timeout_at(self.ledger.clock.at(deadline), target.freed.notified()).await;
                freed.ok()?;
                continue;
            }
            target.opening.set(target.opening.get() + 1);
            let opened = timeout(CONNECT, TcpStream::connect(target.address)).await;
            target.opening.set(target.opening.get() - 1);
            let stream = opened.ok()?.ok()?;
            target.failing.set(None);
            let _ = stream.set_nodelay(true);
            let link = Rc::new(Link {
                out: RefCell::default(),
                unsent: RefCell::default(),
                waiting: RefCell::default(),
                kick: Notify::new(),
                closed: Cell::new(false),
            });
            target.links.borrow_mut().push(link.clone());
            let balancer = self.targets.iter().position(|other| Rc::ptr_eq(other, target)).unwrap_or(0);
            spawn_local(talk(link.clone(), stream, balancer, self.ledger.clone(), target.clone()));
            return Some(link);
        }
    }
}

/// One connection until either side ends it.
async fn talk(link: Rc<Link>, mut stream: TcpStream, balancer: usize, ledger: Ledger, target: Rc<Target>) {
    let mut buffer = Buffer::new(resp::MAX_BUFFERED_MESSAGE + 16 * 1024);
    let (mut reading, mut writing) = stream.split();
    'open: while !link.closed.get() {
        let out = link.out.borrow_mut().split().freeze();
        if !out.is_empty() {
            let left = ledger.clock.now();
            let unsent = link.unsent.take();
            unsent.iter().filter(|(_, at)| at.get() < 0).for_each(|(_, at)| at.set(left));
            if writing.write_all(&out).await.is_err() {
                break;
            }
            unsent.into_iter().for_each(|(asked, _)| ledger.note(asked));
            continue;
        }
        let Ok(room) = buffer.unfilled() else { break };
        tokio::select! {
            biased;
            read = reading.read_buf(room) => if !matches!(read, Ok(1..)) { break },
            () = link.kick.notified() => continue,
        }
        loop {
            let (reply, used, own) = match resp::parse_balancer_reply(buffer.bytes()) {
                Ok(Some((resp::BalancerReply::Value(place), used))) => {
                    let id = buffer.bytes().get(place).and_then(|value| RequestId::read(value.get(..16)?));
                    (Reply::Served { own: true }, used, id)
                }
                Ok(Some((resp::BalancerReply::Busy(ms), used))) => (Reply::Busy(ms), used, None),
                Ok(Some((resp::BalancerReply::Failed, used))) => (Reply::Failed, used, None),
                Ok(None) => break,
                Err(_) => break 'open,
            };
            buffer.consume(used);
            match link.waiting.borrow_mut().pop_front() {
                Some((id, tell)) => {
                    let reply = match reply {
                        Reply::Served { .. } => Reply::Served { own: own == Some(id) },
                        other => other,
                    };
                    // One that has gone away in this moment needs none.
                    let _ = tell.send(reply);
                }
                None => ledger.note(Observation::UnsolicitedReply { balancer }),
            }
        }
    }
    link.closed.set(true);
    // All that waits here learns that the connection is over.
    link.waiting.borrow_mut().clear();
    target.freed.notify_one();
}
