//! The format of discovery's list of hosts.

use std::net::SocketAddr;

use basaltwood::types::Lifecycle;
use serde::Deserialize;

/// A whole list, or its changes since an earlier version.
#[derive(Default, Deserialize)]
pub(super) struct EndpointList {
    /// The version of the list.
    pub(super) generation: u64,
    /// Whether this is the whole list, so that hosts which are not in it are gone.
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

    /// When the host started, in milliseconds of Unix time. Discovery writes 0 for an unknown time.
    pub(super) fn started_at_ms(&self) -> Option<f64> {
        self.started_at_ms.filter(|&ms| ms != 0.0)
    }
}
