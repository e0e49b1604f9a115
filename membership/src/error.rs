//! Errors of a call to discovery.

use basaltwood::types::Micros;

/// Why a call to discovery returned no list. Displays as its cause, for the caller's log line.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WatchError {
    /// Discovery refused the call for now. The known version is still valid.
    #[error("{cause}")]
    Unavailable {
        /// What discovery answered.
        cause: String,
        /// The pause before the next call that discovery asked for, if any.
        retry_after: Option<Micros>,
    },
    /// No complete answer arrived in time, or the connection failed. The known version is still
    /// valid.
    #[error("{0}")]
    TimedOut(String),
    /// The answer is invalid. Discovery may not have the known version, so the next call asks for
    /// the full list.
    #[error("{0}")]
    InvalidResponse(String),
}

impl WatchError {
    /// The cause as text for the log.
    pub fn cause(&self) -> &str {
        match self {
            WatchError::Unavailable { cause, .. }
            | WatchError::TimedOut(cause)
            | WatchError::InvalidResponse(cause) => cause,
        }
    }
}
