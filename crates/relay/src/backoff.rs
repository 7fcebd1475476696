//! Backoff of one upstream, followed by a trial request.

use std::time::{Duration, Instant};

/// How long a trial request may stay unanswered before another one is sent.
const TRIAL_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Typical time until a trial request is answered. Callers that are refused meanwhile should
/// return then.
const TRIAL_LATENCY: Duration = Duration::from_millis(100);

/// The backoff that an upstream requested. After it, a single trial request must be answered before
/// other requests are sent.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Backoff {
    until: Option<Instant>,
    trial: Trial,
}

/// State of the trial request after a backoff.
#[derive(Clone, Copy, Debug, Default)]
enum Trial {
    /// No trial is needed.
    #[default]
    None,
    /// The next request is the trial.
    Due,
    /// The trial was sent at this time and is not answered yet.
    Sent(Instant),
}

impl Backoff {
    /// Starts a backoff that ends at `until`. Ignored if a longer one is in effect.
    pub(crate) fn begin(&mut self, until: Instant) {
        if self.until < Some(until) {
            self.until = Some(until);
            self.trial = Trial::Due;
        }
    }

    /// When the next request may be sent, or `None` if one may be sent now.
    pub(crate) fn ends(&self, now: Instant) -> Option<Instant> {
        let backoff = self.until.filter(|until| now < *until);
        let trial = match self.trial {
            Trial::Sent(at) if now.duration_since(at) < TRIAL_TIMEOUT => {
                Some((at + TRIAL_LATENCY).max(now))
            }
            Trial::None | Trial::Due | Trial::Sent(_) => None,
        };
        backoff.or(trial)
    }

    /// Records that a request was sent; it is the trial if one is due.
    pub(crate) fn note_sent(&mut self, now: Instant) {
        if !matches!(self.trial, Trial::None) && self.ends(now).is_none() {
            self.trial = Trial::Sent(now);
        }
    }

    /// Records that an answer began: a trial that is under way has succeeded.
    pub(crate) fn note_answered(&mut self) {
        if let Trial::Sent(_) = self.trial {
            self.trial = Trial::None;
        }
    }

    /// Records that a request was refused or failed: a trial that is under way must be repeated.
    pub(crate) fn note_not_answered(&mut self) {
        if let Trial::Sent(_) = self.trial {
            self.trial = Trial::Due;
        }
    }
}
