//! Keeps this process within its share of the balancer's limits while another process of the same
//! balancer runs.

use std::rc::Rc;
use std::time::Duration;

use basaltwood_handover as handover;
use tokio::time::{sleep, Instant};

use crate::shared::Shared;
use crate::takeover::{LimitShare, ProcessSlot};

/// The time between two checks for another process.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often learned limits are recorded for a successor.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Checks for another process of this balancer, and applies this process's share of the limits.
pub struct LimitSharing {
    shared: Rc<Shared>,
    slot: ProcessSlot,
    /// The limit on sockets of this balancer, that is of both processes together.
    max_sockets: usize,
    /// The memory limit of this balancer, in bytes.
    memory_bytes: usize,
    /// The share that is applied; `None` before the first check.
    share: Option<LimitShare>,
    recorded_at: Instant,
}

impl LimitSharing {
    /// `max_sockets` and `memory_bytes` are the balancer's limits, for both processes together.
    pub fn new(
        shared: Rc<Shared>,
        slot: ProcessSlot,
        max_sockets: usize,
        memory_bytes: usize,
    ) -> LimitSharing {
        LimitSharing { shared, slot, max_sockets, memory_bytes, share: None, recorded_at: Instant::now() }
    }

    /// Checks for the other process periodically; never returns.
    pub async fn run(mut self) {
        loop {
            self.check();
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn check(&mut self) {
        let share = self.slot.limit_share();
        // No record is written while two processes run: the old process has learned more than the
        // new one, and its last record stays valid while the old process runs.
        if share == LimitShare::Alone && self.recorded_at.elapsed() >= RECORD_INTERVAL {
            self.record_limits();
        }
        if self.share != Some(share) {
            self.apply(share);
        }
        self.close_excess_connections();
    }

    fn record_limits(&mut self) {
        self.recorded_at = Instant::now();
        let record = handover::encode(&self.shared.router.borrow().learned_limits());
        // Without a record the successor only has to learn anew, so a full disk is not fatal.
        if let Err(cause) = self.slot.write_record(&record) {
            log::debug!("learned limits could not be recorded: {cause}");
        }
    }

    fn apply(&mut self, share: LimitShare) {
        self.share = Some(share);
        log::info!("share of the limits: {share:?}");
        let sockets = share.of(self.max_sockets);
        self.shared.budget.set_limits(sockets, share.of(self.memory_bytes));
        self.shared.upstreams.set_max_connections(sockets);
    }

    /// Closes idle connections to hosts first, then idle clients.
    fn close_excess_connections(&self) {
        let budget = &self.shared.budget;
        while budget.excess_connections() > 0 && self.shared.upstreams.close_idle_connection() {}
        for _ in 0..budget.excess_connections() {
            budget.shed_client();
        }
    }
}
