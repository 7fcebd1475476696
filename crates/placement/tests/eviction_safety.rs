//! Randomised runs: no adapter is unloaded while a request runs on it.

mod simulation;

use std::cell::Cell;
use std::time::Duration;

use nutmegsail_base::Class;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use rstest::rstest;
use simulation::{SimulatedEngine, Simulation, adapter, ms, plan};

const NODES: usize = 3;
const ADAPTERS: u32 = 8;

#[derive(Clone, Debug)]
enum Step {
    Requests {
        node: usize,
        adapter: u32,
        run_ms: u64,
    },
    Run {
        ms: u64,
    },
    Pause {
        node: usize,
        ms: u64,
    },
    PauseAtOrder {
        node: usize,
        ms: u64,
    },
    KvUnavailable {
        ms: u64,
    },
    RestartEngine {
        engine: usize,
    },
    LoseOrderAnswer,
    DelayOrder {
        ms: u64,
    },
    FailLoad,
    RefuseLoad,
    LoseMessages {
        one_in: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        16 => (0..NODES, 0..ADAPTERS, 100..3_000u64)
            .prop_map(|(node, adapter, run_ms)| Step::Requests { node, adapter, run_ms }),
        6 => (0..NODES, 0..ADAPTERS, 10_000..40_000u64)
            .prop_map(|(node, adapter, run_ms)| Step::Requests { node, adapter, run_ms }),
        12 => (100..4_000u64).prop_map(|ms| Step::Run { ms }),
        1 => (0..NODES, 500..20_000u64).prop_map(|(node, ms)| Step::Pause { node, ms }),
        1 => (0..NODES, 500..20_000u64).prop_map(|(node, ms)| Step::PauseAtOrder { node, ms }),
        1 => (500..20_000u64).prop_map(|ms| Step::KvUnavailable { ms }),
        1 => (0..2usize).prop_map(|engine| Step::RestartEngine { engine }),
        1 => Just(Step::LoseOrderAnswer),
        1 => (500..6_000u64).prop_map(|ms| Step::DelayOrder { ms }),
        1 => Just(Step::FailLoad),
        1 => Just(Step::RefuseLoad),
        1 => prop_oneof![Just(0), 2..10u64].prop_map(|one_in| Step::LoseMessages { one_in }),
    ]
}

fn apply(simulation: &mut Simulation, step: &Step) {
    match *step {
        Step::Requests {
            node,
            adapter: n,
            run_ms,
        } => {
            simulation.request(node, &adapter(n), Class::Routine, ms(run_ms));
        }
        Step::Run { ms: time } => simulation.run(ms(time)),
        Step::Pause { node, ms: time } => simulation.pause(node, ms(time)),
        Step::PauseAtOrder { node, ms: time } => {
            simulation.nodes[node].pause_at_order = Some(ms(time));
        }
        Step::KvUnavailable { ms: time } => {
            simulation.faults.kv_unavailable_until = Some(simulation.now + ms(time));
        }
        Step::RestartEngine { engine } => simulation.restart_engine(engine),
        Step::LoseOrderAnswer => simulation.faults.lose_order_answers += 1,
        Step::DelayOrder { ms: time } => simulation.faults.delay_order = Some(ms(time)),
        Step::FailLoad => simulation.faults.fail_loads += 1,
        Step::RefuseLoad => simulation.faults.refuse_loads += 1,
        Step::LoseMessages { one_in } => simulation.faults.lose_one_in = one_in,
    }
}

fn run(checks_fencing: bool, seed: u64, steps: &[Step]) -> Simulation {
    let mut simulation = Simulation::new(NODES, plan(2, 2, ADAPTERS, checks_fencing), seed);
    simulation.run(Duration::from_secs(20));
    for step in steps {
        apply(&mut simulation, step);
    }
    simulation.run(Duration::from_secs(20));
    simulation
}

fn sum(simulation: &Simulation, count: impl Fn(&SimulatedEngine) -> u32) -> u32 {
    simulation.engines.iter().map(count).sum()
}

/// Owners pause, are replaced and resume; orders and answers are late or lost; engines restart with
/// nothing loaded; the key-value service is unavailable. If an adapter were evicted while its
/// request ran, the caller's answer would be cut short.
#[rstest]
#[case::engines_check_fencing(true)]
#[case::engines_ignore_fencing(false)]
fn an_adapter_that_serves_a_request_is_never_evicted(#[case] checks_fencing: bool) {
    let config = Config {
        cases: 192,
        rng_seed: RngSeed::Fixed(0x006e_7574_6d65),
        failure_persistence: None,
        max_shrink_iters: 400,
        ..Config::default()
    };
    let (ran, evictions, takeovers) = (Cell::new(0), Cell::new(0), Cell::new(0));
    let runs = (any::<u64>(), vec(step(), 80..160));
    TestRunner::new(config)
        .run(&runs, |(seed, steps)| {
            let simulation = run(checks_fencing, seed, &steps);
            prop_assert_eq!(
                sum(&simulation, |e| e.evicted_in_use),
                0,
                "an adapter in use was evicted"
            );
            ran.set(ran.get() + simulation.ran);
            evictions.set(evictions.get() + sum(&simulation, |e| e.evictions));
            takeovers.set(takeovers.get() + simulation.takeovers);
            Ok(())
        })
        .expect("no adapter in use is evicted");
    println!("ran {ran:?}, evictions {evictions:?}, takeovers {takeovers:?}");
    assert!(ran.get() > 2_000 && evictions.get() > 300 && takeovers.get() > 200);
}
