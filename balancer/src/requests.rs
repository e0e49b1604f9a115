//! One op from its arrival to its final answer: carries out what the facade decides, and reports.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::rc::Rc;

use basaltwood::router::{NewRequest, RequestAction, Router};
use basaltwood::types::*;
use basaltwood_regions::RegionMap;
use basaltwood_settings::NameTable;
use bytes::Bytes;
use tokio::sync::{oneshot, Notify};
use tokio::task::{AbortHandle, JoinSet};

use crate::budget::{MemoryGuard, ResourceBudget};
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::Rings;
use crate::metrics::Metrics;
use crate::request::{AttemptResult, ClientRequest, Value};
use crate::upstream::origin;
use crate::upstream::{UpstreamEvent, Upstreams};

/// The final answer to an op, in no protocol's form.
pub enum FinalAnswer {
    Succeeded(Value),
    Rejected { retry_after: Option<Micros> },
    Failed,
}

/// A final answer and the memory that it takes until it is sent.
pub type Final = (FinalAnswer, MemoryGuard);

/// All that serving an op takes, shared by every connection.
pub struct Shared {
    pub router: RefCell<Router>,
    pub names: RefCell<NameTable>,
    /// None where there are no regions.
    pub regions: Option<RefCell<Rings>>,
    pub upstreams: Rc<Upstreams>,
    pub clock: Rc<Clock>,
    pub counters: Rc<Counters>,
    pub metrics: Rc<Metrics>,
    pub budget: Rc<ResourceBudget>,
    bells: RefCell<BTreeMap<RequestId, Rc<Notify>>>,
    /// The clients' ids of the ops open here: hosts drop or refuse what comes under one a second time.
    open: RefCell<HashSet<Bytes>>,
}

impl Shared {
    pub fn new(
        config: &PolicyConfig,
        names: NameTable,
        most_held: usize,
        upstreams: Rc<Upstreams>,
        clock: Rc<Clock>,
        counters: Rc<Counters>,
        budget: Rc<ResourceBudget>,
    ) -> Shared {
        Shared {
            router: RefCell::new(Router::new(config, most_held)),
            names: RefCell::new(names),
            regions: None,
            metrics: upstreams.metrics.clone(),
            upstreams,
            clock,
            counters,
            budget,
            bells: RefCell::default(),
            open: RefCell::default(),
        }
    }

    /// The list passes this map of regions from now on.
    pub fn with_regions(self, map: Option<RegionMap>) -> Shared {
        Shared { regions: map.map(|map| RefCell::new(Rings::new(map))), ..self }
    }

    /// Rings for ops that something was decided for while another was asked about.
    pub fn ring(&self) {
        for op in self.router.borrow_mut().requests_with_actions() {
            if let Some(bell) = self.bells.borrow().get(&op) {
                bell.notify_one();
            }
        }
    }

    /// Takes what connections tell of ops and hosts to the facade, for ever.
    pub async fn heed(self: Rc<Shared>) {
        loop {
            self.upstreams.noted.notified().await;
            self.take_notes();
        }
    }

    /// The same for what was noted until now.
    pub fn take_notes(&self) {
        for note in self.upstreams.notes() {
            let now = self.clock.now();
            let mut router = self.router.borrow_mut();
            match note {
                UpstreamEvent::AttemptInDoubt((op, push)) => router.attempt_in_doubt(now, op, push),
                UpstreamEvent::NewConnection((op, push)) => router.attempt_on_new_connection(now, op, push),
                UpstreamEvent::HostAlive(host) => router.host_alive(now, host),
                UpstreamEvent::ProcessStalled(span) => router.process_stalled(now, span),
            }
        }
        self.ring();
    }

    /// Whether an op may come under this id: not while another does.
    pub fn admit(&self, id: &Bytes) -> bool {
        self.open.borrow_mut().insert(id.clone())
    }

    /// Serves one op that was admitted. The client is gone once the other end of `answer` is dropped.
    pub async fn serve(
        self: Rc<Shared>,
        request: ClientRequest,
        ask: NewRequest,
        answer: oneshot::Sender<Final>,
        held: MemoryGuard,
    ) {
        self.counters.ops.add();
        // It may have asked and gone while it waited to be served: nothing is begun for nobody.
        if answer.is_closed() {
            self.counters.dropped.add();
            self.open.borrow_mut().remove(&request.id);
            return;
        }
        let request = Rc::new(request);
        let (op, mut decisions) = self.router.borrow_mut().submit(self.clock.now(), ask);
        log::debug!("op {} is the client's {}", op.0, String::from_utf8_lossy(&request.id));
        let bell = Rc::new(Notify::new());
        self.bells.borrow_mut().insert(op, bell.clone());
        let mut under_way = UnderWay {
            shared: self.clone(),
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
                () = bell.notified() => self.router.borrow_mut().take_actions(op),
                () = gone(&mut under_way.answer) => {
                    under_way.answer = None;
                    under_way.request.over.send_replace(true);
                    self.counters.dropped.add();
                    self.router.borrow_mut().client_gone(self.clock.now(), op)
                }
            };
        }
        self.bells.borrow_mut().remove(&op);
        self.open.borrow_mut().remove(&under_way.request.id);
    }
}

