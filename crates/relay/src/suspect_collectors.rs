//! Which nodes collect the strikes against a trait of requests.

use std::collections::BTreeMap;

use nutmegsail_base::FailureDomain;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{NodeRecord, SuspectTrait};

/// Returns the node of each failure domain with the highest hash for `suspect`. Nodes with the same
/// view choose the same ones, and a failure domain that is cut off still has one of its own.
///
/// ```
/// use nutmegsail_relay::{NodeRecord, SuspectTrait, collectors_of};
/// let node = |name: &str, domain: &str| NodeRecord {
///     node: name.into(),
///     failure_domain: domain.into(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     forward_address: None,
///     out_of_reach: Vec::new(),
/// };
/// let nodes = [node("east-1", "east"), node("east-2", "east"), node("west-1", "west")];
/// let collectors = collectors_of(&SuspectTrait::PromptPart(7), &nodes);
/// assert_eq!(collectors.len(), 2);
/// assert_eq!(collectors[1].node.as_str(), "west-1");
/// ```
pub fn collectors_of<'a>(
    suspect: &SuspectTrait,
    nodes: impl IntoIterator<Item = &'a NodeRecord>,
) -> Vec<&'a NodeRecord> {
    let seed = suspect.to_hash();
    let hash = |node: &NodeRecord| xxh3_64_with_seed(node.node.as_bytes(), seed);
    let mut collectors: BTreeMap<&FailureDomain, (u64, &NodeRecord)> = BTreeMap::new();
    for node in nodes {
        let candidate = (hash(node), node);
        collectors
            .entry(&node.failure_domain)
            .and_modify(|best| {
                if candidate.0 > best.0 {
                    *best = candidate;
                }
            })
            .or_insert(candidate);
    }
    collectors.into_values().map(|(_, node)| node).collect()
}
