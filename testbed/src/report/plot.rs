//! The plots of a report, as SVG.

use std::collections::BTreeMap;
use std::error::Error;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::{escape, Arms};
use crate::figures::{Second, ShadedFault};

/// Width and height in pixels.
const SIZE: (u32, u32) = (900, 320);
/// The colours of the arms, reused from the first one if there are more arms.
const COLOURS: [RGBColor; 6] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 160, 44),
    RGBColor(148, 103, 189),
    RGBColor(255, 127, 14),
    RGBColor(23, 190, 207),
];
/// The largest number of faults with a title; more titles would overlap.
const MAX_FAULT_TITLES: usize = 6;
/// The labels of the percentile axis, on which nines are evenly spaced.
const PERCENTILE_LABELS: [&str; 6] = ["0%", "90%", "99%", "99.9%", "99.99%", "99.999%"];

type Point = (f64, f64);
type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// A line of a plot and its name.
struct Series<'a> {
    name: &'a str,
    points: Vec<Point>,
}

/// A plot before it is drawn.
struct Plot<'a> {
    title: &'a str,
    x_title: &'a str,
    faults: &'a [ShadedFault],
    series: Vec<Series<'a>>,
    /// The labels at 0, 1, 2 and so on; if absent, the axis shows numbers.
    x_labels: Option<&'a [&'a str]>,
}

/// Plots a figure by second, as the mean over the runs of each arm, with the faults shaded.
pub(super) fn by_second(
    title: &str,
    faults: &[ShadedFault],
    read: impl Fn(&Second) -> f64,
    arms: &Arms,
) -> String {
    let mut series = Vec::new();
    for (name, runs) in arms {
        let length = runs.iter().map(|run| run.figures.seconds.len()).max().unwrap_or(0);
        let mean = |nth: usize| {
            let seconds = runs.iter().filter_map(|run| run.figures.seconds.get(nth));
            let values: Vec<f64> = seconds.map(&read).collect();
            values.iter().sum::<f64>() / values.len().max(1) as f64
        };
        let points = (0..length).map(|nth| (nth as f64 + 0.5, mean(nth))).collect();
        series.push(Series { name, points });
    }
    Plot { title, x_title: "s", faults, series, x_labels: None }.to_svg()
}

/// Plots latency by percentile, with evenly spaced nines.
pub(super) fn percentiles(arms: &Arms) -> String {
    let mut series = Vec::new();
    for (name, runs) in arms {
        // Sum and count by percentile, in millionths of a percent.
        let mut sums: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
        for &(percentile, ms) in runs.iter().flat_map(|run| &run.figures.latency.curve) {
            let sum = sums.entry((percentile * 1e6) as u64).or_default();
            *sum = (sum.0 + ms, sum.1 + 1.0);
        }
        let points = sums.iter().map(|(at, sum)| (nines(*at), sum.0 / sum.1)).collect();
        series.push(Series { name, points });
    }
    let plot = Plot {
        title: "Latency of served requests (ms) by percentile",
        x_title: "percentile",
        faults: &[],
        series,
        x_labels: Some(&PERCENTILE_LABELS),
    };
    plot.to_svg()
}

/// The number of nines of a percentile that is given in millionths of a percent.
fn nines(percentile: u64) -> f64 {
    -(1.0 - percentile as f64 / 1e8).max(1e-6).log10()
}

impl Plot<'_> {
    /// The plot as SVG, or a paragraph with the cause if drawing fails.
    fn to_svg(&self) -> String {
        let mut svg = String::new();
        let drawn = self.draw(&SVGBackend::with_string(&mut svg, SIZE).into_drawing_area());
        match drawn {
            Ok(()) => svg,
            Err(cause) => {
                format!("<p class=bad>{}: {}</p>", escape(self.title), escape(&cause.to_string()))
            }
        }
    }

    fn largest(&self, smallest: f64, read: impl Fn(&Point) -> f64) -> f64 {
        let points = self.series.iter().flat_map(|series| &series.points);
        points.map(read).fold(smallest, f64::max)
    }

    fn draw(&self, area: &Area) -> Result<(), Box<dyn Error + '_>> {
        let right = self.largest(1.0, |point| point.0);
        let top = self.largest(0.0, |point| point.1).max(1e-3) * 1.08;
        area.fill(&WHITE)?;
        let mut chart = ChartBuilder::on(area)
            .caption(self.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(52)
            .build_cartesian_2d(0.0..right, 0.0..top)?;
        for fault in self.faults {
            let to = fault.to_s.min(right);
            let shade = Rectangle::new([(fault.from_s, 0.0), (to, top)], BLACK.mix(0.07).filled());
            chart.draw_series([shade])?;
        }
        chart
            .configure_mesh()
            .x_desc(self.x_title)
            .x_label_formatter(&|at| self.x_label(*at))
            .light_line_style(WHITE)
            .draw()?;
        for (nth, series) in self.series.iter().enumerate() {
            let style = COLOURS[nth % COLOURS.len()].stroke_width(2);
            chart
                .draw_series(LineSeries::new(series.points.iter().copied(), style))?
                .label(series.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], style));
        }
        let title_font = ("sans-serif", 11).into_font().color(&BLACK.mix(0.6));
        for fault in self.faults.iter().take(MAX_FAULT_TITLES) {
            let at = (fault.from_s, top * 0.98);
            chart.draw_series([Text::new(fault.title.clone(), at, title_font.clone())])?;
        }
        chart
            .configure_series_labels()
            .background_style(WHITE.mix(0.8))
            .border_style(BLACK.mix(0.2))
            .draw()?;
        area.present()?;
        Ok(())
    }

    fn x_label(&self, at: f64) -> String {
        let Some(labels) = self.x_labels else { return format!("{at:.0}") };
        if (at - at.round()).abs() >= 1e-6 {
            return String::new();
        }
        labels.get(at.round() as usize).map_or(String::new(), |label| (*label).to_owned())
    }
}
