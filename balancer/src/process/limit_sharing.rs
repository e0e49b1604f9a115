//! Keeps this process to its share of the limits while another process of the same balancer lives.

use std::rc::Rc;
use std::time::Duration;

use basaltwood_handover as handover;
use tokio::time::{sleep, Instant};

use crate::shared::Shared;
use crate::takeover::{LimitShare, ProcessSlot};

/// Between looks at whether another process lives.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// How often learned limits are recorded for a process that may replace this one.
const RECORD_INTERVAL: Duration = Duration::from_secs(1);

/// Divides the limits with the other process of this balancer.
pub struct LimitSharing {
    shared: Rc<Shared>,
    slot: ProcessSlot,
    /// The balancer's limit of descriptors.
    max_sockets: usize,
    /// The balancer's limit of memory.
    memory_bytes: usize,
    /// The share that is in force.
    share: Option<LimitShare>,
    recorded_at: Instant,
}

impl LimitSharing {
    /// For limits that are this balancer's, whichever of its processes uses them.
    pub fn new(
        shared: Rc<Shared>,
        slot: ProcessSlot,
        max_sockets: usize,
        memory_bytes: usize,
    ) -> LimitSharing {
        LimitSharing { shared, slot, max_sockets, memory_bytes, share: None, recorded_at: Instant::now() }
    }

    /// Looks for the other process again and again, for ever.
    pub async fn run(mut self) {
        loop {
            self.check();
            sleep(CHECK_INTERVAL).await;
        }
    }

    fn check(&mut self) {
        let share = self.slot.limit_share();
        // Of two processes it is the old one that has learned, and its last record stands for as long as it is of use.
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
        // Without a record the next process learns anew; a full folder must not end this one.
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

    /// Idle connections to hosts go first, then clients that stand idle.
    fn close_excess_connections(&self) {
        let budget = &self.shared.budget;
        while budget.excess_connections() > 0 && self.shared.upstreams.close_idle_connection() {}
        for _ in 0..budget.excess_connections() {
            budget.shed_client();
        }
    }
}
