//! What a node says of itself and of the fleet.

use std::collections::BTreeMap;

use nutmegsail_base::{FailureDomain, NodeId};
use nutmegsail_config::{Digest, Generation};
use serde::{Deserialize, Serialize};

/// A node's answer to `GET /operators/status`. Fields that this program does not know are left out.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The node.
    pub node: NodeId,
    /// Where it stands.
    pub failure_domain: FailureDomain,
    /// The generation that it runs; 0 if it knows no text.
    pub generation: Generation,
    /// The digest of the text that it runs; empty if it knows none.
    pub digest: Digest,
    /// Whether it takes requests.
    pub is_ready: bool,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// What it knows of each failure domain.
    #[serde(default)]
    pub domains: Vec<DomainStatus>,
}

/// What a node knows of the nodes of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// How many nodes it has.
    pub nodes: u32,
    /// How many nodes run each generation.
    pub at_generation: BTreeMap<Generation, u32>,
    /// Nodes that cannot be reached.
    pub unreachable: Vec<NodeId>,
}

impl DomainStatus {
    /// How many nodes run `generation` or a later one.
    pub fn nodes_at(&self, generation: Generation) -> u32 {
        self.at_generation
            .range(generation..)
            .map(|(_, nodes)| nodes)
            .sum()
    }

    /// Whether every node was seen to run `generation` or a later one.
    pub fn is_in_force(&self, generation: Generation) -> bool {
        self.unreachable.is_empty() && self.nodes_at(generation) >= self.nodes
    }
}
