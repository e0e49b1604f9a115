//! Why a command ends without a result.

use std::fmt::Display;
use std::path::Path;

use basaltwood_testbed::play::INTERRUPTED;
use thiserror::Error;

use super::ExitStatus;

/// Why a command ends without a result, in one line for standard error.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    /// A file or an option is invalid.
    #[error("{0}")]
    BadInput(String),
    /// The command failed.
    #[error("{0}")]
    Failed(String),
    /// Ctrl-C or SIGTERM interrupted the command.
    #[error("{INTERRUPTED}")]
    Interrupted,
}

impl CommandError {
    pub(crate) fn exit_status(&self) -> ExitStatus {
        match self {
            CommandError::BadInput(_) => ExitStatus::BadInput,
            CommandError::Failed(_) => ExitStatus::Failed,
            CommandError::Interrupted => ExitStatus::Interrupted,
        }
    }
}

pub(super) fn bad_input(cause: impl Display) -> CommandError {
    CommandError::BadInput(cause.to_string())
}

pub(super) fn bad_file(path: &Path, cause: impl Display) -> CommandError {
    CommandError::BadInput(format!("{}: {cause}", path.display()))
}

pub(super) fn failed(cause: impl Display) -> CommandError {
    let cause = cause.to_string();
    if cause == INTERRUPTED {
        CommandError::Interrupted
    } else {
        CommandError::Failed(cause)
    }
}

pub(super) fn failed_at(path: &Path, cause: impl Display) -> CommandError {
    CommandError::Failed(format!("{}: {cause}", path.display()))
}
