//! What a scale run comes to: a table for a terminal, and each figure as SVG with its points, its
//! line and the budget.

use std::fmt::Write as _;

use plotters::coord::types::RangedCoordf64;
use plotters::coord::Shift;
use plotters::prelude::*;
use thiserror::Error;

use super::fit::FittedFigure;
use super::point::MeasuredPoint;

/// The size of a drawing, in pixels.
const DRAWING_SIZE: (u32, u32) = (720, 400);
/// A budget so many times the highest point is written in the title instead of drawn: the drawing
/// would flatten all else.
const MAX_BUDGET_TO_HIGHEST: f64 = 4.0;

/// A drawing failed.
#[derive(Debug, Error)]
#[error("{figure}: {cause}")]
pub struct DrawError {
    figure: &'static str,
    cause: String,
}

fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 1_000.0 => format!("{value:.0}"),
        size if size >= 10.0 => format!("{value:.1}"),
        size if size >= 0.1 => format!("{value:.3}"),
        _ => format!("{value:.2e}"),
    }
}

fn with_interval(value: f64, half_width: Option<f64>) -> String {
    match half_width {
        Some(half_width) => format!("{} ± {}", short(value), short(half_width)),
        None => short(value),
    }
}

/// The table: a figure a line, its mean at each point, its slope and what that gives at the planned
/// size; then why points don't count, and what must be known of them.
pub fn table(axis: &str, points: &[MeasuredPoint], figures: &[FittedFigure]) -> String {
    let mut places: Vec<f64> = points.iter().map(|point| point.at).collect();
    places.sort_by(f64::total_cmp);
    places.dedup();
    let mut table = heading(axis, &places, figures.first());
    for figure in figures {
        table += &row(figure, &places);
    }
    for point in points {
        table += &remarks(axis, point);
    }
    table
}

fn heading(axis: &str, places: &[f64], first: Option<&FittedFigure>) -> String {
    let mut line = format!("{:<46}", format!("by {axis}"));
    for place in places {
        let _ = write!(line, "{place:>12}");
    }
    let planned_at = first.map_or(0.0, |figure| figure.planned_at);
    let extrapolation = first.and_then(|figure| figure.extrapolation);
    let times = extrapolation.map_or(String::new(), |times| format!(" ({times:.1} x the largest)"));
    let planned = format!("at {planned_at}{times}");
    let _ = writeln!(line, "{:>26}{planned:>34}{:>10}", "slope", "budget");
    line
}

fn row(figure: &FittedFigure, places: &[f64]) -> String {
    let mut line = format!("{:<46}", figure.figure);
    for &place in places {
        let mean = mean_at(&figure.points, place).map_or("-".to_owned(), short);
        let _ = write!(line, "{mean:>12}");
    }
    let (slope, prediction) = match figure.line {
        Some(line) => (
            with_interval(line.slope, line.slope_half_width),
            with_interval(line.prediction, line.prediction_half_width),
        ),
        None => ("-".to_owned(), "-".to_owned()),
    };
    let budget = figure.budget.map_or(String::new(), short);
    let _ = writeln!(line, "{slope:>26}{prediction:>34}{budget:>10}");
    line
}

/// The mean over the repeats of a point; none where none counts.
fn mean_at(points: &[(f64, f64)], place: f64) -> Option<f64> {
    let values: Vec<f64> = points.iter().filter(|(at, _)| *at == place).map(|(_, value)| *value).collect();
    if values.is_empty() {
        return None;
    }
    Some(values.iter().sum::<f64>() / values.len() as f64)
}

fn remarks(axis: &str, point: &MeasuredPoint) -> String {
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

/// The name of a figure's drawing.
pub fn file_name(figure: &str) -> String {
    let to_letter =
        |letter: char| if letter.is_ascii_alphanumeric() { letter.to_ascii_lowercase() } else { '-' };
    let name: String = figure.chars().map(to_letter).collect();
    let words: Vec<&str> = name.split('-').filter(|word| !word.is_empty()).collect();
    words.join("-") + ".svg"
}

/// A figure with its line and budget, as SVG.
///
/// # Errors
/// What the drawing failed of.
pub fn svg(axis: &str, figure: &FittedFigure) -> Result<String, DrawError> {
    let mut svg = String::new();
    let area = SVGBackend::with_string(&mut svg, DRAWING_SIZE).into_drawing_area();
    let drawn = draw(&area, axis, figure);
    drop(area);
    drawn.map_err(|cause| DrawError { figure: figure.figure, cause: cause.to_string() })?;
    Ok(svg)
}

/// How far the axes of a drawing go, and where its budget is.
struct Layout {
    right: f64,
    top: f64,
    /// The budget, where it is low enough to be drawn.
    drawn_budget: Option<f64>,
    title: String,
}

impl Layout {
    fn of(figure: &FittedFigure) -> Layout {
        let points = || figure.points.iter().chain(&figure.void_points);
        let rightmost = points().map(|(x, _)| *x).fold(1.0, f64::max);
        let highest = points().map(|(_, y)| *y).fold(1e-9, f64::max);
        let drawn_budget = figure.budget.filter(|&budget| budget < MAX_BUDGET_TO_HIGHEST * highest);
        let title = match (figure.budget, drawn_budget) {
            (Some(budget), None) => format!("{} (budget {})", figure.figure, short(budget)),
            _ => figure.figure.to_owned(),
        };
        let top = drawn_budget.map_or(highest, |budget| budget.max(highest)) * 1.15;
        Layout { right: rightmost * 1.05, top, drawn_budget, title }
    }
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type Drawn<'a> = Result<(), DrawingAreaErrorKind<<SVGBackend<'a> as DrawingBackend>::ErrorType>>;

fn draw<'a>(area: &Area<'a>, axis: &str, figure: &FittedFigure) -> Drawn<'a> {
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

/// Points that count as discs, the others as grey circles.
fn draw_points<'b>(chart: &mut Chart<'_, 'b>, figure: &FittedFigure) -> Drawn<'b> {
    let discs = figure.points.iter().map(|&point| Circle::new(point, 4, FIGURE_COLOR.filled()));
    chart.draw_series(discs)?;
    let circles = figure.void_points.iter().map(|&point| Circle::new(point, 4, BLACK.mix(0.4)));
    chart.draw_series(circles)?;
    Ok(())
}

fn draw_lines<'b>(chart: &mut Chart<'_, 'b>, figure: &FittedFigure, layout: &Layout) -> Drawn<'b> {
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
