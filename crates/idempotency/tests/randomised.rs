//! Randomised runs: pauses, restarts, cuts, outages, lost and late writes, lost, late and doubled
//! messages, callers that repeat through any node. The world asserts the promises at each step.

mod world;

use std::time::Duration;

use nutmegsail_base::RunState;
use nutmegsail_idempotency::ClaimSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use rstest::rstest;
use world::{Faults, Told, World};

const NODES: usize = 4;
const KEYS: usize = 12;

/// What happens next, with indices taken modulo what there is.
#[derive(Clone, Debug)]
enum Step {
    Call { node: usize, key: usize, body: u8 },
    NewKey { key: usize, ticket: bool },
    Wait { ms: u64 },
    Pause { node: usize, ms: u64 },
    Restart { node: usize },
    Cut { node: usize, is_cut: bool },
    Store { is_down: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let (node, key) = (0..NODES, 0..KEYS);
    prop_oneof![
        12 => (node.clone(), key.clone(), prop_oneof![9 => Just(0u8), 1 => Just(1u8)])
            .prop_map(|(node, key, body)| Step::Call { node, key, body }),
        4 => (key, prop::bool::weighted(0.3))
            .prop_map(|(key, ticket)| Step::NewKey { key, ticket }),
        8 => prop_oneof![8 => 1u64..30, 8 => 30u64..600, 8 => 600u64..6000, 1 => 30_000u64..120_000].prop_map(|ms| Step::Wait { ms }),
        2 => (node.clone(), 10u64..8000).prop_map(|(node, ms)| Step::Pause { node, ms }),
        1 => node.clone().prop_map(|node| Step::Restart { node }),
        1 => (node, any::<bool>()).prop_map(|(node, is_cut)| Step::Cut { node, is_cut }),
        1 => prop::bool::weighted(0.4).prop_map(|is_down| Step::Store { is_down }),
    ]
}

/// Faults in percent; in some runs there are none of a kind.
fn faults() -> impl Strategy<Value = Faults> {
    let often = || prop_oneof![Just(0u64), 1u64..40];
    (
        often(),
        often(),
        often(),
        often(),
        often(),
        often(),
        often(),
        often(),
    )
        .prop_map(
            |(not_done, lost, read, message, twice, late, broken, refused)| Faults {
                swap_not_done: not_done,
                swap_lost: lost,
                read_fails: read,
                message_lost: message,
                message_twice: twice,
                message_late: late,
                call_broken: broken / 2,
                call_refused: refused / 2,
            },
        )
}

fn play(seed: u64, faults: Faults, steps: &[Step]) -> World {
    // Short enough that claims are collected and keys grow too old within a run.
    let settings = ClaimSettings {
        retention: Duration::from_secs(60),
        skew: Duration::from_secs(2),
        record_retention: Duration::from_secs(64),
        collect_interval: Duration::from_secs(1),
        record_bytes: 700,
        ..ClaimSettings::default()
    };
    let mut world = World::with_settings(NODES, seed, settings);
    for (node, error_s) in [2, -2, 0, -2].into_iter().enumerate() {
        world.nodes[node].clock_error_s = error_s;
    }
    world.faults = faults;
    let mut keys: Vec<_> = (0..KEYS).map(|_| world.key()).collect();
    for step in steps {
        match *step {
            Step::Call { node, key, body } => {
                world.begin(node, &keys[key], body);
            }
            Step::NewKey { key, ticket } if ticket => keys[key] = world.ticket(key % NODES),
            Step::NewKey { key, .. } => keys[key] = world.key(),
            Step::Wait { ms } => world.run_for(Duration::from_millis(ms)),
            Step::Pause { node, ms } => world.pause(node, Duration::from_millis(ms)),
            Step::Restart { node } => world.restart(node),
            Step::Cut { node, is_cut } => {
                world.nodes[node].is_cut = is_cut;
                world.spread_live_nodes();
            }
            Step::Store { is_down } => world.set_store_down(is_down),
        }
    }
    world.run_for(Duration::from_secs(30));
    world
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    TestRunner::new(Config {
        cases,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        max_shrink_iters: 2000,
        ..Config::default()
    })
}

/// What callers were told over all runs, so that "nothing happened" can't pass.
#[derive(Debug, Default)]
struct Counts {
    ran: u64,
    answered: u64,
    not_run: u64,
    may_have_run: u64,
}

impl Counts {
    fn add(&mut self, world: &World) {
        for told in world.told.values() {
            let count = match told {
                Told::Ran(_) => &mut self.ran,
                Told::Answer(_) => &mut self.answered,
                Told::Refused(_, RunState::NotRun) => &mut self.not_run,
                Told::Refused(..) => &mut self.may_have_run,
            };
            *count += 1;
        }
    }
}

#[test]
fn no_call_runs_twice_and_no_run_is_denied() {
    let cases = std::env::var("NUTMEGSAIL_CASES").map_or(400, |cases| cases.parse().unwrap());
    let seed = std::env::var("NUTMEGSAIL_SEED").map_or(4008, |seed| seed.parse().unwrap());
    let inputs = (
        any::<u64>(),
        faults(),
        prop::collection::vec(step(), 20..120),
    );
    let counts = std::cell::RefCell::new(Counts::default());
    let verdict = runner(cases, seed).run(&inputs, |(seed, faults, steps)| {
        let world = play(seed, faults, &steps);
        counts.borrow_mut().add(&world);
        Ok(())
    });
    if let Err(failure) = verdict {
        panic!("seed {seed}: {failure}");
    }
    println!("{cases} cases, seed {seed}: {:?}", counts.borrow());
    let counts = counts.into_inner();
    assert!(counts.ran > 0 && counts.answered > 0 && counts.not_run > 0 && counts.may_have_run > 0);
}

/// Without outages every key runs, whatever the order of calls; with faults at least half do.
#[rstest]
#[case::no_faults(Faults::default(), 100)]
#[case::faults(
    Faults { swap_not_done: 5, swap_lost: 5, read_fails: 5, message_lost: 5, message_twice: 5,
        message_late: 5, ..Faults::default() },
    50
)]
fn outside_outages_calls_run(#[case] faults: Faults, #[case] least_percent: usize) {
    let calls = prop::collection::vec((0..NODES, 0..KEYS, 0u64..200), 20..80);
    let verdict = runner(100, 4007).run(&(any::<u64>(), calls), |(seed, calls)| {
        let mut world = World::new(NODES, seed);
        world.faults = faults;
        let keys: Vec<_> = (0..KEYS).map(|_| world.key()).collect();
        let mut called = std::collections::BTreeSet::new();
        for (node, key, wait_ms) in calls {
            world.begin(node, &keys[key], 0);
            called.insert(key);
            world.run_for(Duration::from_millis(wait_ms));
        }
        world.run_for(Duration::from_secs(3));
        let ran = called.iter().filter(|key| world.runs(&keys[**key]) == 1);
        let ran_percent = ran.count() * 100 / called.len();
        prop_assert!(ran_percent >= least_percent, "{ran_percent}% ran");
        Ok(())
    });
    verdict.unwrap();
}
