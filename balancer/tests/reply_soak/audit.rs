//! What was seen from outside, and which promises it breaks.

use std::collections::HashSet;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;

/// What the servers and clients of one play saw.
#[derive(Default)]
pub struct Audit {
    /// The ids of requests whose command came to a server in full.
    ran: Mutex<HashSet<String>>,
    violations: Mutex<Vec<String>>,
    served: AtomicUsize,
    rejected: AtomicUsize,
    failed: AtomicUsize,
    cut_off: AtomicUsize,
}

/// How a request ended at its client.
#[derive(Clone, Copy, Debug)]
pub enum End {
    Served,
    Rejected,
    Failed,
    CutOff,
}

impl Audit {
    /// Records that a request came to a server.
    pub fn ran(&self, id: &str) {
        self.ran.lock().expect("a sound lock").insert(id.to_owned());
    }

    /// Whether a request came to a server.
    pub fn has_run(&self, id: &str) -> bool {
        self.ran.lock().expect("a sound lock").contains(id)
    }

    /// Records how a request ended.
    pub fn ended(&self, end: End) {
        let count = match end {
            End::Served => &self.served,
            End::Rejected => &self.rejected,
            End::Failed => &self.failed,
            End::CutOff => &self.cut_off,
        };
        count.fetch_add(1, Ordering::Relaxed);
    }

    /// Records broken promises.
    pub fn extend(&self, violations: impl IntoIterator<Item = String>) {
        self.violations.lock().expect("a sound lock").extend(violations);
    }

    /// The broken promises.
    pub fn violations(&self) -> Vec<String> {
        self.violations.lock().expect("a sound lock").clone()
    }

    /// How often requests ended in each way.
    pub fn counts(&self) -> String {
        let count = |number: &AtomicUsize| number.load(Ordering::Relaxed);
        format!(
            "{} served, {} rejected, {} failed, {} cut off",
            count(&self.served),
            count(&self.rejected),
            count(&self.failed),
            count(&self.cut_off)
        )
    }

    /// Whether requests ended in each way that the plans lead to.
    pub fn was_exercised(&self) -> bool {
        [&self.served, &self.failed, &self.cut_off].iter().all(|count| count.load(Ordering::Relaxed) > 0)
    }
}
