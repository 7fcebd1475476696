//! What the spread asks for.

use derive_more::Display;
use nutmegsail_base::NodeId;

use super::TextSource;
use crate::{Digest, Generation, Head, InForce, Piece, StoredHead};

/// What the node does for the spread.
#[derive(Clone, Debug)]
pub enum SpreadAction {
    /// Asks a peer for its head.
    AskHead {
        /// The peer.
        peer: NodeId,
    },
    /// Fetches pieces. If the store no longer holds one, another text was accepted: reads its head
    /// anew.
    FetchPieces {
        /// Whom to ask.
        from: TextSource,
        /// The digests.
        digests: Vec<Digest>,
    },
    /// Swaps the text in force.
    PutInForce(InForce),
    /// Reads the store's head and then watches it, [`super::SpreadSettings::watch_wait`] at a time,
    /// until [`SpreadAction::StopWatch`].
    WatchStore,
    /// Reads the store's head once, beside the watch.
    ReadHead,
    /// Stops watching.
    StopWatch,
    /// Puts a newer head back by [`crate::TextStore::put_head`], and reads the head afterwards.
    RestoreHead {
        /// The older head that the store holds.
        found: Option<StoredHead>,
        /// The head in force.
        head: Head,
        /// Its pieces.
        pieces: Vec<Piece>,
    },
    /// Tells peers this node's generation and digest ahead of the next heartbeat.
    TellSummary {
        /// The peers.
        to: Vec<NodeId>,
    },
    /// Something that operators want to know.
    Report(SpreadReport),
}

/// What operators want to know of the spread.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum SpreadReport {
    /// The store holds an older head than is in force; it does not take effect.
    #[display("the store holds an older text than generation {in_force}, which stays in force")]
    StoreBehind {
        /// The store's generation, if it holds a head.
        stored: Option<Generation>,
        /// The generation in force.
        in_force: Generation,
    },
    /// The store holds the generation in force or a later one again.
    #[display("the store was at generation {from} and holds generation {to} again")]
    StoreCaughtUp {
        /// Where the store was.
        from: Generation,
        /// Where it is.
        to: Generation,
    },
    /// Another text of the same generation, or an older one of another history, was seen. This node
    /// keeps its own.
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
    /// An accepted text cannot be read by this node, as when it needs a newer release.
    #[display("generation {generation} cannot be read here: {reason}")]
    Unreadable {
        /// The generation.
        generation: Generation,
        /// Why.
        reason: String,
    },
}
