//! Outlier detection: failing upstreams are ejected and get traffic back gradually.

use std::time::{Duration, Instant};

use crate::RouterSettings;

/// Failures and refusals of one upstream, and the ejections and pauses that follow from them.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct OutlierDetector {
    failures_in_row: u32,
    refusals_in_row: u32,
    /// Moving average of the share of attempts that failed.
    failed_share: f64,
    attempts: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    refused_until: Option<Instant>,
    slow_start_at: Option<Instant>,
}

/// Attempts needed before the share of failures is used.
const MIN_ATTEMPTS: u32 = 20;
/// Weight of the latest attempt in the share of failures.
const ATTEMPT_WEIGHT: f64 = 0.1;
/// Share of failures at which an upstream is ejected.
const FAILING_SHARE: f64 = 0.5;
/// Share of its places that an upstream has at the beginning of slow start.
const SLOW_START_SHARE: f64 = 0.1;

impl OutlierDetector {
    pub(crate) fn record_success(&mut self, now: Instant, settings: &RouterSettings) {
        self.failures_in_row = 0;
        self.refusals_in_row = 0;
        self.record_attempt(0.0);
        let has_recovered = self
            .slow_start_at
            .is_some_and(|at| now.saturating_duration_since(at) > settings.slow_start);
        if has_recovered {
            self.ejections = self.ejections.saturating_sub(1);
            self.slow_start_at = None;
        }
    }

    /// Counts a failure and returns whether the upstream should be ejected.
    pub(crate) fn record_failure(&mut self, settings: &RouterSettings) -> bool {
        self.failures_in_row += 1;
        self.record_attempt(1.0);
        let is_failing = self.attempts >= MIN_ATTEMPTS && self.failed_share >= FAILING_SHARE;
        self.failures_in_row >= settings.ejection_failures || is_failing
    }

    /// Pauses the upstream. Each refusal in a row doubles the pause, so that a full or unreachable
    /// upstream is not sent request after request.
    pub(crate) fn record_refusal(&mut self, now: Instant, settings: &RouterSettings) {
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
        self.slow_start_at = Some(until);
        self.failures_in_row = 0;
        self.attempts = 0;
        self.failed_share = 0.0;
    }

    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// The end of the current or latest ejection or pause.
    pub(crate) fn paused_until(&self) -> Option<Instant> {
        self.ejected_until.max(self.refused_until)
    }

    pub(crate) fn is_paused(&self, now: Instant) -> bool {
        self.is_ejected(now) || self.refused_until.is_some_and(|until| now < until)
    }

    /// Begins slow start and ends a pause, for example after a restart.
    pub(crate) fn begin_slow_start(&mut self, now: Instant) {
        self.slow_start_at = Some(now);
        self.refused_until = None;
        self.refusals_in_row = 0;
    }

    /// The share of its places that the upstream has now; rises to 1 during slow start.
    pub(crate) fn places_share(&self, now: Instant, slow_start: Duration) -> f64 {
        let Some(at) = self.slow_start_at else {
            return 1.0;
        };
        let passed = now.saturating_duration_since(at).as_secs_f64();
        (passed / slow_start.as_secs_f64().max(0.001)).clamp(SLOW_START_SHARE, 1.0)
    }

    fn record_attempt(&mut self, failed: f64) {
        self.attempts = self.attempts.saturating_add(1);
        self.failed_share += ATTEMPT_WEIGHT * (failed - self.failed_share);
    }
}
