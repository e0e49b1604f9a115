//! Recorded arrivals: JSON lines, one request each, ordered by time.
//!
//! ```text
//! {"at_us":0,"category":"read","customer":"acme","key":"7f3a","size":128}
//! ```
//!
//! `at_us` is the time since the start of the trace in whole microseconds; `customer` may be absent
//! or null; `size` is the value's size in bytes, 128 if absent. Empty lines are skipped; any other
//! line that is not such an object is rejected with its number.

use std::collections::HashMap;
use std::io::{BufRead, Write};

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::plan::{Plan, PlannedRequest};
use crate::experiment::Experiment;
use crate::time::Micros;

/// The size of a value if the trace gives none, in bytes.
const DEFAULT_VALUE_BYTES: u32 = 128;
/// The largest value that is played, in bytes.
const MAX_VALUE_BYTES: u32 = 65_536;
/// The smallest value that is played, in bytes: a value begins with ids.
const MIN_VALUE_BYTES: u32 = 48;

/// Why a trace can't be played. Each message names the line and the remedy.
#[derive(Debug, Error)]
pub enum TraceError {
    /// The file can't be read any further.
    #[error("line {line}: {cause}")]
    Unreadable {
        /// Counted from 1.
        line: usize,
        /// The I/O error.
        cause: std::io::Error,
    },
    /// A line is not the expected JSON object.
    #[error(
        "line {line}: {cause}: {}write at_us, category, key and optionally customer and size",
        if cause.is_eof() { "the line is incomplete: remove it or " } else { "" }
    )]
    Malformed {
        /// Counted from 1.
        line: usize,
        /// The parser's error.
        cause: serde_json::Error,
    },
    /// A line's time is before that of the preceding line.
    #[error("line {line}: at_us {at_us} is before {before} of the preceding line: sort the lines by at_us")]
    OutOfOrder {
        /// Counted from 1.
        line: usize,
        /// The time of this line.
        at_us: Micros,
        /// The time of the preceding line.
        before: Micros,
    },
    /// A line names a request class that the experiment does not have.
    #[error("line {line}: no category {name:?}: the experiment has {known}")]
    UnknownClass {
        /// Counted from 1.
        line: usize,
        /// The name.
        name: String,
        /// The experiment's classes, separated by commas.
        known: String,
    },
    /// A line names a tenant that the experiment does not have.
    #[error("line {line}: no customer {name:?}: add it to the experiment's [[customers]]")]
    UnknownTenant {
        /// Counted from 1.
        line: usize,
        /// The name.
        name: String,
    },
    /// A key has control characters or is empty, or a value is too large.
    #[error("line {line}: key must be non-empty and without control characters, size at most 65536 bytes")]
    InvalidKeyOrSize {
        /// Counted from 1.
        line: usize,
    },
    /// The trace has no requests.
    #[error("the trace holds no requests")]
    Empty,
}

/// Why a CSV file can't be made into a trace.
#[derive(Debug, Error)]
pub enum CsvError {
    /// A row can't be parsed, or a column is missing.
    #[error("row {row}: {cause}")]
    Malformed {
        /// Counted from 1, without the header.
        row: usize,
        /// The parser's error.
        cause: csv::Error,
    },
    /// A time is infinite or not a number.
    #[error("row {row}: time_s = {time_s} is not a finite number of seconds")]
    InvalidTime {
        /// Counted from 1, without the header.
        row: usize,
        /// The time that was read.
        time_s: f64,
    },
    /// A row can't be written as a line of the trace.
    #[error(transparent)]
    Unwritable(#[from] serde_json::Error),
}

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_us: Micros,
    category: String,
    #[serde(default)]
    customer: Option<String>,
    key: String,
    #[serde(default = "default_value_bytes")]
    size: u32,
}

fn default_value_bytes() -> u32 {
    DEFAULT_VALUE_BYTES
}

/// Reads a trace with the request classes and tenants of an experiment, and divides its times by
/// `speed`.
///
/// # Errors
/// Returns the first line that can't be played.
pub fn import(from: impl BufRead, experiment: &Experiment, speed: f64) -> Result<Plan, TraceError> {
    let mut import = Import { experiment, speed, plan: Plan::default(), keys: HashMap::new(), last_at_us: 0 };
    for (nth, text) in from.lines().enumerate() {
        let line = nth + 1;
        let text = text.map_err(|cause| TraceError::Unreadable { line, cause })?;
        if text.trim().is_empty() {
            continue;
        }
        let parsed = serde_json::from_str(&text).map_err(|cause| TraceError::Malformed { line, cause })?;
        import.add(line, parsed)?;
    }
    if import.plan.requests.is_empty() {
        return Err(TraceError::Empty);
    }
    Ok(import.plan)
}

