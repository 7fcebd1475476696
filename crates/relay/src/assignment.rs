//! Which node claims which engine.

use std::collections::HashMap;
use std::net::SocketAddr;

use nutmegsail_base::{FailureDomain, NodeId, ServiceName, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::Upstream;

/// A node as other nodes see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The node's id.
    pub node: NodeId,
    /// The failure domain it runs in.
    pub failure_domain: FailureDomain,
    /// Where other nodes reach it.
    pub address: SocketAddr,
    /// Where it accepts requests that other nodes forward.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub forward_address: Option<SocketAddr>,
    /// Services of which it has not reached any upstream for a while. It owns none of their engines.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub out_of_reach: Vec<ServiceName>,
}

impl NodeRecord {
    /// Whether the node can own engines of `service`.
    pub fn reaches(&self, service: &ServiceName) -> bool {
        !self.out_of_reach.contains(service)
    }
}

/// Returns the unowned engines that `node` should claim.
///
/// In the order of their ids, each engine goes to the node of its failure domain that owns the
/// fewest, so that nodes with the same view claim different engines without coordination. Nodes
/// that cannot reach an engine's service are left out. Engines in a failure domain without other
/// nodes can go to any node. Views differ for some milliseconds; the
/// compare-and-swap at the store resolves conflicting claims.
pub fn unowned_to_claim(
    node: &NodeId,
    nodes: &[NodeRecord],
    engines: &[&Upstream],
    owners: &HashMap<UpstreamId, NodeId>,
) -> Vec<UpstreamId> {
    let mut owned: HashMap<&NodeId, usize> = nodes.iter().map(|record| (&record.node, 0)).collect();
    for owner in owners.values() {
        if let Some(count) = owned.get_mut(owner) {
            *count += 1;
        }
    }
    let mut unowned: Vec<&&Upstream> = engines
        .iter()
        .filter(|engine| !owners.contains_key(&engine.id))
        .collect();
    unowned.sort_by(|a, b| a.id.cmp(&b.id));
    let mut mine = Vec::new();
    for engine in unowned {
        let able = nodes
            .iter()
            .filter(|record| record.reaches(&engine.service));
        let is_near = |record: &&NodeRecord| record.failure_domain == engine.failure_domain;
        let has_near = able.clone().any(|record| is_near(&record));
        let next = able
            .filter(|record| !has_near || is_near(record))
            .min_by_key(|record| (owned[&record.node], &record.node));
        let Some(next) = next else { break };
        if let Some(count) = owned.get_mut(&next.node) {
            *count += 1;
        }
        if next.node == *node {
            mine.push(engine.id.clone());
        }
    }
    mine
}
