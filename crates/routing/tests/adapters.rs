//! Requests whose adapter is ready, loading or absent.

mod support;

use nutmegsail_base::{AdapterRef, Class, ResultCode};
use nutmegsail_routing::{AdapterAvailability, Arrival, Outcome, RoutingAction, RoutingEvent};
use support::{Harness, dispatched, refused, report, service};

fn call_for(harness: &mut Harness, adapter: &AdapterRef, class: Class) -> Arrival {
    Arrival {
        adapter: Some(adapter.clone()),
        ..harness.call(class)
    }
}

fn requested_load(actions: &[RoutingAction]) -> Option<AdapterRef> {
    actions.iter().find_map(|action| match action {
        RoutingAction::WantAdapter { adapter, .. } => Some(adapter.clone()),
        _ => None,
    })
}

/// No upstream holds the adapter. Requests wait while placement loads it and start as soon as it is
/// ready. The load is requested once, not once per request.
#[test]
fn requests_wait_for_their_adapter_and_start_when_it_is_ready() {
    let adapter = AdapterRef::new("summary", 3);
    let mut harness = Harness::new(service(3));
    let first = call_for(&mut harness, &adapter, Class::Routine);
    let second = call_for(&mut harness, &adapter, Class::Routine);
    assert_eq!(
        requested_load(&harness.arrive(&first)),
        Some(adapter.clone())
    );
    assert_eq!(requested_load(&harness.arrive(&second)), None);

    harness.set_adapter("u2", &adapter, AdapterAvailability::Loading);
    let actions = harness.set_adapter("u2", &adapter, AdapterAvailability::Ready);

    assert_eq!(actions.len(), 2);
    assert_eq!(dispatched(&actions).as_deref(), Some("u2"));
}

/// A request whose adapter is not loaded yet is first in the queue. It must not block a later one
/// whose adapter is ready.
#[test]
fn a_request_for_a_missing_adapter_does_not_block_one_for_a_ready_adapter() {
    let (ready, absent) = (AdapterRef::new("ready", 1), AdapterRef::new("absent", 1));
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut harness = Harness::new(plan);
    harness.set_adapter("u1", &ready, AdapterAvailability::Ready);
    let running = call_for(&mut harness, &ready, Class::Routine);
    harness.arrive(&running);
    let blocked = call_for(&mut harness, &absent, Class::Routine);
    harness.arrive(&blocked);
    let next = call_for(&mut harness, &ready, Class::Routine);
    harness.arrive(&next);

    let actions = harness.end(&running, Outcome::Succeeded);

    assert!(
        matches!(&actions[..], [RoutingAction::Dispatch { request, .. }]
        if *request == next.request)
    );
}

/// A request for a new version must not be answered with the old one that the engine still holds.
#[test]
fn a_request_is_not_sent_to_an_engine_with_another_version_of_its_adapter() {
    let mut harness = Harness::new(service(1));
    harness.set_adapter(
        "u1",
        &AdapterRef::new("summary", 1),
        AdapterAvailability::Ready,
    );

    let call = call_for(&mut harness, &AdapterRef::new("summary", 2), Class::Urgent);

    assert_eq!(dispatched(&harness.arrive(&call)), None);
}

/// Placement announces that it evicts an adapter, and a report from before the eviction still lists
/// it. The engine would refuse a request sent on the strength of that report.
#[test]
fn a_late_report_does_not_undo_an_update_from_placement() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(service(1));
    harness.report("u1", report(&[&adapter], 0));
    harness.set_adapter("u1", &adapter, AdapterAvailability::Absent);
    harness.report("u1", report(&[&adapter], 0));
    let call = call_for(&mut harness, &adapter, Class::Urgent);
    assert_eq!(dispatched(&harness.arrive(&call)), None);

    harness.advance(3_000);
    let actions = harness.report("u1", report(&[&adapter], 0));

    assert_eq!(
        dispatched(&actions).as_deref(),
        Some("u1"),
        "later reports are used again"
    );
}

/// An engine refuses a request because it doesn't hold the adapter: the adapter index was stale.
/// The request did not run, so it waits for the adapter and nothing is charged to the retry budget.
#[test]
fn an_engines_refusal_corrects_a_stale_adapter_index() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(service(2).with_retry_budget(0.0));
    harness.set_adapter("u1", &adapter, AdapterAvailability::Ready);
    let call = call_for(&mut harness, &adapter, Class::Routine);
    harness.arrive(&call);

    let actions = harness.end(&call, Outcome::AdapterAbsent);
    assert_eq!(requested_load(&actions), Some(adapter.clone()));

    let actions = harness.set_adapter("u2", &adapter, AdapterAvailability::Ready);
    assert_eq!(dispatched(&actions).as_deref(), Some("u2"));
}

/// The load would take longer than the deadline allows. The request is refused at once, but the
/// load is requested all the same, so that a later retry can succeed.
#[test]
fn a_request_that_cannot_wait_for_its_load_is_refused_and_the_load_requested() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(service(2));
    let mut call = call_for(&mut harness, &adapter, Class::Urgent);
    call.deadline = harness.now + std::time::Duration::from_millis(300);

    let actions = harness.arrive(&call);

    assert_eq!(refused(&actions), Some(ResultCode::AdapterNotReady));
    assert_eq!(requested_load(&actions), Some(adapter));
}

/// An adapter can't be loaded. The request must be refused when its deadline can no longer be met,
/// not be left without an answer.
#[test]
fn a_request_whose_adapter_is_never_loaded_is_refused() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(service(2));
    let call = call_for(&mut harness, &adapter, Class::Urgent);
    harness.arrive(&call);

    let actions = harness.advance(10_001);

    assert_eq!(refused(&actions), Some(ResultCode::AdapterNotReady));
}

/// An engine that has the prefix of a prompt cached answers sooner, so later prompts with the same
/// prefix go there.
#[test]
fn prompts_with_the_same_prefix_go_to_the_same_engine() {
    let mut harness = Harness::new(service(8));
    let mut first = harness.call(Class::Routine);
    first.prefix = Some(42);
    let cached = dispatched(&harness.arrive(&first));
    harness.handle(RoutingEvent::FirstByte {
        request: first.request.clone(),
    });

    for _ in 0..5 {
        let mut next = harness.call(Class::Routine);
        next.prefix = Some(42);
        assert_eq!(dispatched(&harness.arrive(&next)), cached);
        harness.end(&next, Outcome::Succeeded);
    }
}
