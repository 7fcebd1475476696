//! Tests of the load scheduler: which adapter is loaded next, and on which engine.

mod simulation;

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_placement::{PlacementAction, PlacementEvent, PlacementPlan};
use nutmegsail_upstream::OrderOp;
use simulation::{NodeInput, Simulation, adapter, engine_name, ms, plan};

const SECOND: Duration = Duration::from_secs(1);

/// A simulation of one node that owns every engine, after the time in which a new owner evicts
/// nothing.
fn settled_simulation(plan: PlacementPlan) -> Simulation {
    let mut simulation = Simulation::new(1, plan, 1);
    simulation.run(SECOND * 15);
    simulation.log.clear();
    simulation
}

/// The loads ordered so far: the time since the start of the simulation, the engine and the
/// adapter.
fn loads(simulation: &Simulation) -> Vec<(Duration, String, AdapterRef)> {
    let load = |(at, _, action): &(Duration, usize, PlacementAction)| match action {
        PlacementAction::Order {
            op: OrderOp::Load,
            engine,
            adapter,
            ..
        } => Some((*at, engine.to_string(), adapter.clone())),
        _ => None,
    };
    simulation.log.iter().filter_map(load).collect()
}

/// A hundred routine requests for adapters that are not loaded arrive before an urgent one. Behind
/// them it would wait half a minute for the weight store.
#[test]
fn an_urgent_load_goes_before_routine_loads_that_wait_or_are_in_progress() {
    let mut simulation = settled_simulation(plan(1, 128, 101, false));
    simulation.load_time = SECOND * 2;
    for n in 0..100 {
        simulation.request(0, &adapter(n), Class::Routine, ms(500));
    }
    simulation.run(SECOND * 5);
    let asked_at = simulation.elapsed();
    simulation.request(0, &adapter(100), Class::Urgent, ms(500));
    simulation.run(SECOND);
    let urgent = loads(&simulation)
        .into_iter()
        .find(|load| load.2 == adapter(100));
    assert!(urgent.expect("the urgent load").0 <= asked_at + ms(300));
}

/// Urgent requests for adapters that are not loaded keep arriving. Routine requests must not
/// starve.
#[test]
fn routine_loads_progress_under_urgent_backlog() {
    let mut simulation = settled_simulation(plan(1, 400, 400, false));
    for n in 0..200 {
        simulation.request(0, &adapter(n), Class::Urgent, ms(500));
        simulation.request(0, &adapter(n + 200), Class::Routine, ms(500));
    }
    simulation.run(SECOND * 10);
    let routine = loads(&simulation)
        .iter()
        .filter(|l| l.2 >= adapter(200))
        .count();
    assert!(
        loads(&simulation).len() >= 16,
        "{} loads",
        loads(&simulation).len()
    );
    assert!(routine >= 2, "{routine} routine loads");
}

/// More loads are requested than the weight store can serve, and each new one has more waiting
/// requests than an old one. The request behind the old one must not wait until its deadline for
/// that.
#[test]
fn a_load_with_one_request_is_not_starved_by_newer_loads_with_many() {
    let mut simulation = settled_simulation(plan(1, 400, 400, false));
    for n in 1..100 {
        if n == 20 {
            simulation.request(0, &adapter(0), Class::Routine, ms(500));
        }
        for _ in 0..3 {
            simulation.request(0, &adapter(n), Class::Routine, ms(500));
        }
        if n > 20 {
            simulation.run(ms(100));
        }
    }
    let loaded = loads(&simulation).iter().any(|load| load.2 == adapter(0));
    assert!(loaded, "not among {} loads", loads(&simulation).len());
}

/// The weight store refuses all loads for a while. Orders at the full rate of 3/s would keep it
/// from recovering.
#[test]
fn each_refusal_of_the_weight_store_lengthens_the_backoff() {
    let mut simulation = settled_simulation(plan(1, 64, 64, false));
    simulation.faults.refuse_loads = 6;
    for n in 0..20 {
        simulation.request(0, &adapter(n), Class::Routine, ms(500));
        simulation.run(SECOND);
    }
    let at: Vec<Duration> = loads(&simulation).into_iter().map(|load| load.0).collect();
    let refused: Vec<Duration> = at.windows(2).map(|w| w[1] - w[0]).take(6).collect();
    assert!(
        refused.windows(2).all(|w| w[1].mul_f64(1.1) > w[0]),
        "{refused:?}"
    );
    assert!(refused[4] >= SECOND * 4, "{refused:?}");
}

/// A load fails half-way. The request that waits for it must not wait until its deadline.
#[test]
fn a_load_that_fails_half_way_is_retried_on_another_engine() {
    let mut simulation = settled_simulation(plan(2, 2, 8, false));
    simulation.faults.fail_loads = 1;
    simulation.request(0, &adapter(0), Class::Urgent, ms(500));
    simulation.run(SECOND * 5);
    let loads = loads(&simulation);
    assert_eq!(loads.len(), 2);
    assert_ne!(loads[0].1, loads[1].1);
    assert_eq!(simulation.ran, 1);
}

