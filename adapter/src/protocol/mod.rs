//! The wire's messages as they are read and written. The names that serde reads are the wire's;
//! types and fields have the names of the router's own terms.

mod actions;
mod events;

pub use actions::{encode, encode_failed_start, timer, Outbox, Reply};
pub use events::{AttemptEnd, Batch, Event, ListEntry, NewRequest, Scope};
