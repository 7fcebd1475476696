//! How many prompt tokens an engine prefills per millisecond, learned from first events.

use std::time::{Duration, Instant};

/// Weight of one sample in the mean of the logarithms.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Largest factor by which one sample counts as above or below the mean. A first event that a
/// hung process or a lost message delayed says little about the pace.
const MAX_SAMPLE_FACTOR: f64 = 3.0;

/// Shortest expected prefill that is a sample, as a share of the time of an event. A shorter
/// prefill is of the size of one engine step, so that its sample depends on when the step began.
const MIN_PREFILL_SHARE: f64 = 0.5;

/// Lower bound on the pace in tokens per millisecond, for divisions.
const MIN_TOKENS_PER_MS: f64 = 1e-3;

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
            tokens_per_ms: tokens_per_ms.max(MIN_TOKENS_PER_MS),
            updated_at: None,
        }
    }

    /// Records a first event: `tokens` were to prefill when its request was sent, including its
    /// own, it came after `took`, and without prefill it comes after `event_time`. Prefills that
    /// are short compared with `event_time` are not counted.
    pub fn record(&mut self, tokens: u32, took: Duration, event_time: Duration, now: Instant) {
        let tokens = f64::from(tokens);
        if self.prefill_time(tokens) < event_time.mul_f64(MIN_PREFILL_SHARE) || tokens < 1.0 {
            return;
        }
        let prefill_ms = took.saturating_sub(event_time).as_secs_f64() * 1e3;
        let sample = tokens / prefill_ms.max(f64::MIN_POSITIVE);
        let ratio = (sample / self.tokens_per_ms).clamp(1.0 / MAX_SAMPLE_FACTOR, MAX_SAMPLE_FACTOR);
        let pace = self.tokens_per_ms * ratio.powf(SAMPLE_WEIGHT);
        self.tokens_per_ms = pace.max(MIN_TOKENS_PER_MS);
        self.updated_at = Some(now);
    }

    /// Prompt tokens prefilled per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// Time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: f64) -> Duration {
        Duration::from_secs_f64(tokens.max(0.0) / self.tokens_per_ms / 1e3)
    }

    /// When a first event was last counted.
    pub fn updated_at(&self) -> Option<Instant> {
        self.updated_at
    }
}