/// A trace that is being read.
struct Import<'a> {
    experiment: &'a Experiment,
    speed: f64,
    plan: Plan,
    /// The index of each key in the plan.
    keys: HashMap<String, u32>,
    last_at_us: Micros,
}

impl Import<'_> {
    fn add(&mut self, number: usize, line: Line) -> Result<(), TraceError> {
        if line.at_us < self.last_at_us {
            let (at_us, before) = (line.at_us, self.last_at_us);
            return Err(TraceError::OutOfOrder { line: number, at_us, before });
        }
        self.last_at_us = line.at_us;
        let category = self.class_index(number, &line.category)?;
        let customer = match &line.customer {
            Some(name) => Some(self.tenant_index(number, name)?),
            None => None,
        };
        let has_invalid_key = line.key.is_empty() || line.key.chars().any(char::is_control);
        if has_invalid_key || line.size > MAX_VALUE_BYTES {
            return Err(TraceError::InvalidKeyOrSize { line: number });
        }
        let at = (line.at_us as f64 / self.speed) as Micros;
        let size = line.size.max(MIN_VALUE_BYTES);
        let key = self.key_index(line.key);
        self.plan.requests.push(PlannedRequest { at, category, customer, key, size });
        Ok(())
    }

    fn class_index(&self, line: usize, name: &str) -> Result<u16, TraceError> {
        let classes = &self.experiment.categories;
        match classes.iter().position(|class| class.name == name) {
            Some(index) => Ok(index as u16),
            None => {
                let known: Vec<&str> = classes.iter().map(|class| class.name.as_str()).collect();
                Err(TraceError::UnknownClass { line, name: name.to_owned(), known: known.join(", ") })
            }
        }
    }

    fn tenant_index(&self, line: usize, name: &str) -> Result<u16, TraceError> {
        let index = self.experiment.customers.iter().position(|tenant| tenant.name == name);
        let unknown = || TraceError::UnknownTenant { line, name: name.to_owned() };
        index.map(|index| index as u16).ok_or_else(unknown)
    }

    fn key_index(&mut self, key: String) -> u32 {
        let next = self.keys.len() as u32;
        *self.keys.entry(key.clone()).or_insert_with(|| {
            self.plan.keys.push(key);
            next
        })
    }
}

/// Writes a plan as a trace.
///
/// # Errors
/// Returns the I/O error if writing fails.
pub fn export(plan: &Plan, experiment: &Experiment, mut to: impl Write) -> std::io::Result<()> {
    for request in &plan.requests {
        let tenant = request.customer.and_then(|index| experiment.customers.get(usize::from(index)));
        let line = Line {
            at_us: request.at,
            category: experiment.categories[usize::from(request.category)].name.clone(),
            customer: tenant.map(|tenant| tenant.name.clone()),
            key: plan.keys[request.key as usize].clone(),
            size: request.size,
        };
        serde_json::to_writer(&mut to, &line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

#[derive(Deserialize)]
struct Row {
    time_s: f64,
    category: String,
    key: String,
    #[serde(default)]
    customer: Option<String>,
    #[serde(default)]
    size: Option<u32>,
}

/// Makes a trace from CSV whose header names the columns `time_s`, `category`, `key` and optionally
/// `customer` and `size`. Rows may be in any order; times are made relative to the earliest one.
///
/// # Errors
/// Returns the first row that is invalid.
pub fn from_csv(from: impl std::io::Read) -> Result<String, CsvError> {
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(from);
    let mut rows = Vec::new();
    for (nth, row) in reader.deserialize::<Row>().enumerate() {
        let number = nth + 1;
        let row = row.map_err(|cause| CsvError::Malformed { row: number, cause })?;
        if !row.time_s.is_finite() {
            return Err(CsvError::InvalidTime { row: number, time_s: row.time_s });
        }
        rows.push(row);
    }
    rows.sort_by(|one, other| one.time_s.total_cmp(&other.time_s));
    let first_time_s = rows.first().map_or(0.0, |row| row.time_s);
    let mut trace = String::new();
    for row in rows {
        let line = Line {
            at_us: ((row.time_s - first_time_s) * 1e6).round() as Micros,
            category: row.category,
            customer: row.customer.filter(|tenant| !tenant.is_empty()),
            key: row.key,
            size: row.size.unwrap_or(DEFAULT_VALUE_BYTES),
        };
        trace += &serde_json::to_string(&line)?;
        trace.push('\n');
    }
    Ok(trace)
}
