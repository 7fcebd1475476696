//! One run of a fleet before an upstream that names a limit.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ways::{Keeper, LEARNED_AFTER, LimitWay};

const STEP: Duration = Duration::from_millis(5);
const LENGTH_S: u64 = 60;

/// What all callers ask of the upstream, as a multiple of its limit.
const DEMAND: f64 = 4.0;

/// The window in which requests are counted, and from when on after the limit was named.
const WINDOW: Duration = Duration::from_secs(4);
const COUNTED_FROM: Duration = Duration::from_secs(13);

/// A limit and what befalls the fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LimitScenario {
    pub(crate) nodes: usize,
    /// Requests a second that the upstream names from second 10 on.
    pub(crate) per_s: f64,
    /// Whether it falls to half at second 30.
    pub(crate) moves: bool,
    /// Whether the handing node restarts at seconds 25 and 40, away for 2 s, and a third of the nodes does not hear it
    /// from second 30 to 36.
    pub(crate) has_faults: bool,
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LimitRun {
    /// The most requests in a window, as a part of what is allowed: one and a half times the limit, and five.
    pub(crate) most_in_window: f64,
    /// What the upstream got, as a part of what its limit allows.
    pub(crate) used_share: f64,
    pub(crate) messages_per_node_s: f64,
}

pub(crate) fn simulate(scenario: LimitScenario, way: LimitWay, seed: u64) -> LimitRun {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let origin = Instant::now();
    let mut keeper = Keeper::new(way, scenario.nodes);
    // A few nodes get most of the callers.
    let weights: Vec<f64> = (1..=scenario.nodes).map(|rank| 1.0 / rank as f64).collect();
    let all: f64 = weights.iter().sum();
    let mut sent: VecDeque<Duration> = VecDeque::new();
    let (mut most, mut got, mut allowed) = (0.0_f64, 0.0, 0.0);
    for step in 0..LENGTH_S * 1_000 / STEP.as_millis() as u64 {
        let at = STEP * step as u32;
        let now = origin + at;
        if at.as_millis().is_multiple_of(1_000) {
            keeper.second();
        }
        let limit = scenario.limit(at);
        keeper.set_limit(scenario.limit(at.saturating_sub(LEARNED_AFTER)), now);
        if scenario.has_faults && [27_000, 42_000].contains(&at.as_millis()) {
            keeper.restart(now);
        }
        let demand = DEMAND * scenario.per_s * STEP.as_secs_f64();
        for (node, weight) in weights.iter().enumerate() {
            if random.random::<f64>() >= demand * weight / all {
                continue;
            }
            if keeper.ask(node, scenario.is_heard(node, at), now) && at >= COUNTED_FROM {
                sent.push_back(at);
            }
        }
        let Some(limit) = limit.filter(|_| at >= COUNTED_FROM) else {
            continue;
        };
        allowed += limit * STEP.as_secs_f64();
        while sent.front().is_some_and(|first| *first + WINDOW <= at) {
            sent.pop_front();
            got += 1.0;
        }
        let bound = 1.5 * scenario.per_s * WINDOW.as_secs_f64() + 5.0;
        most = most.max(sent.len() as f64 / bound);
    }
    got += sent.len() as f64;
    LimitRun {
        most_in_window: most,
        used_share: got / allowed,
        messages_per_node_s: keeper.messages as f64 / (scenario.nodes as u64 * LENGTH_S) as f64,
    }
}

impl LimitScenario {
    fn limit(&self, at: Duration) -> Option<f64> {
        let second = at.as_secs();
        match second {
            0..10 => None,
            30.. if self.moves => Some(self.per_s / 2.0),
            _ => Some(self.per_s),
        }
    }

    /// Whether a node hears the one that hands out turns.
    fn is_heard(&self, node: usize, at: Duration) -> bool {
        let second = at.as_secs();
        let is_away = [25, 26, 40, 41].contains(&second);
        let is_cut = (30..36).contains(&second) && node.is_multiple_of(3);
        !self.has_faults || !(is_away || is_cut)
    }
}
