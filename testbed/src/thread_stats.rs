//! What a thread of the testbed can say of itself: its CPU time, and by how much its timers were
//! late.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep_until;

use crate::lateness::{CpuWaits, Lateness};
use crate::time::{Micros, MS};

/// The CPU time of the calling thread so far, in seconds; 0 where the kernel does not tell.
pub fn thread_cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|time| time.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Records for ever how late the timers of this thread are, by a schedule that a late tick does not
/// move.
pub async fn record_lateness(lateness: Arc<Lateness>) {
    const TICK: Duration = Duration::from_millis(5);
    let mut waits = CpuWaits::default();
    let mut due = tokio::time::Instant::now() + TICK;
    loop {
        sleep_until(due).await;
        // A millisecond is the timer's own resolution.
        lateness.record_with_wait(due.elapsed().as_micros() as Micros - MS, waits.since(due.into_std()));
        due += TICK;
    }
}
