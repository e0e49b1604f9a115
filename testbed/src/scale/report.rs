//! What a scale run comes to: a table for a terminal, and each figure as SVG with its points, its line and the
//! budget.

use std::fmt::Write as _;

use plotters::prelude::*;

use super::run::{FittedFigure, MeasuredPoint};

const WIDE: (u32, u32) = (720, 400);

fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn with_half(value: f64, half: Option<f64>) -> String {
    half.map_or(short(value), |half| format!("{} ± {}", short(value), short(half)))
}

/// The table: a figure a line, its mean at each point, its slope and what that gives at the plan's size.
pub fn table(axis: &str, points: &[MeasuredPoint], all: &[FittedFigure]) -> String {
    let mut at: Vec<f64> = points.iter().map(|point| point.at).collect();
    at.sort_by(f64::total_cmp);
    at.dedup();
    let mut out = String::new();
    let planned = all.first().map_or(0.0, |fitted| fitted.planned_at);
    let beyond = all.first().and_then(|fitted| fitted.beyond);
    let _ = write!(out, "{:<46}", format!("by {axis}"));
    for at in &at {
        let _ = write!(out, "{at:>12}");
    }
    let beyond = beyond.map_or(String::new(), |beyond| format!(" ({beyond:.1} x the largest)"));
    let to_plan = format!("at {planned}{beyond}");
    let _ = writeln!(out, "{:>26}{to_plan:>34}{:>10}", "slope", "budget");
    for fitted in all {
        let _ = write!(out, "{:<46}", fitted.figure);
        for &at in &at {
            let of: Vec<f64> =
                fitted.points.iter().filter(|point| point.0 == at).map(|point| point.1).collect();
            let mean = of.iter().sum::<f64>() / of.len() as f64;
            let _ = write!(out, "{:>12}", if of.is_empty() { "-".to_owned() } else { short(mean) });
        }
        let (slope, there) = fitted.line.map_or(("-".to_owned(), "-".to_owned()), |line| {
            (with_half(line.slope, line.slope_half), with_half(line.there, line.there_half))
        });
        let budget = fitted.budget.map_or(String::new(), short);
        let _ = writeln!(out, "{slope:>26}{there:>34}{budget:>10}");
    }
    for point in points {
        if let Some(void) = &point.void {
            let _ = writeln!(out, "VOID: {axis} = {} seed {}: {void}", point.at, point.seed);
        }
        if let Some(warning) = &point.warning {
            let _ = writeln!(out, "WARNING: {axis} = {} seed {}: {warning}", point.at, point.seed);
        }
    }
    out
}

/// A figure's file name.
pub fn file_name(figure: &str) -> String {
    let letter =
        |letter: char| if letter.is_ascii_alphanumeric() { letter.to_ascii_lowercase() } else { '-' };
    let name: String = figure.chars().map(letter).collect();
    let parts: Vec<&str> = name.split('-').filter(|part| !part.is_empty()).collect();
    parts.join("-") + ".svg"
}

/// A figure with its line and budget.
///
/// # Errors
/// What the drawing failed of.
pub fn svg(axis: &str, fitted: &FittedFigure) -> Result<String, String> {
    let mut svg = String::new();
    let failed = |cause: &dyn std::fmt::Display| format!("{}: {cause}", fitted.figure);
    let all = || fitted.points.iter().chain(&fitted.void);
    let right = all().map(|point| point.0).fold(1.0, f64::max) * 1.05;
    let highest = all().map(|point| point.1).fold(1e-9, f64::max);
    // A budget far above would flatten all else: it is told in the title then.
    let near = fitted.budget.filter(|&budget| budget < 4.0 * highest);
    let top = near.map_or(highest, |budget| budget.max(highest)) * 1.15;
    let title = match (fitted.budget, near) {
        (Some(budget), None) => format!("{} (budget {})", fitted.figure, short(budget)),
        _ => fitted.figure.to_owned(),
    };
    {
        let area = SVGBackend::with_string(&mut svg, WIDE).into_drawing_area();
        area.fill(&WHITE).map_err(|cause| failed(&cause))?;
        let mut chart = ChartBuilder::on(&area)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(64)
            .build_cartesian_2d(0.0..right, 0.0..top)
            .map_err(|cause| failed(&cause))?;
        chart.configure_mesh().x_desc(axis).light_line_style(WHITE).draw().map_err(|cause| failed(&cause))?;
        let blue = RGBColor(31, 119, 180);
        let dots = fitted.points.iter().map(|&point| Circle::new(point, 4, blue.filled()));
        chart.draw_series(dots).map_err(|cause| failed(&cause))?;
        let rings = fitted.void.iter().map(|&point| Circle::new(point, 4, BLACK.mix(0.4)));
        chart.draw_series(rings).map_err(|cause| failed(&cause))?;
        if let Some(line) = fitted.line {
            let ends = [0.0, right].map(|x| (x, line.intercept + line.slope * x));
            let drawn = LineSeries::new(ends, blue.stroke_width(1));
            chart.draw_series(drawn).map_err(|cause| failed(&cause))?;
        }
        if let Some(budget) = near {
            let drawn = LineSeries::new([(0.0, budget), (right, budget)], RED.stroke_width(1));
            chart.draw_series(drawn).map_err(|cause| failed(&cause))?;
        }
        area.present().map_err(|cause| failed(&cause))?;
    }
    Ok(svg)
}
