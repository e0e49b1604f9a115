//! Fits a line through the valid points of each figure of a scale run and extrapolates it to the
//! planned size.

use std::collections::BTreeSet;

use serde::Serialize;

use super::experiment::ScaleExperiment;
use super::point::MeasuredPoint;
use super::regression::{fit_line, LinearFit};

/// A figure along the axis. Points are pairs of the axis value and the figure's value.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    /// The name of the figure, which contains its unit.
    pub figure: &'static str,
    /// The valid points.
    pub points: Vec<(f64, f64)>,
    /// Void points, which are drawn but not fitted.
    #[serde(rename = "void")]
    pub void_points: Vec<(f64, f64)>,
    /// The line, with its prediction at the planned size.
    pub line: Option<LinearFit>,
    /// The planned size on the axis.
    pub planned_at: f64,
    /// The planned size as a multiple of the largest valid point; `None` without a valid point.
    #[serde(rename = "beyond")]
    pub extrapolation: Option<f64>,
    /// The upper limit of the figure, if it has a budget.
    pub budget: Option<f64>,
}

/// Fits each figure that at least one point has, in the order of their names.
pub fn fit_figures(experiment: &ScaleExperiment, points: &[MeasuredPoint]) -> Vec<FittedFigure> {
    let (valid, void): (Vec<_>, Vec<_>) = points.iter().partition(|point| point.void.is_none());
    let figures: BTreeSet<_> = points.iter().flat_map(|point| point.figures.keys().copied()).collect();
    let largest = valid.iter().map(|point| point.at).fold(0.0, f64::max);
    let planned_at = experiment.planned_size();
    let extrapolation = Some(planned_at / largest).filter(|ratio| ratio.is_finite());
    let fit = |figure| {
        let points = values_of(figure, &valid);
        FittedFigure {
            figure,
            line: fit_line(&points, planned_at),
            points,
            void_points: values_of(figure, &void),
            planned_at,
            extrapolation,
            budget: budget_of(experiment, figure),
        }
    };
    figures.into_iter().map(fit).collect()
}

/// The values of one figure at the points that have it.
fn values_of(figure: &str, points: &[&MeasuredPoint]) -> Vec<(f64, f64)> {
    let value_at = |point: &&MeasuredPoint| Some((point.at, *point.figures.get(figure)?));
    points.iter().filter_map(value_at).collect()
}

fn budget_of(experiment: &ScaleExperiment, figure: &str) -> Option<f64> {
    match figure {
        "control CPU, % of a core" => Some(100.0 * experiment.budget.core),
        "memory a balancer, MB" => Some(experiment.budget.memory_mb),
        "control bytes/s a balancer, both ways" => Some(experiment.budget.bytes_per_s),
        _ => None,
    }
}
