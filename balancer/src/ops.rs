//! One op from its arrival to its final answer: carries out what the facade decides, and reports.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use basaltwood::facade::{Ask, Decision, Facade};
use basaltwood::types::*;
use basaltwood_terms::Words;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::sync::{oneshot, Notify};
use tokio::task::{AbortHandle, JoinSet};

use crate::budget::{Budget, Held};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::origin;
use crate::resp;
use crate::servers::{Outcome, Servers};

/// Longer waits than this are cut to it.
const LONGEST: Micros = 3_600_000_000;

/// A final answer as it goes to the client, and the memory that it takes until it is sent.
pub type Text = (Bytes, Held);

/// What a client asked, in its own bytes.
pub struct Request {
    pub command: Bytes,
    pub key: Bytes,
    pub id: Bytes,
    facts: Bytes,
    pub value: Option<Bytes>,
}

impl Request {
    /// The names and values as they came, but for how long this push may wait.
    pub fn facts(&self, within: Micros) -> Bytes {
        let mut out = BytesMut::with_capacity(self.facts.len() + 8);
        for (nth, fact) in self.facts.split(|&byte| byte == b',').enumerate() {
            out.put_slice(if nth > 0 { b"," } else { b"" });
            if fact.starts_with(b"d=") {
                out.put_slice(format!("d={}", (within / 1000).max(1)).as_bytes());
            } else {
                out.put_slice(fact);
            }
        }
        out.freeze()
    }
}

/// All that serving an op takes, shared by every connection.
pub struct Desk {
    pub facade: RefCell<Facade>,
    pub words: RefCell<Words>,
    pub servers: Servers,
    pub clock: Rc<Clock>,
    pub counters: Rc<Counters>,
    pub budget: Rc<Budget>,
    bells: RefCell<BTreeMap<OpId, Rc<Notify>>>,
    most_held: usize,
}

impl Desk {
    pub fn new(
        terms: &Terms,
        words: Words,
        most_held: usize,
        servers: Servers,
        clock: Rc<Clock>,
        counters: Rc<Counters>,
        budget: Rc<Budget>,
    ) -> Desk {
        Desk {
            facade: RefCell::new(Facade::new(terms)),
            words: RefCell::new(words),
            servers,
            clock,
            counters,
            budget,
            bells: RefCell::default(),
            most_held,
        }
    }

    /// Rings for ops that something was decided for while another was asked about.
    pub fn ring(&self) {
        for op in self.facade.borrow_mut().rung() {
            if let Some(bell) = self.bells.borrow().get(&op) {
                bell.notify_one();
            }
        }
    }

    /// Open ops are bounded: past that they are refused, which is harmless as nothing was sent.
    pub fn full(&self) -> bool {
        self.bells.borrow().len() >= self.most_held
    }

    /// Reads a command's words into a request and what the facade is asked.
    pub fn read(&self, words: Vec<Bytes>) -> Result<(Request, Ask), String> {
        let mut words = words.into_iter();
        let (Some(command), Some(key), Some(id), Some(facts)) =
            (words.next(), words.next(), words.next(), words.next())
        else {
            return Err("a key, an id and facts are needed".to_owned());
        };
        let value = words.next();
        let write = command.eq_ignore_ascii_case(b"CACHE.SET");
        if value.is_some() != write || words.next().is_some() {
            return Err("wrong number of arguments".to_owned());
        }
        // They go on in HTTP's headers too, where an end of line would begin another header.
        let plain = |text: &Bytes| {
            std::str::from_utf8(text)
                .ok()
                .filter(|_| text.iter().all(u8::is_ascii_graphic))
                .map(str::to_owned)
        };
        if key.is_empty() || id.is_empty() || plain(&id).is_none() {
            return Err("a key and an id of plain characters are needed".to_owned());
        }
        let text = plain(&facts).ok_or("facts of plain characters are needed")?;
        let fact = |name: &str| text.split(',').find_map(|fact| fact.strip_prefix(name)?.strip_prefix('='));
        let category = fact("c").ok_or("no c: the category is missing")?;
        let wait = fact("d").and_then(|wait| wait.parse::<f64>().ok()).filter(|wait| *wait >= 0.0);
        let wait = wait.ok_or("no d: the time to wait is missing")?;
        let known = self.words.borrow();
        let ask = Ask {
            category: known.category(category)?,
            customer: fact("t").and_then(|name| known.customer(name)),
            key: Some(Place::of(&String::from_utf8_lossy(&key))),
            write,
            again: fact("r") == Some("1"),
            ttl_at: self.clock.now() + ((wait * 1000.0) as Micros).min(LONGEST),
        };
        Ok((Request { command, key, id, facts, value }, ask))
    }

