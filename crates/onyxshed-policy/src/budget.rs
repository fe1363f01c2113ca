//! Budgets of extra messages, tied to finished work.
//!
//! Retries and hedges are drawn from a token bucket that only finished tasks fill. When nothing
//! finishes, an outage can't be made worse by repeats: the bucket runs dry and stays so.

/// A token bucket filled by finished tasks.
#[derive(Debug, Clone)]
pub struct Budget {
    tokens: f64,
    per_finished: f64,
    most: f64,
}

impl Budget {
    /// Makes a full bucket of `most` tokens that gets `per_finished` for each finished task.
    pub fn new(per_finished: f64, most: f64) -> Self {
        Budget {
            tokens: most,
            per_finished,
            most,
        }
    }

    /// Takes in a finished task.
    pub fn finished(&mut self) {
        self.tokens = (self.tokens + self.per_finished).min(self.most);
    }

    /// Tries to take one token.
    pub fn take(&mut self) -> bool {
        let has_one = self.tokens >= 1.0;
        if has_one {
            self.tokens -= 1.0;
        }
        has_one
    }

    /// Tells whether a token is left.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }
}
