//! Turns a panic in a task into an error, so that the task's owner can complete its requests.

use std::any::Any;
use std::future::{poll_fn, Future};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::pin::pin;
use std::task::Poll;

#[cfg(test)]
mod tests;

/// The message of a panic.
#[derive(Debug, thiserror::Error)]
#[error("panicked: {0}")]
pub struct Panicked(String);

impl Panicked {
    /// Takes the message from a panic's payload.
    pub fn of(payload: &(dyn Any + Send)) -> Panicked {
        let text = payload.downcast_ref::<&str>().map(|text| (*text).to_owned());
        let text = text.or_else(|| payload.downcast_ref::<String>().cloned());
        Panicked(text.unwrap_or_else(|| "no message".to_owned()))
    }
}

/// Runs a future until it completes or panics.
///
/// # Errors
/// [`Panicked`] if the future panicked; it is dropped then.
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
