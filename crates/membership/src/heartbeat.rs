//! What nodes tell each other about nodes, failure domains and upstreams.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A node's sign of life to another node, with what it knows of third ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub failure_domain: FailureDomain,
    /// The sender's `host:port` for other nodes.
    pub address: Arc<str>,
    /// How often the sender's own clock has ticked in this incarnation. It only rises.
    pub beat: u64,
    /// How far the sender's process is in its life.
    pub state: NodeState,
    /// Whether the sender knows too little yet and wants the whole list of its domain back.
    pub wants_roster: bool,
    /// Whether `introductions` is that whole list.
    pub is_roster: bool,
    /// The generation of the operators' text in force on the sender; 0 for none.
    pub generation: u64,
    /// The digest of that text; empty for none.
    #[serde(with = "crate::digest_codec")]
    pub digest: Arc<str>,
    /// Nodes of its failure domain that the receiver may not know.
    pub introductions: Vec<PeerBeat>,
    /// What the sender knows of other nodes of its failure domain, a bounded choice.
    pub beats: Vec<KeyedBeat>,
    /// What the sender knows of other failure domains, a bounded choice.
    pub summaries: Vec<DomainSummary>,
    /// What the sender heard of upstreams a short while ago, bounded.
    pub upstreams: Vec<UpstreamNotice>,
}

impl Heartbeat {
    pub(crate) fn sender_beat(&self, node: NodeId, incarnation: Incarnation) -> PeerBeat {
        PeerBeat {
            node,
            incarnation,
            beat: self.beat,
            state: self.state,
            generation: self.generation,
            address: Some(Arc::clone(&self.address)),
        }
    }
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
    /// How far its process is in its life.
    pub state: NodeState,
    /// Its generation as of that beat.
    pub generation: u64,
    /// Its `host:port`, if known.
    pub address: Option<Arc<str>>,
}

/// The same in a third of the bytes, for a receiver that knows the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedBeat {
    /// Stands for the node and its incarnation.
    pub key: BeatKey,
    /// The highest beat known.
    pub beat: u64,
    /// How far the node's process is in its life.
    pub state: NodeState,
    /// Its generation as of that beat.
    pub generation: u64,
}

/// How far a node's process is in its life.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
)]
#[display(rename_all = "lowercase")]
pub enum NodeState {
    /// It does not answer callers yet.
    #[default]
    Starting,
    /// It answers callers.
    Ready,
    /// It is shutting down.
    Leaving,
}

/// A hash that stands for a node and its incarnation among the few dozen of a failure domain.
///
/// Two nodes with one key are told apart by sending neither by its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BeatKey([u8; 4]);

impl BeatKey {
    /// The key of a node and its incarnation.
    ///
    /// ```
    /// use nutmegsail_base::Incarnation;
    /// use nutmegsail_membership::BeatKey;
    ///
    /// let node = "negril-1".into();
    /// assert_ne!(BeatKey::new(&node, Incarnation(1)), BeatKey::new(&node, Incarnation(2)));
    /// ```
    pub fn new(node: &NodeId, incarnation: Incarnation) -> Self {
        let hash = xxh3_64_with_seed(node.as_bytes(), incarnation.0);
        let [a, b, c, d, ..] = hash.to_le_bytes();
        Self([a, b, c, d])
    }
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
    #[serde(with = "crate::digest_codec")]
    pub digest: Arc<str>,
    /// The generation of that digest.
    pub generation: u64,
    /// Nodes of the domain that may be written to, bounded; the one that made the summary first.
    pub contacts: Vec<Contact>,
    /// What the domain heard of upstreams a short while ago, bounded.
    pub upstreams: Vec<UpstreamNotice>,
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
