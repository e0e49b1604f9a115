//! The operators' settings of a deployment, as they are handed out, and what the router makes of
//! them.
//!
//! [`OperatorSettings`] is the settings object as serde reads it. It is read once, both for the
//! simulator's adapter and for the balancer on sockets, into [`OperatorSettings::policy_config`],
//! [`OperatorSettings::runtime_limits`] and the [`NameTable`] that turns names into ids; the object
//! itself is not kept. Pure: where the object comes from is the caller's matter.

mod error;
mod names;
mod operator_settings;
mod policy_config;
mod runtime_limits;

use basaltwood::types::Micros;

pub use error::{SettingsError, UnknownName};
pub use names::{EndpointRecord, IdTable, NameTable};
pub use operator_settings::OperatorSettings;
pub use runtime_limits::RuntimeLimits;

/// Milliseconds with fractions, to the nearest whole microsecond: the simulator counts in these.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}
