//! Reports of a scale run: a table for the terminal, and an SVG chart of each figure with its
//! points, fitted line and budget.

use std::fmt::Write as _;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

use super::fit::FittedFigure;
use super::point::MeasuredPoint;

/// The size of a chart, in pixels.
const CHART_SIZE: (u32, u32) = (720, 400);
/// A budget of at least this multiple of the highest point goes into the title instead of the
/// chart, where it would flatten everything else.
const MAX_BUDGET_RATIO: f64 = 4.0;

/// A chart could not be drawn.
#[derive(Debug, Error)]
#[error("drawing the chart of {figure:?}: {cause}")]
pub struct DrawError {
    figure: &'static str,
    cause: String,
}

fn format_value(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn format_with_interval(value: f64, half_width: Option<f64>) -> String {
    match half_width {
        Some(half_width) => format!("{} ± {}", format_value(value), format_value(half_width)),
        None => format_value(value),
    }
}

/// The table: a line for each figure with its mean at each point, its slope and the prediction at
/// the planned size; then why points are void, and warnings.
pub fn table(axis: &str, points: &[MeasuredPoint], figures: &[FittedFigure]) -> String {
    let mut axis_values: Vec<f64> = points.iter().map(|point| point.at).collect();
    axis_values.sort_by(f64::total_cmp);
    axis_values.dedup();
    let mut table = heading(axis, &axis_values, figures.first());
    for figure in figures {
        table += &row(figure, &axis_values);
    }
    for point in points {
        table += &void_and_warning_lines(axis, point);
    }
    table
}

fn heading(axis: &str, axis_values: &[f64], first: Option<&FittedFigure>) -> String {
    let mut line = format!("{:<46}", format!("by {axis}"));
    for axis_value in axis_values {
        let _ = write!(line, "{axis_value:>12}");
    }
    let planned_at = first.map_or(0.0, |figure| figure.planned_at);
    let extrapolation = first.and_then(|figure| figure.extrapolation);
    let times = extrapolation.map_or(String::new(), |times| format!(" ({times:.1} x the largest)"));
    let planned = format!("at {planned_at}{times}");
    let _ = writeln!(line, "{:>26}{planned:>34}{:>10}", "slope", "budget");
    line
}

fn row(figure: &FittedFigure, axis_values: &[f64]) -> String {
    let mut line = format!("{:<46}", figure.figure);
    for &axis_value in axis_values {
        let mean = mean_at(&figure.points, axis_value).map_or("-".to_owned(), format_value);
        let _ = write!(line, "{mean:>12}");
    }
    let (slope, prediction) = match figure.line {
        Some(line) => (
            format_with_interval(line.slope, line.slope_half_width),
            format_with_interval(line.prediction, line.prediction_half_width),
        ),
        None => ("-".to_owned(), "-".to_owned()),
    };
    let budget = figure.budget.map_or(String::new(), format_value);
    let _ = writeln!(line, "{slope:>26}{prediction:>34}{budget:>10}");
    line
}

/// The mean over the repeats of a point; `None` if all are void.
fn mean_at(points: &[(f64, f64)], axis_value: f64) -> Option<f64> {
    let values: Vec<f64> =
        points.iter().filter(|(at, _)| *at == axis_value).map(|(_, value)| *value).collect();
    if values.is_empty() {
        return None;
    }
    Some(values.iter().sum::<f64>() / values.len() as f64)
}

fn void_and_warning_lines(axis: &str, point: &MeasuredPoint) -> String {
    let mut lines = String::new();
    let MeasuredPoint { at, seed, .. } = point;
    if let Some(void) = &point.void {
        let _ = writeln!(lines, "VOID: {axis} = {at} seed {seed}: {void}");
    }
    if let Some(warning) = &point.warning {
        let _ = writeln!(lines, "WARNING: {axis} = {at} seed {seed}: {warning}");
    }
    lines
}

/// The file name of a figure's chart.
pub fn file_name(figure: &str) -> String {
    let to_letter =
        |letter: char| if letter.is_ascii_alphanumeric() { letter.to_ascii_lowercase() } else { '-' };
    let name: String = figure.chars().map(to_letter).collect();
    let words: Vec<&str> = name.split('-').filter(|word| !word.is_empty()).collect();
    words.join("-") + ".svg"
}

/// The chart of a figure with its line and budget, as SVG.
///
/// # Errors
/// The chart could not be drawn.
pub fn svg(axis: &str, figure: &FittedFigure) -> Result<String, DrawError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, CHART_SIZE).into_drawing_area();
    let drawn = draw(&area, axis, figure);
    drop(area);
    drawn.map_err(|cause| DrawError { figure: figure.figure, cause: cause.to_string() })?;
    Ok(svg)
}

/// The extent of a chart's axes, its title and its budget line.
struct Layout {
    right: f64,
    top: f64,
    /// The budget, if it is low enough to be drawn.
    drawn_budget: Option<f64>,
    title: String,
}

impl Layout {
    fn of(figure: &FittedFigure) -> Layout {
        let points = || figure.points.iter().chain(&figure.void_points);
        let rightmost = points().map(|(x, _)| *x).fold(1.0, f64::max);
        let highest = points().map(|(_, y)| *y).fold(1e-9, f64::max);
        let drawn_budget = figure.budget.filter(|&budget| budget < MAX_BUDGET_RATIO * highest);
        let title = match (figure.budget, drawn_budget) {
            (Some(budget), None) => format!("{} (budget {})", figure.figure, format_value(budget)),
            _ => figure.figure.to_owned(),
        };
        let top = drawn_budget.map_or(highest, |budget| budget.max(highest)) * 1.15;
        Layout { right: rightmost * 1.05, top, drawn_budget, title }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type DrawResult<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(area: &Area<'a>, axis: &str, figure: &FittedFigure) -> DrawResult<'a> {
    let layout = Layout::of(figure);
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(area)
        .caption(&layout.title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(34)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..layout.right, 0.0..layout.top)?;
    chart.configure_mesh().x_desc(axis).light_line_style(WHITE).draw()?;
    draw_points(&mut chart, figure)?;
    draw_lines(&mut chart, figure, &layout)?;
    area.present()
}

const FIGURE_COLOR: RGBColor = RGBColor(31, 119, 180);

/// Draws valid points as discs, void points as grey circles.
fn draw_points<'b>(chart: &mut Chart<'_, 'b>, figure: &FittedFigure) -> DrawResult<'b> {
    let discs = figure.points.iter().map(|&point| Circle::new(point, 4, FIGURE_COLOR.filled()));
    chart.draw_series(discs)?;
    let circles = figure.void_points.iter().map(|&point| Circle::new(point, 4, BLACK.mix(0.4)));
    chart.draw_series(circles)?;
    Ok(())
}

fn draw_lines<'b>(chart: &mut Chart<'_, 'b>, figure: &FittedFigure, layout: &Layout) -> DrawResult<'b> {
    let right = layout.right;
    if let Some(line) = figure.line {
        let ends = [0.0, right].map(|x| (x, line.intercept + line.slope * x));
        chart.draw_series(LineSeries::new(ends, FIGURE_COLOR.stroke_width(1)))?;
    }
    if let Some(budget) = layout.drawn_budget {
        let ends = [(0.0, budget), (right, budget)];
        chart.draw_series(LineSeries::new(ends, RED.stroke_width(1)))?;
    }
    Ok(())
}
