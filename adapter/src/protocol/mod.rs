//! The messages of the simulator's protocol. Serde names are those of the protocol; types and
//! fields are named in the router's own terms.

mod actions;
mod events;

pub use actions::{encode, encode_failed_start, timer, Outbox, Reply};
pub use events::{AttemptEnd, Batch, Event, ListEntry, NewRequest, Scope};
