//! The actions that [`super::Spread`] asks its node to perform.

use derive_more::Display;
use nutmegsail_base::NodeId;

use super::TextSource;
use crate::{Digest, Generation, Head, InForce, Piece, StoredHead};

/// An action that [`super::Spread`] asks its node to perform.
#[derive(Clone, Debug)]
pub enum SpreadAction {
    /// Ask a peer for its head.
    AskHead {
        /// The peer.
        peer: NodeId,
    },
    /// Fetch pieces. If the store no longer holds one of them, another text was accepted, and the
    /// node reads the store's head again.
    FetchPieces {
        /// Where to fetch from.
        from: TextSource,
        /// The digests of the pieces.
        digests: Vec<Digest>,
    },
    /// Put this text in force on the node.
    PutInForce(InForce),
    /// Read the store's head and then watch it, in calls of [`super::SpreadSettings::watch_wait`]
    /// each, until [`SpreadAction::StopWatch`].
    WatchStore,
    /// Read the store's head once, in addition to the watch.
    ReadHead,
    /// Stop watching the store's head.
    StopWatch,
    /// Write the newer head in force back to the store with [`crate::TextStore::put_head`], then
    /// read the store's head.
    RestoreHead {
        /// The older head that the store holds.
        found: Option<StoredHead>,
        /// The head in force.
        head: Head,
        /// Its pieces.
        pieces: Vec<Piece>,
    },
    /// Send this node's generation and digest to peers now, before the next heartbeat.
    TellSummary {
        /// The peers.
        to: Vec<NodeId>,
    },
    /// Report a condition to the operators.
    Report(SpreadReport),
}

/// A condition that is reported to the operators.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SpreadReport {
    /// The store holds an older head than the one in force. The older text does not take effect.
    #[display("the store holds an older text than generation {in_force}, which stays in force")]
    StoreBehind {
        /// The store's generation, if it holds a head.
        stored: Option<Generation>,
        /// The generation in force.
        in_force: Generation,
    },
    /// The store holds the generation in force, or a later one, again.
    #[display("the store was at generation {from} and holds generation {to} again")]
    StoreCaughtUp {
        /// The older generation that the store held.
        from: Generation,
        /// The generation that was in force here when the store caught up.
        to: Generation,
    },
    /// Another text of the same generation, or an older text of another history, was seen. This
    /// node keeps its own text.
    #[display("{source} has another text of generation {generation}; ours stays in force")]
    Diverged {
        /// The generation seen.
        generation: Generation,
        /// The digest seen.
        theirs: Digest,
        /// The digest in force.
        in_force: Option<Digest>,
        /// Where it was seen.
        source: TextSource,
    },
    /// This node cannot parse an accepted text, as when the text needs a newer release.
    #[display("generation {generation} cannot be read here: {reason}")]
    Unreadable {
        /// The generation.
        generation: Generation,
        /// The reason.
        reason: String,
    },
}
