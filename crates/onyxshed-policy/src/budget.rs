//! Budgets of retries and hedges, proportional to finished tasks.
//!
//! Retries and hedges take tokens from a bucket that only finished tasks refill. When nothing
//! finishes, the bucket runs empty, so repeats cannot make an outage worse.

/// A token bucket that finished tasks refill.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    per_finished: f64,
    max_tokens: f64,
}

impl Budget {
    /// Creates a full bucket of `max_tokens` tokens that gains `per_finished` tokens per finished
    /// task.
    pub fn new(per_finished: f64, max_tokens: f64) -> Self {
        Budget {
            tokens: max_tokens,
            per_finished,
            max_tokens,
        }
    }

    /// Adds the tokens that one finished task yields, up to the maximum.
    pub fn record_finished(&mut self) {
        self.tokens = (self.tokens + self.per_finished).min(self.max_tokens);
    }

    /// Removes one token and returns whether one was available.
    pub fn try_take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns whether [`Budget::try_take`] would succeed; removes no token.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }
}
