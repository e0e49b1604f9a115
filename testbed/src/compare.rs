//! Compares two arms by pairing their runs by seed, and tells for each figure whether the
//! difference is above noise.

use std::io;
use std::path::{Path, PathBuf};

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};
use thiserror::Error;

use crate::figures::Run;

/// The quantile of Student's t distribution that bounds a two-sided 95% interval.
const QUANTILE_OF_INTERVAL: f64 = 0.975;

/// A figure of runs that is compared.
pub struct ComparedFigure {
    /// The figure's name in tables and JSON.
    pub name: &'static str,
    /// Whether a larger value is better.
    pub more_is_better: bool,
    /// Reads the figure from a run.
    pub read: fn(&Run) -> f64,
}

impl ComparedFigure {
    const fn more(name: &'static str, read: fn(&Run) -> f64) -> ComparedFigure {
        ComparedFigure { name, more_is_better: true, read }
    }

    const fn less(name: &'static str, read: fn(&Run) -> f64) -> ComparedFigure {
        ComparedFigure { name, more_is_better: false, read }
    }
}

/// All compared figures, in the order of tables.
pub const COMPARED: [ComparedFigure; 13] = [
    ComparedFigure::more("benefit", |run| run.figures.benefit),
    ComparedFigure::more("served %", |run| percent(run, run.figures.served)),
    ComparedFigure::less("nacked %", |run| percent(run, run.figures.rejected)),
    ComparedFigure::less("failed %", |run| percent(run, run.figures.failed)),
    ComparedFigure::less("lost %", |run| percent(run, run.figures.lost)),
    ComparedFigure::less("p50 ms", |run| run.figures.latency.p50),
    ComparedFigure::less("p99 ms", |run| run.figures.latency.p99),
    ComparedFigure::less("p99.9 ms", |run| run.figures.latency.p999),
    ComparedFigure::less("pushes an op", |run| run.figures.attempts_per_request),
    ComparedFigure::less("CPU us an op", |run| run.figures.cpu_us_per_request),
    ComparedFigure::less("peak memory kB", peak_memory_kb),
    ComparedFigure::less("new connections/s", |run| run.figures.opened_per_s),
    ComparedFigure::less("breaches", |run| run.breaches.len() as f64),
];

fn percent(run: &Run, count: u64) -> f64 {
    100.0 * count as f64 / run.figures.requests.max(1) as f64
}

fn peak_memory_kb(run: &Run) -> f64 {
    run.figures.balancers.iter().map(|used| used.peak_kb).max().unwrap_or(0) as f64
}

/// The comparison of one figure.
#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Row {
    /// The figure's name.
    pub figure: &'static str,
    /// The mean of arm A.
    pub a: f64,
    /// The mean of arm B.
    pub b: f64,
    /// The mean over the pairs of B minus A.
    pub difference: f64,
    /// Half the width of the difference's 95% interval; none with fewer than two pairs.
    pub half: Option<f64>,
    /// The conclusion, in words.
    pub verdict: &'static str,
}

impl Row {
    fn of(figure: &ComparedFigure, pairs: &[(&Run, &Run)]) -> Row {
        let read = figure.read;
        let count = pairs.len() as f64;
        let a = pairs.iter().map(|pair| read(pair.0)).sum::<f64>() / count;
        let b = pairs.iter().map(|pair| read(pair.1)).sum::<f64>() / count;
        let differences: Vec<f64> = pairs.iter().map(|pair| read(pair.1) - read(pair.0)).collect();
        let (difference, half) = mean_and_half_interval(&differences);
        let verdict = match half {
            None => "one pair: no interval",
            Some(half) if difference.abs() <= half || difference == 0.0 => "within noise",
            _ if (difference > 0.0) == figure.more_is_better => "B better",
            _ => "B worse",
        };
        Row { figure: figure.name, a, b, difference, half, verdict }
    }
}

/// Two arms have no seed for which both hold a run that is not void.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("no pair to compare: no seed has a run that is not void on both sides")]
pub struct NoPairs;

/// Compares two arms. Returns the number of pairs and a row for each figure. Runs with the same
/// seed form a pair; void runs are ignored.
///
/// # Errors
/// Fails if there is no pair.
pub fn compare(a: &[&Run], b: &[&Run]) -> Result<(usize, Vec<Row>), NoPairs> {
    let mut pairs = Vec::new();
    for &run_a in a.iter().filter(|run| run.void.is_none()) {
        let mut valid_b = b.iter().filter(|run| run.void.is_none());
        if let Some(&run_b) = valid_b.find(|run| run.seed == run_a.seed) {
            pairs.push((run_a, run_b));
        }
    }
    if pairs.is_empty() {
        return Err(NoPairs);
    }
    let rows = COMPARED.iter().map(|figure| Row::of(figure, &pairs)).collect();
    Ok((pairs.len(), rows))
}

/// The mean and half the width of its 95% interval (Student's t), which needs at least two values.
pub fn mean_and_half_interval(values: &[f64]) -> (f64, Option<f64>) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    if values.len() < 2 {
        return (mean, None);
    }
    let variance = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let quantile = StudentsT::new(0.0, 1.0, count - 1.0)
        .map_or(f64::INFINITY, |distribution| distribution.inverse_cdf(QUANTILE_OF_INTERVAL));
    (mean, Some(quantile * (variance / count).sqrt()))
}

/// Why a result can't be read.
#[derive(Debug, Error)]
pub enum ResultError {
    /// The file can't be read.
    #[error("{}: {cause}", path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The I/O error.
        cause: io::Error,
    },
    /// A line is not a run.
    #[error("{}:{line}: {cause}", path.display())]
    InvalidLine {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The parser's error.
        cause: serde_json::Error,
    },
}

/// Reads the runs of a result, given its folder or its `runs.jsonl`.
///
/// # Errors
/// The message is one line with the file and the invalid line's number.
pub fn read(folder: &Path) -> Result<Vec<Run>, ResultError> {
    let path = if folder.is_dir() { folder.join("runs.jsonl") } else { folder.to_owned() };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(cause) => return Err(ResultError::Unreadable { path, cause }),
    };
    let mut runs = Vec::new();
    for (nth, line) in text.lines().enumerate() {
        let run = serde_json::from_str(line).map_err(|cause| ResultError::InvalidLine {
            path: path.clone(),
            line: nth + 1,
            cause,
        })?;
        runs.push(run);
    }
    Ok(runs)
}

/// Formats a comparison as a table for a terminal.
pub fn format_table(rows: &[Row], pairs: usize) -> String {
    let mut out = format!("{pairs} pairs of seeds; difference is B minus A with its 95% interval\n");
    for row in rows {
        let half = row.half.map_or(String::new(), |half| format!(" ± {half:.3}"));
        out += &format!(
            "{:<16} A {:>10.3}  B {:>10.3}  {:>+10.3}{half:<12}  {}\n",
            row.figure, row.a, row.b, row.difference, row.verdict
        );
    }
    out
}
