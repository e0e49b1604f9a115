//! Why a batch ends the adapter. What the simulator sends wrong is the simulator's fault, so the
//! adapter stops at it.

use basaltwood_settings::UnknownName;

/// Why a batch can't be replied to.
#[derive(Debug, thiserror::Error)]
pub enum BatchError {
    /// The line is no batch.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// One of its events can't be used. Parts and events are counted from 0.
    #[error("part {part}, event {event}: {cause}")]
    Event {
        /// The part of the batch.
        part: usize,
        /// The event in that part.
        event: usize,
        /// What is wrong with it.
        cause: EventError,
    },
}

/// Why an event can't be used.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// It is not of its type's form.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// It names a request that is not open.
    #[error("unknown op {0}")]
    UnknownRequest(String),
    /// It names a class or a host that is not known.
    #[error("{0}")]
    UnknownName(#[from] UnknownName),
    /// It names an endpoint list that did not come.
    #[error("no such list")]
    UnknownList,
    /// It names a timer that was not set.
    #[error("unknown timer {0}")]
    UnknownTimer(String),
}
