//! The explanation that operators get for a routing decision.

mod support;

use nutmegsail_base::{AdapterRef, Class};
use nutmegsail_routing::{AdapterAvailability, RoutingEvent};
use support::{Harness, service};

#[test]
fn an_explanation_lists_candidates_scores_limits_and_the_reason() {
    let adapter = AdapterRef::new("summary", 3);
    let mut harness = Harness::new(service(4).with_upstream("far1", "b").with_batch_slots(16));
    harness.set_adapter("u1", &adapter, AdapterAvailability::Ready);
    harness.set_adapter("u2", &adapter, AdapterAvailability::Loading);
    harness.handle(RoutingEvent::Leaving {
        upstream: "u3".into(),
    });
    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter.clone());
    harness.arrive(&call);

    let explanation =
        harness
            .router
            .explain(&"svc".into(), Some(&adapter), Class::Routine, harness.now);

    insta::assert_snapshot!(explanation, @r"
    routine svc summary@3, generation 1: goes to the best of a few like u1
    weights: load stalls 0.5, batch efficiency 0.5
    waiting 0 of 1000, expected wait 0 ms, retries left 4.0, routine owed: no
    upstreams: 5, best first
      u1 score -0.003 s (adapter 0.000, load 0.000, domain 0.000, prefix 0.000, batch -0.003), load 1.0 of 32, own domain: can start it now
      u2 score 1.000 s (adapter 1.000, load 0.000, domain 0.000, prefix 0.000, batch 0.000), load 0.0 of 32, own domain: adapter loading
      u3 score 2.000 s (adapter 2.000, load 0.000, domain 0.000, prefix 0.000, batch 0.000), load 0.0 of 32, own domain: leaving
      u4 score 2.000 s (adapter 2.000, load 0.000, domain 0.000, prefix 0.000, batch 0.000), load 0.0 of 32, own domain: adapter absent
      far1 score 2.002 s (adapter 2.000, load 0.000, domain 0.002, prefix 0.000, batch 0.000), load 0.0 of 32, other domain: adapter absent
    ");
}
