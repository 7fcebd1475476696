//! What stays in a failure domain, and what may leave it.

mod support;

use std::sync::Arc;

use nutmegsail_base::{AdapterRef, Class, ResultCode};
use nutmegsail_routing::{
    AdapterAvailability, Outcome, RouterSettings, RoutingAction, RoutingEvent, RoutingPlan,
    ServicePlan,
};
use support::{Bench, dispatched, refused, service};

/// `svc` with two upstreams here and two in another failure domain.
fn two_domains() -> ServicePlan {
    service(2)
        .with_upstream("far1", "b")
        .with_upstream("far2", "b")
}

/// The own failure domain can serve. Work that leaves it all the same would hang when the domains
/// are cut off from each other.
#[test]
fn what_the_own_domain_can_serve_stays_there() {
    let mut bench = Bench::new(two_domains());
    for _ in 0..40 {
        let (_, sent) = bench.send(Class::Routine);
        assert!(sent.is_some_and(|upstream| upstream.starts_with('u')));
    }
}

/// All upstreams of a failure domain are lost. Its nodes use the other domain's, each a bounded
/// share: otherwise the lost domain's load would topple the next one.
#[test]
fn a_lost_domains_work_takes_a_bounded_share_of_another() {
    let mut bench = Bench::new(two_domains().with_in_flight_per_upstream(20));
    for upstream in ["u1", "u2"] {
        bench.tell(RoutingEvent::UpstreamGone {
            upstream: upstream.into(),
        });
    }

    let sent = (0..100)
        .filter(|_| bench.send(Class::Routine).1.is_some())
        .count();

    assert_eq!(sent, 10, "a quarter of 40 places");
    bench.tell(RoutingEvent::Health {
        upstream: "u1".into(),
        is_ready: true,
    });
    assert!(
        bench.router.in_flight(&"u1".into()) > 0,
        "what waits comes home"
    );
}

/// The adapter is ready in another failure domain only. A hop costs far less than a load.
#[test]
fn an_adapter_that_is_ready_elsewhere_is_used_there() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(two_domains());
    bench.set_adapter("far1", &adapter, AdapterAvailability::Ready);
    let mut call = bench.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    assert_eq!(dispatched(&bench.arrive(&call)).as_deref(), Some("far1"));

    bench.set_adapter("u1", &adapter, AdapterAvailability::Ready);
    let mut call = bench.call(Class::Routine);
    call.adapter = Some(adapter);
    assert_eq!(dispatched(&bench.arrive(&call)).as_deref(), Some("u1"));
}

/// A load here is ordered at an engine that falls silent, so nobody sees it end. The adapter is ready
/// in another failure domain all the while; its requests used to wait for the load here until their
/// deadlines, 15 s later.
#[test]
fn a_load_here_that_does_not_end_holds_nobody_back() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(two_domains());
    bench.set_adapter("u1", &adapter, AdapterAvailability::Loading);
    bench.set_adapter("far1", &adapter, AdapterAvailability::Ready);
    let mut call = bench.call(Class::Routine);
    call.adapter = Some(adapter);
    assert_eq!(dispatched(&bench.arrive(&call)), None, "it is coming here");
    let usual_ms = RouterSettings::default().load_time.as_millis() as u64;
    assert_eq!(dispatched(&bench.advance(usual_ms)), None);

    let actions = bench.advance(3 * usual_ms);

    assert_eq!(dispatched(&actions).as_deref(), Some("far1"));
}

/// An adapter is ready in another failure domain, but this node's few places there are taken. The
/// request would wait for one of them until its deadline while engines here stand idle.
#[test]
fn an_adapter_whose_places_elsewhere_are_taken_is_loaded_here() {
    let adapter = AdapterRef::new("summary", 1);
    let mut bench = Bench::new(two_domains().with_in_flight_per_upstream(4));
    bench.set_adapter("far1", &adapter, AdapterAvailability::Ready);
    let mut call = bench.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    assert_eq!(dispatched(&bench.arrive(&call)).as_deref(), Some("far1"));

    let mut call = bench.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    let actions = bench.arrive(&call);

    let is_here = |action: &RoutingAction| {
        matches!(action, RoutingAction::WantAdapter { upstream, .. }
        if upstream.starts_with('u'))
    };
    assert!(actions.iter().any(is_here), "{actions:?}");
}

/// A failure domain's upstreams cannot be reached, and nothing but refused connections shows it yet.
/// While all of them are paused, routine work would wait here though other domains could serve it.
#[test]
fn routine_work_leaves_a_domain_whose_upstreams_all_refuse() {
    let mut bench = Bench::new(two_domains().with_retry_budget(0.2));
    let (call, _) = bench.send(Class::Routine);
    let second = bench.end(&call, Outcome::RefusedByUpstream);
    assert!(dispatched(&second).is_some_and(|upstream| upstream.starts_with('u')));

    let third = bench.end(&call, Outcome::RefusedByUpstream);

    assert!(dispatched(&third).is_some_and(|upstream| upstream.starts_with("far")));
}

/// Operators take a service out of the text while requests wait for it. Nobody will ever answer
/// them, so they are told now; what runs is left to finish.
#[test]
fn requests_of_a_service_that_left_the_text_are_refused() {
    let plan = service(1)
        .with_in_flight_per_upstream(1)
        .with_urgent_headroom(0.0);
    let mut bench = Bench::new(plan);
    let (running, _) = bench.send(Class::Routine);
    bench.send(Class::Routine);

    let actions = bench.tell(RoutingEvent::Plan(Arc::new(RoutingPlan::new(2, "a"))));
    assert_eq!(refused(&actions), Some(ResultCode::NoUpstream));

    assert_eq!(bench.end(&running, Outcome::Succeeded), []);
}

/// A message with a former text arrives late. Taking it over would revert what operators accepted.
#[test]
fn an_older_plan_is_ignored() {
    let newer = RoutingPlan::new(2, "a").with_service(service(1));
    let mut bench = Bench::with(RouterSettings::default(), newer);

    bench.tell(RoutingEvent::Plan(Arc::new(RoutingPlan::new(1, "a"))));

    assert!(bench.send(Class::Urgent).1.is_some());
}
