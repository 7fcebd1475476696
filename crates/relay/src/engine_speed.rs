//! How fast one engine prefills prompts and answers, compared with the others.

use std::time::Instant;

use crate::KnownPace;

/// Start value of the time for an engine to process one prompt token, in milliseconds. It holds
/// until the latency factor learned from answers corrects it for the deployment's engines, or until
/// the engine's own pace is known.
pub(crate) const INITIAL_PROMPT_TOKEN_MS: f64 = 0.052;

/// Weight of one answer in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.2;

/// Lower and upper bound of the slowdown. An upstream that is 20 times as slow as expected gets no
/// requests anyway.
const SLOWDOWN_BOUNDS: (f64, f64) = (0.5, 20.0);

/// Half-life of the slowdown, in seconds. It decays so that a slow upstream is tried again.
const SLOWDOWN_HALF_LIFE_S: f64 = 4.0;

/// The speed of one upstream as one node knows it.
#[derive(Clone, Debug)]
pub(crate) struct EngineSpeed {
    /// Observed over assumed time for engines to process prompts and run steps.
    pub(crate) latency_factor: f64,
    /// The engine's own pace.
    pace: Option<KnownPace>,
    /// Observed over expected time to the first event.
    slowdown: f64,
    slowdown_updated_at: Instant,
}

impl EngineSpeed {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            latency_factor: 1.0,
            pace: None,
            slowdown: 1.0,
            slowdown_updated_at: now,
        }
    }

    /// Updates the engine's own pace.
    ///
    /// A slowdown learned while the pace was unknown was measured against the fleet's pace. The part
    /// of it that the engine's own pace accounts for is removed, or it would count twice.
    pub(crate) fn set_pace(&mut self, tokens_per_ms: f64, received_at: Instant) {
        let Some(pace) = KnownPace::new(tokens_per_ms, received_at) else {
            return;
        };
        if self.own_token_ms(received_at).is_none() {
            let slower = tokens_per_ms.recip() / self.fleet_token_ms();
            let slowdown = self.slowdown(received_at);
            let (lower, upper) = (slowdown.min(1.0), slowdown.max(1.0));
            self.slowdown = (slowdown / slower).clamp(lower, upper);
            self.slowdown_updated_at = self.slowdown_updated_at.max(received_at);
        }
        self.pace = Some(pace);
    }

    /// Time to process one prompt token, in milliseconds; `None` if the engine's own pace isn't
    /// known, or wasn't confirmed recently.
    pub(crate) fn own_token_ms(&self, now: Instant) -> Option<f64> {
        self.pace.and_then(|pace| pace.token_ms(now))
    }

    /// Time to process one prompt token, in milliseconds, by what is known of all engines.
    pub(crate) fn fleet_token_ms(&self) -> f64 {
        INITIAL_PROMPT_TOKEN_MS * self.latency_factor
    }

    /// Observed over expected time to the first event; 1 for a healthy upstream.
    pub(crate) fn slowdown(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.slowdown_updated_at);
        1.0 + (self.slowdown - 1.0) * 0.5_f64.powf(age.as_secs_f64() / SLOWDOWN_HALF_LIFE_S)
    }

    /// Updates the slowdown from the observed time over the one expected of a healthy upstream.
    pub(crate) fn record_ratio(&mut self, ratio: f64, now: Instant) {
        let current = self.slowdown(now);
        let (lower, upper) = SLOWDOWN_BOUNDS;
        self.slowdown = (current + SLOWDOWN_WEIGHT * (ratio - current)).clamp(lower, upper);
        self.slowdown_updated_at = now;
    }
}
