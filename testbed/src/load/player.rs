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

use super::plan::{Plan, PlannedRequest};
use crate::experiment::{ClientRetry, DeduplicationScope, Experiment, RetrySafety};
use crate::lateness::Lateness;
use crate::ledger::{Ledger, Observation, Reply as AuditedReply, RequestId};
use crate::thread_stats::{record_lateness, thread_cpu_seconds};
use crate::time::{millis, seconds, to_duration, Micros, MS};

/// How long after its time an answer is still awaited, so that one that is late is seen as late.
const PATIENCE: Micros = 400 * MS;
const CONNECT: Duration = Duration::from_millis(500);
const PROBE: Duration = Duration::from_millis(250);

/// How an op ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    Served,
    /// With a value made for another op.
    WrongValue,
    Rejected,
    Failed,
    /// The balancer ended the connection, and the client did not try again, or in vain.
    ConnectionLost,
    TimedOut,
    /// The client went away.
    Abandoned,
    /// No balancer could be reached in time.
    Unreachable,
}

/// One op, from when it was due.
#[derive(Clone, Copy, Debug)]
pub struct RequestRecord {
    /// When it was due; its latency counts from here.
    pub due_at: Micros,
    /// When its first attempt was written, or was kept from that only by the balancer.
    pub sent_at: Micros,
    /// When its outcome was known.
    pub ended_at: Micros,
    pub category: u16,
    pub customer: Option<u16>,
    pub outcome: RequestOutcome,
    pub attempts: u32,
    /// Attempts that the balancer rejected.
    pub rejections: u32,
    /// Attempts whose connection the balancer ended.
    pub connections_lost: u32,
}

impl RequestRecord {
    pub fn latency(&self) -> Micros {
        self.ended_at - self.due_at
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
pub struct LoadResult {
    pub records: Vec<RequestRecord>,
    pub cpu_s: f64,
}

/// Seen by others while it goes on.
#[derive(Debug, Default)]
pub struct Progress {
    pub sent: AtomicI64,
    pub served: AtomicI64,
    pub ended: AtomicI64,
    pub latency_sum_us: AtomicI64,
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
) -> Result<LoadResult, String> {
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
        records: RefCell::new(Vec::with_capacity(plan.requests.len())),
        progress,
    });
    let before = thread_cpu_seconds();
    local.block_on(&runtime, async {
        spawn_local(record_lateness(late));
        for target in &player.targets {
            spawn_local(player.clone().probe(target.clone()));
        }
        if experiment.load.closed_loop {
            player.clone().closed().await;
        } else {
            player.clone().open(stalls).await;
        }
    });
    let cpu_s = thread_cpu_seconds() - before;
    let records = std::mem::take(&mut *player.records.borrow_mut());
    Ok(LoadResult { records, cpu_s })
}

