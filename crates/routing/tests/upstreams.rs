//! Upstreams that leave, fail, restart, recover, or whose reports are late.

mod support;

use std::time::Duration;

use nutmegsail_base::{AdapterRef, Class, Incarnation, ResultCode};
use nutmegsail_routing::{Outcome, RouterSettings, RoutingEvent, RoutingPlan};
use rstest::rstest;
use support::{Harness, dispatched, refused, report, service};

/// An upstream announces that it is leaving. Requests sent to it after that could be cut off when
/// its VM stops, so they must go elsewhere, even if a late report shows it as not leaving.
#[test]
fn a_leaving_upstream_gets_no_requests_whatever_late_reports_say() {
    let mut harness = Harness::new(service(2));
    harness.report("u1", report(&[], 0));
    harness.handle(RoutingEvent::Leaving {
        upstream: "u1".into(),
    });
    harness.report("u1", report(&[], 0));
    harness.handle(RoutingEvent::Health {
        upstream: "u1".into(),
        is_ready: true,
    });

    for _ in 0..50 {
        let (call, sent) = harness.send(Class::Urgent);
        assert_eq!(sent.as_deref(), Some("u2"));
        harness.end(&call, Outcome::Succeeded);
    }
}

/// The only upstream leaves, its VM is replaced, and a new process runs at the same address. The
/// new process isn't leaving; if it got no requests, the service would be down.
#[test]
fn a_restarted_upstream_gets_requests_again() {
    let mut harness = Harness::new(service(1));
    harness.report("u1", report(&[], 0));
    harness.handle(RoutingEvent::Leaving {
        upstream: "u1".into(),
    });
    let call = harness.call(Class::Urgent);
    assert_eq!(
        refused(&harness.arrive(&call)),
        Some(ResultCode::NoUpstream)
    );

    let mut restarted = report(&[], 0);
    restarted.incarnation = Incarnation(2);
    harness.report("u1", restarted);

    assert_eq!(harness.send(Class::Urgent).1.as_deref(), Some("u1"));
}

/// An engine can't be reached for a moment and then reports again with the same incarnation. It
/// must get requests again, or each short network failure would remove an engine for good. One that
/// was leaving before is still leaving.
#[rstest]
#[case::staying(false)]
#[case::leaving(true)]
fn an_engine_that_is_reachable_again_gets_requests_unless_it_was_leaving(#[case] is_leaving: bool) {
    let mut harness = Harness::new(service(1));
    harness.report("u1", report(&[], 0));
    if is_leaving {
        harness.handle(RoutingEvent::Leaving {
            upstream: "u1".into(),
        });
    }
    harness.handle(RoutingEvent::UpstreamGone {
        upstream: "u1".into(),
    });
    let call = harness.call(Class::Urgent);
    assert_eq!(
        refused(&harness.arrive(&call)),
        Some(ResultCode::NoUpstream)
    );

    harness.report("u1", report(&[], 0));

    assert_eq!(harness.send(Class::Urgent).1.is_some(), !is_leaving);
}

/// The VM list shows an upstream as leaving and later as staying. If the second event were ignored,
/// its places would be lost until its process restarted.
#[test]
fn an_upstream_that_is_no_longer_leaving_gets_requests_again() {
    let mut harness = Harness::new(service(1));
    harness.handle(RoutingEvent::Leaving {
        upstream: "u1".into(),
    });
    harness.handle(RoutingEvent::Health {
        upstream: "u1".into(),
        is_ready: true,
    });
    assert_eq!(harness.send(Class::Urgent).1, None);

    harness.handle(RoutingEvent::Staying {
        upstream: "u1".into(),
    });

    assert_eq!(harness.send(Class::Urgent).1.as_deref(), Some("u1"));
}

/// An engine restarts without adapters, and a delayed report from before the restart arrives after
/// the first one of the new process. Using it would send requests for adapters that aren't loaded.
#[test]
fn a_late_report_of_the_previous_incarnation_is_ignored() {
    let adapter = AdapterRef::new("summary", 1);
    let mut harness = Harness::new(service(1));
    harness.report("u1", report(&[&adapter], 0));
    let mut restarted = report(&[], 0);
    restarted.incarnation = Incarnation(2);
    harness.report("u1", restarted);
    harness.report("u1", report(&[&adapter], 0));

    let mut call = harness.call(Class::Routine);
    call.adapter = Some(adapter);

    assert_eq!(dispatched(&harness.arrive(&call)), None);
}

