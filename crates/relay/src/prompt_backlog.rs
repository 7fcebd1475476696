//! An estimate of the prompt tokens that an engine has still to prefill.

use std::time::Instant;

/// Tokens sent to one engine and those not prefilled yet, by its pace.
///
/// First events are reported some engine steps after the prefill, and not at all for the part of a
/// prompt that is prefilled. If all unreported tokens counted as to be prefilled, an engine would
/// seem up to 1.6 times as fast as it is under load.
#[derive(Clone, Debug)]
pub(crate) struct PromptBacklog {
    tokens: f64,
    sent_tokens: f64,
    updated_at: Instant,
}

/// The state of the backlog when a prompt was sent.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BacklogMark {
    /// Tokens to prefill until the prompt is done.
    to_prefill: f64,
    /// All tokens sent, including the prompt's.
    sent_tokens: f64,
}

impl PromptBacklog {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            tokens: 0.0,
            sent_tokens: 0.0,
            updated_at: now,
        }
    }

    /// Adds a prompt. `unreported` are the tokens of earlier prompts whose first events are not
    /// reported.
    pub(crate) fn add(
        &mut self,
        tokens: u32,
        unreported: f64,
        tokens_per_ms: f64,
        now: Instant,
    ) -> BacklogMark {
        self.tokens = self.left(unreported, tokens_per_ms, now) + f64::from(tokens);
        self.sent_tokens += f64::from(tokens);
        self.updated_at = self.updated_at.max(now);
        BacklogMark {
            to_prefill: self.tokens,
            sent_tokens: self.sent_tokens,
        }
    }

    /// Tokens prefilled since a prompt was sent whose first event came now. Later prompts are
    /// prefilled in part between the steps of its first event.
    pub(crate) fn prefilled_since(
        &self,
        mark: &BacklogMark,
        unreported: f64,
        tokens_per_ms: f64,
        now: Instant,
    ) -> f64 {
        let later = self.sent_tokens - mark.sent_tokens;
        let left = self.left(unreported, tokens_per_ms, now);
        mark.to_prefill + (later - left).max(0.0)
    }

    fn left(&self, unreported: f64, tokens_per_ms: f64, now: Instant) -> f64 {
        let passed = now.saturating_duration_since(self.updated_at);
        let prefilled = passed.as_secs_f64() * 1e3 * tokens_per_ms;
        (self.tokens - prefilled).clamp(0.0, unreported.max(0.0))
    }
}
