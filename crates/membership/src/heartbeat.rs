//! What nodes tell each other about nodes, failure domains and upstreams.

use std::sync::Arc;

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};
use serde::{Deserialize, Serialize};

/// A node's sign of life to another node, with what it knows of third ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub failure_domain: FailureDomain,
    /// The sender's `host:port` for other nodes.
    pub address: Arc<str>,
    /// How often the sender's own clock has ticked in this incarnation. It only rises.
    pub beat: u64,
    /// Whether the sender answers callers.
    pub is_ready: bool,
    /// Whether the sender is shutting down.
    pub is_leaving: bool,
    /// Whether the sender knows too little yet and wants the whole list of its domain back.
    pub wants_roster: bool,
    /// The generation of the operators' text in force on the sender; 0 for none.
    pub generation: u64,
    /// The digest of that text; empty for none.
    pub digest: Arc<str>,
    /// What the sender knows of other nodes of its failure domain, a bounded choice.
    pub peers: Vec<PeerBeat>,
    /// What the sender knows of other failure domains, a bounded choice.
    pub summaries: Vec<DomainSummary>,
    /// What the sender heard of upstreams a short while ago, bounded.
    pub upstreams: Vec<UpstreamNotice>,
}

/// What one node says of another one in its failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBeat {
    /// The node.
    pub node: NodeId,
    /// Its incarnation; a later one is larger.
    pub incarnation: Incarnation,
    /// The highest beat known.
    pub beat: u64,
    /// Whether it answers callers.
    pub is_ready: bool,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Its generation as of that beat.
    pub generation: u64,
    /// Its `host:port`, only while the node is new to its domain.
    pub address: Option<Arc<str>>,
}

/// What a failure domain tells the others about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// How long ago the summary was made, in milliseconds.
    pub age_ms: u32,
    /// How many nodes the domain has, those out of reach among them.
    pub nodes: u32,
    /// How many nodes run each generation, the highest generations first, bounded.
    pub at_generation: Vec<GenerationCount>,
    /// Nodes out of reach, bounded.
    pub unreachable: Vec<NodeId>,
    /// The digest of the highest generation that the node which made the summary runs.
    pub digest: Arc<str>,
    /// The generation of that digest.
    pub generation: u64,
    /// Nodes of the domain that may be written to, bounded.
    pub contacts: Vec<Contact>,
}

/// How many nodes run a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GenerationCount {
    /// The generation.
    pub generation: u64,
    /// How many nodes run it.
    pub nodes: u32,
}

/// A node and where it is reached.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Contact {
    /// The node.
    pub node: NodeId,
    /// Its `host:port` for other nodes.
    pub address: Arc<str>,
}

/// That an upstream is leaving, or that it is not.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamNotice {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The incarnation that the notice is about, if known.
    pub incarnation: Option<Incarnation>,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// How long ago this was observed, in milliseconds.
    pub age_ms: u32,
}
