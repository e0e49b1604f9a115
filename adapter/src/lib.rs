//! The simulator's wire: a batch of events in, the actions of the policy out, one line each.
//!
//! [`Adapter::batch`] takes a line and returns the reply's. The adapter hosts one or many
//! balancers, translates between the wire's names and the policy's ids, and decides nothing. It
//! does no I/O but for a line on standard error for an event of an unknown type.

mod adapter;
mod error;
mod instance;
mod open_requests;
mod protocol;

pub use adapter::Adapter;
pub use error::{BatchError, EventError};
