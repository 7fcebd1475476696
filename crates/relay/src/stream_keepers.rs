//! Which nodes know where a stream began.

use nutmegsail_base::{FailureDomain, NodeId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{Peer, StreamKey};

/// How many nodes keep a stream, or are asked for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeeperCounts {
    /// In the failure domain of this node.
    pub own_domain: usize,
    /// In each other failure domain.
    pub other_domains: usize,
}

impl KeeperCounts {
    /// The nodes that are told of a stream: two near, and one in each other failure domain, as any of
    /// these may be all that a caller reaches later.
    pub const TOLD: Self = Self {
        own_domain: 2,
        other_domains: 1,
    };

    /// The nodes that are asked for a stream: one more of each, as a node that was told may be gone,
    /// or was not known where the stream began.
    pub const ASKED: Self = Self {
        own_domain: 3,
        other_domains: 2,
    };
}

/// Returns the nodes that keep a stream, out of `peers`. Nodes with the same list agree on them: in
/// each failure domain those with the highest hash. The node itself counts, and is left out.
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
/// assert_eq!(stream_keepers(&key, own, &peers, KeeperCounts::TOLD).len(), 2);
/// assert_eq!(stream_keepers(&key, own, &peers, KeeperCounts::ASKED).len(), 3);
/// ```
pub fn stream_keepers<'a>(
    key: &StreamKey,
    (own_node, own_domain): (&NodeId, &FailureDomain),
    peers: &'a [Peer],
    counts: KeeperCounts,
) -> Vec<&'a Peer> {
    let mut ranked: Vec<(u64, &Peer)> = peers
        .iter()
        .filter(|peer| peer.node != *own_node)
        .map(|peer| (rank(key, &peer.node), peer))
        .collect();
    ranked.sort_by_key(|(rank, _)| std::cmp::Reverse(*rank));
    let own_rank = rank(key, own_node);
    let mut keepers: Vec<&Peer> = Vec::new();
    for (rank, peer) in ranked {
        let domain = &peer.failure_domain;
        let chosen = keepers.iter().filter(|kept| kept.failure_domain == *domain);
        let chosen = chosen.count();
        let limit = match domain == own_domain {
            true => counts.own_domain - usize::from(own_rank > rank),
            false => counts.other_domains,
        };
        if chosen < limit {
            keepers.push(peer);
        }
    }
    keepers
}

fn rank(key: &StreamKey, node: &NodeId) -> u64 {
    let mut bytes = key.as_bytes().to_vec();
    bytes.extend_from_slice(node.as_str().as_bytes());
    xxh3_64(&bytes)
}
