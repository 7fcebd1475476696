//! The choice of the delegates, which send summaries of their failure domain.

use nutmegsail_base::{FailureDomain, NodeId};
use xxhash_rust::xxh3::xxh3_64;

/// Whether fewer than `delegates` of the other `nodes` rank below `node` by rendezvous hashing.
///
/// Every node computes this for itself. Nodes that know different peers may disagree for a while,
/// so that there are more or fewer delegates. That affects the number of messages but not
/// correctness.
pub(crate) fn is_delegate<'a>(
    node: &NodeId,
    nodes: impl Iterator<Item = &'a NodeId>,
    failure_domain: &FailureDomain,
    delegates: usize,
) -> bool {
    let own = rendezvous_hash(node, failure_domain);
    let lower_ranked = nodes.filter(|other| rendezvous_hash(other, failure_domain) < own);
    lower_ranked.take(delegates).count() < delegates
}

fn rendezvous_hash(node: &NodeId, failure_domain: &FailureDomain) -> u64 {
    let key = format!("{failure_domain}\n{node}");
    xxh3_64(key.as_bytes())
}