struct Player {
    experiment: Experiment,
    plan: Arc<Plan>,
    ledger: Ledger,
    targets: Vec<Rc<Target>>,
    rng: RefCell<ChaCha8Rng>,
    records: RefCell<Vec<RequestRecord>>,
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
            while let Some(op) = plan.requests.get(next) {
                let now = clock.now();
                if op.at > now {
                    thread::sleep(to_duration(op.at - now));
                    continue;
                }
                let behind = plan.requests[next..].iter().take_while(|op| op.at <= now).count();
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
                sleep_until(clock.tokio_instant(stall.from)).await;
                // The whole thread, as a machine that stalls would have it.
                thread::sleep(to_duration(stall.to - stall.from));
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
                            thread::sleep(to_duration(cost(self.ledger.clock.now())));
                        }
                        ops.spawn_local(self.clone().op(self.plan.requests[nth]));
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
                while let Some(&op) = player.plan.requests.get(next.get()) {
                    next.set(next.get() + 1);
                    sleep_until(player.ledger.clock.tokio_instant(op.at)).await;
                    let now = player.ledger.clock.now();
                    if now > player.experiment.length() {
                        break;
                    }
                    player.clone().op(PlannedRequest { at: now, ..op }).await;
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
    async fn op(self: Rc<Player>, planned: PlannedRequest) {
        let clock = &self.ledger.clock;
        let category = &self.experiment.categories[usize::from(planned.category)];
        let deadline = planned.at + category.ttl();
        let (mark, gives_up) = {
            let mut rng = self.rng.borrow_mut();
            let gives_up = self.experiment.load.give_up.filter(|terms| rng.random::<f64>() < terms.part);
            (rng.random::<u64>(), gives_up.map(|terms| millis(terms.after_ms)))
        };
        let left = Rc::new(Cell::new(-1));
        self.progress.sent.fetch_add(1, Ordering::Relaxed);
        let mut record = RequestRecord {
            due_at: planned.at,
            sent_at: 0,
            ended_at: 0,
            category: planned.category,
            customer: planned.customer,
            outcome: RequestOutcome::Unreachable,
            attempts: 0,
            rejections: 0,
            connections_lost: 0,
        };
        loop {
            let (end, come_back) =
                self.try_once(&planned, deadline, mark, gives_up, &left, record.attempts > 0).await;
            record.outcome = end;
            record.attempts += 1;
            record.rejections += u32::from(end == RequestOutcome::Rejected);
            record.connections_lost += u32::from(end == RequestOutcome::ConnectionLost);
            let harmless = match (end, category.retry_safety) {
                (
                    RequestOutcome::Served
                    | RequestOutcome::Abandoned
                    | RequestOutcome::WrongValue
                    | RequestOutcome::TimedOut,
                    _,
                ) => false,
                (RequestOutcome::Rejected | RequestOutcome::Unreachable, _) => true,
                (_, RetrySafety::Idempotent) => true,
                (_, RetrySafety::Deduplicated) => {
                    category.deduplication_scope == DeduplicationScope::All
                        && clock.now() - planned.at < millis(category.window_ms) - 100 * MS
                }
                (_, RetrySafety::AtMostOnce) => false,
            };
            let pause = harmless.then(|| self.pause(record.attempts, end, come_back)).flatten();
            match pause.filter(|pause| clock.now() + pause + MS < deadline) {
                Some(pause) => sleep(to_duration(pause)).await,
                None => break,
            }
        }
        record.ended_at = clock.now();
        record.sent_at = if left.get() < 0 { record.ended_at } else { left.get() };
        self.progress.ended.fetch_add(1, Ordering::Relaxed);
        if record.outcome == RequestOutcome::Served {
            self.progress.served.fetch_add(1, Ordering::Relaxed);
            self.progress.latency_sum_us.fetch_add(record.latency(), Ordering::Relaxed);
        }
        self.records.borrow_mut().push(record);
    }

    /// After which pause the client asks again by itself, if at all.
    fn pause(&self, tries: u32, end: RequestOutcome, come_back: Option<u64>) -> Option<Micros> {
        let told = come_back.map_or(0, |ms| ms.min(600_000) as Micros * MS);
        let pause = match self.experiment.load.retry {
            // A connection that was never there is tried once more elsewhere, as any client would.
            ClientRetry::None if end == RequestOutcome::Unreachable => (tries < 3).then_some(10 * MS),
            ClientRetry::None => None,
            ClientRetry::AtOnce { times } => (tries <= times).then_some(0),
            ClientRetry::After { times, pause_ms } => (tries <= times).then(|| millis(pause_ms).max(told)),
            ClientRetry::BackOff { times, pause_ms } => (tries <= times).then(|| {
                let most = millis(pause_ms) << (tries - 1).min(16);
                most / 2 + self.rng.borrow_mut().random_range(0..=most / 2).max(told - most / 2)
            }),
        };
        pause
    }

    async fn try_once(
        &self,
        planned: &PlannedRequest,
        deadline: Micros,
        mark: u64,
        gives_up: Option<Micros>,
        left: &Rc<Cell<Micros>>,
        again: bool,
    ) -> (RequestOutcome, Option<u64>) {
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
                return (RequestOutcome::Unreachable, None);
            }
        };
        let now = clock.now();
        if now + MS > deadline {
            return (RequestOutcome::Unreachable, None);
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
        let reply = match timeout_at(clock.tokio_instant(patience), told).await {
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
                return (
                    if patience < until { RequestOutcome::Abandoned } else { RequestOutcome::TimedOut },
                    None,
                );
            }
        };
        let (end, answer, come_back) = match reply {
            Reply::Served { own } => (
                if own { RequestOutcome::Served } else { RequestOutcome::WrongValue },
                Some(AuditedReply::Served { own }),
                None,
            ),
            Reply::Busy(ms) => (RequestOutcome::Rejected, Some(AuditedReply::Busy), ms),
            Reply::Failed => (RequestOutcome::Failed, Some(AuditedReply::Failed), None),
            Reply::Cut => (RequestOutcome::ConnectionLost, None, None),
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

    fn command(
        &self,
        planned: &PlannedRequest,
        id: RequestId,
        wait: Micros,
        mark: u64,
        again: bool,
    ) -> Bytes {
        let category = &self.experiment.categories[usize::from(planned.category)];
        let key = &self.plan.keys[planned.key as usize];
        let customer = planned.customer.and_then(|nth| self.experiment.customers.get(usize::from(nth)));
        let customer = customer.map_or(String::new(), |customer| format!(",t={}", customer.name));
        let marked = if category.retry_safety == RetrySafety::Deduplicated {
            format!(",k={mark:016x}")
        } else {
            String::new()
        };
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
                let freed =
                    timeout_at(self.ledger.clock.tokio_instant(deadline), target.freed.notified()).await;
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
