//! Least-squares fit of a straight line, with 95% intervals by Student's t.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// The upper end of a two-sided 95% interval, as a quantile.
const INTERVAL_QUANTILE: f64 = 0.975;

/// A line, and its prediction at one x. The half-widths of intervals are `None` with fewer than
/// three points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    /// The value of the line at x = 0.
    pub intercept: f64,
    /// The rise of the line for each unit of x.
    pub slope: f64,
    /// Half the width of the slope's interval.
    #[serde(rename = "slope_half")]
    pub slope_half_width: Option<f64>,
    /// The value of the line at the requested x, which may lie beyond all points.
    #[serde(rename = "there")]
    pub prediction: f64,
    /// Half the width of the interval of the predicted mean.
    #[serde(rename = "there_half")]
    pub prediction_half_width: Option<f64>,
    /// The root mean square of the residuals.
    pub residual: f64,
}

/// Fits a line through points (x, y) and predicts its value at `predict_at`. `None` with fewer than
/// two points or if all have the same x.
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

/// The standard error of the regression times Student's t; `None` if `degrees_of_freedom` is
/// invalid for the distribution.
fn margin(squared_error: f64, degrees_of_freedom: f64) -> Option<f64> {
    let distribution = StudentsT::new(0.0, 1.0, degrees_of_freedom).ok()?;
    let standard_error = (squared_error / degrees_of_freedom).sqrt();
    Some(distribution.inverse_cdf(INTERVAL_QUANTILE) * standard_error)
}
