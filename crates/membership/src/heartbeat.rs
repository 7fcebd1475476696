//! The messages by which nodes exchange the state of nodes, failure domains and upstreams.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// A periodic message that shows the sender is alive and carries what it knows of other nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The sender's failure domain.
    pub failure_domain: FailureDomain,
    /// The sender's `host:port` for other nodes.
    pub address: Arc<str>,
    /// A counter that the sender increments for each heartbeat of this incarnation.
    pub beat: u64,
    /// The state of the sender's process.
    pub state: NodeState,
    /// Whether the sender asks for the full list of nodes in its domain.
    pub wants_roster: bool,
    /// Whether `introductions` is that full list.
    pub is_roster: bool,
    /// The generation of the operators' text in force on the sender; 0 for none.
    pub generation: u64,
    /// The digest of that text; empty for none.
    #[serde(with = "crate::digest_codec")]
    pub digest: Arc<str>,
    /// Nodes of the sender's failure domain that the receiver may not know.
    pub introductions: Vec<PeerBeat>,
    /// The latest beats of some known nodes in the sender's failure domain, limited in number.
    pub beats: Vec<KeyedBeat>,
    /// The latest summaries of some other failure domains, limited in number.
    pub summaries: Vec<DomainSummary>,
    /// Recent notices about upstreams, limited in number except in a full list.
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

/// The latest beat and state of a node, as reported by itself or by another node of its domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerBeat {
    /// The node.
    pub node: NodeId,
    /// Its incarnation. Later incarnations have larger numbers.
    pub incarnation: Incarnation,
    /// The highest known beat.
    pub beat: u64,
    /// The state of its process.
    pub state: NodeState,
    /// Its generation as of that beat.
    pub generation: u64,
    /// Its `host:port`, if known.
    pub address: Option<Arc<str>>,
}

/// A [`PeerBeat`] in a third of its size, for receivers that already know the node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyedBeat {
    /// Identifies the node and its incarnation.
    pub key: BeatKey,
    /// The highest known beat.
    pub beat: u64,
    /// The state of the node's process.
    pub state: NodeState,
    /// Its generation as of that beat.
    pub generation: u64,
}

/// The state of a node's process.
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

/// A short hash that identifies a node and its incarnation within a failure domain of a few dozen
/// nodes.
///
/// If the keys of two nodes collide, both are sent as [`PeerBeat`] instead.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct BeatKey([u8; 4]);

impl BeatKey {
    /// Computes the key of a node and its incarnation.
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

/// The state of a failure domain, as its delegates send it to the other domains.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainSummary {
    /// The failure domain.
    pub failure_domain: FailureDomain,
    /// How long ago the summary was made, in milliseconds.
    pub age_ms: u32,
    /// The number of nodes in the domain, including unreachable ones.
    pub nodes: u32,
    /// How many nodes run each generation, limited to the highest generations, highest first.
    pub at_generation: Vec<GenerationCount>,
    /// Unreachable nodes, limited in number.
    pub unreachable: Vec<NodeId>,
    /// The digest of the generation in force on the author of the summary.
    #[serde(with = "crate::digest_codec")]
    pub digest: Arc<str>,
    /// The generation of that digest.
    pub generation: u64,
    /// Nodes of the domain that accept messages, limited in number. The author comes first.
    pub contacts: Vec<Contact>,
    /// Recent notices about upstreams, limited in number.
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

/// A node and its address.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Contact {
    /// The node.
    pub node: NodeId,
    /// Its `host:port` for other nodes.
    pub address: Arc<str>,
}

/// A notice that an upstream is leaving or that it is staying.
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
