//! Stories of what is loaded next, and where.

mod world;

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_placement::{PlacementAction, PlacementEvent, PlacementPlan};
use nutmegsail_upstream::OrderOp;
use world::{NodeInput, World, adapter, engine_name, ms, plan};

const SECOND: Duration = Duration::from_secs(1);

/// A node that owns every engine, at the end of the quiet time.
fn world(plan: PlacementPlan) -> World {
    let mut world = World::new(1, plan, 1);
    world.run(SECOND * 15);
    world.log.clear();
    world
}

/// The adapters loaded so far, with the engine and the time since the world began.
fn loads(world: &World) -> Vec<(Duration, String, AdapterRef)> {
    let load = |(at, _, action): &(Duration, usize, PlacementAction)| match action {
        PlacementAction::Order {
            op: OrderOp::Load,
            engine,
            adapter,
            ..
        } => Some((*at, engine.to_string(), adapter.clone())),
        _ => None,
    };
    world.log.iter().filter_map(load).collect()
}

/// Editors send a hundred routine passes for cold adapters, then a guest's request comes in for
/// one more. Behind them it would wait half a minute for the weight store.
#[test]
fn an_urgent_load_passes_routine_loads_that_wait_or_are_under_way() {
    let mut world = world(plan(1, 128, 101, false));
    world.load_time = SECOND * 2;
    for n in 0..100 {
        world.request(0, &adapter(n), Class::Routine, ms(500));
    }
    world.run(SECOND * 5);
    let asked_at = world.elapsed();
    world.request(0, &adapter(100), Class::Urgent, ms(500));
    world.run(SECOND);
    let urgent = loads(&world)
        .into_iter()
        .find(|load| load.2 == adapter(100));
    assert!(urgent.expect("the urgent load").0 <= asked_at + ms(300));
}

/// Urgent requests for cold adapters never stop coming. A routine request must not starve.
#[test]
fn routine_loads_progress_under_urgent_backlog() {
    let mut world = world(plan(1, 400, 400, false));
    for n in 0..200 {
        world.request(0, &adapter(n), Class::Urgent, ms(500));
        world.request(0, &adapter(n + 200), Class::Routine, ms(500));
    }
    world.run(SECOND * 10);
    let routine = loads(&world).iter().filter(|l| l.2 >= adapter(200)).count();
    assert!(loads(&world).len() >= 16, "{} loads", loads(&world).len());
    assert!(routine >= 2, "{routine} routine loads");
}

/// More is wanted than the weight store can load, and each new want has more requests behind it
/// than an old one. The editor behind the old one must not wait until her deadline for that.
#[test]
fn a_want_of_one_request_is_not_starved_by_newer_wants_of_many() {
    let mut world = world(plan(1, 400, 400, false));
    for n in 1..100 {
        if n == 20 {
            world.request(0, &adapter(0), Class::Routine, ms(500));
        }
        for _ in 0..3 {
            world.request(0, &adapter(n), Class::Routine, ms(500));
        }
        if n > 20 {
            world.run(ms(100));
        }
    }
    let loaded = loads(&world).iter().any(|load| load.2 == adapter(0));
    assert!(loaded, "not among {} loads", loads(&world).len());
}

/// The weight store refuses loads for a while, whatever the adapter. Orders at the full rate of
/// 3/s would keep it from recovering.
#[test]
fn after_a_refusal_the_weight_store_is_left_alone_longer_each_time() {
    let mut world = world(plan(1, 64, 64, false));
    world.faults.refuse_loads = 6;
    for n in 0..20 {
        world.request(0, &adapter(n), Class::Routine, ms(500));
        world.run(SECOND);
    }
    let at: Vec<Duration> = loads(&world).into_iter().map(|load| load.0).collect();
    let refused: Vec<Duration> = at.windows(2).map(|w| w[1] - w[0]).take(6).collect();
    assert!(
        refused.windows(2).all(|w| w[1].mul_f64(1.1) > w[0]),
        "{refused:?}"
    );
    assert!(refused[4] >= SECOND * 4, "{refused:?}");
}

/// A load fails half-way. The request that waits for it must not wait for its deadline.
#[test]
fn a_load_that_fails_half_way_is_made_again_on_another_engine() {
    let mut world = world(plan(2, 2, 8, false));
    world.faults.fail_loads = 1;
    world.request(0, &adapter(0), Class::Urgent, ms(500));
    world.run(SECOND * 5);
    let loads = loads(&world);
    assert_eq!(loads.len(), 2);
    assert_ne!(loads[0].1, loads[1].1);
    assert_eq!(world.ran, 1);
}

