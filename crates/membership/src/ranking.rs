//! Which nodes speak for their failure domain.

use nutmegsail_base::{FailureDomain, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Whether `node` is one of the `delegates` lowest of `nodes` by rendezvous hashing.
///
/// Every node works this out by itself. Two nodes that know different peers may disagree for a
/// while; then there are some delegates more or fewer, which costs messages and no correctness.
pub(crate) fn is_delegate<'a>(
    node: &NodeId,
    nodes: impl Iterator<Item = &'a NodeId>,
    failure_domain: &FailureDomain,
    delegates: usize,
) -> bool {
    let own = rank(node, failure_domain);
    let before = nodes.filter(|other| rank(other, failure_domain) < own);
    before.take(delegates).count() < delegates
}

fn rank(node: &NodeId, failure_domain: &FailureDomain) -> u64 {
    let key = format!("{failure_domain}\n{node}");
    xxh3_64(key.as_bytes())
}
