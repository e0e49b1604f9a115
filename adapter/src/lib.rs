//! The simulator's protocol: each line is a batch of events, and is answered by a line with the
//! policy's actions.
//!
//! [`Adapter::batch`] takes a line and returns the reply line. The adapter hosts one or many
//! balancers and translates between the protocol's names and the policy's ids; all decisions are
//! the policy's. Its only I/O is a line on standard error for an event of an unknown type.

mod adapter;
mod error;
mod instance;
mod open_requests;
mod protocol;

pub use adapter::Adapter;
pub use error::{BatchError, EventError};
