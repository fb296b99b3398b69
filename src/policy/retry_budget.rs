//! The retry budget: limits retries and hedged requests to a small share of the first attempts, so that they
//! add little traffic while servers are failing. The budget is a token bucket, as in Finagle's `RetryBudget`.

/// Tokens that each first attempt adds to the budget. A retry or hedged request costs one token.
const TOKENS_PER_FIRST_ATTEMPT: f64 = 0.1;
/// Maximum number of tokens in the budget, which starts full.
const MAX_TOKENS: f64 = 10.0;

/// The tokens that are available for retries and hedged requests.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(super) fn new() -> Self {
        RetryBudget { tokens: MAX_TOKENS }
    }

    /// Adds the tokens of a first attempt.
    pub(super) fn deposit(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_FIRST_ATTEMPT).min(MAX_TOKENS);
    }

    /// Whether the budget allows a retry or hedged request.
    pub(super) fn is_available(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Removes the token of a retry or hedged request that was sent.
    pub(super) fn withdraw(&mut self) {
        self.tokens -= 1.0;
    }
}
