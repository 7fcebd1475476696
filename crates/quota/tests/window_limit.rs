//! All nodes together never spend more than the limit in any window.

mod world;

use proptest::prelude::*;
use world::{Event, World};

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: proptest::test_runner::RngSeed::Fixed(25),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    // Guards against spending tokens twice: after a lender restarts or moves to another node, after
    // a partition, after lost, late or duplicated messages, or when a frozen node resumes.
    #[test]
    fn no_window_exceeds_the_limit_under_any_faults(
        seed in any::<u64>(),
        events in prop::collection::vec((0u32..900, any::<Event>()), 0..40),
    ) {
        let mut world = World::new(seed);
        for step in 0..900 {
            for (_, event) in events.iter().filter(|(at, _)| *at == step) {
                world.apply(*event);
            }
            world.step();
        }
        prop_assert!(world.max_spent_in_a_window() <= world.limit(), "{} of {}", world.max_spent_in_a_window(), world.limit());
    }
}

// Guards against keeping the limit by refusing requests that are within the quota.
#[test]
fn a_team_within_its_quota_is_rarely_refused() {
    let mut world = World::new(7);
    world.demand_share = 0.8;
    (0..2_000).for_each(|_| world.step());
    let refused = f64::from(world.refused) / f64::from(world.requested);
    assert!(refused < 0.01, "{refused}");
}

#[test]
fn a_team_that_demands_far_more_gets_about_its_quota() {
    let mut world = World::new(8);
    world.demand_share = 4.0;
    (0..2_000).for_each(|_| world.step());
    let served = world.spent_tokens() / (world.quota().tokens_per_s * 20.0);
    assert!((0.95..1.2).contains(&served), "{served}");
}
