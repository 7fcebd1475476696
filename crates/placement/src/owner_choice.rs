//! The choice of the node that owns an engine, and of its fencing token.

use nutmegsail_base::NodeId;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Chooses one of `nodes` for `key` by rendezvous hashing: when a node joins or leaves, only the
/// keys that move to or from it change nodes.
///
/// ```
/// use nutmegsail_base::NodeId;
/// use nutmegsail_placement::first_choice;
///
/// let nodes = [NodeId::from("a"), NodeId::from("b")];
/// let again = [NodeId::from("b"), NodeId::from("a")];
/// assert_eq!(first_choice("engine:1", &nodes), first_choice("engine:1", &again));
/// assert_eq!(first_choice("engine:1", &[]), None);
/// ```
pub fn first_choice<'a>(key: &str, nodes: &'a [NodeId]) -> Option<&'a NodeId> {
    nodes
        .iter()
        .max_by_key(|node| (rendezvous_score(key, node), node.as_str()))
}

/// The score of `candidate` for `key`; the highest one wins.
pub(crate) fn rendezvous_score(key: &str, candidate: &str) -> u64 {
    xxh3_64_with_seed(candidate.as_bytes(), xxh3_64(key.as_bytes()))
}

/// A fencing token above `seen` that differs from the one that any other node would choose after
/// `seen`.
///
/// The upper 32 bits count takeovers, the lower 32 bits are a hash of the node. Otherwise two nodes
/// that take over an engine at the same time without the key-value service would choose the same
/// token, and the engine would obey both.
///
/// ```
/// use nutmegsail_base::NodeId;
/// use nutmegsail_placement::next_fence;
///
/// let (a, b) = (NodeId::from("a"), NodeId::from("b"));
/// let first = next_fence(0, &a);
/// assert!(next_fence(first, &b) > first);
/// assert_ne!(next_fence(first, &a), next_fence(first, &b));
/// ```
pub fn next_fence(seen: u64, node: &NodeId) -> u64 {
    let takeover = (seen >> 32) + 1;
    let tie_break = xxh3_64(node.as_bytes()) & 0xffff_ffff;
    (takeover << 32) | tie_break
}
