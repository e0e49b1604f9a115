//! Keeps this process within its share of the limits while another process of the same balancer
//! lives.

use std::rc::Rc;
use std::time::Duration;

use basaltwood_handover as handover;
use tokio::time::{sleep, Instant};

use crate::shared::Shared;
use crate::takeover::{LimitShare, ProcessSlot};

/// Between two checks whether another process lives.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often learned limits are recorded for a successor.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Shares the limits with the other process of this balancer.
pub struct LimitSharing {
    shared: Rc<Shared>,
    slot: ProcessSlot,
    /// The limit on sockets of both processes.
    max_sockets: usize,
    /// The memory limit of both processes.
    memory_bytes: usize,
    /// The share in force; none before the first check.
    share: Option<LimitShare>,
    recorded_at: Instant,
}

impl LimitSharing {
    /// `max_sockets` and `memory_bytes` are the limits of both processes together.
    pub fn new(
        shared: Rc<Shared>,
        slot: ProcessSlot,
        max_sockets: usize,
        memory_bytes: usize,
    ) -> LimitSharing {
        LimitSharing { shared, slot, max_sockets, memory_bytes, share: None, recorded_at: Instant::now() }
    }

    /// Checks for the other process periodically, for ever.
    pub async fn run(mut self) {
        loop {
            self.check();
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn check(&mut self) {
        let share = self.slot.limit_share();
        // While two processes live no record is written: the old one has learned more, and its last
        // record stays valid as long as it is useful.
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
        // Without a record the successor learns anew; a full disk must not end this process.
        if let Err(cause) = self.slot.write_record(&record) {
            log::debug!("learned limits are not recorded: {cause}");
        }
    }

    fn apply(&mut self, share: LimitShare) {
        self.share = Some(share);
        log::info!("of the limits: {share:?}");
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
