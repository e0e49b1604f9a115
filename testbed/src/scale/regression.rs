//! A straight line through points by least squares, with 95% intervals by Student's t. Pure.

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// A line, and what it gives further on. Half intervals are `None` with fewer than three points.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LinearFit {
    pub intercept: f64,
    pub slope: f64,
    pub slope_half: Option<f64>,
    /// At the place that was asked for: the mean there, extrapolated where no point lies as far.
    pub there: f64,
    pub there_half: Option<f64>,
    /// The root of the mean square of what the line leaves.
    pub residual: f64,
}

/// The line through (x, y) and its value at `there`; `None` where all points have the same x.
pub fn fit_line(points: &[(f64, f64)], there: f64) -> Option<LinearFit> {
    let n = points.len() as f64;
    let mean = |read: fn(&(f64, f64)) -> f64| points.iter().map(read).sum::<f64>() / n;
    let (x, y) = (mean(|point| point.0), mean(|point| point.1));
    let spread: f64 = points.iter().map(|point| (point.0 - x).powi(2)).sum();
    if points.len() < 2 || spread <= 0.0 {
        return None;
    }
    let slope = points.iter().map(|point| (point.0 - x) * (point.1 - y)).sum::<f64>() / spread;
    let intercept = y - slope * x;
    let left: f64 = points.iter().map(|point| (point.1 - intercept - slope * point.0).powi(2)).sum();
    let freedom = n - 2.0;
    let (deviation, times) = if freedom > 0.0 {
        let law = StudentsT::new(0.0, 1.0, freedom).ok()?;
        (Some((left / freedom).sqrt()), law.inverse_cdf(0.975))
    } else {
        (None, 0.0)
    };
    let half = |part: f64| deviation.map(|deviation| times * deviation * part.sqrt());
    Some(LinearFit {
        intercept,
        slope,
        slope_half: half(1.0 / spread),
        there: intercept + slope * there,
        there_half: half(1.0 / n + (there - x).powi(2) / spread),
        residual: (left / n).sqrt(),
    })
}
