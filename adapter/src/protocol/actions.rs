//! Messages to the simulator: actions, and the reply line that holds them.

use std::collections::BTreeMap;
use std::fmt;

use basaltwood::types::{Micros, PolicyAction, RequestId, Timer};
use basaltwood_settings::{IdTable, SettingsError};

use crate::error::EventError;
use crate::open_requests::OpenRequests;

const SWEEP: &str = "sweep";
const WATCH: &str = "watch";

/// The encoded actions of one balancer, in order.
pub type Outbox = Vec<String>;

/// A reply line with the encoded actions of each balancer.
pub struct Reply<'a>(pub &'a BTreeMap<u64, Outbox>);

impl fmt::Display for Reply<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("{\"parts\":[")?;
        for (index, (instance, outbox)) in self.0.iter().enumerate() {
            let comma = if index > 0 { "," } else { "" };
            write!(f, "{comma}{{\"who\":{instance},\"outbox\":[{}]}}", outbox.join(","))?;
        }
        f.write_str("]}")
    }
}

/// Encodes the message that a balancer did not start because its settings can't be used.
pub fn encode_failed_start(error: &SettingsError) -> String {
    serde_json::json!({"type": "BROKEN", "bodyText": error.to_string()}).to_string()
}

/// Encodes an action, with the protocol's names of its request and host.
pub fn encode(action: PolicyAction, requests: &OpenRequests, hosts: &IdTable) -> String {
    let ticket = |request: RequestId| json_string(requests.name(request));
    match action {
        PolicyAction::StartAttempt { request, host, timeout } => format!(
            r#"{{"type":"HAND_OFF","ticket":{},"host":{},"timeoutMs":{}}}"#,
            ticket(request),
            json_string(hosts.name(host.0)),
            millis(timeout)
        ),
        PolicyAction::Reject { request, retry_after, .. } => format!(
            r#"{{"type":"BOUNCE","ticket":{},"coolDownMs":{}}}"#,
            ticket(request),
            millis(retry_after.unwrap_or(0))
        ),
        PolicyAction::Fail { request, .. } => format!(r#"{{"type":"FAIL","ticket":{}}}"#, ticket(request)),
        PolicyAction::CancelAttempt { request, attempt } => {
            format!(r#"{{"type":"STOP_ATTEMPT","ticket":{},"hop":{}}}"#, ticket(request), attempt.0)
        }
        PolicyAction::SetTimer { after, timer } => {
            format!(r#"{{"type":"WAKE_AT","sleepForMs":{},"ctx":"{}"}}"#, millis(after), timer_name(timer))
        }
        PolicyAction::WatchDiscovery => r#"{"type":"FOLLOW","want":true}"#.to_owned(),
    }
}

/// The timer that has this name in the protocol.
pub fn timer(name: &str) -> Result<Timer, EventError> {
    match name {
        SWEEP => Ok(Timer::Sweep),
        WATCH => Ok(Timer::Watch),
        _ => Err(EventError::UnknownTimer(name.to_owned())),
    }
}

fn timer_name(timer: Timer) -> &'static str {
    match timer {
        Timer::Sweep => SWEEP,
        Timer::Watch => WATCH,
    }
}

fn json_string(text: &str) -> serde_json::Value {
    serde_json::Value::from(text)
}

/// Formats microseconds as milliseconds with three decimals, without rounding.
fn millis(duration: Micros) -> String {
    let sign = if duration < 0 { "-" } else { "" };
    format!("{sign}{}.{:03}", duration.abs() / 1000, duration.abs() % 1000)
}
