//! How fast a queue that waits for places moves.

use std::time::{Duration, Instant};

/// Dispatches a second of one class while requests wait for a place.
///
/// Against promises that cannot be kept: how many places a service has says little about the share
/// that this node gets of them. Only time in which requests wait for a place counts; those that
/// wait for an adapter say nothing about places.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct DrainRate {
    /// When requests were last seen to wait for a place.
    limited_at: Option<Instant>,
    since: Option<Instant>,
    dispatches: u32,
    per_s: Option<f64>,
}

/// How long a sighting of waiting requests counts.
const LIMITED_FOR: Duration = Duration::from_secs(1);
/// The time over which dispatches are counted.
const WINDOW: Duration = Duration::from_millis(500);
/// How much one window counts against those before.
const WINDOW_WEIGHT: f64 = 0.2;

impl DrainRate {
    pub(crate) fn dispatched(&mut self) {
        self.dispatches += 1;
    }

    /// Notes that requests wait for a place.
    pub(crate) fn limited(&mut self, now: Instant) {
        if !self.is_limited(now) {
            *self = Self::default();
        }
        self.limited_at = Some(now);
        let since = *self.since.get_or_insert(now);
        let passed = now.saturating_duration_since(since);
        if passed < WINDOW {
            return;
        }
        let seen_per_s = f64::from(self.dispatches) / passed.as_secs_f64();
        let per_s = self.per_s.unwrap_or(seen_per_s);
        self.per_s = Some(per_s + WINDOW_WEIGHT * (seen_per_s - per_s));
        self.since = Some(now);
        self.dispatches = 0;
    }

    /// The rate, if requests wait for a place and it is known.
    pub(crate) fn per_s(&self, now: Instant) -> Option<f64> {
        self.per_s
            .filter(|per_s| self.is_limited(now) && *per_s > 0.0)
    }

    fn is_limited(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < LIMITED_FOR;
        self.limited_at.is_some_and(is_recent)
    }
}
