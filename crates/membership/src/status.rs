//! The status report for operators.

use std::collections::BTreeMap;
use std::sync::Arc;

use nutmegsail_base::{FailureDomain, NodeId};
use serde::{Deserialize, Serialize};

/// A node's view of the deployment, as `nutmegsail status` prints it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node that reports.
    pub node: NodeId,
    /// Its failure domain.
    pub failure_domain: FailureDomain,
    /// The generation in force on it, or 0 for none.
    pub generation: u64,
    /// The digest of that generation.
    pub digest: Arc<str>,
    /// Whether it answers callers.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Every failure domain known to the node, sorted by name.
    pub domains: Vec<DomainStatus>,
}

/// A node's view of one failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// The number of its nodes, including unreachable ones.
    pub nodes: u32,
    /// How many reachable nodes run each generation.
    pub at_generation: BTreeMap<u64, u32>,
    /// Its unreachable nodes. All known nodes if the domain itself is unreachable.
    pub unreachable: Vec<NodeId>,
}
