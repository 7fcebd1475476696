//! The events that a node passes to [`super::Spread`].

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::NodeId;

use crate::{Digest, Generation, Head, StoredHead};

/// Where a head or a piece comes from.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum TextSource {
    /// The platform's key-value service.
    #[display("the store")]
    Store,
    /// Another node.
    #[display("node {_0}")]
    Peer(NodeId),
}

/// The live nodes that this node knows of. It may include the node itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveNodes {
    /// Nodes of its own failure domain.
    pub own_domain: Vec<NodeId>,
    /// Some nodes of other failure domains.
    pub elsewhere: Vec<NodeId>,
}

impl LiveNodes {
    /// Whether `node` is in either list.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.own_domain.contains(node) || self.elsewhere.contains(node)
    }
}

/// An event that a node passes to [`super::Spread`].
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadEvent {
    /// The store's head, from the answer to a read, a watch or a
    /// [`super::SpreadAction::RestoreHead`]; `None` if the store holds no head.
    StoreHead(Option<StoredHead>),
    /// A peer answered [`super::SpreadAction::AskHead`].
    PeerHead {
        /// The peer.
        peer: NodeId,
        /// Its head.
        head: Head,
    },
    /// A piece arrived from the store or a peer. It is identified by its computed digest, so a
    /// piece that does not belong to the text is ignored.
    PieceArrived(Arc<str>),
    /// The generation and digest from a peer's heartbeat or summary.
    PeerSummary {
        /// The peer.
        peer: NodeId,
        /// The generation in force on the peer; 0 for none.
        generation: Generation,
        /// That text's digest, if the message carries it.
        digest: Option<Digest>,
    },
    /// The live nodes changed.
    LiveNodes(LiveNodes),
    /// Calls to the store fail.
    StoreDown,
    /// Calls to the store succeed again.
    StoreUp,
    /// Time has passed. Sent about every 100 ms.
    Tick,
}
