//! Open-loop arrivals with skewed popularity.

use std::time::Duration;

use nutmegsail_base::Class;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::request::SimRequest;
use super::scenario::Scenario;

const CALLERS: u32 = 40;
/// The least tokens of an answer.
const MIN_TOKENS: f64 = 4.0;

/// Every arrival of a run, in order. It depends on the scenario and the seed alone, so every policy
/// meets the same arrivals, and a slow policy doesn't slow its callers down.
pub(crate) fn arrivals(scenario: &Scenario, seed: u64) -> Vec<SimRequest> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let popularity = Popularity::new(scenario.adapters, scenario.zipf);
    let end = scenario.warm_up + scenario.measured;
    let mut at = Duration::ZERO;
    let mut arrivals = Vec::new();
    loop {
        at += exponential(1.0 / scenario.requests_per_s, &mut rng);
        if at >= end {
            return arrivals;
        }
        arrivals.push(arrival(scenario, &popularity, at, &mut rng));
    }
}

fn arrival(
    scenario: &Scenario,
    popularity: &Popularity,
    at: Duration,
    rng: &mut ChaCha8Rng,
) -> SimRequest {
    let is_urgent = rng.random::<f64>() < scenario.urgent_share;
    let (class, mean) = if is_urgent {
        (Class::Urgent, scenario.urgent_tokens)
    } else {
        (Class::Routine, scenario.routine_tokens)
    };
    let tokens = MIN_TOKENS + exponential(mean - MIN_TOKENS, rng).as_secs_f64();
    SimRequest {
        at,
        node: rng.random_range(0..scenario.nodes()),
        adapter: popularity.draw(rng),
        class,
        tokens: tokens as u32,
        caller: rng.random_range(0..CALLERS),
        sends: 0,
        stalled_since: None,
        stalled: Duration::ZERO,
        first_token: None,
        is_shed: false,
        is_done: false,
    }
}

fn exponential(mean: f64, rng: &mut ChaCha8Rng) -> Duration {
    let uniform: f64 = rng.random();
    Duration::from_secs_f64(-mean * (1.0 - uniform).ln())
}

/// Zipf's law over adapters.
struct Popularity {
    cumulative: Vec<f64>,
}

impl Popularity {
    fn new(adapters: usize, exponent: f64) -> Self {
        let mut sum = 0.0;
        let mut cumulative = Vec::with_capacity(adapters);
        for rank in 1..=adapters {
            sum += (rank as f64).powf(-exponent);
            cumulative.push(sum);
        }
        Self { cumulative }
    }

    fn draw(&self, rng: &mut ChaCha8Rng) -> usize {
        let total = self.cumulative.last().copied().unwrap_or(1.0);
        let at = rng.random::<f64>() * total;
        let found = self.cumulative.partition_point(|sum| *sum < at);
        found.min(self.cumulative.len() - 1)
    }
}
