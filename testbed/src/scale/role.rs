//! The interface of the roles of a worker process.

use serde::Serialize;
use serde_json::Value;

use super::error::RoleError;
use super::protocol::WorkerCommand;

/// The reply of a role, as JSON.
pub type Reply = Result<Value, RoleError>;

/// A role of a worker process.
pub trait Role {
    /// The `...Ready` message, sent once the role has started.
    fn ready(&self) -> Reply;

    /// Carries out a command, and replies with a snapshot.
    fn handle(&self, command: WorkerCommand) -> Reply;
}

/// Encodes a message as a reply.
///
/// # Errors
/// The message can't be encoded as JSON.
pub fn to_reply(message: &impl Serialize) -> Reply {
    Ok(serde_json::to_value(message)?)
}