/// An engine is leaving while loads wait for it.
#[test]
fn loads_for_a_leaving_engine_go_to_another_engine() {
    let mut simulation = settled_simulation(plan(2, 4, 8, false));
    simulation.load_time = SECOND * 8;
    simulation.request(0, &adapter(0), Class::Urgent, ms(500));
    simulation.run(ms(300));
    let first = loads(&simulation)[0].1.clone();
    let leaving = usize::from(first == engine_name(1).as_str());
    simulation.engines[leaving].is_leaving = true;
    simulation.run(SECOND * 2);
    for n in 1..4 {
        simulation.request(0, &adapter(n), Class::Urgent, ms(500));
    }
    simulation.run(SECOND * 20);
    let later = loads(&simulation).split_off(1);
    assert!(later.iter().any(|load| load.2 == adapter(0)), "{later:?}");
    assert!(later.iter().all(|load| load.1 != first), "{later:?}");
}

/// The only engine that holds an adapter is leaving. If its replica counted, the adapter would not
/// be loaded elsewhere, and each request for it would wait until its deadline.
#[test]
fn an_adapter_that_only_a_leaving_engine_holds_is_loaded_elsewhere() {
    let mut simulation = settled_simulation(plan(2, 4, 8, false));
    simulation.request(0, &adapter(0), Class::Routine, ms(500));
    simulation.run(SECOND * 10);
    let first = loads(&simulation)[0].1.clone();
    let leaving = usize::from(first == engine_name(1).as_str());
    simulation.engines[leaving].is_leaving = true;
    simulation.run(SECOND * 2);
    simulation.request(0, &adapter(0), Class::Routine, ms(500));
    simulation.run(SECOND * 5);
    let later = loads(&simulation).split_off(1);
    assert_eq!(later.len(), 1, "{later:?}");
    assert_ne!(later[0].1, first);
    assert_eq!(simulation.ran, 2);
}

/// An engine restarts with nothing loaded. Unless they are loaded again, each adapter in demand
/// would delay its next request.
#[test]
fn after_a_cold_restart_adapters_are_loaded_again_in_order_of_demand() {
    let mut simulation = settled_simulation(plan(1, 4, 8, false));
    for n in [2, 0, 1] {
        for _ in 0..=(n * 10) {
            simulation.request(0, &adapter(n), Class::Routine, ms(100));
        }
        simulation.run(SECOND * 3);
    }
    simulation.log.clear();
    simulation.restart_engine(0);
    simulation.run(SECOND * 10);
    let reloaded: Vec<AdapterRef> = loads(&simulation).into_iter().map(|load| load.2).collect();
    assert_eq!(reloaded, [adapter(2), adapter(1), adapter(0)]);
}

/// Operators deploy version 2 of an adapter in demand. Without loading it ahead, its first request
/// would wait for a load, and evicting version 1 for it would delay the remaining callers of
/// version 1.
#[test]
fn a_new_version_of_an_adapter_in_demand_is_loaded_beside_the_old_one() {
    let mut first = plan(1, 2, 4, false);
    let mut simulation = settled_simulation(first.clone());
    for _ in 0..20 {
        simulation.request(0, &adapter(0), Class::Urgent, ms(100));
        simulation.run(ms(500));
    }
    simulation.request(0, &adapter(1), Class::Routine, ms(100));
    simulation.run(SECOND * 5);
    let new = AdapterRef::new("adapter-0", 2);
    first.adapters.insert(new.clone(), "spa-scribe".into());
    simulation.give_plan(first);
    simulation.run(SECOND * 5);
    let mut held: Vec<AdapterRef> = simulation.engines[0]
        .held
        .iter()
        .map(|h| h.adapter.clone())
        .collect();
    held.sort();
    assert_eq!(held, [adapter(0), new]);
}

/// Two adapters are requested by turns on an engine with one slot. If each request caused a load,
/// the engine would do nothing but load.
#[test]
fn two_adapters_do_not_replace_each_other_at_every_request() {
    let mut simulation = settled_simulation(plan(1, 1, 2, false));
    simulation.load_time = ms(100);
    for turn in 0..150 {
        simulation.request(0, &adapter(turn % 2), Class::Routine, ms(50));
        simulation.run(ms(200));
    }
    simulation.run(SECOND * 10);
    let count = loads(&simulation).len();
    assert!((4..=12).contains(&count), "{count} loads in 30 s");
    assert!(simulation.ran >= 140, "{} of 150 ran", simulation.ran);
}

/// The deployment has three failure domains. While cut off, each keeps to its share of the weight
/// store, so that the three together never exceed the rate; while connected, one may use what the
/// others leave unused.
#[test]
fn a_failure_domain_keeps_to_its_share_when_cut_off_and_uses_more_when_connected() {
    let shared = PlacementPlan {
        failure_domains: 3,
        ..plan(1, 400, 400, false)
    };
    let count = |peers_are_idle: bool| {
        let mut simulation = settled_simulation(shared.clone());
        simulation.load_time = ms(10);
        for n in 0..200 {
            simulation.request(0, &adapter(n), Class::Routine, ms(500));
        }
        for _ in 0..9 {
            for domain in ["mobay-hall", "negril-hall"] {
                let event = PlacementEvent::StoreUse {
                    domain: domain.into(),
                    loads_per_s: 0.0,
                    backlog: 0,
                };
                if peers_are_idle {
                    simulation.deliver(0, NodeInput::Event(event));
                }
            }
            simulation.run(SECOND);
        }
        loads(&simulation).len()
    };
    let (alone, connected) = (count(false), count(true));
    assert!((9..=11).contains(&alone), "{alone} loads in 9 s at 1/s");
    assert!(
        (15..=29).contains(&connected),
        "{connected} loads in 9 s at up to 3/s"
    );
}
