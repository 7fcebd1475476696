//! The live nodes while nodes pause, fail, return, restart and shut down.

use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_membership::{MembershipEvent, MembershipNote};
use rstest::rstest;

#[allow(dead_code, reason = "each test file uses a part")]
mod fleet;

use fleet::{Fleet, Node, domain_name};

const SECOND: Duration = Duration::from_secs(1);

/// Creates one failure domain in which all nodes agree on the live nodes.
fn calm_domain(nodes: usize) -> Fleet {
    let mut fleet = Fleet::new(1, nodes, 7);
    fleet.run(20 * SECOND);
    assert!(fleet.agrees_on_live());
    fleet
}

fn live_changes(fleet: &Fleet) -> Vec<usize> {
    fleet.nodes.iter().map(|node| node.live_changes).collect()
}

fn has_note(node: &Node, wanted: &MembershipNote) -> bool {
    node.notes.iter().any(|(_, note)| note == wanted)
}

// A VM is frozen for a minute. When it resumes, all its peers appear to have been silent for that
// time. If it marked them unreachable, it would take over every engine of its failure domain.
#[rstest]
fn a_paused_node_does_not_mark_its_peers_unreachable(
    #[values(false, true)] drops_while_paused: bool,
) {
    let mut fleet = calm_domain(8);
    fleet.drops_while_paused = drops_while_paused;
    let before = fleet.nodes[0].live_changes;
    fleet.pause(0, 60 * SECOND);
    fleet.run(120 * SECOND);
    assert_eq!(fleet.nodes[0].live_changes, before);
    let notes = &fleet.nodes[0].notes;
    assert!(
        notes
            .iter()
            .any(|(_, n)| matches!(n, MembershipNote::OwnPause { .. }))
    );
    assert!(
        !notes
            .iter()
            .any(|(_, n)| matches!(n, MembershipNote::PeerUnreachable(_)))
    );
    let paused = fleet.nodes[0].id.clone();
    assert!(has_note(
        &fleet.nodes[1],
        &MembershipNote::PeerUnreachable(paused.clone())
    ));
    assert!(has_note(
        &fleet.nodes[1],
        &MembershipNote::PeerReturned(paused)
    ));
    assert!(fleet.agrees_on_live());
}

// All VMs of a failure domain are frozen for a minute by their common host. After they resume, it
// takes some time until each node receives heartbeats from the others again.
#[test]
fn a_pause_of_a_whole_domain_does_not_change_the_live_nodes() {
    let mut fleet = calm_domain(8);
    let before = live_changes(&fleet);
    for index in 0..8 {
        fleet.pause(index, 60 * SECOND);
    }
    fleet.run(90 * SECOND);
    assert_eq!(live_changes(&fleet), before);
    let mut notes = fleet.nodes.iter().flat_map(|node| &node.notes);
    assert!(!notes.any(|(_, n)| matches!(n, MembershipNote::PeerUnreachable(_))));
}

// A node's network fails every few seconds. If the node counted as live at once after each return,
// its engines would move back each time, and each move delays evictions by the lifetime of a pin.
#[test]
fn a_flapping_node_is_counted_as_live_later_after_each_return() {
    let mut fleet = calm_domain(6);
    let before = fleet.nodes[1].live_changes;
    for _ in 0..10 {
        fleet.pause(0, 8 * SECOND);
        fleet.run(12 * SECOND);
    }
    let moves = fleet.nodes[1].live_changes - before;
    assert!(moves <= 12, "{moves} changes in ten flaps");
    fleet.run(30 * SECOND);
    assert!(fleet.agrees_on_live());
}

// A switch fault of nine seconds separates five of eight nodes from the other three. All nodes are
// alive, so no engine should change its owner.
#[test]
fn a_short_loss_of_most_nodes_does_not_change_the_live_nodes() {
    let mut fleet = calm_domain(8);
    let before = fleet.nodes[0].live_changes;
    fleet.can_deliver =
        |a, b| (a.id.ends_with(['0', '1', '2'])) == (b.id.ends_with(['0', '1', '2']));
    fleet.run(9 * SECOND);
    assert_eq!(
        fleet.nodes[0].membership.status().domains[0]
            .unreachable
            .len(),
        5
    );
    fleet.can_deliver = |_, _| true;
    fleet.run(30 * SECOND);
    assert_eq!(fleet.nodes[0].live_changes, before);
    assert!(fleet.agrees_on_live());
}

// Five of eight VMs are lost for good. When `mass_hold_ms` has passed, all their engines must move
// to the other nodes in one change.
#[test]
fn a_lasting_loss_of_most_nodes_changes_the_live_nodes_once() {
    let mut fleet = calm_domain(8);
    let before = fleet.nodes[0].live_changes;
    for index in 3..8 {
        fleet.nodes[index].is_dead = true;
    }
    fleet.run(30 * SECOND);
    assert!(fleet.agrees_on_live());
    assert_eq!(fleet.nodes[0].live_changes, before + 1);
}

