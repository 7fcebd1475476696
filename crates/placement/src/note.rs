//! What placement has to say to the operators.

use nutmegsail_base::{AdapterRef, UpstreamId};

use crate::LoadOutcome;

/// A line for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum PlacementNote {
    /// This node now owns an engine.
    Owned {
        /// The engine.
        engine: UpstreamId,
        /// Its fencing number.
        fence: u64,
        /// Whether the engine itself decided, since the key-value service gave no answer.
        by_engine: bool,
    },
    /// This node no longer owns an engine.
    Disowned {
        /// The engine.
        engine: UpstreamId,
        /// Why.
        cause: DisownCause,
    },
    /// An engine came back empty.
    ColdRestart {
        /// The engine.
        engine: UpstreamId,
        /// How many adapters it held.
        adapters_lost: usize,
    },
    /// A load did not work out and is tried again.
    LoadEnded {
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
        /// How it ended.
        outcome: LoadOutcome,
    },
    /// An order got no answer; the engine gets no other until a report settles it.
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
    /// The key-value service says so.
    Lost,
    /// The engine has seen a higher fencing number.
    Fenced,
    /// Another node is first choice.
    HandedOver,
    /// The engine left.
    EngineGone,
}
