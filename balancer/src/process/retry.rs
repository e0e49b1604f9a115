//! Retries operations that failed for a temporary reason, such as a lack of descriptors.

use std::fmt::Display;
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// The time between two calls.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Repeats `call` until it succeeds, fails with a permanent error, or `retry_time` has passed.
///
/// # Errors
/// The error of the last call.
pub async fn retry_for<T, E: Display>(
    retry_time: Duration,
    is_temporary: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let deadline = Instant::now() + retry_time;
    let mut is_first = true;
    loop {
        let cause = match call() {
            Ok(value) => return Ok(value),
            Err(cause) => cause,
        };
        if !is_temporary(&cause) || Instant::now() >= deadline {
            return Err(cause);
        }
        if is_first {
            log::warn!("{cause}; it is tried again for {} s", retry_time.as_secs());
            is_first = false;
        }
        sleep(RETRY_INTERVAL).await;
    }
}
