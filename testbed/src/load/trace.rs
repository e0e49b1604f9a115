//! Recorded arrivals: JSON lines, one op each, in the order of time.
//!
//! ```text
//! {"at_us":0,"category":"read","customer":"acme","key":"7f3a","size":128}
//! ```
//!
//! `at_us` counts from the start of the trace in whole microseconds; `customer` may be left out or null; `size` is the
//! value's bytes, 128 where it is left out. Empty lines pass; anything else that is no such object is refused by its number.

use std::collections::HashMap;
use std::io::{BufRead, Write};

use serde::{Deserialize, Serialize};

use super::plan::{Plan, PlannedRequest};
use crate::experiment::Experiment;
use crate::time::Micros;

#[derive(Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Line {
    at_us: Micros,
    category: String,
    #[serde(default)]
    customer: Option<String>,
    key: String,
    #[serde(default = "size")]
    size: u32,
}

fn size() -> u32 {
    128
}

/// Reads a trace for the categories and customers of an experiment, `speed` times as fast.
///
/// # Errors
/// One line: the number of the first line that is of no use, why, and the way out.
pub fn import(from: impl BufRead, experiment: &Experiment, speed: f64) -> Result<Plan, String> {
    let mut plan = Plan::default();
    let mut keys: HashMap<String, u32> = HashMap::new();
    let mut before = 0;
    for (nth, text) in from.lines().enumerate() {
        let nth = nth + 1;
        let text = text.map_err(|cause| format!("line {nth}: {cause}"))?;
        if text.trim().is_empty() {
            continue;
        }
        let line: Line = serde_json::from_str(&text).map_err(|cause| {
            let torn = if cause.is_eof() { "it is torn off; cut it or " } else { "" };
            format!("line {nth}: {cause}: {torn}write at_us, category, key and perhaps customer and size")
        })?;
        if line.at_us < before {
            return Err(format!(
                "line {nth}: at_us {} runs backwards from {before}: sort the lines by at_us",
                line.at_us
            ));
        }
        before = line.at_us;
        let category = experiment.categories.iter().position(|category| category.name == line.category);
        let category = category.ok_or_else(|| {
            let known: Vec<&str> =
                experiment.categories.iter().map(|category| category.name.as_str()).collect();
            format!("line {nth}: no category {:?}: the experiment has {}", line.category, known.join(", "))
        })?;
        let customer = match &line.customer {
            Some(name) => {
                let place = experiment.customers.iter().position(|customer| customer.name == *name);
                let place = place.ok_or_else(|| {
                    format!("line {nth}: no customer {name:?}: add it to the experiment's [[customers]]")
                })?;
                Some(place as u16)
            }
            None => None,
        };
        if line.key.is_empty() || line.key.chars().any(char::is_control) || line.size > 65_536 {
            return Err(format!(
                "line {nth}: a key without control characters and at most 65536 bytes, please"
            ));
        }
        let next = keys.len() as u32;
        let key = *keys.entry(line.key.clone()).or_insert_with(|| {
            plan.keys.push(line.key);
            next
        });
        let at = (line.at_us as f64 / speed) as Micros;
        plan.requests.push(PlannedRequest {
            at,
            category: category as u16,
            customer,
            key,
            size: line.size.max(48),
        });
    }
    if plan.requests.is_empty() {
        return Err("it holds no op".to_owned());
    }
    Ok(plan)
}

/// Writes a plan as a trace.
pub fn export(plan: &Plan, experiment: &Experiment, mut to: impl Write) -> std::io::Result<()> {
    for op in &plan.requests {
        let customer = op.customer.and_then(|customer| experiment.customers.get(usize::from(customer)));
        let line = Line {
            at_us: op.at,
            category: experiment.categories[usize::from(op.category)].name.clone(),
            customer: customer.map(|customer| customer.name.clone()),
            key: plan.keys[op.key as usize].clone(),
            size: op.size,
        };
        serde_json::to_writer(&mut to, &line)?;
        to.write_all(b"\n")?;
    }
    to.flush()
}

/// A trace from comma-separated values whose head names the columns `time_s`, `category`, `key` and perhaps `customer` and
/// `size`. Times count from the first row, and rows may stand in any order.
///
/// # Errors
/// One line: the row's number and what is wrong with it.
pub fn from_csv(from: impl std::io::Read) -> Result<String, String> {
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
    let mut reader = csv::ReaderBuilder::new().trim(csv::Trim::All).from_reader(from);
    let mut rows = Vec::new();
    for (nth, row) in reader.deserialize::<Row>().enumerate() {
        let row = row.map_err(|cause| format!("row {}: {cause}", nth + 1))?;
        if !row.time_s.is_finite() {
            return Err(format!("row {}: {} is no time in seconds", nth + 1, row.time_s));
        }
        rows.push(row);
    }
    rows.sort_by(|one, other| one.time_s.total_cmp(&other.time_s));
    let first = rows.first().map_or(0.0, |row| row.time_s);
    let mut out = String::new();
    for row in rows {
        let line = Line {
            at_us: ((row.time_s - first) * 1e6).round() as Micros,
            category: row.category,
            customer: row.customer.filter(|customer| !customer.is_empty()),
            key: row.key,
            size: row.size.unwrap_or_else(size),
        };
        out += &serde_json::to_string(&line).map_err(|cause| cause.to_string())?;
        out.push('\n');
    }
    Ok(out)
}
