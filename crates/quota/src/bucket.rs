//! A token bucket.

use std::time::Duration;

/// Tokens that fill in at a rate up to a capacity.
#[derive(Clone, Debug)]
pub(crate) struct Bucket {
    level_tokens: f64,
    filled_at: Duration,
}

impl Bucket {
    pub(crate) fn new(level_tokens: f64, now: Duration) -> Self {
        Self {
            level_tokens,
            filled_at: now,
        }
    }

    /// Fills in what came since the last time. A capacity that fell takes away what is above it.
    pub(crate) fn fill(&mut self, tokens_per_s: f64, capacity_tokens: f64, now: Duration) {
        let passed = now.saturating_sub(self.filled_at);
        self.filled_at = self.filled_at.max(now);
        let filled = self.level_tokens + tokens_per_s * passed.as_secs_f64();
        self.level_tokens = filled.min(capacity_tokens);
    }

    pub(crate) fn level_tokens(&self) -> f64 {
        self.level_tokens
    }

    /// Takes tokens out.
    ///
    /// # Panics
    ///
    /// If the bucket holds fewer: the sum of what all nodes spend would pass the quota.
    pub(crate) fn take(&mut self, tokens: f64) {
        assert!(
            tokens <= self.level_tokens + 1e-6,
            "a bucket lends only what it holds"
        );
        self.level_tokens = (self.level_tokens - tokens).max(0.0);
    }

    /// Puts tokens in that another bucket gave.
    pub(crate) fn put(&mut self, tokens: f64) {
        self.level_tokens += tokens;
    }
}
