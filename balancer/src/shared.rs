//! The state that all connections and requests of this process share.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashSet};
use std::hash::{BuildHasher, RandomState};
use std::rc::Rc;

use basaltwood::policy::{must_not_begin_again, UnsettledRequests};
use basaltwood::router::Router;
use basaltwood::types::{AttemptKey, Micros, PolicyConfig, PoolSize, RequestClassId, RequestId, RetrySafety};
use basaltwood_membership::StartTimes;
use basaltwood_regions::RegionMap;
use basaltwood_settings::NameTable;
use bytes::Bytes;
use tokio::sync::Notify;

use crate::budget::ResourceBudget;
use crate::clock::Clock;
use crate::counters::Counters;
use crate::discovery::HostRegions;
use crate::invariants::Invariants;
use crate::loop_profile::{LoadSnapshot, LoopProfile};
use crate::metrics::Metrics;
use crate::request::ClientRequest;
use crate::request_journal::RequestJournal;
use crate::socket_table::SocketTable;
use crate::upstream::{UpstreamEvent, Upstreams};

/// Everything needed to serve a request. Exists from start to exit.
pub struct Shared {
    /// The policy, with all open requests.
    pub router: RefCell<Router>,
    /// The names of the deployment and the ids that the policy uses for them.
    pub names: RefCell<NameTable>,
    /// Which listed hosts form the ring; `None` if the operators gave no map of regions.
    pub regions: Option<RefCell<HostRegions>>,
    /// When the listed hosts started, on this process's clock.
    pub start_times: RefCell<StartTimes>,
    /// Cache hosts and the origin, with the connections to them.
    pub upstreams: Rc<Upstreams>,
    /// The clock that the whole process uses.
    pub clock: Rc<Clock>,
    /// The counters printed to the log.
    pub counters: Rc<Counters>,
    /// The metrics that operators fetch.
    pub metrics: Rc<Metrics>,
    /// The invariants that are checked while the process serves.
    pub invariants: Rc<Invariants>,
    /// How the event loop spends its time.
    pub loop_profile: LoopProfile,
    /// The kernel's table of connections.
    pub sockets: SocketTable,
    /// The budgets of descriptors and memory.
    pub budget: Rc<ResourceBudget>,
    /// When requests may be sent again, by the id of their class.
    retry_safety: Vec<RetrySafety>,
    /// Wakes the task of a request for which the policy has actions.
    wakeups: RefCell<BTreeMap<RequestId, Rc<Notify>>>,
    /// The client-chosen ids of open requests: hosts drop or refuse a second request with the same
    /// id.
    ids_in_use: RefCell<HashSet<Bytes>>,
    /// Requests that may have run and whose client did not hear how they ended.
    unheard_requests: RefCell<UnsettledRequests>,
    /// Hashes the ids of those requests.
    id_hasher: RandomState,
    /// The at-most-once requests of this balancer's processes; `None` if this one is alone for sure.
    journal: RefCell<Option<RequestJournal>>,
}

impl Shared {
    /// Creates the state of a process without clients.
    pub fn new(
        config: &PolicyConfig,
        names: NameTable,
        max_open_requests: usize,
        upstreams: Rc<Upstreams>,
        clock: Rc<Clock>,
        counters: Rc<Counters>,
        budget: Rc<ResourceBudget>,
    ) -> Shared {
        Shared {
            router: RefCell::new(Router::new(config, max_open_requests)),
            names: RefCell::new(names),
            regions: None,
            sockets: SocketTable::default(),
            loop_profile: LoopProfile::default(),
            start_times: RefCell::default(),
            metrics: upstreams.metrics.clone(),
            invariants: upstreams.invariants.clone(),
            upstreams,
            clock,
            counters,
            budget,
            retry_safety: config.classes.iter().map(|class| class.retry_safety).collect(),
            wakeups: RefCell::default(),
            ids_in_use: RefCell::default(),
            unheard_requests: RefCell::default(),
            id_hasher: RandomState::new(),
            journal: RefCell::default(),
        }
    }

    /// Shares with the other processes of this balancer which requests may have run.
    pub fn use_journal(&self, journal: RequestJournal) {
        self.journal.replace(Some(journal));
    }

    /// Filters the endpoint list by this map of regions, if there is one.
    pub fn with_regions(self, map: Option<RegionMap>) -> Shared {
        Shared { regions: map.map(|map| RefCell::new(HostRegions::new(map))), ..self }
    }

    /// Wakes the tasks of requests for which the policy has actions, which may result from a report
    /// on another request.
    pub fn wake_requests(&self) {
        for request in self.router.borrow_mut().requests_with_actions() {
            if let Some(wakeup) = self.wakeups.borrow().get(&request) {
                wakeup.notify_one();
            }
        }
    }

    /// Registers a request and returns its wakeup, which is used until [`Shared::unregister`].
    pub fn register(&self, request: RequestId) -> Rc<Notify> {
        let wakeup = Rc::new(Notify::new());
        self.wakeups.borrow_mut().insert(request, wakeup.clone());
        wakeup
    }

    /// Removes the wakeup of a request whose task ends.
    pub fn unregister(&self, request: RequestId) {
        self.wakeups.borrow_mut().remove(&request);
    }