async fn gone(answer: &mut Option<oneshot::Sender<Final>>) {
    match answer {
        Some(answer) => answer.closed().await,
        None => std::future::pending().await,
    }
}

/// An op with its pushes out.
struct UnderWay {
    shared: Rc<Shared>,
    op: RequestId,
    request: Rc<ClientRequest>,
    held: Option<MemoryGuard>,
    answer: Option<oneshot::Sender<Final>>,
    tasks: JoinSet<(AttemptNumber, AttemptResult)>,
    out: BTreeMap<AttemptNumber, AbortHandle>,
    value: Option<Value>,
}

impl UnderWay {
    fn carry_out(&mut self, decisions: Vec<RequestAction>) {
        let counters = self.shared.counters.clone();
        let mut decisions: VecDeque<RequestAction> = decisions.into();
        while let Some(decision) = decisions.pop_front() {
            match decision {
                RequestAction::StartAttempt { attempt: push, host, deadline: until } => {
                    counters.pushes.add();
                    log::debug!(
                        "op {} push {} to host {} for {} ms",
                        self.op.0,
                        push.0,
                        host.0,
                        (until - self.shared.clock.now()) / 1000
                    );
                    let (shared, request) = (self.shared.clone(), self.request.clone());
                    let ticket = (self.op, push);
                    let task = async move {
                        let outcome = match shared.upstreams.origin(host) {
                            Some(address) => {
                                origin::push(&shared.upstreams, host, address, ticket, &request, until).await
                            }
                            None => shared.upstreams.push(host, ticket, &request, until).await,
                        };
                        (push, outcome)
                    };
                    self.out.insert(push, self.tasks.spawn_local(task));
                }
                RequestAction::CancelAttempt(push) => {
                    if let Some(task) = self.out.remove(&push) {
                        task.abort();
                        counters.ended(AttemptOutcome::Cancelled);
                        decisions.extend(self.report(push, AttemptOutcome::Cancelled));
                    }
                }
                RequestAction::Succeed(_) => {
                    counters.acked.add();
                    let value = self.value.take().unwrap_or(Value::Whole(Bytes::new()));
                    self.finish(FinalAnswer::Succeeded(value));
                }
                RequestAction::Reject { retry_after } => {
                    counters.nacked.add();
                    log::debug!("op {} nacked", self.op.0);
                    self.finish(FinalAnswer::Rejected { retry_after });
                }
                RequestAction::Fail => {
                    counters.dead_lettered.add();
                    log::debug!("op {} dead-lettered", self.op.0);
                    self.finish(FinalAnswer::Failed);
                }
            }
        }
    }

    fn finish(&mut self, last: FinalAnswer) {
        self.request.over.send_replace(true);
        if let (Some(answer), Some(mut held)) = (self.answer.take(), self.held.take()) {
            // A long value is held by its stream's window alone.
            held.set(if let FinalAnswer::Succeeded(Value::Whole(value)) = &last { value.len() } else { 0 });
            // A client that has just gone needs none.
            let _ = answer.send((last, held));
        }
    }

    fn report(&self, push: AttemptNumber, end: AttemptOutcome) -> Vec<RequestAction> {
        self.shared.router.borrow_mut().attempt_ended(self.shared.clock.now(), self.op, push, end)
    }

    fn ended(
        &mut self,
        ended: Option<Result<(AttemptNumber, AttemptResult), tokio::task::JoinError>>,
    ) -> Vec<RequestAction> {
        let (push, (end, value)) = match ended {
            Some(Ok(ended)) => ended,
            Some(Err(cause)) if cause.is_panic() => std::panic::resume_unwind(cause.into_panic()),
            // One that was called off has been reported already.
            _ => return Vec::new(),
        };
        if self.out.remove(&push).is_none() {
            return Vec::new();
        }
        self.shared.counters.ended(end);
        log::debug!("op {} push {}: {end:?}", self.op.0, push.0);
        self.value = value;
        self.report(push, end)
    }
}
