//! How many second sends a service may cause.

/// A token bucket that first sends fill and second sends empty.
///
/// Against retry storms: when an upstream fails, everybody's retries would multiply the load of
/// what is left, and that fails too. Second sends never exceed `ratio` of first sends plus the
/// burst, however many requests fail.
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

    pub(crate) fn first_send(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.burst.max(self.ratio));
    }

    pub(crate) fn take(&mut self) -> bool {
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
