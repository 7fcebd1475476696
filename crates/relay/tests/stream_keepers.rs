//! Which nodes keep a stream.

use std::collections::BTreeSet;

use nutmegsail_relay::{KeeperCounts, Peer, StreamKey, is_stream_keeper, stream_keepers};
use proptest::prelude::*;
use proptest::sample::Index;

const NOTIFIED: usize = KeeperCounts::NOTIFIED.own_domain;

fn nodes(names: &BTreeSet<u16>, domains: usize) -> Vec<Peer> {
    let domain = |place: usize| format!("d{}", place % domains);
    let peer = |(place, name): (usize, &u16)| Peer {
        node: format!("n{name}").as_str().into(),
        failure_domain: domain(place).as_str().into(),
        address: ([10, 0, 0, 1], 80).into(),
        forward_address: ([10, 0, 0, 1], 81).into(),
    };
    names.iter().enumerate().map(peer).collect()
}

fn key(stream: u32) -> StreamKey {
    StreamKey::of(None, &format!("s{stream}").as_str().into())
}

fn own(peer: &Peer) -> (&nutmegsail_base::NodeId, &nutmegsail_base::FailureDomain) {
    (&peer.node, &peer.failure_domain)
}

/// The nodes of a failure domain that take themselves for one of the first `count` keepers.
fn keepers_in(domain: &Peer, stream: u32, nodes: &[Peer], count: usize) -> BTreeSet<String> {
    let near = nodes
        .iter()
        .filter(|peer| peer.failure_domain == domain.failure_domain);
    let keepers = near.filter(|peer| is_stream_keeper(&key(stream), own(peer), nodes, count));
    keepers.map(|peer| peer.node.to_string()).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(500))]

    // Guards against streams that no node writes to the store, or all nodes do.
    #[test]
    fn nodes_with_the_same_list_agree_on_the_keepers(
        names in prop::collection::btree_set(any::<u16>(), 2..60),
        domains in 1..6_usize,
        notifier in any::<Index>(),
        stream in any::<u32>(),
    ) {
        let nodes = nodes(&names, domains);
        let notifier = notifier.get(&nodes);
        let near = nodes.iter().filter(|peer| peer.failure_domain == notifier.failure_domain);
        let expected = near.count().min(NOTIFIED);
        let keepers = keepers_in(notifier, stream, &nodes, NOTIFIED);
        prop_assert_eq!(keepers.len(), expected);
        let first = keepers_in(notifier, stream, &nodes, 1);
        prop_assert_eq!(first.len(), 1);
        prop_assert!(first.is_subset(&keepers));

        let notified = stream_keepers(&key(stream), own(notifier), &nodes, KeeperCounts::NOTIFIED);
        prop_assert!(notified.iter().all(|peer| peer.failure_domain == notifier.failure_domain));
        let notified: BTreeSet<String> = notified.iter().map(|peer| peer.node.to_string()).collect();
        let mut others = keepers;
        others.remove(notifier.node.as_str());
        prop_assert_eq!(notified, others);
    }

    // Guards against a node that leaves, at which the keepers of streams change that it did not keep.
    #[test]
    fn keepers_stay_when_another_node_leaves(
        names in prop::collection::btree_set(any::<u16>(), 2..60),
        (notifier, gone) in any::<(Index, Index)>(),
        stream in any::<u32>(),
    ) {
        let all = nodes(&names, 1);
        let (notifier, gone) = (notifier.get(&all), gone.get(&all));
        let keepers = keepers_in(notifier, stream, &all, NOTIFIED);
        let left: Vec<Peer> = all.iter().filter(|peer| *peer != gone).cloned().collect();
        let later = keepers_in(notifier, stream, &left, NOTIFIED);
        if keepers.contains(gone.node.as_str()) {
            let kept = keepers.iter().filter(|node| **node != *gone.node.as_str());
            prop_assert!(kept.cloned().collect::<BTreeSet<_>>().is_subset(&later));
        } else {
            prop_assert_eq!(keepers, later);
        }
    }
}

// Guards against a fleet in which every node writes to the store.
#[test]
fn a_third_of_the_nodes_keep_streams() {
    let nodes = nodes(&(0..600).collect(), 1);
    let counts = KeeperCounts {
        own_domain: NOTIFIED,
        other_domains: 0,
    };
    let keep = |stream: u32| {
        let keepers = stream_keepers(&key(stream), own(&nodes[0]), &nodes, counts);
        keepers.into_iter().map(|peer| peer.node.to_string())
    };
    let keepers: BTreeSet<String> = (0..3_000).flat_map(keep).collect();
    assert!((150..=250).contains(&keepers.len()), "{}", keepers.len());
}

// Guards against streams whose only keeper has ended: while the store cannot be read, its list still names that node, and the
// node at which the streams began may end too.
#[test]
fn streams_have_a_keeper_left_although_a_listed_node_has_ended() {
    let names = BTreeSet::from([1, 2, 3]);
    let nodes = nodes(&names, 1);
    let (ended, notifier, left) = (&nodes[0], &nodes[1], &nodes[2]);
    let counts = KeeperCounts::NOTIFIED_WITHOUT_STORE;
    for stream in 0..200 {
        let keepers = stream_keepers(&key(stream), own(notifier), &nodes, counts);
        assert!(keepers.contains(&left), "{ended:?} alone keeps {stream}");
    }
}
