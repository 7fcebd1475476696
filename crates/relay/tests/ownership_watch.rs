//! Reports of engines whose owners are missing or unevenly distributed.

#![allow(clippy::unwrap_used, reason = "a test that has nothing fails")]

mod common;

use std::collections::HashMap;
use std::time::{Duration, Instant};

use common::{engine, far_engine};
use nutmegsail_base::NodeId;
use nutmegsail_relay::{
    ConcernChange, NodeRecord, OwnersNow, OwnershipConcern, OwnershipWatch, Upstream,
};
use rstest::rstest;

fn record(name: &str) -> NodeRecord {
    NodeRecord {
        node: name.into(),
        failure_domain: "here".into(),
        address: ([10, 0, 0, 1], 80).into(),
    }
}

fn engines(near: usize, far: usize) -> Vec<Upstream> {
    let near = (0..near).map(|place| engine(&format!("near-{place}"), &[]));
    let far = (0..far).map(|place| far_engine(&format!("far-{place}"), &[]));
    near.chain(far).collect()
}

/// Changes that node n1 reports after a time of `lasting`. `owners` names the owners of `engines`
/// in their order.
fn told(
    listed: &[&str],
    engines: &[Upstream],
    owners: &[&str],
    lasting: Duration,
) -> Vec<ConcernChange> {
    let nodes: Vec<NodeRecord> = listed.iter().copied().map(record).collect();
    let owned = engines.iter().zip(owners);
    let owners: HashMap<_, NodeId> = owned
        .map(|(engine, owner)| (engine.id.clone(), (*owner).into()))
        .collect();
    let engines: Vec<&Upstream> = engines.iter().collect();
    let seen = OwnersNow {
        node: &"n1".into(),
        nodes: &nodes,
        engines: &engines,
        owners: &owners,
    };
    let (mut watch, now) = (OwnershipWatch::default(), Instant::now());
    assert_eq!(watch.look(seen, now), [], "nothing has lasted long enough");
    let changes = watch.look(seen, now + lasting);
    assert_eq!(watch.look(seen, now + lasting), [], "reported only once");
    changes
}

const LONG: Duration = Duration::from_millis(2_100);

// Guards against leaving it unreported that one node owns all engines.
#[test]
fn a_node_that_owns_all_engines_and_those_that_own_none_are_told() {
    let owners = ["n2"; 6];
    let changes = told(&["n1", "n2", "n3"], &engines(6, 0), &owners, LONG);
    assert_eq!(
        changes,
        [
            ConcernChange::Began(OwnershipConcern::OwnsNone),
            ConcernChange::Began(OwnershipConcern::OwnsTooMany("n2".into())),
        ]
    );
}

#[rstest]
#[case::spread(&["n1", "n2", "n3"], 6, &["n1", "n2", "n3", "n1", "n2", "n3"])]
#[case::twice_its_part(&["n1", "n2", "n3"], 6, &["n1", "n2", "n2", "n2", "n2", "n3"])]
#[case::fewer_engines_than_nodes(&["n1", "n2", "n3"], 2, &["n2", "n3"])]
#[case::alone(&["n1"], 9, &["n1"; 9])]
fn engines_that_are_spread_are_no_concern(
    #[case] listed: &[&str],
    #[case] count: usize,
    #[case] owners: &[&str],
) {
    assert_eq!(told(listed, &engines(count, 0), owners, LONG), []);
}

#[test]
fn engines_where_no_node_is_are_everybodys_part() {
    let owners = ["n1", "n1", "n2", "n2"];
    assert_eq!(told(&["n1", "n2"], &engines(0, 4), &owners, LONG), []);
}

#[test]
fn what_lasts_for_a_moment_is_not_told() {
    let short = Duration::from_millis(1_900);
    assert_eq!(told(&["n2"], &engines(2, 0), &["n2", "n2"], short), []);
}

#[test]
fn the_end_of_what_was_told_is_told() {
    let (mut watch, now) = (OwnershipWatch::default(), Instant::now());
    let (node, owners) = ("n1".into(), HashMap::new());
    let nodes = [record("n1")];
    let mut look = |nodes: &[NodeRecord], after_s: u64| {
        let seen = OwnersNow {
            node: &node,
            nodes,
            engines: &[],
            owners: &owners,
        };
        watch.look(seen, now + Duration::from_secs(after_s))
    };
    assert_eq!(look(&[], 0), []);
    assert_eq!(look(&[], 3).len(), 1);
    let ended = ConcernChange::Ended(OwnershipConcern::NotListed);
    assert_eq!(look(&nodes, 4), [ended]);
    assert_eq!(look(&[], 5), [], "it must last again");
}
