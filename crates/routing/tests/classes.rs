//! Priority and fairness between urgent and routine requests and between callers.

mod support;

use nutmegsail_base::{Class, ResultCode};
use nutmegsail_routing::{Outcome, RoutingAction};
use support::{Harness, dispatched, refused, service};

/// A service is flooded with routine requests. An urgent one must still start at once, in the
/// headroom that routine requests can't use.
#[test]
fn routine_requests_never_use_the_urgent_headroom() {
    let plan = service(1)
        .with_in_flight_per_upstream(10)
        .with_urgent_headroom(0.3);
    let mut harness = Harness::new(plan);
    let started = (0..20)
        .filter(|_| harness.send(Class::Routine).1.is_some())
        .count();
    let (_, urgent) = harness.send(Class::Urgent);

    assert_eq!(started, 7);
    assert_eq!(urgent.as_deref(), Some("u1"));
}

/// Both classes wait when a place is released. The urgent request gets it although the routine one
/// came first.
#[test]
fn a_free_place_goes_to_an_urgent_request_first() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut harness = Harness::new(plan.with_routine_floor(0.0));
    let (running, _) = harness.send(Class::Routine);
    harness.send(Class::Routine);
    let (urgent, waits) = harness.send(Class::Urgent);
    assert_eq!(waits, None);

    let actions = harness.end(&running, Outcome::Succeeded);

    assert_eq!(dispatched(&actions).as_deref(), Some("u1"));
    assert_eq!(harness.router.waiting(&"svc".into(), Class::Routine), 1);
    assert_eq!(harness.router.waiting(&"svc".into(), Class::Urgent), 0);
    harness.end(&urgent, Outcome::Succeeded);
}

/// Urgent load exceeds the capacity of the service for a long time. Without the floor no routine
/// request would ever run.
#[test]
fn routine_requests_keep_their_floor_under_urgent_overload() {
    let plan = service(1)
        .with_in_flight_per_upstream(4)
        .with_routine_floor(0.1);
    let mut harness = Harness::new(plan);
    let mut running = Vec::new();
    for _ in 0..4 {
        running.push(harness.send(Class::Urgent).0);
    }
    let mut routine_done = 0;
    let mut waiting = std::collections::VecDeque::new();
    for _ in 0..400 {
        for class in Class::ALL {
            let (call, _) = harness.send(class);
            waiting.push_back(call);
        }
        let ended = running.remove(0);
        routine_done += usize::from(ended.class == Class::Routine);
        harness.now += std::time::Duration::from_millis(1);
        let actions = harness.end(&ended, Outcome::Succeeded);
        running.extend(
            waiting
                .iter()
                .find(|w| is_dispatch_of(&actions, w))
                .cloned(),
        );
    }

    assert!((36..=44).contains(&routine_done), "{routine_done} of 400");
}

fn is_dispatch_of(
    actions: &[nutmegsail_routing::RoutingAction],
    call: &nutmegsail_routing::Arrival,
) -> bool {
    actions.iter().any(|action| {
        matches!(action, nutmegsail_routing::RoutingAction::Dispatch { request, .. }
            if *request == call.request)
    })
}

/// Urgent requests fill the engine and its queue. If a routine request in a place reserved by the
/// floor entered the engine as routine, it would wait in the engine's queue for ever.
#[test]
fn a_request_in_a_place_reserved_by_the_floor_is_sent_as_urgent() {
    let plan = service(1)
        .with_in_flight_per_upstream(2)
        .with_routine_floor(0.5);
    let mut harness = Harness::new(plan);
    let running = [harness.send(Class::Urgent).0, harness.send(Class::Urgent).0];
    harness.send(Class::Routine);
    harness.send(Class::Urgent);
    let actions = harness.end(&running[0], Outcome::Succeeded);
    assert!(matches!(
        &actions[..],
        [RoutingAction::Dispatch {
            class: Class::Urgent,
            ..
        }]
    ));

    let actions = harness.end(&running[1], Outcome::Succeeded);

    let [RoutingAction::Dispatch { class, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*class, Class::Urgent);
    assert_eq!(harness.router.waiting(&"svc".into(), Class::Routine), 0);
}

/// Urgent requests run in the headroom while routine ones wait. The headroom must be kept free
/// beside them for the next burst of urgent requests.
#[test]
fn the_headroom_stays_free_while_urgent_requests_run() {
    let plan = service(1)
        .with_in_flight_per_upstream(10)
        .with_urgent_headroom(0.3);
    let mut harness = Harness::new(plan);
    for _ in 0..3 {
        harness.send(Class::Urgent);
    }
    let routine = (0..20)
        .filter(|_| harness.send(Class::Routine).1.is_some())
        .count();
    let urgent = (0..20)
        .filter(|_| harness.send(Class::Urgent).1.is_some())
        .count();

    assert_eq!((routine, urgent), (4, 3));
}

/// A request that would wait in the queue past its deadline is refused at arrival, with a time to
/// retry after, instead of later.
#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_at_arrival() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut harness = Harness::new(plan);
    for _ in 0..3 {
        let (call, _) = harness.send(Class::Urgent);
        harness.now += std::time::Duration::from_secs(4);
        harness.end(&call, Outcome::Succeeded);
    }
    harness.send(Class::Urgent);
    for _ in 0..2 {
        harness.send(Class::Urgent);
    }

    let late = harness.call(Class::Urgent);
    let actions = harness.arrive(&late);

    assert_eq!(refused(&actions), Some(ResultCode::DeadlineUnreachable));
}

/// A class mixes short requests with ones that take a hundred times as long. A short one must not
/// be refused because a long one would miss its deadline.
#[test]
fn a_short_request_is_not_refused_because_others_are_long() {
    let mut harness = Harness::new(service(1));
    for index in 0..200 {
        let mut call = harness.call(Class::Routine);
        call.deadline = harness.now + std::time::Duration::from_secs(600);
        harness.arrive(&call);
        let took_s = if index % 10 == 0 { 1 } else { 100 };
        harness.now += std::time::Duration::from_secs(took_s);
        harness.end(&call, Outcome::Succeeded);
    }

    assert_eq!(harness.send(Class::Routine).1.as_deref(), Some("u1"));
}

/// One caller sends a hundred requests at once, then another caller sends one. That one must not
/// wait behind the hundred.
#[test]
fn a_burst_of_one_caller_does_not_delay_another() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut harness = Harness::new(plan);
    let (first, _) = harness.send(Class::Routine);
    for _ in 0..100 {
        harness.send(Class::Routine);
    }
    harness.now += std::time::Duration::from_millis(1);
    let mut other = harness.call(Class::Routine);
    other.caller = "other".into();
    harness.arrive(&other);

    let mut running = first;
    let mut before_other = 0;
    loop {
        let actions = harness.end(&running, Outcome::Succeeded);
        let [nutmegsail_routing::RoutingAction::Dispatch { request, .. }] = &actions[..] else {
            panic!("{actions:?}");
        };
        if *request == other.request {
            break;
        }
        running.request = request.clone();
        before_other += 1;
    }

    assert!(
        before_other <= 3,
        "{before_other} were dispatched before it"
    );
}
