//! The retry budget: retries and hedged requests are paid for by first attempts, so that they stay a small
//! share of the traffic while the servers are failing. A token bucket, as in Finagle's `RetryBudget`.

/// Retries earned by each first attempt.
const RATIO: f64 = 0.1;
/// Retries that can be saved up; the budget starts full.
const MAX_TOKENS: f64 = 10.0;

/// Retries that may be made.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(super) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// A first attempt was made.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + RATIO).min(MAX_TOKENS);
    }

    /// Whether a retry can be paid for.
    pub(super) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// A retry was made.
    pub(super) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
