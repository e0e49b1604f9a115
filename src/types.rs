//! The types of the policy's interface: identifiers, time, configuration, events and actions.

mod config;
mod endpoints;
mod events;
mod ids;
mod rng;

pub use config::*;
pub use endpoints::*;
pub use events::*;
pub use ids::*;
pub use rng::*;

/// A point in time or a span, in whole microseconds.
pub type Micros = i64;
