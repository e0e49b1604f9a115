//! A budget of retries that successes earn.

/// Retries that may be spent: so many from the start, and a fraction of one more with each success.
#[derive(Default)]
pub(crate) struct RetryBudget {
    retries: f64,
    per_success: f64,
    capacity: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new(capacity: f64, per_success: f64) -> RetryBudget {
        RetryBudget { retries: capacity, per_success, capacity }
    }

    /// A request succeeded.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + self.per_success).min(self.capacity);
    }

    /// Whether a whole retry is left.
    pub(crate) fn is_available(&self) -> bool {
        self.retries >= 1.0
    }

    /// Spends one; the caller has seen that it is available.
    pub(crate) fn spend(&mut self) {
        self.retries -= 1.0;
    }

    /// Gives one back, also past the capacity: it was spent on an attempt that reached no host.
    pub(crate) fn refund(&mut self) {
        self.retries += 1.0;
    }
}
