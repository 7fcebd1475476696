//! Ejection of upstreams that fail, and their slow return.

use std::time::{Duration, Instant};

use crate::RouterSettings;

/// The recent failures of one upstream.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Outlier {
    failures_in_row: u32,
    refusals_in_row: u32,
    /// Share of recent attempts that failed, decaying by attempt.
    failed_share: f64,
    attempts: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    refused_until: Option<Instant>,
    returned_at: Option<Instant>,
}

/// Attempts that must have been seen before the share of failures counts.
const MIN_ATTEMPTS: u32 = 20;
/// How much one attempt weighs in the share of failures.
const ATTEMPT_WEIGHT: f64 = 0.1;
/// The share of failures from which on an upstream counts as failing.
const FAILING_SHARE: f64 = 0.5;
/// What a recovered upstream gets at first.
const SLOW_START_SHARE: f64 = 0.1;

impl Outlier {
    pub(crate) fn succeeded(&mut self, now: Instant, settings: &RouterSettings) {
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        self.count(0.0);
        let is_back = self
            .returned_at
            .is_some_and(|at| now.saturating_duration_since(at) > settings.slow_start);
        if is_back {
            self.ejections = self.ejections.saturating_sub(1);
            self.returned_at = None;
        }
    }

    /// Counts a failure and says whether the upstream should be ejected.
    pub(crate) fn failed(&mut self, settings: &RouterSettings) -> bool {
        self.failures_in_row += 1;
        self.count(1.0);
        let is_failing = self.attempts >= MIN_ATTEMPTS && self.failed_share >= FAILING_SHARE;
        self.failures_in_row >= settings.ejection_failures || is_failing
    }

    /// Against hammering a full or unreachable upstream: each refusal in a row doubles the pause.
    pub(crate) fn refused(&mut self, now: Instant, settings: &RouterSettings) {
        let doublings = self.refusals_in_row.min(16);
        self.refusals_in_row += 1;
        let pause = settings.refusal_backoff * 2_u32.pow(doublings);
        self.refused_until = Some(now + pause.min(settings.refusal_backoff_max));
    }

    pub(crate) fn eject(&mut self, now: Instant, settings: &RouterSettings) {
        let doublings = self.ejections.min(16);
        self.ejections += 1;
        let time = settings.ejection_time * 2_u32.pow(doublings);
        let until = now + time.min(settings.ejection_time_max);
        self.ejected_until = Some(until);
        self.returned_at = Some(until);
        self.failures_in_row = 0;
        self.attempts = 0;
        self.failed_share = 0.0;
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the upstream gets work again, if it gets none now or got none lately.
    pub(crate) fn paused_until(&self) -> Option<Instant> {
        self.ejected_until.max(self.refused_until)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.refused_until.is_some_and(|until| now < until)
    }

    /// Starts a slow return, after a restart for instance.
    pub(crate) fn returned(&mut self, now: Instant) {
        self.returned_at = Some(now);
        self.refused_until = None;
        self.refusals_in_row = 0;
    }

    /// The share of its places that the upstream gets now, rising to 1 after a return.
    pub(crate) fn share(&self, now: Instant, slow_start: Duration) -> f64 {
        let Some(at) = self.returned_at else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        (passed / slow_start.as_secs_f64().max(0.001)).clamp(SLOW_START_SHARE, 1.0)
    }

    fn count(&mut self, failed: f64) {
        self.attempts = self.attempts.saturating_add(1);
        self.failed_share += ATTEMPT_WEIGHT * (failed - self.failed_share);
    }
}
