//! A fake weight store: a rate limit, and one load at a time at full speed.

use std::time::{Duration, Instant};

/// A load under way.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct Transfer {
    pub(crate) domain: usize,
    pub(crate) engine: usize,
    pub(crate) adapter: usize,
    left_s: f64,
    fails: bool,
}

/// Loads under way share the store's bandwidth.
#[derive(Debug)]
pub(crate) struct WeightStore {
    pub(crate) rate_per_s: f64,
    load_time: Duration,
    tokens: f64,
    transfers: Vec<Transfer>,
    /// Until then the store refuses every other load and breaks off a third of the rest.
    pub(crate) failing_until: Option<Instant>,
    asked: u64,
    pub(crate) loads: u64,
}

impl WeightStore {
    pub(crate) fn new(rate_per_s: f64, load_time: Duration) -> Self {
        Self {
            rate_per_s,
            load_time,
            tokens: rate_per_s,
            transfers: Vec::new(),
            failing_until: None,
            asked: 0,
            loads: 0,
        }
    }

    pub(crate) fn begin(
        &mut self,
        domain: usize,
        engine: usize,
        adapter: usize,
        now: Instant,
    ) -> bool {
        self.asked += 1;
        let is_failing = self.failing_until.is_some_and(|until| now < until);
        if self.tokens < 1.0 || (is_failing && self.asked.is_multiple_of(2)) {
            return false;
        }
        self.tokens -= 1.0;
        self.loads += 1;
        self.transfers.push(Transfer {
            domain,
            engine,
            adapter,
            left_s: self.load_time.as_secs_f64(),
            fails: is_failing && self.asked.is_multiple_of(3),
        });
        true
    }

    /// Lets `step` pass; returns the loads that ended and whether each is complete.
    pub(crate) fn advance(&mut self, step: Duration) -> Vec<(Transfer, bool)> {
        let step_s = step.as_secs_f64();
        self.tokens = (self.tokens + step_s * self.rate_per_s).min(self.rate_per_s.max(1.0));
        let share = step_s / self.transfers.len().max(1) as f64;
        for transfer in &mut self.transfers {
            transfer.left_s -= share;
        }
        let ended = self.transfers.extract_if(.., |t| t.left_s <= 0.0);
        ended.map(|t| (t.clone(), !t.fails)).collect()
    }
}