    /// Serves one op. The client is gone once the other end of `answer` is dropped.
    pub async fn serve(
        self: Rc<Desk>,
        request: Request,
        ask: Ask,
        answer: oneshot::Sender<Text>,
        held: Held,
    ) {
        self.counters.ops.add();
        let request = Rc::new(request);
        let (op, mut decisions) = self.facade.borrow_mut().pick(self.clock.now(), ask);
        let bell = Rc::new(Notify::new());
        self.bells.borrow_mut().insert(op, bell.clone());
        let mut under_way = UnderWay {
            desk: self.clone(),
            request,
            held: Some(held),
            answer: Some(answer),
            tasks: JoinSet::new(),
            out: BTreeMap::new(),
            op,
            value: None,
        };
        loop {
            under_way.carry_out(decisions);
            self.ring();
            if under_way.answer.is_none() && under_way.out.is_empty() {
                break;
            }
            decisions = tokio::select! {
                biased;
                ended = under_way.tasks.join_next(), if !under_way.out.is_empty() => under_way.ended(ended),
                () = bell.notified() => self.facade.borrow_mut().mail(op),
                () = gone(&mut under_way.answer) => {
                    under_way.answer = None;
                    self.counters.dropped.add();
                    self.facade.borrow_mut().dropped(self.clock.now(), op)
                }
            };
        }
        self.bells.borrow_mut().remove(&op);
    }
}

async fn gone(answer: &mut Option<oneshot::Sender<Text>>) {
    match answer {
        Some(answer) => answer.closed().await,
        None => std::future::pending().await,
    }
}

/// An op with its pushes out.
struct UnderWay {
    desk: Rc<Desk>,
    op: OpId,
    request: Rc<Request>,
    held: Option<Held>,
    answer: Option<oneshot::Sender<Text>>,
    tasks: JoinSet<(PushNo, Outcome)>,
    out: BTreeMap<PushNo, AbortHandle>,
    value: Option<Bytes>,
}

impl UnderWay {
    fn carry_out(&mut self, decisions: Vec<Decision>) {
        let counters = self.desk.counters.clone();
        let mut decisions: std::collections::VecDeque<Decision> = decisions.into();
        while let Some(decision) = decisions.pop_front() {
            match decision {
                Decision::Push { push, host, timeout } => {
                    counters.pushes.add();
                    let (desk, request) = (self.desk.clone(), self.request.clone());
                    let task = async move {
                        let outcome = match desk.servers.origin(host) {
                            Some(address) => {
                                origin::push(&desk.servers, host, address, &request, timeout).await
                            }
                            None => desk.servers.push(host, &request, timeout).await,
                        };
                        (push, outcome)
                    };
                    self.out.insert(push, self.tasks.spawn_local(task));
                }
                Decision::CallOff(push) => {
                    if let Some(task) = self.out.remove(&push) {
                        task.abort();
                        counters.ended(End::CalledOff);
                        decisions.extend(self.report(push, End::CalledOff));
                    }
                }
                Decision::Ack(_) => {
                    counters.acked.add();
                    let value = self.value.take().unwrap_or_default();
                    self.finish(resp::value(&value));
                }
                Decision::Nack { come_back } => {
                    counters.nacked.add();
                    self.finish(match come_back {
                        Some(span) => Bytes::from(format!("-BUSY {}\r\n", span / 1000)),
                        None => Bytes::from_static(b"-BUSY\r\n"),
                    });
                }
                Decision::DeadLetter => {
                    counters.dead_lettered.add();
                    self.finish(resp::error("dead-lettered"));
                }
            }
        }
    }

    fn finish(&mut self, text: Bytes) {
        if let (Some(answer), Some(mut held)) = (self.answer.take(), self.held.take()) {
            held.set(text.len());
            // A client that has just gone needs none.
            let _ = answer.send((text, held));
        }
    }

    fn report(&self, push: PushNo, end: End) -> Vec<Decision> {
        self.desk.facade.borrow_mut().report(self.desk.clock.now(), self.op, push, end)
    }

    fn ended(&mut self, ended: Option<Result<(PushNo, Outcome), tokio::task::JoinError>>) -> Vec<Decision> {
        // One that was called off has been reported already.
        let Some(Ok((push, (end, value)))) = ended else { return Vec::new() };
        if self.out.remove(&push).is_none() {
            return Vec::new();
        }
        self.desk.counters.ended(end);
        self.value = value;
        self.report(push, end)
    }
}
