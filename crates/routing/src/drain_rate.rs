//! The rate at which a backlogged queue is dispatched.

use std::time::{Duration, Instant};

/// Measures dispatches per second of one class while requests wait for a place.
///
/// Expected waits are derived from this rate, because the number of places of a service does not
/// show what share of them this node gets. Only time in which requests wait for a place is counted;
/// requests that wait for an adapter are not limited by places.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    /// When a request was last found waiting for a place.
    backlogged_at: Option<Instant>,
    /// Start of the current window.
    since: Option<Instant>,
    dispatches: u32,
    per_s: Option<f64>,
}

/// How long the queue counts as backlogged after a request was found waiting.
const BACKLOG_TTL: Duration = Duration::from_secs(1);
/// The minimum time over which dispatches are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// Weight of the latest window in the moving average.
const WINDOW_WEIGHT: f64 = 0.2;

impl DrainRate {
    pub(crate) fn record_dispatch(&mut self) {
        self.dispatches += 1;
    }

    /// Records that requests wait for a place, and updates the rate when a window is complete.
    pub(crate) fn record_backlog(&mut self, now: Instant) {
        if !self.is_backlogged(now) {
            *self = Self::default();
        }
        self.backlogged_at = Some(now);
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed < WINDOW {
            return;
        }
        let measured_per_s = f64::from(self.dispatches) / passed.as_secs_f64();
        let per_s = self.per_s.unwrap_or(measured_per_s);
        self.per_s = Some(per_s + WINDOW_WEIGHT * (measured_per_s - per_s));
        self.since = Some(now);
        self.dispatches = 0;
    }

    /// The rate, if the queue is backlogged and a rate has been measured.
    pub(crate) fn per_s(&self, now: Instant) -> Option<f64> {
        self.per_s
            .filter(|per_s| self.is_backlogged(now) && *per_s > 0.0)
    }

    fn is_backlogged(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < BACKLOG_TTL;
        self.backlogged_at.is_some_and(is_recent)
    }
}
