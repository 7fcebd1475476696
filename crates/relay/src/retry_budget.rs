//! Limits how often this node retries requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRules {
    /// Retries allowed per first attempt, over all nodes.
    pub ratio: f64,
    /// Retries allowed in addition in each window, over all nodes.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// Share of the fleet's budget that nodes use. The remainder is a margin, so that windows that are
/// not aligned, and attempts in flight, do not add up to more than the whole.
const USED_SHARE: f64 = 0.6;

/// Number of steps that the window is counted in.
const STEPS: u32 = 10;

/// Retry budget of one service at one node.
///
/// Each node gets a fixed share of the slack, so nodes need not coordinate, and one that is cut off
/// stays within its share. The ratio needs no sharing: it applies to the node's own first attempts.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rules: RetryBudgetRules,
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    began: Instant,
    /// First attempts.
    first_attempts: u32,
    /// Retries.
    retries: u32,
}

impl RetryBudget {
    /// Creates an unused budget.
    pub fn new(rules: RetryBudgetRules) -> Self {
        Self {
            rules,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request's first attempt.
    pub fn count_first(&mut self, now: Instant) {
        self.step(now).first_attempts += 1;
    }

    /// Whether the budget allows a retry, at one of `nodes` nodes.
    pub fn has_retry(&mut self, nodes: usize, now: Instant) -> bool {
        self.step(now);
        let first_attempts: u32 = self.steps.iter().map(|step| step.first_attempts).sum();
        let retries: u32 = self.steps.iter().map(|step| step.retries).sum();
        let slack = self.rules.slack / nodes.max(1) as f64;
        let allowed = USED_SHARE * (self.rules.ratio * f64::from(first_attempts) + slack);
        f64::from(retries) + 1.0 <= allowed
    }

    /// Counts a retry if the budget allows it. Returns whether it does.
    pub fn take_retry(&mut self, nodes: usize, now: Instant) -> bool {
        let has_room = self.has_retry(nodes, now);
        if has_room {
            self.step(now).retries += 1;
        }
        has_room
    }

    fn step(&mut self, now: Instant) -> &mut Step {
        let window = self.rules.window;
        while self
            .steps
            .front()
            .is_some_and(|step| now.duration_since(step.began) >= window)
        {
            self.steps.pop_front();
        }
        let is_current_step = |step: &Step| now.duration_since(step.began) < window / STEPS;
        if !self.steps.back().is_some_and(is_current_step) {
            self.steps.push_back(Step {
                began: now,
                first_attempts: 0,
                retries: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