/// An engine is about to leave while loads wait for it.
#[test]
fn what_was_to_be_loaded_on_a_leaving_engine_goes_elsewhere() {
    let mut world = world(plan(2, 4, 8, false));
    world.load_time = SECOND * 8;
    world.request(0, &adapter(0), Class::Urgent, ms(500));
    world.run(ms(300));
    let first = loads(&world)[0].1.clone();
    let leaving = usize::from(first == engine_name(1).as_str());
    world.engines[leaving].is_leaving = true;
    world.run(SECOND * 2);
    for n in 1..4 {
        world.request(0, &adapter(n), Class::Urgent, ms(500));
    }
    world.run(SECOND * 20);
    let later = loads(&world).split_off(1);
    assert!(later.iter().any(|load| load.2 == adapter(0)), "{later:?}");
    assert!(later.iter().all(|load| load.1 != first), "{later:?}");
}

/// The only engine that holds an adapter is about to leave. Counted as a copy, it would keep the
/// adapter from being loaded elsewhere, and each request for it would wait until its deadline.
#[test]
fn an_adapter_that_only_a_leaving_engine_holds_is_loaded_elsewhere() {
    let mut world = world(plan(2, 4, 8, false));
    world.request(0, &adapter(0), Class::Routine, ms(500));
    world.run(SECOND * 10);
    let first = loads(&world)[0].1.clone();
    let leaving = usize::from(first == engine_name(1).as_str());
    world.engines[leaving].is_leaving = true;
    world.run(SECOND * 2);
    world.request(0, &adapter(0), Class::Routine, ms(500));
    world.run(SECOND * 5);
    let later = loads(&world).split_off(1);
    assert_eq!(later.len(), 1, "{later:?}");
    assert_ne!(later[0].1, first);
    assert_eq!(world.ran, 2);
}

/// An engine comes back empty. Adapters in demand would each stall their next request.
#[test]
fn after_a_cold_restart_adapters_are_loaded_again_hottest_first() {
    let mut world = world(plan(1, 4, 8, false));
    for n in [2, 0, 1] {
        for _ in 0..=(n * 10) {
            world.request(0, &adapter(n), Class::Routine, ms(100));
        }
        world.run(SECOND * 3);
    }
    world.log.clear();
    world.restart_engine(0);
    world.run(SECOND * 10);
    let reloaded: Vec<AdapterRef> = loads(&world).into_iter().map(|load| load.2).collect();
    assert_eq!(reloaded, [adapter(2), adapter(1), adapter(0)]);
}

/// Operators roll out version 2 of an adapter in demand. Without preparation its first request
/// waits for a load, and evicting version 1 for it would stall its remaining callers.
#[test]
fn a_new_version_of_a_hot_adapter_is_loaded_beside_the_old_one() {
    let mut first = plan(1, 2, 4, false);
    let mut world = world(first.clone());
    for _ in 0..20 {
        world.request(0, &adapter(0), Class::Urgent, ms(100));
        world.run(ms(500));
    }
    world.request(0, &adapter(1), Class::Routine, ms(100));
    world.run(SECOND * 5);
    let new = AdapterRef::new("adapter-0", 2);
    first.adapters.insert(new.clone(), "spa-scribe".into());
    world.give_plan(first);
    world.run(SECOND * 5);
    let mut held: Vec<AdapterRef> = world.engines[0]
        .held
        .iter()
        .map(|h| h.adapter.clone())
        .collect();
    held.sort();
    assert_eq!(held, [adapter(0), new]);
}

/// Two adapters are asked for in turns on an engine with one slot. Loading at each request, the
/// engine would do nothing but load.
#[test]
fn two_adapters_do_not_swap_at_each_request() {
    let mut world = world(plan(1, 1, 2, false));
    world.load_time = ms(100);
    for turn in 0..150 {
        world.request(0, &adapter(turn % 2), Class::Routine, ms(50));
        world.run(ms(200));
    }
    world.run(SECOND * 10);
    let count = loads(&world).len();
    assert!((4..=12).contains(&count), "{count} loads in 30 s");
    assert!(world.ran >= 140, "{} of 150 ran", world.ran);
}

/// The deployment has three failure domains. Cut off, each keeps to its share of the weight store,
/// so that all three together never exceed it; connected, one may use what others leave.
#[test]
fn a_cut_off_failure_domain_keeps_to_its_share_and_borrows_when_connected() {
    let shared = PlacementPlan {
        failure_domains: 3,
        ..plan(1, 400, 400, false)
    };
    let count = |peers_are_idle: bool| {
        let mut world = world(shared.clone());
        world.load_time = ms(10);
        for n in 0..200 {
            world.request(0, &adapter(n), Class::Routine, ms(500));
        }
        for _ in 0..9 {
            for domain in ["mobay-hall", "negril-hall"] {
                let event = PlacementEvent::StoreUse {
                    domain: domain.into(),
                    loads_per_s: 0.0,
                    backlog: 0,
                };
                if peers_are_idle {
                    world.deliver(0, NodeInput::Event(event));
                }
            }
            world.run(SECOND);
        }
        loads(&world).len()
    };
    let (alone, connected) = (count(false), count(true));
    assert!((9..=11).contains(&alone), "{alone} loads in 9 s at 1/s");
    assert!(
        (15..=29).contains(&connected),
        "{connected} loads in 9 s at up to 3/s"
    );
}
