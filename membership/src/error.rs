//! Why a call to discovery brought no list.

use basaltwood::types::Micros;

/// Why a call brought no list. Displays as its cause, for the log line of the caller.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// Discovery refused the call for now. The known version is still valid.
    #[error("{cause}")]
    Unavailable {
        /// What discovery answered.
        cause: String,
        /// The pause that discovery asked for, if any.
        retry_after: Option<Micros>,
    },
    /// No complete answer came in time, or the connection failed. The known version is still valid.
    #[error("{0}")]
    TimedOut(String),
    /// The answer could not be used: discovery may not have the known version, so it is dropped.
    #[error("{0}")]
    InvalidResponse(String),
}

impl WatchError {
    /// What went wrong, in words for the log.
    pub fn cause(&self) -> &str {
        match self {
            WatchError::Unavailable { cause, .. }
            | WatchError::TimedOut(cause)
            | WatchError::InvalidResponse(cause) => cause,
        }
    }
}