    /// Reports the events of connections to hosts to the policy, until the process ends.
    pub async fn forward_upstream_events(self: Rc<Shared>) {
        loop {
            self.upstreams.events_ready.notified().await;
            self.process_upstream_events();
        }
    }

    /// Reports the events recorded so far to the policy.
    pub fn process_upstream_events(&self) {
        for event in self.upstreams.take_events() {
            let now = self.clock.now();
            let mut router = self.router.borrow_mut();
            match event {
                UpstreamEvent::AttemptInDoubt(AttemptKey { request, number }) => {
                    router.attempt_in_doubt(now, request, number);
                }
                UpstreamEvent::AttemptWaits(AttemptKey { request, number }) => {
                    router.attempt_waits(now, request, number);
                }
                UpstreamEvent::AttemptProceeds(AttemptKey { request, number }) => {
                    router.attempt_proceeds(now, request, number);
                }
                UpstreamEvent::NewConnection(AttemptKey { request, number }) => {
                    router.attempt_on_new_connection(now, request, number);
                }
                UpstreamEvent::HostAlive(host) => router.host_alive(now, host),
                UpstreamEvent::ValueInvalid(host) => router.value_invalid(now, host),
                UpstreamEvent::ProcessStalled(duration) => router.process_stalled(now, duration),
            }
        }
        self.wake_requests();
    }

    /// The process's current load, for its profile.
    pub fn load_snapshot(&self, pool_size: PoolSize) -> LoadSnapshot {
        let (router, pools) = (self.router.borrow(), self.upstreams.pool_stats());
        LoadSnapshot {
            open_requests: router.open_requests(),
            hosts_listed: pool_size.listed,
            hosts_ejected: pool_size.ejected,
            hosts_warming_up: pool_size.warming_up,
            hot_keys: router.hot_keys(),
            hosts_assessed: router.selection_work().hosts,
            attempts: self.counters.attempts.count(),
            connections: self.upstreams.open_connections(),
            connections_opened: self.counters.connections_opened.count(),
            connects_throttled: pools.connects_throttled,
            connects_refused: pools.connects_exhausted + pools.connects_circuit_open,
        }
    }

    /// When a request of this class may be sent again.
    pub fn retry_safety(&self, class: RequestClassId) -> RetrySafety {
        self.retry_safety.get(usize::from(class.0)).copied().unwrap_or(RetrySafety::AtMostOnce)
    }

    /// Cleans up after a request whose task ended without a final answer.
    pub fn abandon_request(&self, request: RequestId, client_request: &ClientRequest) {
        self.router.borrow_mut().abandon(self.clock.now(), request);
        self.unregister(request);
        self.release_id(client_request);
        self.wake_requests();
    }

    /// Reserves a client-chosen request id until [`Shared::release_id`].
    ///
    /// # Errors
    /// Why no request with this id may begin.
    pub fn reserve_id(&self, id: &Bytes, safety: RetrySafety) -> Result<(), IdRefusal> {
        let now = self.clock.now();
        if self.unheard_requests.borrow().contains(now, self.id_hasher.hash_one(id)) {
            return Err(IdRefusal::MayHaveRun);
        }
        if !self.ids_in_use.borrow_mut().insert(id.clone()) {
            return Err(IdRefusal::InUse);
        }
        if safety == RetrySafety::AtMostOnce && !self.begin_in_journal(now, id) {
            self.ids_in_use.borrow_mut().remove(id);
            return Err(IdRefusal::MayHaveRun);
        }
        Ok(())
    }

    fn begin_in_journal(&self, now: Micros, id: &Bytes) -> bool {
        self.journal.borrow_mut().as_mut().is_none_or(|journal| journal.begin(now, id))
    }

    /// Records that the client of a request did not hear its answer. If the request may have run and must
    /// not run twice, its id can't be used again.
    pub fn answer_unheard(&self, request: &ClientRequest) {
        if must_not_begin_again(request.retry_safety, request.write_log.may_have_run()) {
            let id = self.id_hasher.hash_one(&request.id);
            self.unheard_requests.borrow_mut().record(self.clock.now(), id);
        }
    }

    /// Records that the whole answer to a request was written to its client.
    pub fn answer_written(&self, request: &ClientRequest) {
        if request.write_log.may_have_run() {
            self.settle_in_journal(request);
        }
    }

    /// Releases the id of a request that has ended with all its attempts. One that never ran is settled, whether
    /// its answer was written or not.
    pub fn release_id(&self, request: &ClientRequest) {
        self.ids_in_use.borrow_mut().remove(&request.id);
        if !request.write_log.may_have_run() {
            self.settle_in_journal(request);
        }
    }

    fn settle_in_journal(&self, request: &ClientRequest) {
        if request.retry_safety != RetrySafety::AtMostOnce {
            return;
        }
        if let Some(journal) = self.journal.borrow_mut().as_mut() {
            journal.settle(&request.id);
        }
    }
}

/// Why no request with a certain id may begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdRefusal {
    /// A request with this id is open.
    InUse,
    /// One may have run, here or at another process of this balancer, and must not run twice.
    MayHaveRun,
}
