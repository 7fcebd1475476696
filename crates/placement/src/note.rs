//! Notes that placement writes to the log.

use nutmegsail_base::{AdapterRef, UpstreamId};

use crate::LoadOutcome;

/// A note for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementNote {
    /// This node now owns an engine.
    Owned {
        /// The engine.
        engine: UpstreamId,
        /// Its fencing token.
        fence: u64,
        /// Whether the node took the engine over by its fencing token alone, since the key-value
        /// service did not answer.
        by_engine: bool,
    },
    /// This node no longer owns an engine.
    Disowned {
        /// The engine.
        engine: UpstreamId,
        /// The reason.
        cause: DisownCause,
    },
    /// An engine restarted with no adapter loaded.
    ColdRestart {
        /// The engine.
        engine: UpstreamId,
        /// The number of adapters that it held before.
        adapters_lost: usize,
    },
    /// A load failed and will be retried.
    LoadEnded {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How it ended.
        outcome: LoadOutcome,
    },
    /// An order was not answered; no other order is sent until a report shows what became of it.
    OrderUnsettled {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
}

/// Why a node gave up an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DisownCause {
    /// The key-value service reported another owner.
    Lost,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another node is first choice.
    HandedOver,
    /// The engine left.
    EngineGone,
}
