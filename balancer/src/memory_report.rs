//! What this process holds in memory, by purpose, beside what the system says: the difference is what
//! no purpose counts.

use std::fmt;

use basaltwood_admin::{MetricKind, MetricsPage, Sample};
use basaltwood_memory_ledger::Purpose;

use crate::budget::ResourceBudget;

/// The memory of this process at one moment, in bytes.
pub struct MemoryReport {
    /// Granted and held, by purpose.
    held: [usize; Purpose::EACH.len()],
    /// What open connections and listed hosts need.
    connections: usize,
    /// What the program itself needs.
    process: usize,
    /// Anonymous memory in use, as the system counts it; `None` if it does not tell.
    resident: Option<usize>,
    /// The limit of this process.
    limit: usize,
}

impl MemoryReport {
    /// Reads the figures of now.
    pub fn read(budget: &ResourceBudget) -> MemoryReport {
        let limits = budget.memory.limits();
        MemoryReport {
            held: Purpose::EACH.map(|purpose| budget.memory.held(purpose)),
            connections: budget.open_connections().bytes(),
            process: limits.process(),
            resident: anonymous_bytes(),
            limit: limits.memory(),
        }
    }

    /// Each part's name and bytes.
    fn parts(&self) -> impl Iterator<Item = (&'static str, usize)> + '_ {
        let held = Purpose::EACH.into_iter().zip(self.held).map(|(purpose, bytes)| (purpose.name(), bytes));
        held.chain([("connections", self.connections), ("process", self.process)])
    }

    fn sum(&self) -> usize {
        self.parts().map(|(_, bytes)| bytes).sum()
    }

    /// Adds the figures to the metrics.
    pub fn add_to(&self, page: &mut MetricsPage) {
        let samples = self.parts().map(|(name, bytes)| Sample::labelled("purpose", name, bytes as u64));
        let help = "Bytes held, by purpose; those of connections and the process are estimates.";
        page.add("edge_proxy_memory_held_bytes", MetricKind::Gauge, help, samples);
        let mut add = |name: &str, help: &str, bytes: usize| {
            page.add(name, MetricKind::Gauge, help, [Sample::unlabelled(bytes as u64)]);
        };
        add("edge_proxy_memory_held_sum_bytes", "The sum of the bytes held.", self.sum());
        let resident = self.resident.unwrap_or(0);
        add(
            "edge_proxy_memory_resident_bytes",
            "Anonymous memory in use, as the system counts it.",
            resident,
        );
        add("edge_proxy_memory_limit_bytes", "The memory limit of this process.", self.limit);
    }
}

impl fmt::Display for MemoryReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("memory:")?;
        for (name, bytes) in self.parts() {
            write!(f, " {name}={bytes}")?;
        }
        let resident = self.resident.unwrap_or(0);
        write!(f, " sum={} resident={resident} limit={}", self.sum(), self.limit)
    }
}

/// The anonymous memory of this process that is in use.
fn anonymous_bytes() -> Option<usize> {
    let status = std::fs::read_to_string("/proc/self/status").ok()?;
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"))?;
    let kilobytes: usize = line.split_whitespace().next()?.parse().ok()?;
    Some(kilobytes * 1024)
}
