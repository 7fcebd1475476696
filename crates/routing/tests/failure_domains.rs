//! Which requests stay in their failure domain and which may leave it.

mod support;

use std::sync::Arc;

use nutmegsail_base::{AdapterRef, Class, ResultCode};
use nutmegsail_routing::{
    AdapterAvailability, Outcome, RouterSettings, RoutingAction, RoutingEvent, RoutingPlan,
    ServicePlan,
};
use support::{Harness, dispatched, refused, service};

/// `svc` with two upstreams in the node's failure domain and two in another one.
fn two_domains() -> ServicePlan {
    service(2)
        .with_upstream("far1", "b")
        .with_upstream("far2", "b")
}

/// The node's failure domain can serve its requests. Requests that left it needlessly would hang if
/// the domains were partitioned.
#[test]
fn requests_that_the_own_domain_can_serve_stay_there() {
    let mut harness = Harness::new(two_domains());
    for _ in 0..40 {
        let (_, sent) = harness.send(Class::Routine);
        assert!(sent.is_some_and(|upstream| upstream.starts_with('u')));
    }
}

/// All upstreams of a failure domain are lost. Its nodes use those of another domain, but each only
/// a limited share of their places: otherwise the load of the lost domain would overload the other.
#[test]
fn requests_of_a_lost_domain_use_a_limited_share_of_another() {
    let mut harness = Harness::new(two_domains().with_in_flight_per_upstream(20));
    for upstream in ["u1", "u2"] {
        harness.handle(RoutingEvent::UpstreamGone {
            upstream: upstream.into(),
        });
    }

    let sent = (0..100)
        .filter(|_| harness.send(Class::Routine).1.is_some())
        .count();

    assert_eq!(sent, 10, "a quarter of 40 places");
    harness.handle(RoutingEvent::Health {
        upstream: "u1".into(),
        is_ready: true,
    });
    assert!(
        harness.router.in_flight(&"u1".into()) > 0,
        "waiting requests go to the returned upstream"
    );
}

/// The adapter is ready only in another failure domain. A hop there costs far less than a load.
#[test]
fn an_adapter_that_is_ready_only_in_another_domain_is_used_there() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(two_domains());
    harness.set_adapter("far1", &adapter, AdapterAvailability::Ready);
    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    assert_eq!(dispatched(&harness.arrive(&call)).as_deref(), Some("far1"));

    harness.set_adapter("u1", &adapter, AdapterAvailability::Ready);
    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter);
    assert_eq!(dispatched(&harness.arrive(&call)).as_deref(), Some("u1"));
}

/// An engine in this failure domain stops responding during a load, so the load is never seen to
/// end. The adapter is ready in another failure domain, yet its requests used to wait for the load
/// here until their deadlines, 15 s later.
#[test]
fn requests_do_not_wait_for_a_load_that_does_not_end() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(two_domains());
    harness.set_adapter("u1", &adapter, AdapterAvailability::Loading);
    harness.set_adapter("far1", &adapter, AdapterAvailability::Ready);
    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter);
    assert_eq!(
        dispatched(&harness.arrive(&call)),
        None,
        "it is loading in this domain"
    );
    let usual_ms = RouterSettings::default().load_time.as_millis() as u64;
    assert_eq!(dispatched(&harness.advance(usual_ms)), None);

    let actions = harness.advance(3 * usual_ms);

    assert_eq!(dispatched(&actions).as_deref(), Some("far1"));
}

/// An adapter is ready in another failure domain, but this node's few places there are occupied. If
/// it weren't loaded here too, the request could wait until its deadline while engines here are
/// idle.
#[test]
fn an_adapter_is_loaded_here_when_its_places_elsewhere_are_occupied() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(two_domains().with_in_flight_per_upstream(4));
    harness.set_adapter("far1", &adapter, AdapterAvailability::Ready);
    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    assert_eq!(dispatched(&harness.arrive(&call)).as_deref(), Some("far1"));

    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    let actions = harness.arrive(&call);

    let is_here = |action: &RoutingAction| {
        matches!(action, RoutingAction::WantAdapter { upstream, .. }
        if upstream.starts_with('u'))
    };
    assert!(actions.iter().any(is_here), "{actions:?}");
}

/// The upstreams of a failure domain can't be reached, and so far only refused connections show it.
/// While all of them are paused, routine requests must not wait here: other domains can serve them.
#[test]
fn routine_requests_leave_a_domain_whose_upstreams_all_refuse() {
    let mut harness = Harness::new(two_domains().with_retry_budget(0.2));
    let (call, _) = harness.send(Class::Routine);
    let second = harness.end(&call, Outcome::RefusedByUpstream);
    assert!(dispatched(&second).is_some_and(|upstream| upstream.starts_with('u')));

    let third = harness.end(&call, Outcome::RefusedByUpstream);

    assert!(dispatched(&third).is_some_and(|upstream| upstream.starts_with("far")));
}

/// Operators remove a service from the text while requests wait for it. No upstream will answer
/// those, so they are refused at once; requests in flight may finish.
#[test]
fn waiting_requests_of_a_removed_service_are_refused() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut harness = Harness::new(plan);
    let (running, _) = harness.send(Class::Routine);
    harness.send(Class::Routine);

    let actions = harness.handle(RoutingEvent::Plan(Arc::new(RoutingPlan::new(2, "a"))));
    assert_eq!(refused(&actions), Some(ResultCode::NoUpstream));

    assert_eq!(harness.end(&running, Outcome::Succeeded), []);
}

/// A message with an older text arrives late. Applying it would revert the operators' latest
/// change.
#[test]
fn an_older_plan_is_ignored() {
    let newer = RoutingPlan::new(2, "a").with_service(service(1));
    let mut harness = Harness::with(RouterSettings::default(), newer);

    harness.handle(RoutingEvent::Plan(Arc::new(RoutingPlan::new(1, "a"))));

    assert!(harness.send(Class::Urgent).1.is_some());
}
