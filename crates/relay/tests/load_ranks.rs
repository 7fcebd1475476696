//! The engines at which adapters are loaded, by hash and weight.

use nutmegsail_relay::LoadCandidate;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

fn candidate(weight: f64) -> LoadCandidate {
    LoadCandidate {
        engine: "engine".into(),
        cost_ms: 0.0,
        is_recent: false,
        weight,
    }
}

/// Fails if adapters are spread over engines of unlike speed as if they were equal.
#[test]
fn engines_come_first_in_proportion_to_their_weights() {
    let weights = [0.36, 1.0, 2.56];
    let mut random = SmallRng::seed_from_u64(1);
    let mut firsts = [0.0; 3];
    for _ in 0..30_000 {
        let ranks = weights.map(|weight| candidate(weight).rank(random.random()));
        let first = (0..3).min_by(|a, b| ranks[*a].total_cmp(&ranks[*b]));
        firsts[first.unwrap_or_default()] += 1.0;
    }
    let total: f64 = weights.iter().sum();
    for (weight, first) in weights.iter().zip(firsts) {
        let (expected, share) = (weight / total, first / 30_000.0);
        assert!((share - expected).abs() < 0.01, "{share} of {expected}");
    }
}

/// Fails if nodes that know the paces order equal engines otherwise than nodes that don't, so that
/// both load an adapter.
#[test]
fn equal_weights_keep_the_order_of_hashes() {
    let mut random = SmallRng::seed_from_u64(2);
    for _ in 0..1_000 {
        let (a, b): (u64, u64) = (random.random(), random.random());
        let ranks = (candidate(1.0).rank(a), candidate(1.0).rank(b));
        assert_eq!(a < b, ranks.0 < ranks.1);
    }
}
