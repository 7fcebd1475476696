//! The rest that an upstream asks one node for.

use std::time::{Duration, Instant};

/// How long the first request after a rest may take until another one is sent.
const TRIAL_LIMIT: Duration = Duration::from_millis(1_000);

/// About when the first request after a rest is answered.
const TRIAL_ANSWERED: Duration = Duration::from_millis(100);

/// The rest that an upstream asked for. After it one request shows whether the upstream takes work again, before the others go.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rest {
    until: Option<Instant>,
    trial: Trial,
}

#[derive(Clone, Copy, Debug, Default)]
enum Trial {
    /// None is needed.
    #[default]
    None,
    /// The next request is it.
    Due,
    /// It was sent.
    Sent(Instant),
}

impl Rest {
    /// Takes in that the upstream wants nothing before `until`.
    pub(crate) fn begin(&mut self, until: Instant) {
        if self.until < Some(until) {
            self.until = Some(until);
            self.trial = Trial::Due;
        }
    }

    /// When the upstream takes a request again, if it does not now.
    pub(crate) fn ends(&self, now: Instant) -> Option<Instant> {
        let rest = self.until.filter(|until| now < *until);
        let trial = match self.trial {
            Trial::Sent(at) if now.duration_since(at) < TRIAL_LIMIT => {
                Some((at + TRIAL_ANSWERED).max(now))
            }
            Trial::None | Trial::Due | Trial::Sent(_) => None,
        };
        rest.or(trial)
    }

    /// Takes in that a request was sent.
    pub(crate) fn note_sent(&mut self, now: Instant) {
        if !matches!(self.trial, Trial::None) && self.ends(now).is_none() {
            self.trial = Trial::Sent(now);
        }
    }

    /// Takes in that an answer began.
    pub(crate) fn note_answered(&mut self) {
        if let Trial::Sent(_) = self.trial {
            self.trial = Trial::None;
        }
    }

    /// Takes in that the upstream turned a request away, or failed it.
    pub(crate) fn note_not_answered(&mut self) {
        if let Trial::Sent(_) = self.trial {
            self.trial = Trial::Due;
        }
    }
}
