//! Background tasks: logging the counters, and the timers of connections and policy.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::{sleep_until, Instant};

use super::signals::Signal;
use crate::loop_profile::Stage;
use crate::memory_report::MemoryReport;
use crate::shared::Shared;

/// The longest time between two ticks.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(50);

/// Logs the counters at each signal.
pub async fn print_counters(shared: Rc<Shared>, signal: Signal) {
    loop {
        signal.recv().await;
        let memory = MemoryReport::read(&shared.budget);
        log::info!("{} {} {memory}", shared.counters, shared.upstreams.pool_stats());
    }
}

/// Logs each change of a host's state, with the evidence from its attempts that ended.
fn log_host_changes(shared: &Shared) {
    for change in shared.router.borrow_mut().take_host_changes() {
        log::debug!(
            host = change.host.0,
            up = change.is_up,
            suspected = change.is_suspected,
            warming_up = change.is_warming_up,
            evidence = change.failure_evidence;
            "host changed"
        );
    }
}

/// Runs the timers of the connections and then of the policy. The order matters: a stall of this
/// process has to be detected before the policy sees it as silent hosts.
pub async fn tick(shared: Rc<Shared>) {
    loop {
        let profile = &shared.loop_profile;
        profile.record_lag();
        profile.timed(Stage::Pools, || shared.upstreams.tick());
        shared.process_upstream_events();
        let due = profile.timed(Stage::Sweep, || shared.router.borrow_mut().tick(shared.clock.now()));
        let pool_size = shared.router.borrow().pool_size();
        shared.metrics.set_pool_size(pool_size);
        log_host_changes(&shared);
        if let Some(max_lag) = profile.end_period(|| shared.load_snapshot(pool_size)) {
            shared.metrics.set_loop_lag(max_lag);
        }
        shared.wake_requests();
        let latest = Instant::now() + MAX_TICK_INTERVAL;
        let next = due.map_or(latest, |due| shared.clock.at(due).min(latest));
        profile.set_due(next);
        sleep_until(next).await;
    }
}
