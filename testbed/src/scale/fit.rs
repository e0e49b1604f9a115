//! How each figure of a scale run grows along the axis: a line through the points that count, and
//! what it gives at the planned size.

use std::collections::BTreeSet;

use serde::Serialize;

use super::experiment::ScaleExperiment;
use super::point::MeasuredPoint;
use super::regression::{fit_line, LinearFit};

/// A figure along the axis. A point is its place on the axis and the figure there.
#[derive(Clone, Debug, Serialize)]
pub struct FittedFigure {
    /// Its name; the unit stands in it.
    pub figure: &'static str,
    /// The points that count.
    pub points: Vec<(f64, f64)>,
    /// Points that count for nothing: drawn, and left out of the line.
    #[serde(rename = "void")]
    pub void_points: Vec<(f64, f64)>,
    /// The line, and what it gives at the planned size.
    pub line: Option<LinearFit>,
    /// The planned size.
    pub planned_at: f64,
    /// The planned size as a multiple of the largest point that counts; none where none counts.
    #[serde(rename = "beyond")]
    pub extrapolation: Option<f64>,
    /// The most that the figure may be, where there is a budget for it.
    pub budget: Option<f64>,
}

/// Fits every figure that some point has, in the order of their names.
pub fn fit_figures(experiment: &ScaleExperiment, points: &[MeasuredPoint]) -> Vec<FittedFigure> {
    let (sound, void): (Vec<_>, Vec<_>) = points.iter().partition(|point| point.void.is_none());
    let figures: BTreeSet<_> = points.iter().flat_map(|point| point.figures.keys().copied()).collect();
    let largest = sound.iter().map(|point| point.at).fold(0.0, f64::max);
    let planned_at = experiment.planned_size();
    let extrapolation = Some(planned_at / largest).filter(|times| times.is_finite());
    let fit = |figure| {
        let points = values_of(figure, &sound);
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

/// One figure at each point that has it.
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
