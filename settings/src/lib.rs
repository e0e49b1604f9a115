//! The settings of a deployment, as operators write them, and their conversion to the router's own
//! configuration.
//!
//! [`OperatorSettings`] is the settings object as serde reads it. Both the simulator's adapter and
//! the balancer convert it once, with [`OperatorSettings::policy_config`],
//! [`OperatorSettings::runtime_limits`] and [`NameTable::new`], and do not keep the object itself.
//! This crate does no I/O: the caller loads the object.

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

/// Rounds milliseconds to whole microseconds; the simulator counts in milliseconds with fractions.
pub fn micros(ms: f64) -> Micros {
    (ms * 1000.0).round() as Micros
}
