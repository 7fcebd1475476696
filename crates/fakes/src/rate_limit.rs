//! A token bucket.

use std::time::Instant;

/// Allows `rate_per_s` calls a second and as many at once after a quiet second.
#[derive(Clone, Debug)]
pub(crate) struct RateLimit {
    rate_per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: Instant,
}

impl RateLimit {
    pub(crate) fn new(rate_per_s: f64, burst: f64, now: Instant) -> Self {
        Self {
            rate_per_s,
            burst,
            tokens: burst,
            filled_at: now,
        }
    }

    pub(crate) fn try_take(&mut self, now: Instant) -> bool {
        let elapsed_s = now.saturating_duration_since(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.rate_per_s).min(self.burst);
        self.filled_at = self.filled_at.max(now);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
