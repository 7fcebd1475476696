//! Nodes that pause, vanish, return and restart.

use std::time::Duration;

use nutmegsail_base::NodeId;
use nutmegsail_membership::{MembershipEvent, MembershipNote};
use rstest::rstest;

#[allow(dead_code, reason = "each test file uses a part")]
mod fleet;

use fleet::{Fleet, Node, domain_name};

const SECOND: Duration = Duration::from_secs(1);

/// One failure domain of `nodes`, after a while without incident.
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

// A VM is frozen for a minute by its host. When it wakes, every peer has been silent for a minute
// by its clock. If it gave them all up it would take over every engine of its failure domain.
#[rstest]
fn a_paused_node_wakes_without_giving_anybody_up(#[values(false, true)] loses: bool) {
    let mut fleet = calm_domain(8);
    fleet.loses_while_paused = loses;
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

// All VMs of a failure domain stand on one host, which freezes for a minute and goes on. Each node
// hears the others again only some time after it woke.
#[test]
fn a_domain_that_pauses_as_a_whole_changes_nothing() {
    let mut fleet = calm_domain(8);
    let before = live_changes(&fleet);
    for at in 0..8 {
        fleet.pause(at, 60 * SECOND);
    }
    fleet.run(90 * SECOND);
    assert_eq!(live_changes(&fleet), before);
    let mut notes = fleet.nodes.iter().flat_map(|node| &node.notes);
    assert!(!notes.any(|(_, n)| matches!(n, MembershipNote::PeerUnreachable(_))));
}

// A node's network card drops out every few seconds. Each time it comes back it would be handed
// its engines again, and each takeover keeps evictions waiting for a pin's whole life.
#[test]
fn a_flapping_node_moves_ownership_less_and_less() {
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

// A switch inside a failure domain fails for nine seconds: five of eight nodes vanish for the
// other three, and the other way about. Nobody died, so no engine should change its owner.
#[test]
fn a_short_loss_of_most_nodes_moves_nothing() {
    let mut fleet = calm_domain(8);
    let before = fleet.nodes[0].live_changes;
    fleet.passes = |a, b| (a.id.ends_with(['0', '1', '2'])) == (b.id.ends_with(['0', '1', '2']));
    fleet.run(9 * SECOND);
    assert_eq!(
        fleet.nodes[0].membership.status().domains[0]
            .unreachable
            .len(),
        5
    );
    fleet.passes = |_, _| true;
    fleet.run(30 * SECOND);
    assert_eq!(fleet.nodes[0].live_changes, before);
    assert!(fleet.agrees_on_live());
}

// Five of eight VMs really are gone. After the hold their engines go to the others, all at once.
#[test]
fn a_lasting_loss_of_most_nodes_moves_everything_once() {
    let mut fleet = calm_domain(8);
    let before = fleet.nodes[0].live_changes;
    for at in 3..8 {
        fleet.nodes[at].is_dead = true;
    }
    fleet.run(30 * SECOND);
    assert!(fleet.agrees_on_live());
    assert_eq!(fleet.nodes[0].live_changes, before + 1);
}

// One of two VMs of a failure domain dies. That is half of them, and still the other one must
// take its engines over soon.
#[test]
fn a_single_dead_node_is_taken_out_soon_even_in_a_small_domain() {
    let mut fleet = calm_domain(2);
    fleet.nodes[1].is_dead = true;
    let taken = fleet.run_until(30 * SECOND, Fleet::agrees_on_live);
    assert!(taken <= 6 * SECOND, "{taken:?}");
}

// A process is killed and started again before anybody missed it. Its pins and tickets are gone,
// so the others must see a new incarnation and not the old node.
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

// The VM list lags: it has lost two nodes that run, and still shows one that died.
#[test]
fn the_vm_list_never_takes_away_a_node_that_is_heard() {
    let mut fleet = calm_domain(6);
    let before = fleet.nodes[5].live_changes;
    fleet.vm_list.drain(0..2);
    fleet.run(20 * SECOND);
    assert_eq!(fleet.nodes[5].live_changes, before);
    fleet.nodes[3].is_dead = true;
    fleet.run(20 * SECOND);
    assert!(fleet.agrees_on_live());
}

// A VM starts while the VM list is out. It knows two addresses from its settings, of which one is
// of another failure domain and one of a node that is gone.
#[test]
fn a_node_finds_the_others_by_one_address_while_the_vm_list_is_out() {
    let mut fleet = Fleet::new(2, 4, 3);
    fleet.run(10 * SECOND);
    fleet.is_vm_list_out = true;
    fleet.nodes[2].is_dead = true;
    fleet.run(10 * SECOND);
    let at = fleet.add_node(0, 9);
    let addresses = [2, 1].map(|known| fleet.nodes[known].address.clone());
    let seeds = MembershipEvent::Seeds {
        addresses: addresses.to_vec(),
    };
    fleet.tell(at, seeds);
    fleet.run(10 * SECOND);
    assert!(fleet.agrees_on_live());
    assert_eq!(fleet.nodes[at].membership.status().domains.len(), 2);
}

// The platform says that a VM will be taken away. The node still finishes its requests and is
// heard, but it should own no engine when it goes.
#[test]
fn a_node_whose_vm_is_leaving_owns_nothing_and_is_still_heard() {
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

// A node shuts down in order. Its engines must find new owners before its process ends.
#[test]
fn a_node_that_shuts_down_is_out_of_the_live_nodes_at_once() {
    let mut fleet = calm_domain(12);
    let leaving = fleet.nodes[4].id.clone();
    let state = MembershipEvent::OwnState {
        is_ready: false,
        is_leaving: true,
    };
    fleet.tell(4, state);
    let taken = fleet.run_until(30 * SECOND, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|node| node.live.iter().all(|live| live.node != leaving))
    });
    assert!(taken <= SECOND, "{taken:?}");
}

// Failure domain 1 is cut off from 0 and 2 for ten minutes. Each goes on with its own nodes, the
// operators see who is out of reach, and after the heal all see each other again within seconds.
#[test]
fn domains_that_are_cut_off_go_on_and_find_each_other_again() {
    let mut fleet = Fleet::new(3, 4, 5);
    fleet.run(20 * SECOND);
    let before = live_changes(&fleet);
    fleet.passes = |a, b| (a.domain == 1) == (b.domain == 1);
    fleet.run(600 * SECOND);
    assert_eq!(live_changes(&fleet), before);
    let status = fleet.nodes[0].membership.status();
    assert_eq!(status.domains[1].failure_domain, domain_name(1));
    assert_eq!(status.domains[1].unreachable.len(), 4);
    assert_eq!(status.domains[2].unreachable, []);
    fleet.passes = |_, _| true;
    let healed = fleet.run_until(60 * SECOND, |fleet| {
        let mut nodes = fleet.nodes.iter();
        nodes.all(|n| {
            n.membership
                .status()
                .domains
                .iter()
                .all(|d| d.unreachable.is_empty())
        })
    });
    assert!(healed <= 10 * SECOND, "{healed:?}");
    assert_eq!(live_changes(&fleet), before);
}
