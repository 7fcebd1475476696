//! Pauses upstreams whose requests fail too often.

use std::time::{Duration, Instant};

/// Outcome of sending a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream answered successfully.
    Answered,
    /// The connection failed, the answer broke off, or the upstream reported a failure.
    Failed,
    /// The upstream was full and did not run the request.
    Full,
}

impl Outcome {
    /// The name used in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answered => "answered",
            Self::Failed => "failed",
            Self::Full => "full",
        }
    }
}

/// Weight of one outcome in the moving average of failures. Three failures in a row bring a healthy
/// upstream above [`FAILURE_RATE_LIMIT`].
const FAILURE_RATE_WEIGHT: f64 = 0.25;

/// Failure rate above which an upstream is paused. Some services fail one request in eight even at
/// their best; three in a row are rare for them. Upstreams that fail part of their requests while
/// their health check passes fail about 4 in 10, and exceed this limit within 20 requests.
const FAILURE_RATE_LIMIT: f64 = 0.55;

/// First pause after the failure rate exceeds the limit.
const FIRST_PAUSE: Duration = Duration::from_millis(500);

/// Longest pause. A crashed upstream is removed from the list of upstreams after three heartbeats,
/// 3.6 s.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// Pause of an upstream that reported being full: about the time until one of its requests ends.
const FULL_PAUSE: Duration = Duration::from_millis(60);

/// How long the failure rate holds after the last outcome, and how long it then takes to halve. An
/// upstream that gets no requests cannot show in another way that it has recovered.
const FAILURE_RATE_HOLDS: Duration = Duration::from_secs(5);
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(5);

/// Failure rate and pause of one upstream as seen by one node.
#[derive(Clone, Debug, Default)]
pub struct Health {
    /// As of the last outcome.
    failure_rate: f64,
    last_outcome_at: Option<Instant>,
    pause: Duration,
    paused_until: Option<Instant>,
}

impl Health {
    /// Whether the upstream is paused at `now`.
    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    /// Moving average of the failed requests, from 0 to 1. It falls while there are no outcomes.
    pub fn failure_rate(&self, now: Instant) -> f64 {
        let Some(last) = self.last_outcome_at else {
            return self.failure_rate;
        };
        let idle = now.saturating_duration_since(last);
        let falling = idle.saturating_sub(FAILURE_RATE_HOLDS);
        self.failure_rate * 0.5_f64.powf(falling.div_duration_f64(FAILURE_RATE_HALF_LIFE))
    }

    /// Records the outcome of a request.
    ///
    /// ```
    /// use std::time::Instant;
    /// use nutmegsail_relay::{Health, Outcome};
    /// let (mut health, now) = (Health::default(), Instant::now());
    /// health.note(Outcome::Failed, now);
    /// assert!(!health.is_paused(now), "a single failure does not pause it");
    /// health.note(Outcome::Failed, now);
    /// health.note(Outcome::Failed, now);
    /// assert!(health.is_paused(now));
    /// ```
    pub fn note(&mut self, outcome: Outcome, now: Instant) {
        if outcome != Outcome::Full {
            self.update_failure_rate(now);
        }
        match outcome {
            Outcome::Answered => {
                self.failure_rate -= FAILURE_RATE_WEIGHT * self.failure_rate;
                self.pause /= 2;
            }
            Outcome::Failed => {
                self.failure_rate += FAILURE_RATE_WEIGHT * (1.0 - self.failure_rate);
                if self.failure_rate > FAILURE_RATE_LIMIT {
                    self.pause = (self.pause * 2).clamp(FIRST_PAUSE, MAX_PAUSE);
                    self.paused_until = Some(now + self.pause);
                }
            }
            Outcome::Full => {
                let until = now + FULL_PAUSE;
                self.paused_until = Some(self.paused_until.map_or(until, |at| at.max(until)));
            }
        }
    }

    /// Records that no connection could be made, and pauses the upstream at once.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.update_failure_rate(now);
        self.failure_rate = self.failure_rate.max(FAILURE_RATE_LIMIT);
        self.note(Outcome::Failed, now);
    }

    fn update_failure_rate(&mut self, now: Instant) {
        self.failure_rate = self.failure_rate(now);
        self.last_outcome_at = Some(now);
    }
}
