//! A value whose changes are seen late.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// A value as it was `lag` ago.
#[derive(Debug)]
pub(crate) struct Lagged<T> {
    lag: Duration,
    /// The values over time; the first is the one that is seen.
    versions: VecDeque<(Instant, T)>,
}

impl<T: PartialEq> Lagged<T> {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            versions: VecDeque::new(),
        }
    }

    pub(crate) fn set(&mut self, value: T, now: Instant) {
        let is_same = self.newest().is_some_and(|newest| *newest == value);
        if !is_same {
            self.versions.push_back((now, value));
        }
        self.forget_unseen(now);
    }

    pub(crate) fn newest(&self) -> Option<&T> {
        self.versions.back().map(|(_, value)| value)
    }

    /// The value of `lag` ago, or the first one if there was none yet.
    pub(crate) fn seen(&mut self, now: Instant) -> Option<&T> {
        self.forget_unseen(now);
        self.versions.front().map(|(_, value)| value)
    }

    fn forget_unseen(&mut self, now: Instant) {
        let lag = self.lag;
        while self.versions.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.versions.pop_front();
        }
    }
}
