//! Metrics in the Prometheus text format.

use std::fmt::{self, Write};

/// How a metric changes over time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricKind {
    /// The value only rises while the process runs.
    Counter,
    /// The value rises and falls.
    Gauge,
}

impl fmt::Display for MetricKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            MetricKind::Counter => "counter",
            MetricKind::Gauge => "gauge",
        })
    }
}

/// One value of a metric, with the label that distinguishes it from the metric's other samples.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample<'a> {
    label: Option<(&'a str, &'a str)>,
    value: u64,
}

impl<'a> Sample<'a> {
    /// The only sample of its metric.
    pub fn unlabelled(value: u64) -> Sample<'a> {
        Sample { label: None, value }
    }

    /// A sample with a label; `text` is the label's value.
    pub fn labelled(name: &'a str, text: &'a str, value: u64) -> Sample<'a> {
        Sample { label: Some((name, text)), value }
    }
}

/// A page of metrics.
#[derive(Default)]
pub struct MetricsPage(String);

impl MetricsPage {
    /// Adds one metric with all its samples.
    pub fn add<'a>(
        &mut self,
        name: &str,
        kind: MetricKind,
        help: &str,
        samples: impl IntoIterator<Item = Sample<'a>>,
    ) {
        // Writing to a String can't fail.
        let _ = write!(self.0, "# HELP {name} {help}\n# TYPE {name} {kind}\n");
        for Sample { label, value } in samples {
            self.0.push_str(name);
            if let Some((label, text)) = label {
                let _ = write!(self.0, "{{{label}=\"{}\"}}", escaped(text));
            }
            let _ = writeln!(self.0, " {value}");
        }
    }

    /// The page so far.
    pub fn text(&self) -> &str {
        &self.0
    }
}

fn escaped(text: &str) -> String {
    text.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}
