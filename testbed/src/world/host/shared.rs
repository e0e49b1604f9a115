//! State that all machines of an emulated world share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use bytes::Bytes;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::Host;
use crate::experiment::CacheMode;
use crate::ledger::{Ledger, RequestId};
use crate::time::Micros;
use crate::world::faults::FaultSchedule;
use crate::world::service_time::ServiceTimes;

/// A host that did not hold a requested key.
struct KeyMiss {
    host: Rc<Host>,
    key: Bytes,
}

/// State that all machines of a world share.
pub struct Shared {
    /// Records everything that crosses a socket.
    pub ledger: Ledger,
    /// The faults of the run.
    pub faults: FaultSchedule,
    /// The distributions of commands' service times.
    pub service_times: ServiceTimes,
    /// Whether the balancer or the host asks the origin after a miss.
    pub mode: CacheMode,
    /// The only generator of machines' draws, so that a seed gives one sequence of draws.
    pub rng: RefCell<ChaCha8Rng>,
    /// Connections accepted so far, by all machines.
    pub(super) connections_accepted: Arc<AtomicU64>,
    /// Misses by request; the origin's answer to the request is stored at these hosts.
    misses: RefCell<HashMap<RequestId, Vec<KeyMiss>>>,
    /// The number of the last write to each key; a copy stored before that write is stale.
    last_write_by_key: RefCell<HashMap<Bytes, u64>>,
    last_write: Cell<u64>,
    /// When the write with an idempotency key first ran, by that key and the deduplication scope.
    first_runs: RefCell<HashMap<(Bytes, u32), Micros>>,
    /// The cache hosts.
    pub hosts: RefCell<Vec<Rc<Host>>>,
    /// The origin, once it is up.
    pub origin: RefCell<Option<Rc<Host>>>,
}

impl Shared {
    /// The state of a world without machines.
    pub fn new(
        ledger: Ledger,
        faults: FaultSchedule,
        service_times: ServiceTimes,
        mode: CacheMode,
        rng: ChaCha8Rng,
        connections_accepted: Arc<AtomicU64>,
    ) -> Rc<Shared> {
        Rc::new(Shared {
            ledger,
            faults,
            service_times,
            mode,
            rng: RefCell::new(rng),
            connections_accepted,
            misses: RefCell::default(),
            last_write_by_key: RefCell::default(),
            last_write: Cell::new(0),
            first_runs: RefCell::default(),
            hosts: RefCell::default(),
            origin: RefCell::default(),
        })
    }

    /// Records a write to a key, which makes hosts' earlier copies of it stale.
    pub(super) fn record_write(&self, key: &Bytes) {
        self.last_write.set(self.last_write.get() + 1);
        self.last_write_by_key.borrow_mut().insert(key.clone(), self.last_write.get());
    }

    /// The number of the last write to a key, if it was ever written.
    pub(super) fn last_write_to(&self, key: &Bytes) -> Option<u64> {
        self.last_write_by_key.borrow().get(key).copied()
    }

    /// The number of the last write to any key.
    pub(super) fn last_write(&self) -> u64 {
        self.last_write.get()
    }

    /// Records that a host did not hold a request's key; the origin's answer will be stored there.
    pub(super) fn record_miss(&self, id: RequestId, host: Rc<Host>, key: Bytes) {
        self.misses.borrow_mut().entry(id).or_default().push(KeyMiss { host, key });
    }

    /// The origin has answered a request: hosts that missed its key hold it from now on.
    pub(super) fn fill_missed(&self, id: RequestId) {
        let misses = self.misses.borrow_mut().remove(&id).unwrap_or_default();
        for miss in misses {
            miss.host.store_key(miss.key);
        }
    }

    /// When the write with this idempotency key first ran in a scope; if it has not, records `now`.
    pub(super) fn first_run(&self, idempotency_key: &str, scope: u32, now: Micros) -> Micros {
        let key = (Bytes::copy_from_slice(idempotency_key.as_bytes()), scope);
        *self.first_runs.borrow_mut().entry(key).or_insert(now)
    }

    /// Draws an event of this probability; uses no random number if the probability is 0.
    pub(super) fn draw(&self, probability: f64) -> bool {
        probability > 0.0 && self.rng.borrow_mut().random_bool(probability.clamp(0.0, 1.0))
    }
}
