//! Nodes that forward requests and fall silent.

use nutmegsail_base::NodeId;
use nutmegsail_relay::ForwarderWatch;
use rstest::rstest;

/// Ends `count` rounds, and returns the nodes that became silent.
fn end_rounds(watch: &mut ForwarderWatch, count: usize) -> Vec<NodeId> {
    (0..count).flat_map(|_| watch.end_round()).collect()
}

// Guards against requests of a suspended node that run on after its callers have had them served elsewhere, 2.4 s later,
// and against ending those of a node whose messages are late or lost for a second.
#[test]
fn a_node_is_silent_after_a_second_and_before_its_callers_are_served_elsewhere() {
    const ROUNDS_PER_S: f64 = 5.0;
    let mut watch = ForwarderWatch::default();
    watch.record_alive("n2".into());
    assert_eq!(end_rounds(&mut watch, ROUNDS_PER_S as usize), []);
    let rounds_left = ((2.4 - 1.0) * ROUNDS_PER_S) as usize;
    assert_eq!(end_rounds(&mut watch, rounds_left), ["n2".into()]);
}

#[rstest]
#[case::by_a_message(|watch: &mut ForwarderWatch| watch.record_alive("n2".into()))]
#[case::by_a_request(|watch: &mut ForwarderWatch| watch.record_request(&"n2".into()))]
fn a_node_that_is_heard_again_is_not_silent(#[case] hear: fn(&mut ForwarderWatch)) {
    let mut watch = ForwarderWatch::default();
    watch.record_alive("n2".into());
    for _ in 0..3 {
        assert_eq!(end_rounds(&mut watch, 7), []);
        hear(&mut watch);
    }
}

// Guards against ending the requests of a node of an older build, which never says that it waits.
#[test]
fn a_node_that_never_says_that_it_waits_is_not_watched() {
    let mut watch = ForwarderWatch::default();
    watch.record_request(&"n2".into());
    assert_eq!(end_rounds(&mut watch, 100), []);
}
