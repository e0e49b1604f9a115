//! Sets two arms side by side, paired over the seeds, and says of each figure whether the difference is above noise.

use std::path::Path;

use serde::Serialize;
use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::figures::Run;

/// A figure that is compared: its name, whether more is better, and how it is read.
type Reader = fn(&Run) -> f64;

pub const COMPARED: [(&str, bool, Reader); 13] = [
    ("benefit", true, |run| run.figures.benefit),
    ("served %", true, |run| part(run, run.figures.served)),
    ("nacked %", false, |run| part(run, run.figures.rejected)),
    ("failed %", false, |run| part(run, run.figures.failed)),
    ("lost %", false, |run| part(run, run.figures.lost)),
    ("p50 ms", false, |run| run.figures.latency.p50),
    ("p99 ms", false, |run| run.figures.latency.p99),
    ("p99.9 ms", false, |run| run.figures.latency.p999),
    ("pushes an op", false, |run| run.figures.attempts_per_request),
    ("CPU us an op", false, |run| run.figures.cpu_us_per_request),
    ("peak memory kB", false, |run| {
        run.figures.balancers.iter().map(|used| used.peak_kb).max().unwrap_or(0) as f64
    }),
    ("new connections/s", false, |run| run.figures.opened_per_s),
    ("breaches", false, |run| run.breaches.len() as f64),
];

fn part(run: &Run, count: u64) -> f64 {
    100.0 * count as f64 / run.figures.requests.max(1) as f64
}

#[derive(Clone, Debug, Serialize, PartialEq)]
pub struct Row {
    pub figure: &'static str,
    pub a: f64,
    pub b: f64,
    /// Mean of B less A over the pairs, and half its 95% interval; none with fewer than two pairs.
    pub difference: f64,
    pub half: Option<f64>,
    pub verdict: &'static str,
}

/// Runs with the same seed on both sides are pairs; void ones count for nothing.
///
/// # Errors
/// Where there is no pair.
pub fn compare(a: &[&Run], b: &[&Run]) -> Result<(usize, Vec<Row>), String> {
    let sound = |run: &&&Run| run.void.is_none();
    let pairs: Vec<(&Run, &Run)> = a
        .iter()
        .filter(sound)
        .filter_map(|one| Some((*one, *b.iter().filter(sound).find(|other| other.seed == one.seed)?)))
        .collect();
    if pairs.is_empty() {
        return Err("no seed was played on both sides without being void".to_owned());
    }
    let row = |&(figure, more_is_better, read): &(&'static str, bool, Reader)| {
        let mean = |values: &mut dyn Iterator<Item = f64>| values.sum::<f64>() / pairs.len() as f64;
        let (of_a, of_b) = (
            mean(&mut pairs.iter().map(|pair| read(pair.0))),
            mean(&mut pairs.iter().map(|pair| read(pair.1))),
        );
        let differences: Vec<f64> = pairs.iter().map(|pair| read(pair.1) - read(pair.0)).collect();
        let (difference, half) = interval(&differences);
        let verdict = match half {
            None => "one pair: no interval",
            Some(half) if difference.abs() <= half || difference == 0.0 => "within noise",
            _ if (difference > 0.0) == more_is_better => "B better",
            _ => "B worse",
        };
        Row { figure, a: of_a, b: of_b, difference, half, verdict }
    };
    Ok((pairs.len(), COMPARED.iter().map(row).collect()))
}

/// Mean and half of the 95% interval (Student's t).
pub fn interval(values: &[f64]) -> (f64, Option<f64>) {
    let count = values.len() as f64;
    let mean = values.iter().sum::<f64>() / count.max(1.0);
    if values.len() < 2 {
        return (mean, None);
    }
    let spread = values.iter().map(|value| (value - mean).powi(2)).sum::<f64>() / (count - 1.0);
    let quantile = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |law| law.inverse_cdf(0.975));
    (mean, Some(quantile * (spread / count).sqrt()))
}

/// The runs of a result's folder.
///
/// # Errors
/// One line that names the file and the line of it.
pub fn read(folder: &Path) -> Result<Vec<Run>, String> {
    let path = if folder.is_dir() { folder.join("runs.jsonl") } else { folder.to_owned() };
    let text = std::fs::read_to_string(&path).map_err(|cause| format!("{}: {cause}", path.display()))?;
    let runs = text.lines().enumerate().map(|(nth, line)| {
        serde_json::from_str(line).map_err(|cause| format!("{}:{}: {cause}", path.display(), nth + 1))
    });
    runs.collect()
}

pub fn written(rows: &[Row], pairs: usize) -> String {
    let mut out = format!("{pairs} pairs of seeds; difference is B less A with its 95% interval\n");
    for row in rows {
        let half = row.half.map_or(String::new(), |half| format!(" ± {half:.3}"));
        out += &format!(
            "{:<16} A {:>10.3}  B {:>10.3}  {:>+10.3}{half:<12}  {}\n",
            row.figure, row.a, row.b, row.difference, row.verdict
        );
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_interval_is_that_of_the_textbook() {
        // t(3, 0.975) = 3.182; deviation 1.291, root of 4.
        let (mean, half) = interval(&[1.0, 2.0, 3.0, 4.0]);
        assert!((mean - 2.5).abs() < 1e-9 && (half.unwrap_or(0.0) - 2.054).abs() < 1e-3);
        assert_eq!(interval(&[1.0]), (1.0, None));
    }
}
