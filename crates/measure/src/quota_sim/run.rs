//! One run of a fleet whose teams have quotas.

use std::collections::VecDeque;
use std::time::Duration;

use nutmegsail_quota::{Quota, QuotaBounds};
use rand::{RngExt as _, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::ways::{DOMAINS, Keeper, QuotaWay};

const STEP: Duration = Duration::from_millis(10);
const LENGTH_S: u64 = 40;

/// Requests of one node in a second.
const REQUESTS_PER_NODE: f64 = 5.0;

/// Teams, whose sizes follow Zipf's law.
const TEAMS: usize = 16;

/// The tokens of a small and of a large request; each is as frequent.
const REQUEST_TOKENS: [u32; 2] = [700, 2_300];

/// A team's quota as a multiple of its usual demand, and the least one.
const QUOTA_OVER_DEMAND: f64 = 1.8;
const LEAST_QUOTA_PER_S: f64 = 2_700.0;

/// Callers of the largest team for each node; each caller keeps to one node.
const CALLERS_PER_NODE: f64 = 1.5;

/// The fleet of a run and what befalls it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QuotaScenario {
    pub(crate) nodes: usize,
    /// How many times its usual the second largest team sends from second 8 to 20.
    pub(crate) hot_times: f64,
    /// Whether a failure domain is cut off from second 14 to 18.
    pub(crate) has_cut: bool,
}

/// What a run came to.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaRun {
    /// Requests of teams at their usual demand that one bucket for the fleet serves.
    pub(crate) owed: u64,
    /// Of these, those that were refused.
    pub(crate) refused_falsely: u64,
    /// What teams got less than one bucket gives them, as a part of that.
    pub(crate) short_share: f64,
    /// The most tokens in a window, as a part of the limit, over all teams.
    pub(crate) most_in_window: f64,
    /// Messages of a node in a second.
    pub(crate) messages_per_node_s: f64,
}

struct TeamRun {
    quota: Quota,
    usual_per_s: f64,
    /// The nodes of its callers.
    nodes: Vec<usize>,
    /// The bucket of the fleet that it is compared with.
    ideal: f64,
    /// Tokens that this bucket gave, and tokens that the team got.
    due: f64,
    got: f64,
    spent: VecDeque<(Duration, u32)>,
    in_window: f64,
    most: f64,
}

pub(crate) fn simulate(scenario: QuotaScenario, way: QuotaWay, seed: u64) -> QuotaRun {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let bounds = QuotaBounds {
        slack_tokens: 11_000.0,
        failure_domains: DOMAINS as u32,
        ..QuotaBounds::default()
    };
    let mut teams = teams(scenario, &mut random);
    let quotas: Vec<Quota> = teams.iter().map(|team| team.quota).collect();
    let mut keeper = Keeper::new(way, bounds, &quotas, scenario.nodes);
    let mut run = QuotaRun::default();
    let steps = LENGTH_S * 1_000 / STEP.as_millis() as u64;
    for step in 0..steps {
        let now = STEP * step as u32;
        let second = now.as_secs();
        let is_hot = (8..20).contains(&second);
        let cut = (scenario.has_cut && (14..18).contains(&second)).then_some(0);
        for (place, team) in teams.iter_mut().enumerate() {
            let times = if is_hot && place == 1 {
                scenario.hot_times
            } else {
                1.0
            };
            let mean = f64::from(REQUEST_TOKENS[0] + REQUEST_TOKENS[1]) / 2.0;
            let mut expected = team.usual_per_s * times * STEP.as_secs_f64() / mean;
            team.fill(STEP);
            while expected > 0.0 {
                if random.random::<f64>() < expected {
                    let node = team.nodes[random.random_range(0..team.nodes.len())];
                    let tokens = REQUEST_TOKENS[random.random_range(0..2)];
                    let is_owed = team.take_ideal(tokens);
                    let is_served = keeper.ask(node, place, tokens, cut, now);
                    if times <= 1.0 {
                        run.owed += u64::from(is_owed);
                        run.refused_falsely += u64::from(is_owed && !is_served);
                    }
                    if is_served {
                        team.spend(tokens, now, bounds.window);
                    }
                }
                expected -= 1.0;
            }
        }
    }
    let parts = teams
        .iter()
        .map(|team| team.most / bounds.window_limit(team.quota));
    run.most_in_window = parts.fold(0.0, f64::max);
    let due: f64 = teams.iter().map(|team| team.due).sum();
    let short = teams.iter().map(|team| (team.due - team.got).max(0.0));
    run.short_share = short.sum::<f64>() / due.max(1.0);
    run.messages_per_node_s = keeper.messages() as f64 / (scenario.nodes as u64 * LENGTH_S) as f64;
    run
}

fn teams(scenario: QuotaScenario, random: &mut ChaCha8Rng) -> Vec<TeamRun> {
    let weights: Vec<f64> = (1..=TEAMS).map(|rank| 1.0 / rank as f64).collect();
    let all: f64 = weights.iter().sum();
    let mean = f64::from(REQUEST_TOKENS[0] + REQUEST_TOKENS[1]) / 2.0;
    let demand = scenario.nodes as f64 * REQUESTS_PER_NODE * mean;
    let teams = weights.iter().map(|weight| {
        let usual_per_s = demand * weight / all;
        let rate = (usual_per_s * QUOTA_OVER_DEMAND).max(LEAST_QUOTA_PER_S);
        let callers = (scenario.nodes as f64 * CALLERS_PER_NODE * weight).ceil() as usize;
        let nodes = (0..callers).map(|_| random.random_range(0..scenario.nodes));
        TeamRun {
            quota: Quota {
                tokens_per_s: rate,
                burst_tokens: rate,
            },
            usual_per_s,
            nodes: nodes.collect(),
            ideal: rate,
            due: 0.0,
            got: 0.0,
            spent: VecDeque::new(),
            in_window: 0.0,
            most: 0.0,
        }
    });
    teams.collect()
}

impl TeamRun {
    fn fill(&mut self, passed: Duration) {
        let filled = self.ideal + self.quota.tokens_per_s * passed.as_secs_f64();
        self.ideal = filled.min(self.quota.burst_tokens);
    }

    fn take_ideal(&mut self, tokens: u32) -> bool {
        let has_room = self.ideal >= f64::from(tokens);
        if has_room {
            self.ideal -= f64::from(tokens);
            self.due += f64::from(tokens);
        }
        has_room
    }

    fn spend(&mut self, tokens: u32, now: Duration, window: Duration) {
        self.got += f64::from(tokens);
        self.spent.push_back((now, tokens));
        self.in_window += f64::from(tokens);
        while let Some((at, old)) = self
            .spent
            .front()
            .copied()
            .filter(|(at, _)| now - *at >= window)
        {
            debug_assert!(at <= now);
            self.in_window -= f64::from(old);
            self.spent.pop_front();
        }
        self.most = self.most.max(self.in_window);
    }
}
