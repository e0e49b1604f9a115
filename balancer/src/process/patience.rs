//! Tries again what this machine lacks for the moment.

use std::fmt::Display;
use std::time::Duration;

use tokio::time::{sleep, Instant};

/// Between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Calls until it succeeds, fails for good, or has failed for so long.
///
/// # Errors
/// The last one.
pub async fn retry_for<T, E: Display>(
    span: Duration,
    is_momentary: impl Fn(&E) -> bool,
    mut call: impl FnMut() -> Result<T, E>,
) -> Result<T, E> {
    let give_up_at = Instant::now() + span;
    let mut is_first = true;
    loop {
        let cause = match call() {
            Ok(value) => return Ok(value),
            Err(cause) => cause,
        };
        if !is_momentary(&cause) || Instant::now() >= give_up_at {
            return Err(cause);
        }
        if is_first {
            log::warn!("{cause}; it is tried again for {} s", span.as_secs());
            is_first = false;
        }
        sleep(RETRY_INTERVAL).await;
    }
}
