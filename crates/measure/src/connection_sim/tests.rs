use rstest::rstest;

use super::{ConnectionScenario, ConnectionWay, simulate};

/// All callers of 72 nodes, before the smallest node.
const SMALL: ConnectionScenario = ConnectionScenario {
    requests_per_s: 205.0,
    events_per_stream: 86,
    event_gap_us: 25_600,
    processor_share: 0.12,
};

/// A region of 360 nodes, before the largest node.
const LARGE: ConnectionScenario = ConnectionScenario {
    requests_per_s: 900.0,
    processor_share: 0.5,
    ..SMALL
};

#[test]
fn equal_seeds_give_equal_figures() {
    let run = || simulate(SMALL, ConnectionWay::IsNotReady, 3);
    assert_eq!(format!("{:?}", run()), format!("{:?}", run()));
}

#[rstest]
#[case::few_requests(SMALL, ConnectionWay::TakesAll)]
#[case::many_requests(LARGE, ConnectionWay::ClosesForDescriptors)]
fn a_node_that_gets_most_new_connections_serves_first_tries(
    #[case] scenario: ConnectionScenario,
    #[case] way: ConnectionWay,
) {
    let run = simulate(scenario, way, 1);
    assert!(run.meanwhile_of_before >= 0.75, "{run:?}");
}

#[test]
fn a_node_without_descriptors_fails_first_tries() {
    let run = simulate(LARGE, ConnectionWay::TakesAll, 1);
    assert!(run.descriptors >= 4_100.0, "{run:?}");
    assert!(run.meanwhile_of_before < 0.9, "{run:?}");
}
