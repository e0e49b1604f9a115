//! A straight line through points by least squares, with 95% intervals by Student's t. Pure.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The upper end of a two-sided 95% interval, as a quantile.
const INTERVAL_QUANTILE: f64 = 0.975;

/// A line, and what it predicts at one place. Half the width of an interval is `None` with fewer
/// than three points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// The line at 0.
    pub intercept: f64,
    /// How much it rises by each unit.
    pub slope: f64,
    /// Half of the slope's interval.
    #[serde(rename = "slope_half")]
    pub slope_half_width: Option<f64>,
    /// The mean at the place asked for, extrapolated where no point lies as far.
    #[serde(rename = "there")]
    pub prediction: f64,
    /// Half of the prediction's interval.
    #[serde(rename = "there_half")]
    pub prediction_half_width: Option<f64>,
    /// The root of the mean square of the distances to the line.
    pub residual: f64,
}

/// The line through (x, y), and its value at `predict_at`; `None` with fewer than two points, and
/// where all have the same x.
pub fn fit_line(points: &[(f64, f64)], predict_at: f64) -> Option<LinearFit> {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let variation: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
    if points.len() < 2 || variation <= 0.0 {
        return None;
    }
    let covariation: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
    let slope = covariation / variation;
    let intercept = mean_y - slope * mean_x;
    let squared_error: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
    let degrees_of_freedom = count - 2.0;
    let margin =
        if degrees_of_freedom > 0.0 { Some(margin(squared_error, degrees_of_freedom)?) } else { None };
    let half_width = |variance: f64| margin.map(|margin| margin * variance.sqrt());
    Some(LinearFit {
        intercept,
        slope,
        slope_half_width: half_width(1.0 / variation),
        prediction: intercept + slope * predict_at,
        prediction_half_width: half_width(1.0 / count + (predict_at - mean_x).powi(2) / variation),
        residual: (squared_error / count).sqrt(),
    })
}

/// The standard error of the points times Student's t; `None` where there is no such distribution.
fn margin(squared_error: f64, degrees_of_freedom: f64) -> Option<f64> {
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?;
    let standard_error = (squared_error / degrees_of_freedom).sqrt();
    Some(distribution.inverse_cdf(INTERVAL_QUANTILE) * standard_error)
}
