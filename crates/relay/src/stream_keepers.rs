//! Which nodes know where a stream began and write it to the store.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use nutmegsail_base::{FailureDomain, NodeId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Peer, StreamKey};

/// One node in so many is a registrar. With more registrars the store gets more writes, with fewer
/// each of them receives more bytes.
pub(crate) const NODES_PER_REGISTRAR: u64 = 3;

/// The fewest registrars of a failure domain, so that one of them may fail.
const MIN_REGISTRARS: usize = 2;

/// How many nodes keep a stream, or are queried for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperCounts {
    /// In the failure domain of this node.
    pub own_domain: usize,
    /// In each other failure domain.
    pub other_domains: usize,
}

impl KeeperCounts {
    /// The nodes that are notified of a stream. If its caller changes its failure domain, the stream is
    /// found by queries to nodes there, or in the store.
    pub const NOTIFIED: Self = Self {
        own_domain: 2,
        other_domains: 0,
    };

    /// The nodes that are notified while the store cannot be read: its list may hold a node that has
    /// ended, and the stream cannot be found in the store.
    pub const NOTIFIED_WITHOUT_STORE: Self = Self {
        own_domain: 3,
        other_domains: 0,
    };

    /// The nodes that are queried for a stream: one more of the own domain, as a node that was notified
    /// may be gone, or was not listed where the stream began.
    pub const QUERIED: Self = Self {
        own_domain: 3,
        other_domains: 2,
    };
}

/// Returns the nodes that keep a stream, out of `peers`. Nodes with the same list agree on them: in
/// each failure domain the registrars with the highest hash. The node itself counts, and is left out.
///
/// Registrars are a fixed share of all node ids and at least two of a failure domain, so that a node
/// that comes or goes hardly changes who else is one.
///
/// ```
/// use nutmegsail_relay::{KeeperCounts, Peer, StreamKey, stream_keepers};
/// let peer = |node: &str, domain: &str| Peer {
///     node: node.into(),
///     failure_domain: domain.into(),
///     address: ([10, 0, 0, 1], 80).into(),
///     forward_address: ([10, 0, 0, 1], 81).into(),
/// };
/// let peers = [peer("n2", "here"), peer("n3", "there"), peer("n4", "there")];
/// let key = StreamKey::of(None, &"0caa45a4".into());
/// let own = (&"n1".into(), &"here".into());
/// assert_eq!(stream_keepers(&key, own, &peers, KeeperCounts::NOTIFIED).len(), 1);
/// assert_eq!(stream_keepers(&key, own, &peers, KeeperCounts::QUERIED).len(), 3);
/// ```
pub fn stream_keepers<'a>(
    key: &StreamKey,
    (own_node, own_domain): (&NodeId, &FailureDomain),
    peers: &'a [Peer],
    counts: KeeperCounts,
) -> Vec<&'a Peer> {
    let others = peers.iter().filter(|peer| peer.node != *own_node);
    let others = others.map(|peer| (&peer.node, &peer.failure_domain, Some(peer)));
    let own = (own_node, own_domain, None);
    let mut domains: BTreeMap<&FailureDomain, Vec<(&NodeId, Option<&Peer>)>> = BTreeMap::new();
    for (node, domain, peer) in others.chain([own]) {
        domains.entry(domain).or_default().push((node, peer));
    }
    let keepers = domains.into_iter().flat_map(|(domain, nodes)| {
        let count = match domain == own_domain {
            true => counts.own_domain,
            false => counts.other_domains,
        };
        first_keepers(key, nodes, count)
    });
    keepers.flatten().collect()
}

/// Whether this node is one of the first `count` keepers of a stream that began in its failure domain,
/// by its list of `peers`.
///
/// ```
/// use nutmegsail_relay::{Peer, StreamKey, is_stream_keeper};
/// let peer = |node: &str| Peer {
///     node: node.into(),
///     failure_domain: "here".into(),
///     address: ([10, 0, 0, 1], 80).into(),
///     forward_address: ([10, 0, 0, 1], 81).into(),
/// };
/// let key = StreamKey::of(None, &"0caa45a4".into());
/// let (first, second) = ("n1".into(), "n2".into());
/// let first = (&first, &"here".into());
/// let second = (&second, &"here".into());
/// assert!(is_stream_keeper(&key, first, &[peer("n2")], 2));
/// assert!(is_stream_keeper(&key, second, &[peer("n1")], 2));
/// let is_first = is_stream_keeper(&key, first, &[peer("n2")], 1);
/// assert_ne!(is_first, is_stream_keeper(&key, second, &[peer("n1")], 1));
/// ```
pub fn is_stream_keeper(
    key: &StreamKey,
    (own_node, own_domain): (&NodeId, &FailureDomain),
    peers: &[Peer],
    count: usize,
) -> bool {
    let others = peers.iter().filter(|peer| peer.node != *own_node);
    let near = others.filter(|peer| peer.failure_domain == *own_domain);
    let nodes = near.map(|peer| (&peer.node, false));
    let mut keepers = first_keepers(key, nodes.chain([(own_node, true)]).collect(), count);
    keepers.any(|is_own| is_own)
}

/// The first `count` keepers of a stream: those of the registrars of a failure domain, of which there
/// are as many if the domain has so many nodes.
fn first_keepers<T>(
    key: &StreamKey,
    nodes: Vec<(&NodeId, T)>,
    count: usize,
) -> impl Iterator<Item = T> {
    let registrars = MIN_REGISTRARS.max(count);
    let mut nodes: Vec<(u64, &NodeId, T)> = nodes
        .into_iter()
        .map(|(node, item)| (xxh3_64(node.as_str().as_bytes()), node, item))
        .collect();
    nodes.sort_unstable_by_key(|(hash, node, _)| (*hash, *node));
    let mut ranked: Vec<(u64, T)> = nodes
        .into_iter()
        .enumerate()
        .filter(|(index, (hash, ..))| *index < registrars || *hash < u64::MAX / NODES_PER_REGISTRAR)
        .map(|(_, (_, node, item))| (rank(key, node), item))
        .collect();
    ranked.sort_by_key(|(rank, _)| Reverse(*rank));
    ranked.into_iter().map(|(_, item)| item).take(count)
}

fn rank(key: &StreamKey, node: &NodeId) -> u64 {
    let mut bytes = key.as_bytes().to_vec();
    bytes.extend_from_slice(node.as_str().as_bytes());
    xxh3_64(&bytes)
}
