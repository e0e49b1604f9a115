//! The measured result of one point of a scale experiment.

use std::collections::BTreeMap;

use serde::Serialize;

use super::experiment::Conditions;

/// Figures by name; the name contains the unit.
pub type Figures = BTreeMap<&'static str, f64>;

/// The result of one run of a point, with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct MeasuredPoint {
    /// The experiment's name.
    pub experiment: String,
    /// The name of the axis, with its unit.
    pub axis: &'static str,
    /// The value on the axis.
    pub at: f64,
    /// The seed of the run.
    pub seed: u64,
    /// Why the result is void; `None` for a valid result.
    pub void: Option<String>,
    /// A warning about the figures of a valid result.
    pub warning: Option<String>,
    /// The conditions of this point.
    #[serde(rename = "held")]
    pub conditions: Conditions,
    /// The measured figures.
    pub figures: Figures,
}
