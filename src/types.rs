//! The policy's vocabulary: identifiers, time, configuration, and the events and actions that cross
//! its border.

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
