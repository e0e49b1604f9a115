//! One point of a scale experiment as it was measured.

use std::collections::BTreeMap;

use serde::Serialize;

use super::experiment::Conditions;

/// Figures by name; the unit stands in the name.
pub type Figures = BTreeMap<&'static str, f64>;

/// One point as it was played with one seed.
#[derive(Clone, Debug, Serialize)]
pub struct MeasuredPoint {
    /// The experiment's name.
    pub experiment: String,
    /// The axis, with its unit.
    pub axis: &'static str,
    /// The place on the axis.
    pub at: f64,
    /// The seed.
    pub seed: u64,
    /// Why it counts for nothing, where it does.
    pub void: Option<String>,
    /// What a reader of the figures must know, where there is something.
    pub warning: Option<String>,
    /// What held at this point.
    #[serde(rename = "held")]
    pub conditions: Conditions,
    /// What was measured.
    pub figures: Figures,
}
