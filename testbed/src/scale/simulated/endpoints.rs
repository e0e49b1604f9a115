//! The list of hosts as discovery writes it.

use std::net::SocketAddr;

use basaltwood::types::Lifecycle;
use serde::Deserialize;

/// A version of the list, or what changed in it.
#[derive(Default, Deserialize)]
pub(super) struct EndpointList {
    /// The version.
    pub(super) generation: u64,
    /// The list is whole: a host that is not in it is gone.
    #[serde(default)]
    pub(super) reset: bool,
    #[serde(default)]
    pub(super) instances: Vec<EndpointEntry>,
}

/// A host in the list.
#[derive(Clone, Debug, Deserialize)]
#[serde(rename_all = "camelCase")]
pub(super) struct EndpointEntry {
    pub(super) instance_id: String,
    pub(super) host_port: SocketAddr,
    pub(super) zone: Option<String>,
    pub(super) machine_type: Option<String>,
    pub(super) cell: Option<u32>,
    lifecycle: String,
    pub(super) weight: Option<f64>,
    started_at_ms: Option<f64>,
}

impl EndpointEntry {
    pub(super) fn lifecycle(&self) -> Lifecycle {
        match self.lifecycle.as_str() {
            "active" => Lifecycle::Up,
            "leaving" => Lifecycle::Draining,
            _ => Lifecycle::Gone,
        }
    }

    /// When the host started, in milliseconds of Unix time; discovery writes 0 where it does not
    /// know.
    pub(super) fn started_at_ms(&self) -> Option<f64> {
        self.started_at_ms.filter(|&ms| ms != 0.0)
    }
}
