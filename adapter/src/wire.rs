//! The wire's messages as they are read and written.

use std::collections::BTreeMap;
use std::fmt;

use basaltwood_settings::OperatorSettings;
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch<'a> {
    pub time_ms: f64,
    #[serde(borrow)]
    pub parts: Vec<Part<'a>>,
}

#[derive(Deserialize)]
pub struct Part<'a> {
    pub who: Option<u64>,
    #[serde(borrow)]
    pub events: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all = "SCREAMING_SNAKE_CASE", rename_all_fields = "camelCase")]
pub enum Event {
    Spawn {
        init_seed: u64,
        info: Box<OperatorSettings>,
    },
    Detach,
    Manifest {
        table: u32,
        elements: Vec<ListEntry>,
    },
    Update {
        scope: Scope,
        #[serde(default)]
        table: Option<u32>,
    },
    Demand {
        ticket: String,
        lane: String,
        #[serde(default)]
        project: Option<String>,
        #[serde(default)]
        route_key: Option<String>,
        drop_dead_ms: f64,
        #[serde(default)]
        bits: Option<u32>,
    },
    Finished {
        ticket: String,
        hop: u32,
        wait_time_ms: f64,
        rc: Rc,
        over: bool,
        host: String,
    },
    Dropped {
        ticket: String,
    },
    TickDue {
        ctx: String,
    },
    FirstByte {
        ticket: String,
        hop: u32,
        host: String,
        wait_time_ms: f64,
    },
    /// What probes and peers tell is not heeded, whatever it holds.
    StatusBack,
    PeerData,
}

const KNOWN: [&str; 11] = [
    "SPAWN",
    "DETACH",
    "MANIFEST",
    "UPDATE",
    "DEMAND",
    "FIRST_BYTE",
    "FINISHED",
    "DROPPED",
    "TICK_DUE",
    "STATUS_BACK",
    "PEER_DATA",
];

#[derive(Deserialize)]
struct Tag {
    r#type: String,
}

impl Event {
    /// Reads one event; an unknown type is skipped with a line on standard error.
    pub fn read(text: &str) -> Result<Option<Event>, String> {
        serde_json::from_str(text).map(Some).or_else(|cause| match serde_json::from_str::<Tag>(text) {
            Ok(tag) if !KNOWN.contains(&tag.r#type.as_str()) => {
                eprintln!("skipped an event of unknown type {}", tag.r#type);
                Ok(None)
            }
            _ => Err(cause.to_string()),
        })
    }
}

#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    Changes,
    All,
    Remembered,
    Refused,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Rc {
    Success,
    Failure,
    Overloaded,
    TimedOut,
    Unreachable,
    Broken,
    Withdrawn,
    Void,
    Absent,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    Up,
    Draining,
    Removed,
}

#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListEntry {
    pub host: String,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default)]
    pub generation_hw: Option<String>,
    #[serde(default)]
    pub pod: Option<u32>,
    pub lifecycle: State,
    #[serde(default)]
    pub weight: Option<f64>,
    #[serde(default)]
    pub last_start_ms: Option<f64>,
}

pub fn broken(cause: &str) -> String {
    serde_json::json!({"type": "BROKEN", "bodyText": cause}).to_string()
}

/// A reply line: the orders of each instance, already written out one by one.
pub struct Reply<'a>(pub &'a BTreeMap<u64, Vec<String>>);

impl fmt::Display for Reply<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("{\"parts\":[")?;
        for (nth, (who, outbox)) in self.0.iter().enumerate() {
            let comma = if nth > 0 { "," } else { "" };
            write!(f, "{comma}{{\"who\":{who},\"outbox\":[{}]}}", outbox.join(","))?;
        }
        f.write_str("]}")
    }
}