/// One of four upstreams fails every request immediately. It has few requests in flight, so it
/// looks idle and would attract most of the traffic. It must be ejected and get traffic back
/// gradually.
#[test]
fn a_failing_upstream_is_ejected_and_gets_traffic_back_gradually() {
    let mut harness = Harness::new(service(4));
    let mut to_failing = 0;
    for _ in 0..400 {
        let (call, sent) = harness.send(Class::Routine);
        let fails = sent.as_deref() == Some("u1");
        to_failing += u32::from(fails);
        harness.end(
            &call,
            if fails {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            },
        );
    }
    assert_eq!(to_failing, 5, "the failures in a row that eject");

    harness.advance(5_001);
    let sent: Vec<_> = (0..100)
        .filter_map(|_| harness.send(Class::Routine).1)
        .collect();
    let to_returned = sent.iter().filter(|upstream| *upstream == "u1").count();
    assert!(
        (1..=3).contains(&to_returned),
        "{to_returned} of a tenth of 32 places"
    );
}

/// All upstreams fail because of a shared dependency. Ejecting them all would turn a partial
/// failure into a complete one.
#[test]
fn only_a_limited_share_of_a_services_upstreams_is_ejected() {
    let mut harness = Harness::new(service(6).with_retry_budget(0.0));
    let mut reached = std::collections::HashSet::new();
    for round in 0..2_000 {
        let (call, sent) = harness.send(Class::Routine);
        if round > 1_000 {
            reached.extend(sent);
        }
        harness.end(&call, Outcome::Failed);
    }

    assert_eq!(reached.len(), 4, "two of six are ejected");
}

/// Two of six upstreams are all that one failure domain has. If both were ejected because a third
/// of the service may be, routine requests would wait until the ejections ended. So the share
/// applies to each failure domain.
#[test]
fn not_all_upstreams_of_a_failure_domain_are_ejected() {
    let plan = service(2)
        .with_upstream("far1", "b")
        .with_upstream("far2", "b");
    let plan = plan.with_upstream("far3", "b").with_upstream("far4", "b");
    let mut harness = Harness::new(plan.with_retry_budget(0.0));
    for _ in 0..100 {
        let (call, sent) = harness.send(Class::Routine);
        assert!(sent.is_some());
        harness.end(&call, Outcome::Failed);
    }
}

/// The reports of an engine stop while it is nearly idle. If the last one stayed in use, the engine
/// would look idle for ever and every node would send its requests there.
#[test]
fn an_old_report_of_no_load_loses_weight() {
    let mut harness = Harness::new(service(2));
    harness.report("u1", report(&[], 0));
    harness.report("u2", report(&[], 16));
    for _ in 0..30 {
        harness.advance(1_000);
        harness.report("u2", report(&[], 16));
    }

    let explanation = harness
        .router
        .explain(&"svc".into(), None, Class::Routine, harness.now);

    let load = |upstream: &str| {
        let mut candidates = explanation.candidates.iter();
        candidates
            .find(|c| c.upstream.as_str() == upstream)
            .unwrap()
            .load
    };
    assert!(load("u1") > 0.9 * load("u2"), "{explanation}");
}

/// Reports are a second old, so the latest one doesn't show ten requests that this node has sent
/// since. They must count at once, and must not be counted twice when later reports include them.
#[test]
fn a_nodes_own_requests_count_at_once_and_only_once() {
    let mut harness = Harness::new(service(1).with_in_flight_per_upstream(100));
    harness.report("u1", report(&[], 5));
    for _ in 0..10 {
        harness.send(Class::Urgent);
    }
    let load = |harness: &Harness| {
        let explanation = harness
            .router
            .explain(&"svc".into(), None, Class::Urgent, harness.now);
        explanation.candidates[0].load
    };
    assert_eq!(load(&harness), 15.0);

    for _ in 0..20 {
        harness.advance(1_000);
        harness.report("u1", report(&[], 15));
        assert!(load(&harness) < 16.0, "{}", load(&harness));
    }
    assert!((load(&harness) - 15.0).abs() < 0.1, "{}", load(&harness));
}

/// A full upstream refuses requests. Sending it each waiting request in turn would use up the retry
/// budget and the upstream's CPU, so it is paused, and each refusal in a row doubles the pause.
#[test]
fn an_upstream_that_refuses_is_paused() {
    let settings = RouterSettings {
        max_attempts: 1,
        ..Default::default()
    };
    let mut harness = Harness::with(settings, RoutingPlan::new(1, "a").with_service(service(1)));
    let mut pauses_ms = Vec::new();
    for _ in 0..4 {
        let (call, sent) = harness.send(Class::Routine);
        assert!(sent.is_some());
        harness.end(&call, Outcome::RefusedByUpstream);
        let (waiting, _) = harness.send(Class::Routine);
        let mut pause_ms = 0;
        while dispatched(&harness.advance(10)).is_none() {
            pause_ms += 10;
        }
        pauses_ms.push(pause_ms + 10);
        harness.now += Duration::from_millis(1);
        harness.end(&waiting, Outcome::RefusedByUpstream);
        harness.advance(10_000);
    }

    assert!(pauses_ms.is_sorted(), "{pauses_ms:?}");
    assert_eq!(pauses_ms[0], 50);
    assert!(pauses_ms[3] >= 1_000, "{pauses_ms:?}");
}
