//! The choice of the node that grants the slots, turns or prompts of an upstream.

use std::collections::HashMap;
use std::net::SocketAddr;

use nutmegsail_base::{FailureDomain, NodeId, UpstreamId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{NodeRecord, Upstream};

/// The node chosen for one upstream.
#[derive(Clone, Debug)]
struct Chosen {
    failure_domain: FailureDomain,
    node: NodeId,
}

/// Chooses a node for each upstream by hash, so that nodes with the same list of nodes choose alike
/// without a message.
///
/// The node with the highest hash in the upstream's failure domain is chosen, or in any other if
/// that one has no nodes. In a large fleet, hashing every node for every upstream would cost more
/// than the slots are worth, so that a change of the list costs one hash for each upstream and
/// changed node.
///
/// ```
/// use nutmegsail_relay::SlotIssuers;
/// let mut issuers = SlotIssuers::default();
/// issuers.set_nodes(&std::collections::HashMap::new());
/// issuers.retain(|_| false);
/// ```
#[derive(Clone, Debug, Default)]
pub struct SlotIssuers {
    nodes: HashMap<NodeId, NodeRecord>,
    chosen: HashMap<UpstreamId, Chosen>,
}

impl SlotIssuers {
    /// Replaces the list of nodes.
    pub fn set_nodes(&mut self, nodes: &HashMap<NodeId, NodeRecord>) {
        if self.nodes == *nodes {
            return;
        }
        let is_same = |before: Option<&NodeRecord>, now: Option<&NodeRecord>| match (before, now) {
            (Some(before), Some(now)) => before.failure_domain == now.failure_domain,
            _ => false,
        };
        let known = &self.nodes;
        let changed: Vec<&NodeRecord> = { nodes.values() }
            .filter(|node| !is_same(known.get(&node.node), Some(node)))
            .collect();
        self.chosen
            .retain(|_, chosen| is_same(known.get(&chosen.node), nodes.get(&chosen.node)));
        for (upstream, chosen) in &mut self.chosen {
            let candidates = changed.iter().copied().chain(nodes.get(&chosen.node));
            if let Some(best) = best_node(upstream, &chosen.failure_domain, candidates) {
                chosen.node = best.node.clone();
            }
        }
        self.nodes.clone_from(nodes);
    }

    /// Where the node chosen for `upstream` is reached; `None` if no node is listed.
    pub fn issuer(&mut self, upstream: &Upstream) -> Option<SocketAddr> {
        if let Some(chosen) = self.chosen.get(&upstream.id) {
            return self.nodes.get(&chosen.node).map(|node| node.address);
        }
        let failure_domain = upstream.failure_domain.clone();
        let best = best_node(&upstream.id, &failure_domain, self.nodes.values())?;
        let chosen = Chosen {
            failure_domain,
            node: best.node.clone(),
        };
        let address = best.address;
        self.chosen.insert(upstream.id.clone(), chosen);
        Some(address)
    }

    /// Forgets the upstreams that are not listed.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.chosen.retain(|upstream, _| is_listed(upstream));
    }
}

fn best_node<'a>(
    upstream: &UpstreamId,
    failure_domain: &FailureDomain,
    nodes: impl Iterator<Item = &'a NodeRecord>,
) -> Option<&'a NodeRecord> {
    let seed = xxh3_64_with_seed(upstream.as_bytes(), 0);
    nodes.max_by_key(|node| {
        let is_local = node.failure_domain == *failure_domain;
        (is_local, xxh3_64_with_seed(node.node.as_bytes(), seed))
    })
}
