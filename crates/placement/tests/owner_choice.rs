//! The choice of the node that owns an engine, and of its fencing token.

use nutmegsail_base::NodeId;
use nutmegsail_placement::{first_choice, next_fence};

fn nodes(names: &[&str]) -> Vec<NodeId> {
    names.iter().map(|name| NodeId::from(*name)).collect()
}

/// A node fails. If the choice were not stable, engines that it did not own would change owners as
/// well, and each change means no evictions for the length of a pin lease.
#[test]
fn only_engines_of_the_node_that_left_move() {
    let before = nodes(&["a", "b", "c", "d"]);
    let after = nodes(&["a", "b", "d"]);
    for engine in (0..100).map(|n| format!("10.0.0.{n}:8000")) {
        let owner = first_choice(&engine, &before);
        if owner != Some(&NodeId::from("c")) {
            assert_eq!(owner, first_choice(&engine, &after));
        }
    }
}

/// Two nodes take over an engine at the same time while the key-value service is unavailable. With
/// the same fencing token, the engine would obey both.
#[test]
fn two_nodes_never_choose_the_same_fencing_token() {
    let seen = next_fence(next_fence(0, &"a".into()), &"b".into());
    let drawn = [next_fence(seen, &"c".into()), next_fence(seen, &"d".into())];
    assert_ne!(drawn[0], drawn[1]);
    assert!(drawn.iter().all(|fence| *fence > seen));
}