// One of the two VMs of a failure domain fails. This must not count as a loss of most nodes, which
// would delay the takeover of its engines.
#[test]
fn a_dead_node_leaves_the_live_nodes_within_seconds_in_a_domain_of_two() {
    let mut fleet = calm_domain(2);
    fleet.nodes[1].is_dead = true;
    let elapsed = fleet.run_until(30 * SECOND, Fleet::agrees_on_live);
    assert!(elapsed <= 6 * SECOND, "{elapsed:?}");
}

// A process is restarted before its peers notice that it was down. Its pins and tickets are lost,
// so the peers must learn that it is a new incarnation.
#[test]
fn a_restarted_node_is_seen_as_a_new_incarnation() {
    let mut fleet = calm_domain(6);
    fleet.restart(2);
    fleet.run(5 * SECOND);
    let restarted = &fleet.nodes[2];
    for node in fleet.nodes.iter().filter(|node| node.id != restarted.id) {
        assert!(has_note(
            node,
            &MembershipNote::PeerRestarted(restarted.id.clone())
        ));
        let live = node.live.iter().find(|live| live.node == restarted.id);
        assert_eq!(live.map(|l| l.incarnation), Some(restarted.incarnation));
    }
    assert!(fleet.agrees_on_live());
}

// The VM list lags: two running nodes are missing from it, and it still contains a dead one.
#[test]
fn the_vm_list_never_removes_a_node_that_sends_heartbeats() {
    let mut fleet = calm_domain(6);
    let before = fleet.nodes[5].live_changes;
    fleet.vm_list.drain(0..2);
    fleet.run(20 * SECOND);
    assert_eq!(fleet.nodes[5].live_changes, before);
    fleet.nodes[3].is_dead = true;
    fleet.run(20 * SECOND);
    assert!(fleet.agrees_on_live());
}

// A VM starts while the VM list is unavailable. Its settings name two nodes, one of which is dead.
#[test]
fn a_node_joins_by_one_seed_address_while_the_vm_list_is_unavailable() {
    let mut fleet = Fleet::new(2, 4, 3);
    fleet.run(10 * SECOND);
    fleet.is_vm_list_unavailable = true;
    fleet.nodes[2].is_dead = true;
    fleet.run(10 * SECOND);
    let index = fleet.add_node(0, 9);
    let addresses = [2, 1].map(|known| fleet.nodes[known].address.clone());
    let seeds = MembershipEvent::Seeds {
        addresses: addresses.to_vec(),
    };
    fleet.handle(index, seeds);
    fleet.run(10 * SECOND);
    assert!(fleet.agrees_on_live());
    assert_eq!(fleet.nodes[index].membership.status().domains.len(), 2);
}

// The platform announces that a VM will be removed. The node finishes its requests and remains
// reachable, but must own no engine when the VM is removed.
#[test]
fn a_node_on_a_leaving_vm_is_not_live_but_stays_reachable() {
    let mut fleet = calm_domain(4);
    fleet.vm_list[0].is_leaving = true;
    fleet.run(10 * SECOND);
    let leaving: NodeId = fleet.nodes[0].id.clone();
    assert!(has_note(&fleet.nodes[0], &MembershipNote::OwnVmLeaving));
    let delegates = fleet.nodes.iter().filter(|node| node.vm_list_reads > 5);
    for node in delegates {
        assert!(node.live.iter().all(|live| live.node != leaving));
        assert_eq!(node.membership.status().domains[0].unreachable, []);
    }
}

// When a node shuts down, its engines must get new owners before its process ends.
#[test]
fn a_node_that_shuts_down_leaves_the_live_nodes_within_a_second() {
    let mut fleet = calm_domain(12);
    let leaving = fleet.nodes[4].id.clone();
    let state = MembershipEvent::OwnState {
        is_ready: false,
        is_leaving: true,
    };
    fleet.handle(4, state);
    let elapsed = fleet.run_until(30 * SECOND, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.live.iter().all(|live| live.node != leaving))
    });
    assert!(elapsed <= SECOND, "{elapsed:?}");
}

// A partition separates failure domain 1 from 0 and 2 for ten minutes. The live nodes of each must
// not change, the status must show the unreachable nodes, and all must reconnect within seconds.
#[test]
fn partitioned_domains_keep_their_live_nodes_and_reconnect() {
    let mut fleet = Fleet::new(3, 4, 5);
    fleet.run(20 * SECOND);
    let before = live_changes(&fleet);
    fleet.can_deliver = |a, b| (a.domain == 1) == (b.domain == 1);
    fleet.run(600 * SECOND);
    assert_eq!(live_changes(&fleet), before);
    let status = fleet.nodes[0].membership.status();
    assert_eq!(status.domains[1].failure_domain, domain_name(1));
    assert_eq!(status.domains[1].unreachable.len(), 4);
    assert_eq!(status.domains[2].unreachable, []);
    fleet.can_deliver = |_, _| true;
    let reconnect_time = fleet.run_until(60 * SECOND, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|n| {
            n.membership
                .status()
                .domains
                .iter()
                .all(|d| d.unreachable.is_empty())
        })
    });
    assert!(reconnect_time <= 10 * SECOND, "{reconnect_time:?}");
    assert_eq!(live_changes(&fleet), before);
}
