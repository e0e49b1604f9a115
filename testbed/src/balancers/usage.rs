//! The resource usage of a process, read from /proc.

use std::path::{Path, PathBuf};

use serde::{Deserialize, Serialize};

/// The resources that a process has used.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
pub struct ResourceUsage {
    /// CPU time, in seconds.
    pub cpu_s: f64,
    /// Current resident memory, in kB.
    pub resident_kb: u64,
    /// Peak resident memory, in kB.
    pub peak_kb: u64,
    /// Open descriptors.
    pub descriptors: usize,
}

impl ResourceUsage {
    /// Reads the usage of a process; `None` if it no longer exists.
    pub(super) fn of_process(id: u32) -> Option<ResourceUsage> {
        let folder = PathBuf::from(format!("/proc/{id}"));
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        Some(ResourceUsage {
            cpu_s: cpu_seconds(&folder)?,
            resident_kb: kilobytes(&status, "VmRSS:").unwrap_or(0),
            peak_kb: kilobytes(&status, "VmHWM:").unwrap_or(0),
            descriptors: std::fs::read_dir(folder.join("fd")).map_or(0, |entries| entries.count()),
        })
    }

    /// Adds the usage of earlier processes of the same balancer. `peak_descriptors` is the most
    /// descriptors seen open in this process so far.
    pub(super) fn added_to(self, earlier: ResourceUsage, peak_descriptors: usize) -> ResourceUsage {
        ResourceUsage {
            cpu_s: earlier.cpu_s + self.cpu_s,
            resident_kb: self.resident_kb,
            peak_kb: earlier.peak_kb.max(self.peak_kb),
            descriptors: peak_descriptors.max(self.descriptors),
        }
    }
}

/// CPU time from `schedstat`: its nanoseconds are finer than the ticks of `stat`.
fn cpu_seconds(folder: &Path) -> Option<f64> {
    let schedstat = std::fs::read_to_string(folder.join("schedstat")).ok()?;
    let on_core_ns = schedstat.split(' ').next()?.trim().parse::<f64>().ok()?;
    Some(on_core_ns / 1e9)
}

fn kilobytes(status: &str, name: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
