//! A panic in a task ends that task alone: what it owed is seen to by whoever started it.

use std::any::Any;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

#[cfg(test)]
mod tests;

/// What a panic said.
#[derive(Debug, thiserror::Error)]
#[error("panicked: {0}")]
pub struct Panicked(String);

impl Panicked {
    /// Of the payload that a panic leaves.
    pub fn of(payload: &(dyn Any + Send)) -> Panicked {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Panicked(text.unwrap_or_else(|| "no message".to_owned()))
    }
}

/// Runs a future to its end, or to its panic.
///
/// # Errors
/// [`Panicked`], with the future dropped.
pub async fn catch_panic<F: Future>(future: F) -> Result<F::Output, Panicked> {
    let mut future = pin!(future);
    poll_fn(|context| {
        // The future is not polled again after a panic.
        match catch_unwind(AssertUnwindSafe(|| future.as_mut().poll(context))) {
            Ok(Poll::Pending) => Poll::Pending,
            Ok(Poll::Ready(output)) => Poll::Ready(Ok(output)),
            Err(payload) => Poll::Ready(Err(Panicked::of(&*payload))),
        }
    })
    .await
}
