//! Limits and usage of this process and this machine, as Linux reports them.

use std::time::{SystemTime, UNIX_EPOCH};

use crate::experiment::allowed_descriptors;

/// The resources that this machine offers a run.
#[derive(Clone, Copy, Debug)]
pub struct MachineLimits {
    /// The most descriptors of one process, if the system reports that.
    pub descriptors: Option<usize>,
    /// All memory of the machine, in kB.
    pub memory_kb: f64,
}

impl MachineLimits {
    /// The limits of this machine. Memory counts as unlimited if the system does not report it.
    pub fn this() -> MachineLimits {
        let memory_kb = read_kilobytes("/proc/meminfo", "MemTotal:");
        MachineLimits { descriptors: allowed_descriptors(), memory_kb: memory_kb.unwrap_or(f64::INFINITY) }
    }
}

/// The resident memory of this process, in kB; 0 if the system does not report it.
pub fn resident_kb() -> u64 {
    read_kilobytes("/proc/self/status", "VmRSS:").unwrap_or(0)
}

/// Reads the value in kB on the line that starts with `name` in a file of `/proc`.
fn read_kilobytes<T: std::str::FromStr>(path: &str, name: &str) -> Option<T> {
    let text = std::fs::read_to_string(path).ok()?;
    let value = text.lines().find_map(|line| line.strip_prefix(name))?;
    value.trim().trim_end_matches(" kB").parse().ok()
}

/// Unix time, in microseconds; comparable between the processes of one machine.
pub fn unix_micros() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_micros() as i64)
}
