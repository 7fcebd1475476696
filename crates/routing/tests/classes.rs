//! Urgent and routine work side by side.

mod support;

use nutmegsail_base::{Class, ResultCode};
use nutmegsail_routing::{Outcome, RoutingAction};
use support::{Bench, dispatched, refused, service};

/// Routine passes flood a service. A guest's request comes in and must start at once: the headroom
/// was never given to routine work.
#[test]
fn routine_work_never_takes_the_urgent_headroom() {
    let plan = service(1)
        .with_in_flight_per_upstream(10)
        .with_urgent_headroom(0.3);
    let mut bench = Bench::new(plan);
    let started = (0..20)
        .filter(|_| bench.send(Class::Routine).1.is_some())
        .count();
    let (_, urgent) = bench.send(Class::Urgent);

    assert_eq!(started, 7);
    assert_eq!(urgent.as_deref(), Some("u1"));
}

/// Both classes wait and a place falls free. The routine request came first, but somebody waits
/// for the urgent one.
#[test]
fn a_free_place_goes_to_urgent_work_first() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut bench = Bench::new(plan.with_routine_floor(0.0));
    let (running, _) = bench.send(Class::Routine);
    bench.send(Class::Routine);
    let (urgent, waits) = bench.send(Class::Urgent);
    assert_eq!(waits, None);

    let actions = bench.end(&running, Outcome::Succeeded);

    assert_eq!(dispatched(&actions).as_deref(), Some("u1"));
    assert_eq!(bench.router.waiting(&"svc".into(), Class::Routine), 1);
    assert_eq!(bench.router.waiting(&"svc".into(), Class::Urgent), 0);
    bench.end(&urgent, Outcome::Succeeded);
}

/// Urgent work asks for more than the service can do, for a long time. Without a floor no routine
/// pass would ever run, and a journal would miss its issue.
#[test]
fn routine_work_keeps_its_floor_under_urgent_overload() {
    let plan = service(1)
        .with_in_flight_per_upstream(4)
        .with_routine_floor(0.1);
    let mut bench = Bench::new(plan);
    let mut running = Vec::new();
    for _ in 0..4 {
        running.push(bench.send(Class::Urgent).0);
    }
    let mut routine_done = 0;
    let mut waiting = std::collections::VecDeque::new();
    for _ in 0..400 {
        for class in Class::ALL {
            let (call, _) = bench.send(class);
            waiting.push_back(call);
        }
        let ended = running.remove(0);
        routine_done += usize::from(ended.class == Class::Routine);
        bench.now += std::time::Duration::from_millis(1);
        let actions = bench.end(&ended, Outcome::Succeeded);
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

/// Urgent work fills the engine and its queue. A routine request that takes the place kept by the
/// floor, but enters the engine as routine, would wait inside it for ever.
#[test]
fn a_place_kept_by_the_floor_counts_as_urgent_inside_the_engine() {
    let plan = service(1)
        .with_in_flight_per_upstream(2)
        .with_routine_floor(0.5);
    let mut bench = Bench::new(plan);
    let running = [bench.send(Class::Urgent).0, bench.send(Class::Urgent).0];
    bench.send(Class::Routine);
    bench.send(Class::Urgent);
    let actions = bench.end(&running[0], Outcome::Succeeded);
    assert!(matches!(
        &actions[..],
        [RoutingAction::Dispatch {
            class: Class::Urgent,
            ..
        }]
    ));

    let actions = bench.end(&running[1], Outcome::Succeeded);

    let [RoutingAction::Dispatch { class, .. }] = &actions[..] else {
        panic!("{actions:?}");
    };
    assert_eq!(*class, Class::Urgent);
    assert_eq!(bench.router.waiting(&"svc".into(), Class::Routine), 0);
}

/// Urgent requests run and take up the headroom, routine ones wait. The next burst of urgent
/// requests must find free places again.
#[test]
fn the_headroom_stays_free_while_urgent_work_runs() {
    let plan = service(1)
        .with_in_flight_per_upstream(10)
        .with_urgent_headroom(0.3);
    let mut bench = Bench::new(plan);
    for _ in 0..3 {
        bench.send(Class::Urgent);
    }
    let routine = (0..20)
        .filter(|_| bench.send(Class::Routine).1.is_some())
        .count();
    let urgent = (0..20)
        .filter(|_| bench.send(Class::Urgent).1.is_some())
        .count();

    assert_eq!((routine, urgent), (4, 3));
}

/// A queue that would take longer than the deadline allows only makes the caller wait for a
/// refusal. It is told at once, and when to come back.
#[test]
fn work_that_cannot_meet_its_deadline_is_refused_at_arrival() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut bench = Bench::new(plan);
    for _ in 0..3 {
        let (call, _) = bench.send(Class::Urgent);
        bench.now += std::time::Duration::from_secs(4);
        bench.end(&call, Outcome::Succeeded);
    }
    bench.send(Class::Urgent);
    for _ in 0..2 {
        bench.send(Class::Urgent);
    }

    let late = bench.call(Class::Urgent);
    let actions = bench.arrive(&late);

    assert_eq!(refused(&actions), Some(ResultCode::DeadlineUnreachable));
}

/// A class holds short notes and long contracts. The contracts take a hundred times as long; a note
/// must not be refused because a contract would miss the note's deadline.
#[test]
fn a_short_call_is_not_refused_because_others_are_long() {
    let mut bench = Bench::new(service(1));
    for index in 0..200 {
        let mut call = bench.call(Class::Routine);
        call.deadline = bench.now + std::time::Duration::from_secs(600);
        bench.arrive(&call);
        let took_s = if index % 10 == 0 { 1 } else { 100 };
        bench.now += std::time::Duration::from_secs(took_s);
        bench.end(&call, Outcome::Succeeded);
    }

    assert_eq!(bench.send(Class::Routine).1.as_deref(), Some("u1"));
}

/// One caller sends a hundred requests at once, another one a single request afterwards. The single
/// one must not wait behind the hundred.
#[test]
fn a_burst_of_one_caller_does_not_delay_another() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut bench = Bench::new(plan);
    let (first, _) = bench.send(Class::Routine);
    for _ in 0..100 {
        bench.send(Class::Routine);
    }
    bench.now += std::time::Duration::from_millis(1);
    let mut other = bench.call(Class::Routine);
    other.caller = "other".into();
    bench.arrive(&other);

    let mut running = first;
    let mut before_other = 0;
    loop {
        let actions = bench.end(&running, Outcome::Succeeded);
        let [nutmegsail_routing::RoutingAction::Dispatch { request, .. }] = &actions[..] else {
            panic!("{actions:?}");
        };
        if *request == other.request {
            break;
        }
        running.request = request.clone();
        before_other += 1;
    }

    assert!(before_other <= 3, "{before_other} went first");
}
