//! The pace of one engine as the node that runs its gate reported it.

use std::time::{Duration, Instant};

/// Age up to which a pace is used. Paces are repeated every 10 s, so this allows for two lost
/// messages, or for that long without the node that runs the engine's gate.
const PACE_TTL: Duration = Duration::from_secs(30);

/// Prompt tokens that an engine prefills per millisecond, and when that was last confirmed.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_relay::KnownPace;
/// let now = Instant::now();
/// let pace = KnownPace::new(20.0, now).unwrap();
/// assert_eq!(pace.token_ms(now + Duration::from_secs(29)), Some(0.05));
/// assert_eq!(pace.token_ms(now + Duration::from_secs(30)), None);
/// assert!(KnownPace::new(0.0, now).is_none());
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct KnownPace {
    tokens_per_ms: f64,
    received_at: Instant,
}

impl KnownPace {
    /// A pace received at `received_at`; `None` if the value isn't a pace.
    pub fn new(tokens_per_ms: f64, received_at: Instant) -> Option<Self> {
        let is_pace = tokens_per_ms.is_finite() && tokens_per_ms > 0.0;
        is_pace.then_some(Self {
            tokens_per_ms,
            received_at,
        })
    }

    /// Prompt tokens that the engine prefills per millisecond.
    pub fn tokens_per_ms(&self) -> f64 {
        self.tokens_per_ms
    }

    /// When the pace was last confirmed.
    pub fn received_at(&self) -> Instant {
        self.received_at
    }

    /// Time to prefill one token, in milliseconds; `None` if the pace is too old.
    pub fn token_ms(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.received_at);
        (age < PACE_TTL).then(|| self.tokens_per_ms.recip())
    }
}
