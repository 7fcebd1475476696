//! The services that resumable routes lead to.

use std::time::Duration;

use nutmegsail_relay::{CallKind, CallerLimits, Route, RouteTable, StreamKey, WeightedService};
use rstest::rstest;

fn route(name: &str, services: &[&str]) -> Route {
    let share = |service: &&str| WeightedService {
        service: (*service).into(),
        weight: 1.0,
    };
    Route {
        name: name.into(),
        host: "desk.example".into(),
        path_prefix: format!("/{name}/").into(),
        kind: CallKind::Stream { is_resumable: true },
        timeout: Duration::from_secs(10),
        latency_objective: Duration::from_millis(600),
        longest_pause: None,
        event_timeout: Duration::from_secs(2),
        priority: 1,
        services: services.iter().map(share).collect(),
        max_attempts: 2,
        allows_anonymous: false,
    }
}

fn table(routes: Vec<Route>) -> RouteTable {
    let limits = CallerLimits {
        header_bytes: 1,
        body_bytes: 1,
        read_timeout: Duration::from_secs(1),
        idle_timeout: Duration::from_secs(1),
    };
    RouteTable::new(1, limits, routes, Vec::new())
}

// Guards against a stream that goes on at another service, as its route leads there by now.
#[rstest]
#[case::unchanged(&["old"], &["old"], &[])]
#[case::moved(&["old"], &["new"], &["new"])]
#[case::split(&["old"], &["old", "new"], &["new", "old"])]
#[case::joined_again(&["old", "new"], &["old"], &["old"])]
#[case::split_as_before(&["old", "new"], &["new", "old"], &[])]
fn services_to_which_a_route_moved_are_known(
    #[case] before: &[&str],
    #[case] now: &[&str],
    #[case] expected: &[&str],
) {
    let other = route("other", &["calm"]);
    let before = table(vec![route("notes", before), other.clone()]);
    let now = table(vec![route("notes", now), other, route("added", &["calm"])]);
    let moved = now.moved_services(&before);
    let moved: Vec<&str> = moved.iter().map(|service| service.as_str()).collect();
    assert_eq!(moved, expected);
}

#[test]
fn only_resumable_routes_count() {
    let plain = Route {
        kind: CallKind::Idempotent,
        ..route("plain", &["a", "b"])
    };
    let long = Route {
        timeout: Duration::from_secs(15),
        ..route("long", &["engines"])
    };
    let table = table(vec![plain, route("notes", &["engines"]), long]);
    let services = table.stream_services();
    assert_eq!(services.len(), 1);
    let engines = services["engines"];
    assert_eq!(engines.lifetime, Duration::from_secs(60));
    assert!(!engines.is_split);
}

// Guards against tries of one stream that a split route sends to different services.
#[test]
fn a_split_route_has_the_same_service_for_all_tries_of_a_stream() {
    let route = route("notes", &["old", "new"]);
    let key = |number: u32| StreamKey::of(None, &format!("s{number}").as_str().into());
    let service = |number| route.service(key(number).draw());
    let first: Vec<&str> = (0..6).map(|number| service(number).as_str()).collect();
    insta::assert_compact_debug_snapshot!(first, @r#"["new", "old", "old", "new", "old", "old"]"#);
    let old = (0..1_000).filter(|number| service(*number).as_str() == "old");
    let old = old.count();
    assert!((400..600).contains(&old), "{old} of 1,000");
}
