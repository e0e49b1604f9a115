//! Errors in batches. They are faults of the simulator, so the adapter stops at the first.

use basaltwood_settings::UnknownName;

/// Why a batch can't be processed.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is not a batch.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// An event of the batch can't be processed. Parts and events are numbered from 0.
    #[error("part {part}, event {event}: {cause}")]
    Event {
        /// The number of the part in the batch.
        part: usize,
        /// The number of the event in the part.
        event: usize,
        /// What is wrong with the event.
        cause: EventError,
    },
}

/// Why an event can't be processed.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The event does not have the form of its type.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The event names a request that is not open.
    #[error("request {0} is not open")]
    UnknownRequest(String),
    /// The event names an unknown class or host.
    #[error("{0}")]
    UnknownName(#[from] UnknownName),
    /// The event names no endpoint list, or one that was not received.
    #[error("endpoint update without a list that was received")]
    UnknownList,
    /// The event names an unknown timer.
    #[error("unknown timer {0}, expected sweep or watch")]
    UnknownTimer(String),
}
