//! Requests whose adapter is ready, loading, absent, or held by a full engine.

mod support;

use nutmegsail_base::{AdapterRef, Class, ResultCode};
use nutmegsail_routing::{AdapterAvailability, Arrival, Outcome, RoutingAction, RoutingEvent};
use support::{Bench, dispatched, refused, report, service};

fn call_for(bench: &mut Bench, adapter: &AdapterRef, class: Class) -> Arrival {
    Arrival {
        adapter: Some(adapter.clone()),
        ..bench.call(class)
    }
}

fn wanted(actions: &[RoutingAction]) -> Option<AdapterRef> {
    actions.iter().find_map(|action| match action {
        RoutingAction::WantAdapter { adapter, .. } => Some(adapter.clone()),
        _ => None,
    })
}

/// Nobody holds the adapter. The request waits while placement loads it, and starts as soon as it
/// is ready; the wish is made once, not by each request.
#[test]
fn a_request_waits_for_its_adapter_and_starts_when_it_is_ready() {
    let adapter = AdapterRef::new("summary", 3);
    let mut bench = Bench::new(service(3));
    let first = call_for(&mut bench, &adapter, Class::Routine);
    let second = call_for(&mut bench, &adapter, Class::Routine);
    assert_eq!(wanted(&bench.arrive(&first)), Some(adapter.clone()));
    assert_eq!(wanted(&bench.arrive(&second)), None);

    bench.set_adapter("u2", &adapter, AdapterAvailability::Loading);
    let actions = bench.set_adapter("u2", &adapter, AdapterAvailability::Ready);

    assert_eq!(actions.len(), 2);
    assert_eq!(dispatched(&actions).as_deref(), Some("u2"));
}

/// An adapter that waits for the weight store stands before one that is ready. The ready one must
/// not wait behind it.
#[test]
fn a_loading_adapter_does_not_hold_up_a_ready_one() {
    let (ready, absent) = (AdapterRef::new("ready", 1), AdapterRef::new("absent", 1));
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut bench = Bench::new(plan);
    bench.set_adapter("u1", &ready, AdapterAvailability::Ready);
    let running = call_for(&mut bench, &ready, Class::Routine);
    bench.arrive(&running);
    let blocked = call_for(&mut bench, &absent, Class::Routine);
    bench.arrive(&blocked);
    let next = call_for(&mut bench, &ready, Class::Routine);
    bench.arrive(&next);

    let actions = bench.end(&running, Outcome::Succeeded);

    assert!(
        matches!(&actions[..], [RoutingAction::Dispatch { request, .. }]
        if *request == next.request)
    );
}

/// A version is replaced: the old one must never answer for the new one.
#[test]
fn another_version_of_the_adapter_never_answers() {
    let mut bench = Bench::new(service(1));
    bench.set_adapter(
        "u1",
        &AdapterRef::new("summary", 1),
        AdapterAvailability::Ready,
    );

    let call = call_for(&mut bench, &AdapterRef::new("summary", 2), Class::Urgent);

    assert_eq!(dispatched(&bench.arrive(&call)), None);
}

/// Placement evicts an adapter and says so; a report from before still lists it. A request sent by
/// that report would be refused by the engine.
#[test]
fn a_late_report_does_not_undo_what_placement_told() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(service(1));
    bench.report("u1", report(&[&adapter], 0));
    bench.set_adapter("u1", &adapter, AdapterAvailability::Absent);
    bench.report("u1", report(&[&adapter], 0));
    let call = call_for(&mut bench, &adapter, Class::Urgent);
    assert_eq!(dispatched(&bench.arrive(&call)), None);

    bench.advance(3_000);
    let actions = bench.report("u1", report(&[&adapter], 0));

    assert_eq!(
        dispatched(&actions).as_deref(),
        Some("u1"),
        "a later report is believed again"
    );
}

/// An engine says that it does not hold the adapter: the map was stale. The request did not run; it
/// waits for the adapter and costs nothing of the retry budget.
#[test]
fn a_stale_map_is_mended_by_the_engines_refusal() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(service(2).with_retry_budget(0.0));
    bench.set_adapter("u1", &adapter, AdapterAvailability::Ready);
    let call = call_for(&mut bench, &adapter, Class::Routine);
    bench.arrive(&call);

    let actions = bench.end(&call, Outcome::AdapterAbsent);
    assert_eq!(wanted(&actions), Some(adapter.clone()));

    let actions = bench.set_adapter("u2", &adapter, AdapterAvailability::Ready);
    assert_eq!(dispatched(&actions).as_deref(), Some("u2"));
}

/// The load would take longer than the caller waits. It is told at once; the adapter is asked for
/// all the same, so that coming back helps.
#[test]
fn a_request_that_cannot_wait_for_its_load_is_refused_and_the_load_asked_for() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(service(2));
    let mut call = call_for(&mut bench, &adapter, Class::Urgent);
    call.deadline = bench.now + std::time::Duration::from_millis(300);

    let actions = bench.arrive(&call);

    assert_eq!(refused(&actions), Some(ResultCode::AdapterNotReady));
    assert_eq!(wanted(&actions), Some(adapter));
}

/// The placement of an adapter fails for good. The request ends when its deadline can no longer be
/// met, and not silently.
#[test]
fn a_request_whose_adapter_never_comes_is_told_so() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(service(2));
    let call = call_for(&mut bench, &adapter, Class::Urgent);
    bench.arrive(&call);

    let actions = bench.advance(10_001);

    assert_eq!(refused(&actions), Some(ResultCode::AdapterNotReady));
}

/// Prompts with the same beginning follow each other. The engine that has the beginning cached
/// answers sooner, so the second one goes there.
#[test]
fn a_prefix_goes_back_to_where_it_is_cached() {
    let mut bench = Bench::new(service(8));
    let mut first = bench.call(Class::Routine);
    first.prefix = Some(42);
    let cached = dispatched(&bench.arrive(&first));
    bench.tell(RoutingEvent::FirstByte {
        request: first.request.clone(),
    });

    for _ in 0..5 {
        let mut next = bench.call(Class::Routine);
        next.prefix = Some(42);
        assert_eq!(dispatched(&bench.arrive(&next)), cached);
        bench.end(&next, Outcome::Succeeded);
    }
}
