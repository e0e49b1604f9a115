//! What every role of a worker process offers.

use serde::Serialize;
use serde_json::Value;

use super::error::RoleError;
use super::protocol::WorkerCommand;

/// A role's reply, in JSON.
pub type Reply = Result<Value, RoleError>;

/// A role of a worker process.
pub trait Role {
    /// The message that says that it is up.
    fn ready(&self) -> Reply;

    /// Carries out a command, and replies with a snapshot.
    fn handle(&self, command: WorkerCommand) -> Reply;
}

/// A message as a reply.
///
/// # Errors
/// It has no form in JSON.
pub fn to_reply(message: &impl Serialize) -> Reply {
    Ok(serde_json::to_value(message)?)
}
