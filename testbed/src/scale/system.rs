//! What Linux says of this process and this machine.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::experiment::allowed_descriptors;

/// What the machine allows a run.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// Descriptors of one process, where the system says.
    pub descriptors: Option<usize>,
    /// All memory, in kB.
    pub memory_kb: f64,
}

impl MachineLimits {
    /// Those of this machine. Memory that the system does not tell is unlimited.
    pub fn this() -> MachineLimits {
        let memory_kb = kilobytes("/proc/meminfo", "MemTotal:");
        MachineLimits { descriptors: allowed_descriptors(), memory_kb: memory_kb.unwrap_or(f64::INFINITY) }
    }
}

/// The resident memory of this process, in kB; 0 where the system does not tell.
pub fn resident_kb() -> u64 {
    kilobytes("/proc/self/status", "VmRSS:").unwrap_or(0)
}

/// The figure in kB that a file of the system has on the line of this name.
fn kilobytes<T: std::str::FromStr>(path: &str, name: &str) -> Option<T> {
    let text = std::fs::read_to_string(path).ok()?;
    let figure = text.lines().find_map(|line| line.strip_prefix(name))?;
    figure.trim().trim_end_matches(" kB").parse().ok()
}

/// Unix time, in microseconds; processes of one machine compare theirs.
pub fn unix_micros() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as i64)
}
