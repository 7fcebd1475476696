//! The token bucket by which prompts are paced.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::EnginePace;

/// Longest event that pacing allows, as a share of the longest pause. The rest is for the way of
/// an event to its caller and for errors of the pace.
const PAUSE_SHARE: f64 = 0.9;

/// Prefill that may be granted at once, as a share of the longest pause.
const BURST_SHARE: f64 = 0.2;

/// Assumed time of an event without prefill, as a share of the longest pause.
const INITIAL_EVENT_SHARE: f64 = 0.1;

/// Lower bound on the share of the pace at which the bucket refills.
const MIN_REFILL_SHARE: f64 = 0.3;

/// What the running streams of an engine tolerate.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PacingLimits {
    /// Capacity of the bucket in tokens.
    pub(crate) burst_tokens: f64,
    /// Refill rate.
    pub(crate) tokens_per_ms: f64,
    /// Tokens that may be prefilled between two events.
    pub(crate) event_tokens: f64,
    /// Time of an event without prefill.
    pub(crate) event_time: Duration,
}

impl PacingLimits {
    /// Derives the limits for a tightest pause limit. `event_time` is the time of an event without
    /// prefill, if it is known.
    pub(crate) fn new(pace: &EnginePace, limit: Duration, event_time: Option<Duration>) -> Self {
        let event_time = event_time.unwrap_or(limit.mul_f64(INITIAL_EVENT_SHARE));
        let window = limit.mul_f64(PAUSE_SHARE);
        let burst = limit.mul_f64(BURST_SHARE);
        let refill_share = 1.0 - (burst + event_time).div_duration_f64(window);
        Self {
            burst_tokens: as_ms(burst) * pace.tokens_per_ms(),
            tokens_per_ms: refill_share.max(MIN_REFILL_SHARE) * pace.tokens_per_ms(),
            event_tokens: as_ms(window.saturating_sub(event_time)) * pace.tokens_per_ms(),
            event_time,
        }
    }
}

/// Tokens that may be sent to one engine now.
#[derive(Clone, Debug)]
pub(crate) struct PromptBucket {
    /// Negative when overdrawn.
    level: f64,
    refilled_at: Instant,
    /// Prompts whose first event came within the last event time, and its time.
    prefilled: VecDeque<(Instant, u32)>,
}

impl PromptBucket {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            level: f64::MAX,
            refilled_at: now,
            prefilled: VecDeque::new(),
        }
    }

    pub(crate) fn take(&mut self, tokens: u32) {
        self.level -= f64::from(tokens);
    }

    pub(crate) fn record_prefilled(&mut self, tokens: u32, now: Instant) {
        self.prefilled.push_back((now, tokens));
    }

    /// Refills the bucket while `pending` tokens are to be prefilled.
    pub(crate) fn refill(&mut self, limits: &PacingLimits, pending: f64, now: Instant) {
        self.level = self.level_at(limits, pending, now);
        self.refilled_at = self.refilled_at.max(now);
        while self
            .prefilled
            .front()
            .is_some_and(|(at, _)| *at + limits.event_time <= now)
        {
            self.prefilled.pop_front();
        }
    }

    /// Whether a prompt may be sent.
    pub(crate) fn fits(
        &self,
        tokens: u32,
        limits: &PacingLimits,
        pending: f64,
        now: Instant,
    ) -> bool {
        let tokens = f64::from(tokens);
        let in_events = pending + self.recent_tokens(limits, now);
        // An engine with nothing to prefill takes one prompt, however long.
        if in_events == 0.0 {
            return true;
        }
        let level = self.level_at(limits, pending, now);
        match tokens <= limits.burst_tokens {
            true => level >= tokens,
            // Such a prompt can fall into one event with those before it.
            false => level >= limits.burst_tokens && in_events + tokens <= limits.event_tokens,
        }
    }

    /// Time until the bucket has room for `tokens`.
    pub(crate) fn wait(
        &self,
        tokens: f64,
        limits: &PacingLimits,
        pending: f64,
        now: Instant,
    ) -> Duration {
        let missing = tokens - self.level_at(limits, pending, now);
        Duration::from_secs_f64(missing.max(0.0) / limits.tokens_per_ms / 1e3)
    }

    /// When the next prefilled prompt no longer counts.
    pub(crate) fn next_change(&self, limits: &PacingLimits, now: Instant) -> Option<Instant> {
        let leaves = self.prefilled.iter().map(|(at, _)| *at + limits.event_time);
        leaves.filter(|at| *at > now).min()
    }

    /// A prompt is prefilled within one event of every running stream, and its own first event
    /// comes one event later. Events that end after that hold only prompts that are pending, so
    /// that the bucket need not be overdrawn by more. Prompts count for one event time longer, as
    /// an engine may send its first event sooner than later ones.
    fn level_at(&self, limits: &PacingLimits, pending: f64, now: Instant) -> f64 {
        let passed_ms = as_ms(now.saturating_duration_since(self.refilled_at));
        let refilled = self.level + passed_ms * limits.tokens_per_ms;
        let least = limits.burst_tokens - pending - self.recent_tokens(limits, now);
        refilled.max(least).min(limits.burst_tokens)
    }

    fn recent_tokens(&self, limits: &PacingLimits, now: Instant) -> f64 {
        let recent = self
            .prefilled
            .iter()
            .filter(|(at, _)| now < *at + limits.event_time);
        recent.map(|(_, tokens)| f64::from(*tokens)).sum()
    }
}

fn as_ms(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
