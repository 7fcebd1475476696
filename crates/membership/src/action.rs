//! The actions that the membership core returns.

use std::sync::Arc;
use std::time::Duration;

use nutmegsail_base::{FailureDomain, Incarnation, NodeId, UpstreamId};

use crate::{DomainSummary, Heartbeat};

/// An action that the caller of [`Membership::handle`](crate::Membership::handle) must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipAction {
    /// Send a heartbeat to each address.
    SendHeartbeat {
        /// The addresses.
        to: Vec<Arc<str>>,
        /// The heartbeat.
        heartbeat: Heartbeat,
    },
    /// Send a summary of the own failure domain to each address.
    SendSummary {
        /// The addresses.
        to: Vec<Arc<str>>,
        /// The summary.
        summary: DomainSummary,
    },
    /// Close the connection to an address. A later message to it connects again.
    Disconnect {
        /// The address.
        address: Arc<str>,
    },
    /// The nodes of the own failure domain that may own engines have changed.
    LiveNodesChanged {
        /// All of them, sorted by name, including this node if it is ready.
        nodes: Vec<LiveNode>,
    },
    /// Read the platform's VM list and pass it in as
    /// [`VmListRead`](crate::MembershipEvent::VmListRead).
    AskVmList,
    /// An upstream is leaving and must get no new work.
    UpstreamLeaving {
        /// The upstream.
        upstream: UpstreamId,
        /// The incarnation that is leaving, if known.
        incarnation: Option<Incarnation>,
    },
    /// An upstream is no longer leaving, or its notice has expired.
    UpstreamStaying {
        /// The upstream.
        upstream: UpstreamId,
    },
    /// Another node runs a newer generation of the operators' text than this one.
    GenerationSeen {
        /// The node.
        peer: NodeId,
        /// The address to fetch the text from.
        address: Arc<str>,
        /// The generation.
        generation: u64,
        /// Its digest.
        digest: Arc<str>,
    },
    /// Log a note for operators.
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

/// A change in membership that is logged for operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MembershipNote {
    /// A node became known for the first time.
    PeerJoined(NodeId),
    /// No new heartbeat of a node was received for `unreachable_after_ms`.
    PeerUnreachable(NodeId),
    /// An unreachable node is reachable again.
    PeerReturned(NodeId),
    /// A node was removed after being unreachable for `removed_after_ms`.
    PeerRemoved(NodeId),
    /// A node's process was replaced by a new incarnation.
    PeerRestarted(NodeId),
    /// A node is shutting down.
    PeerLeaving(NodeId),
    /// Most nodes became unreachable at once. They still count as live for `mass_hold_ms`.
    RemovalHeld {
        /// How many nodes are silent.
        nodes: usize,
    },
    /// No new summary of a failure domain was received for `domain_unreachable_after_ms`.
    DomainUnreachable(FailureDomain),
    /// An unreachable failure domain is reachable again.
    DomainReturned(FailureDomain),
    /// This node's process was paused.
    OwnPause {
        /// For how long.
        paused: Duration,
    },
    /// The VM list marks this node's own VM as leaving.
    OwnVmLeaving,
    /// Another process uses this node's name.
    NameTaken {
        /// The other process's address.
        address: Arc<str>,
    },
}
