//! A token bucket.

use std::time::Duration;

/// A count of tokens that refills at a rate up to a capacity.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level_tokens: f64,
    refilled_at: Duration,
}

impl Bucket {
    pub(crate) fn new(level_tokens: f64, now: Duration) -> Self {
        Self {
            level_tokens,
            refilled_at: now,
        }
    }

    /// Adds the tokens for the time since the last refill. Tokens above the capacity are dropped,
    /// also if the capacity was lowered.
    pub(crate) fn refill(&mut self, tokens_per_s: f64, capacity_tokens: f64, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        let filled = self.level_tokens + tokens_per_s * elapsed.as_secs_f64();
        self.level_tokens = filled.min(capacity_tokens);
    }

    pub(crate) fn level_tokens(&self) -> f64 {
        self.level_tokens
    }

    /// Removes tokens.
    ///
    /// # Panics
    ///
    /// If the bucket holds fewer. Lending tokens that do not exist would let the nodes exceed the
    /// quota together.
    pub(crate) fn take(&mut self, tokens: f64) {
        assert!(
            tokens <= self.level_tokens + 1e-6,
            "cannot take more tokens than the bucket holds"
        );
        self.level_tokens = (self.level_tokens - tokens).max(0.0);
    }

    /// Adds tokens that were borrowed from another lender's bucket.
    pub(crate) fn add(&mut self, tokens: f64) {
        self.level_tokens += tokens;
    }
}
