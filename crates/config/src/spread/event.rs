//! What the spread is told.

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

/// The live nodes that this node knows of, itself included or not.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LiveNodes {
    /// Those of its own failure domain.
    pub own_domain: Vec<NodeId>,
    /// Some of the other failure domains.
    pub elsewhere: Vec<NodeId>,
}

impl LiveNodes {
    /// Whether `node` is one of them.
    pub fn contains(&self, node: &NodeId) -> bool {
        self.own_domain.contains(node) || self.elsewhere.contains(node)
    }
}

/// What the spread is told.
#[derive(Clone, Debug, PartialEq)]
pub enum SpreadEvent {
    /// The store answered a read or a watch of the head, or a [`super::SpreadAction::RestoreHead`];
    /// none: the store holds no head.
    StoreHead(Option<StoredHead>),
    /// A peer answered [`super::SpreadAction::AskHead`].
    PeerHead {
        /// The peer.
        peer: NodeId,
        /// Its head.
        head: Head,
    },
    /// A piece arrived from the store or a peer. Its digest is checked here.
    PieceArrived(Arc<str>),
    /// A peer's heartbeat or summary.
    PeerSummary {
        /// The peer.
        peer: NodeId,
        /// The generation in force there; 0 for none.
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
    /// Time passed; every 100 ms or so.
    Tick,
}
