//! What the membership core wants done.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use crate::{DomainSummary, Heartbeat};

/// What the membership core wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat to each address.
    SendHeartbeat {
        /// The addresses.
        to: Vec<Arc<str>>,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Send this failure domain's account of itself to each address.
    SendSummary {
        /// The addresses.
        to: Vec<Arc<str>>,
        /// The account.
        summary: DomainSummary,
    },
    /// Drop the connection to an address; a later message dials it anew.
    Disconnect {
        /// The address.
        address: Arc<str>,
    },
    /// The nodes of the own failure domain that may own engines have changed.
    LiveNodesChanged {
        /// All of them, this node among them if it is ready, in order of their names.
        nodes: Vec<LiveNode>,
    },
    /// Read the platform's VM list.
    AskVmList,
    /// An upstream is leaving: no new work for it.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// The incarnation that is leaving, if known.
        incarnation: Option<Incarnation>,
    },
    /// An upstream that was leaving is not, or nothing was heard of it for a long time.
    UpstreamStaying {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Another node runs a newer generation of the operators' text.
    GenerationSeen {
        /// The node.
        peer: NodeId,
        /// Where it is asked for the text.
        address: Arc<str>,
        /// The generation.
        generation: u64,
        /// Its digest.
        digest: Arc<str>,
    },
    /// Something that operators may want to read in the log.
    Report(MembershipNote),
}

/// A node of the own failure domain that may own engines.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct LiveNode {
    /// The node.
    pub node: NodeId,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// Its `host:port` for other nodes.
    pub address: Arc<str>,
}

/// Something that operators may want to read in the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipNote {
    /// A node was heard of for the first time.
    PeerJoined(NodeId),
    /// A node has been silent for too long.
    PeerUnreachable(NodeId),
    /// An unreachable node was heard of again.
    PeerReturned(NodeId),
    /// An unreachable node was given up.
    PeerRemoved(NodeId),
    /// A node runs as a new incarnation.
    PeerRestarted(NodeId),
    /// A node is shutting down.
    PeerLeaving(NodeId),
    /// Most nodes vanished at once; they go on counting as live for a while.
    RemovalHeld {
        /// How many nodes vanished.
        nodes: usize,
    },
    /// A failure domain has been silent for too long.
    DomainUnreachable(FailureDomain),
    /// A silent failure domain was heard again.
    DomainReturned(FailureDomain),
    /// This node did not run for a while.
    OwnPause {
        /// For how long.
        paused: Duration,
    },
    /// The platform is about to take this node's own VM away.
    OwnVmLeaving,
    /// Another process uses this node's name.
    NameTaken {
        /// The other process's address.
        address: Arc<str>,
    },
}
