//! Messages from the simulator: batches of events.

use basaltwood::types::{AttemptOutcome, Lifecycle};
use basaltwood_settings::OperatorSettings;
use serde::Deserialize;
use serde_json::value::RawValue;

use crate::error::EventError;

// Flags in the `bits` of a new request.
const RETRY_BIT: u32 = 2;
const WRITE_BIT: u32 = 4;

/// The events of one instant of simulated time.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Batch<'a> {
    pub time_ms: f64,
    #[serde(borrow)]
    pub parts: Vec<Part<'a>>,
}

/// The events of one balancer.
#[derive(Deserialize)]
pub struct Part<'a> {
    /// The balancer; `None` for events that concern all balancers.
    #[serde(rename = "who")]
    pub instance: Option<u64>,
    /// The events, each parsed on its own, so that one of an unknown type can be skipped.
    #[serde(borrow)]
    pub events: Vec<&'a RawValue>,
}

#[derive(Deserialize)]
#[serde(tag = "type", rename_all_fields = "camelCase")]
pub enum Event {
    /// A balancer starts.
    #[serde(rename = "SPAWN")]
    Start {
        #[serde(rename = "initSeed")]
        seed: u64,
        #[serde(rename = "info")]
        settings: Box<OperatorSettings>,
    },
    /// A balancer stops.
    #[serde(rename = "DETACH")]
    Stop,
    /// An endpoint list, to which updates refer by its number.
    #[serde(rename = "MANIFEST")]
    EndpointList {
        #[serde(rename = "table")]
        number: u32,
        #[serde(rename = "elements")]
        entries: Vec<ListEntry>,
    },
    /// A response of discovery.
    #[serde(rename = "UPDATE")]
    EndpointUpdate {
        scope: Scope,
        /// The number of the list.
        #[serde(default, rename = "table")]
        list: Option<u32>,
    },
    #[serde(rename = "DEMAND")]
    Request(NewRequest),
    #[serde(rename = "FINISHED")]
    AttemptEnded(AttemptEnd),
    #[serde(rename = "DROPPED")]
    ClientGone {
        #[serde(rename = "ticket")]
        request: String,
    },
    #[serde(rename = "TICK_DUE")]
    TimerFired {
        #[serde(rename = "ctx")]
        timer: String,
    },
    /// The first byte of a response arrived.
    #[serde(rename = "FIRST_BYTE")]
    ResponseBegan {
        #[serde(rename = "ticket")]
        request: String,
        #[serde(rename = "hop")]
        attempt: u32,
        host: String,
        #[serde(rename = "waitTimeMs")]
        elapsed_ms: f64,
    },
    /// A probe result. Probe results and peer messages are ignored, so their content is not parsed.
    #[serde(rename = "STATUS_BACK")]
    ProbeResult,
    #[serde(rename = "PEER_DATA")]
    PeerMessage,
}

/// The types of [`Event`]. A malformed event of these is an error; one of another type is skipped.
const EVENT_TYPES: [&str; 11] = [
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
struct EventType {
    r#type: String,
}

impl Event {
    /// Parses an event. One of an unknown type gives `None` and a line on standard error.
    pub fn read(text: &str) -> Result<Option<Event>, EventError> {
        let error = match serde_json::from_str(text) {
            Ok(event) => return Ok(Some(event)),
            Err(error) => error,
        };
        match serde_json::from_str::<EventType>(text) {
            Ok(EventType { r#type }) if !EVENT_TYPES.contains(&r#type.as_str()) => {
                eprintln!("skipped an event of unknown type {type}");
                Ok(None)
            }
            _ => Err(error.into()),
        }
    }
}

/// A request of a client.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct NewRequest {
    #[serde(rename = "ticket")]
    pub request: String,
    #[serde(rename = "lane")]
    pub class: String,
    #[serde(default, rename = "project")]
    pub tenant: Option<String>,
    #[serde(default, rename = "routeKey")]
    pub key: Option<String>,
    #[serde(rename = "dropDeadMs")]
    pub deadline_ms: f64,
    #[serde(default)]
    bits: Option<u32>,
}

impl NewRequest {
    pub fn is_retry(&self) -> bool {
        self.has_bit(RETRY_BIT)
    }

    pub fn is_write(&self) -> bool {
        self.has_bit(WRITE_BIT)
    }

    fn has_bit(&self, bit: u32) -> bool {
        self.bits.unwrap_or(0) & bit != 0
    }
}

/// The end of an attempt.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct AttemptEnd {
    #[serde(rename = "ticket")]
    pub request: String,
    #[serde(rename = "hop")]
    pub attempt: u32,
    #[serde(rename = "waitTimeMs")]
    pub elapsed_ms: f64,
    #[serde(rename = "rc")]
    pub outcome: Outcome,
    /// Whether the request ends with the attempt.
    #[serde(rename = "over")]
    pub finished: bool,
    pub host: String,
}

/// What an endpoint update holds.
#[derive(Clone, Copy, Deserialize, PartialEq, Eq)]
#[serde(rename_all = "lowercase")]
pub enum Scope {
    /// The hosts that changed.
    Changes,
    /// Every host.
    All,
    /// Every host, as last known.
    Remembered,
    /// Nothing: discovery refused the call.
    Refused,
}

/// How an attempt ended.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    #[serde(rename = "success")]
    Succeeded,
    #[serde(rename = "failure")]
    Error,
    #[serde(rename = "overloaded")]
    Rejected,
    TimedOut,
    Unreachable,
    #[serde(rename = "broken")]
    ConnectionLost,
    #[serde(rename = "withdrawn")]
    Cancelled,
    #[serde(rename = "void")]
    NotSent,
    #[serde(rename = "absent")]
    Miss,
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> AttemptOutcome {
        match outcome {
            Outcome::Succeeded => AttemptOutcome::Succeeded,
            Outcome::Error => AttemptOutcome::Error,
            Outcome::Rejected => AttemptOutcome::Rejected,
            Outcome::TimedOut => AttemptOutcome::TimedOut,
            Outcome::Unreachable => AttemptOutcome::Unreachable,
            Outcome::ConnectionLost => AttemptOutcome::ConnectionLost,
            Outcome::Cancelled => AttemptOutcome::Cancelled,
            Outcome::NotSent => AttemptOutcome::NotSent,
            Outcome::Miss => AttemptOutcome::Miss,
        }
    }
}

/// The state of a host on an endpoint list.
#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum HostState {
    Up,
    Draining,
    #[serde(rename = "removed")]
    Gone,
}

impl From<HostState> for Lifecycle {
    fn from(state: HostState) -> Lifecycle {
        match state {
            HostState::Up => Lifecycle::Up,
            HostState::Draining => Lifecycle::Draining,
            HostState::Gone => Lifecycle::Gone,
        }
    }
}

/// A host as an endpoint list describes it.
#[derive(Clone, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct ListEntry {
    pub host: String,
    #[serde(default)]
    pub zone: Option<String>,
    #[serde(default, rename = "generationHw")]
    pub machine_type: Option<String>,
    #[serde(default, rename = "pod")]
    pub cell: Option<u32>,
    pub lifecycle: HostState,
    #[serde(default)]
    pub weight: Option<f64>,
    /// When the host's process started; 0 if unknown.
    #[serde(default, rename = "lastStartMs")]
    pub started_at_ms: Option<f64>,
}
