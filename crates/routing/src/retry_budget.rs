//! The retry budget of a service.

/// A token bucket: each first send adds `ratio` tokens, each retry takes one.
///
/// It prevents retry storms: when an upstream fails, the retries of all callers would multiply the
/// load on the remaining upstreams until they fail too. Retries never exceed `ratio` of first sends
/// plus `burst`, however many requests fail.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct RetryBudget {
    ratio: f64,
    burst: f64,
    tokens: f64,
}

impl RetryBudget {
    pub(crate) fn new(ratio: f64, burst: f64) -> Self {
        Self {
            ratio,
            burst,
            tokens: burst,
        }
    }

    pub(crate) fn set_ratio(&mut self, ratio: f64) {
        self.ratio = ratio;
    }

    pub(crate) fn record_first_send(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst.max(self.ratio));
    }

    pub(crate) fn try_spend(&mut self) -> bool {
        if self.ratio <= 0.0 || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    pub(crate) fn tokens(&self) -> f64 {
        self.tokens
    }
}
