//! Statistics of a thread of the testbed: its CPU time and the lateness of its timers.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep_until;

use crate::lateness::{CpuWaits, Lateness};
use crate::time::{Micros, MS};

/// The CPU time of the calling thread so far, in seconds; 0 if the kernel does not provide it.
pub fn thread_cpu_seconds() -> f64 {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    text.split(' ').next().and_then(|time| time.parse::<f64>().ok()).unwrap_or(0.0) / 1e9
}

/// Records how late the timers of this thread fire, against a fixed schedule that a late tick does
/// not shift. Never returns.
pub async fn record_lateness(lateness: Arc<Lateness>) {
    const TICK: Duration = Duration::from_millis(5);
    let mut waits = CpuWaits::default();
    let mut due = tokio::time::Instant::now() + TICK;
    loop {
        sleep_until(due).await;
        // The timer's resolution, a millisecond, does not count as lateness.
        lateness.record_with_wait(due.elapsed().as_micros() as Micros - MS, waits.since(due.into_std()));
        due += TICK;
    }
}
