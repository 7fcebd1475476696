//! Which nodes are kept after the store lost them in a restore.

use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_relay::ReturningNodes;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn node() -> NodeId {
    "node-1".into()
}

fn restored() -> ReturningNodes {
    let mut nodes = ReturningNodes::default();
    nodes.record_restored(ms(10_000));
    nodes
}

// Guards against keeping a node that left shortly after a restore: its engines would have no owner meanwhile.
#[test]
fn a_node_that_registered_after_the_restore_is_gone_when_it_is_removed() {
    let mut nodes = restored();
    nodes.record_registered(node());
    assert!(!nodes.record_missing(&node(), ms(10_500)));
    nodes.record_restored(ms(11_000));
    assert!(nodes.record_missing(&node(), ms(11_500)), "a later restore");
}

// Guards against dropping nodes whose records are lost, or are in the copy under a lease that ends.
#[test]
fn a_node_that_the_copy_lists_is_kept_when_its_record_expires() {
    let mut nodes = restored();
    nodes.record_listed(&node());
    assert!(nodes.record_missing(&node(), ms(11_000)));
    nodes.record_listed(&node());
    assert_eq!(nodes.take_expired(ms(20_000)), []);
}

// Guards against keeping nodes for longer than they have to register again, counted from the restore.
#[test]
fn the_time_to_register_is_counted_from_the_restore() {
    let mut nodes = restored();
    assert!(nodes.record_missing(&node(), ms(13_500)));
    assert_eq!(nodes.take_expired(ms(13_599)), []);
    assert_eq!(nodes.take_expired(ms(13_600)), [node()]);
    assert!(!nodes.record_missing(&node(), ms(13_601)));
    assert!(!ReturningNodes::default().record_missing(&node(), ms(100)));
}
