//! How often this node may send a request once more.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// The bounds of [`RetryBudget`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRules {
    /// Further sends that each first send allows, over all nodes.
    pub ratio: f64,
    /// Further sends that are allowed besides, in one window, over all nodes.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// The part of the fleet's budget that nodes leave unused, so that two windows that slide apart
/// and sends still on their way do not add up to more than the whole.
const USED_SHARE: f64 = 0.6;

/// Steps that the window is counted in.
const STEPS: u32 = 10;

/// Counts sends of one service at one node.
///
/// Each node takes a static share of the slack, so no call is needed to agree on it, and a node
/// that is cut off keeps within it. The ratio needs no sharing: it goes with the node's own sends.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    rules: RetryBudgetRules,
    steps: VecDeque<Step>,
}

#[derive(Clone, Copy, Debug)]
struct Step {
    began: Instant,
    first: u32,
    further: u32,
}

impl RetryBudget {
    /// A budget in which nothing was spent.
    pub fn new(rules: RetryBudgetRules) -> Self {
        Self {
            rules,
            steps: VecDeque::new(),
        }
    }

    /// Counts a request's first send.
    pub fn count_first(&mut self, now: Instant) {
        self.step(now).first += 1;
    }

    /// Whether a further send fits the budget, for one of `nodes` nodes.
    pub fn has_further(&mut self, nodes: usize, now: Instant) -> bool {
        self.step(now);
        let first: u32 = self.steps.iter().map(|step| step.first).sum();
        let further: u32 = self.steps.iter().map(|step| step.further).sum();
        let slack = self.rules.slack / nodes.max(1) as f64;
        let allowed = USED_SHARE * (self.rules.ratio * f64::from(first) + slack);
        f64::from(further) + 1.0 <= allowed
    }

    /// Counts a further send of a request if the budget has room for it.
    pub fn take_further(&mut self, nodes: usize, now: Instant) -> bool {
        let has_room = self.has_further(nodes, now);
        if has_room {
            self.step(now).further += 1;
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
        let is_current = |step: &Step| now.duration_since(step.began) < window / STEPS;
        if !self.steps.back().is_some_and(is_current) {
            self.steps.push_back(Step {
                began: now,
                first: 0,
                further: 0,
            });
        }
        let last = self.steps.len() - 1;
        &mut self.steps[last]
    }
}
