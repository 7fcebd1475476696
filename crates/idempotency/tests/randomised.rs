//! Randomised runs with paused and restarted nodes, network partitions, store outages, lost and
//! delayed writes, lost, delayed and duplicated messages, and callers that repeat calls through any
//! node. The simulation checks the guarantees to callers at each step.

mod simulation;

use std::time::Duration;

use nutmegsail_base::RunState;
use nutmegsail_idempotency::ClaimSettings;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRunner};
use rstest::rstest;
use simulation::{Faults, Response, Simulation};

const NODES: usize = 4;
const KEYS: usize = 12;

/// One step of a run.
#[derive(Clone, Debug)]
enum Step {
    Call { node: usize, key: usize, body: u8 },
    NewKey { key: usize, ticket: bool },
    Wait { ms: u64 },
    Pause { node: usize, ms: u64 },
    Restart { node: usize },
    Partition { node: usize, is_partitioned: bool },
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
        1 => (node, any::<bool>()).prop_map(|(node, is_partitioned)| Step::Partition { node, is_partitioned }),
        1 => prop::bool::weighted(0.4).prop_map(|is_down| Step::Store { is_down }),
    ]
}

/// Fault rates in percent. Each rate is 0 in some runs.
fn faults() -> impl Strategy<Value = Faults> {
    let percent = || prop_oneof![Just(0u64), 1u64..40];
    (
        percent(),
        percent(),
        percent(),
        percent(),
        percent(),
        percent(),
        percent(),
        percent(),
    )
        .prop_map(
            |(not_done, lost, read, message, duplicated, delayed, broken, refused)| Faults {
                swap_not_done: not_done,
                swap_lost: lost,
                read_fails: read,
                message_lost: message,
                message_duplicated: duplicated,
                message_delayed: delayed,
                call_broken: broken / 2,
                call_refused: refused / 2,
            },
        )
}

fn run_steps(seed: u64, faults: Faults, steps: &[Step]) -> Simulation {
    // The retention is short enough that records are deleted and keys become too old during a run.
    let settings = ClaimSettings {
        retention: Duration::from_secs(60),
        skew: Duration::from_secs(2),
        record_retention: Duration::from_secs(64),
        collect_interval: Duration::from_secs(1),
        record_bytes: 700,
        ..ClaimSettings::default()
    };
    let mut sim = Simulation::with_settings(NODES, seed, settings);
    for (node, error_s) in [2, -2, 0, -2].into_iter().enumerate() {
        sim.nodes[node].clock_error_s = error_s;
    }
    sim.faults = faults;
    let mut keys: Vec<_> = (0..KEYS).map(|_| sim.key()).collect();
    for step in steps {
        match *step {
            Step::Call { node, key, body } => {
                sim.begin(node, &keys[key], body);
            }
            Step::NewKey { key, ticket } if ticket => keys[key] = sim.ticket(key % NODES),
            Step::NewKey { key, .. } => keys[key] = sim.key(),
            Step::Wait { ms } => sim.run_for(Duration::from_millis(ms)),
            Step::Pause { node, ms } => sim.pause(node, Duration::from_millis(ms)),
            Step::Restart { node } => sim.restart(node),
            Step::Partition {
                node,
                is_partitioned,
            } => {
                sim.nodes[node].is_partitioned = is_partitioned;
                sim.announce_live_nodes();
            }
            Step::Store { is_down } => sim.set_store_down(is_down),
        }
    }
    sim.run_for(Duration::from_secs(30));
    sim
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

/// The responses to callers over all runs, so that a test in which nothing happens fails.
#[derive(Debug, Default)]
struct Counts {
    ran: u64,
    answered: u64,
    not_run: u64,
    may_have_run: u64,
}

impl Counts {
    fn add(&mut self, sim: &Simulation) {
        for response in sim.responses.values() {
            let count = match response {
                Response::Ran(_) => &mut self.ran,
                Response::Answer(_) => &mut self.answered,
                Response::Refused(_, RunState::NotRun) => &mut self.not_run,
                Response::Refused(..) => &mut self.may_have_run,
            };
            *count += 1;
        }
    }
}

#[test]
fn no_call_runs_twice_or_is_refused_as_not_run_after_running() {
    let cases = std::env::var("NUTMEGSAIL_CASES").map_or(400, |cases| cases.parse().unwrap());
    let seed = std::env::var("NUTMEGSAIL_SEED").map_or(4008, |seed| seed.parse().unwrap());
    let inputs = (
        any::<u64>(),
        faults(),
        prop::collection::vec(step(), 20..120),
    );
    let counts = std::cell::RefCell::new(Counts::default());
    let verdict = runner(cases, seed).run(&inputs, |(seed, faults, steps)| {
        let sim = run_steps(seed, faults, &steps);
        counts.borrow_mut().add(&sim);
        Ok(())
    });
    if let Err(failure) = verdict {
        panic!("seed {seed}: {failure}");
    }
    println!("{cases} cases, seed {seed}: {:?}", counts.borrow());
    let counts = counts.into_inner();
    assert!(counts.ran > 0 && counts.answered > 0 && counts.not_run > 0 && counts.may_have_run > 0);
}

/// Without faults every key's call runs, whatever the order of calls. With faults in the store and
/// the network, but without outages, at least half of them run.
#[rstest]
#[case::no_faults(Faults::default(), 100)]
#[case::faults(
    Faults { swap_not_done: 5, swap_lost: 5, read_fails: 5, message_lost: 5, message_duplicated: 5,
        message_delayed: 5, ..Faults::default() },
    50
)]
fn calls_run_without_outages(#[case] faults: Faults, #[case] min_percent: usize) {
    let calls = prop::collection::vec((0..NODES, 0..KEYS, 0u64..200), 20..80);
    let verdict = runner(100, 4007).run(&(any::<u64>(), calls), |(seed, calls)| {
        let mut sim = Simulation::new(NODES, seed);
        sim.faults = faults;
        let keys: Vec<_> = (0..KEYS).map(|_| sim.key()).collect();
        let mut called = std::collections::BTreeSet::new();
        for (node, key, wait_ms) in calls {
            sim.begin(node, &keys[key], 0);
            called.insert(key);
            sim.run_for(Duration::from_millis(wait_ms));
        }
        sim.run_for(Duration::from_secs(3));
        let ran = called.iter().filter(|key| sim.runs(&keys[**key]) == 1);
        let ran_percent = ran.count() * 100 / called.len();
        prop_assert!(ran_percent >= min_percent, "{ran_percent}% ran");
        Ok(())
    });
    verdict.unwrap();
}
