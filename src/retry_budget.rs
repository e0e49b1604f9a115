//! A budget of retries that successes earn.

/// The retries that may be spent: `capacity` at the start, plus `per_success` with each success.
#[derive(Default)]
pub(crate) struct RetryBudget {
    retries: f64,
    per_success: f64,
    capacity: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new(capacity: f64, per_success: f64) -> RetryBudget {
        RetryBudget { retries: capacity, per_success, capacity }
    }

    /// Adds the share of a retry that a successful request earns.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + self.per_success).min(self.capacity);
    }

    /// Whether a whole retry is left.
    pub(crate) fn is_available(&self) -> bool {
        self.retries >= 1.0
    }

    /// Spends a retry; the caller has checked that one is available.
    pub(crate) fn spend(&mut self) {
        self.retries -= 1.0;
    }

    /// Refunds a retry, even beyond the capacity: it was spent on an attempt that reached no host.
    pub(crate) fn refund(&mut self) {
        self.retries += 1.0;
    }
}
