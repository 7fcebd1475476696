//! What the claims are told, and what they ask for.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use nutmegsail_base::{Incarnation, NodeId, RequestId, ResultCode, RunState, StoreNumber};
use serde::{Deserialize, Serialize};

use crate::{
    ClaimOutcome, IdempotencyKey, RecordedAnswer, RequestDigest, WriterEntry, WriterResult,
};

/// Pairs a call to the store or to another node with its answer.
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
#[serde(transparent)]
pub struct ClaimToken(pub u64);

/// A stored value with the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The value.
    pub value: Bytes,
    /// The store's revision of it; never [`StoreNumber::NONE`].
    pub revision: StoreNumber,
}

/// A read failed. Nothing is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFault;

/// Why a compare-and-swap did not surely succeed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// The record has another revision; nothing was written.
    Conflict {
        /// The record as it is now; `None` if the store did not say or it does not exist.
        current: Option<StoredRecord>,
    },
    /// Nothing was written, and nothing will be.
    NotDone,
    /// The write may have taken effect, or may yet take effect while its condition holds.
    Ambiguous,
}

/// A node as the membership knows it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LiveNode {
    /// The node.
    pub node: NodeId,
    /// The run of its process.
    pub incarnation: Incarnation,
}

/// What came of a call that was passed on to the node that its ticket names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The node answered the call, now or before.
    Answered(RecordedAnswer),
    /// The node refused it.
    Refused {
        /// The numbered result.
        code: ResultCode,
        /// What the node said about it.
        run_state: RunState,
    },
    /// Nothing was sent: no connection could be made.
    NotSent,
    /// It was sent and no answer came.
    NoAnswer,
}

/// What the claims are told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A caller's call that runs once has arrived and could be dispatched at once.
    Begin {
        /// The request, new for each attempt.
        request: RequestId,
        /// The caller's key.
        key: IdempotencyKey,
        /// What the call asks for.
        digest: RequestDigest,
    },
    /// Bytes of a request that was let run are about to be sent.
    ///
    /// Comes again when an upstream surely did not run the request and it goes to another one.
    Dispatched {
        /// The request.
        request: RequestId,
    },
    /// A request that was let run has ended.
    Finished {
        /// The request.
        request: RequestId,
        /// How.
        outcome: ClaimOutcome,
    },
    /// The answer to [`ClaimAction::Read`].
    ReadDone {
        /// Its token.
        token: ClaimToken,
        /// The record, `None` if it does not exist.
        result: Result<Option<StoredRecord>, StoreFault>,
    },
    /// The answer to [`ClaimAction::Swap`]; the new revision if it succeeded.
    SwapDone {
        /// Its token.
        token: ClaimToken,
        /// The new revision.
        result: Result<StoreNumber, SwapFault>,
    },
    /// The answer to [`ClaimAction::List`].
    ListDone {
        /// Its token.
        token: ClaimToken,
        /// Keys in their order, the first page.
        result: Result<Vec<Arc<str>>, StoreFault>,
    },
    /// Another node takes this one for a shard's writer.
    WriterAsked {
        /// The node that asks.
        from: NodeId,
        /// Its token.
        token: ClaimToken,
        /// What it wants written.
        entries: Vec<WriterEntry>,
    },
    /// A shard's writer answered some or all entries of [`ClaimAction::AskWriter`].
    WriterAnswered {
        /// The token of the question.
        token: ClaimToken,
        /// Results; others may follow with the same token.
        results: Vec<WriterResult>,
    },
    /// A question could not be delivered to a shard's writer, or may not have been.
    WriterUnreachable {
        /// The token of the question.
        token: ClaimToken,
    },
    /// The nodes that may write for a shard: the entry VMs of every failure domain that the VM list
    /// holds, this one among them. Without it the live nodes take that place.
    WriterCandidates {
        /// Every entry VM.
        nodes: Vec<NodeId>,
    },
    /// The nodes that the membership takes for live, this one among them; those of the own failure
    /// domain are enough.
    LiveNodes {
        /// Every live node.
        nodes: Vec<LiveNode>,
    },
    /// The answer to [`ClaimAction::Forward`].
    Forwarded {
        /// The request.
        request: RequestId,
        /// What came of it.
        result: ForwardResult,
    },
    /// Another operators' text is in force.
    Limits {
        /// How old a key may be.
        retention: Duration,
        /// How far a clock may be from the true time.
        skew: Duration,
    },
    /// The store can't be reached.
    StoreDown,
    /// The store can be reached again.
    StoreUp,
    /// Time has passed; due at [`crate::Claims::next_wake`].
    Tick,
}

/// What the claims ask the node for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Dispatch the request now, once. It is the only one that will ever run for its key, unless
    /// it ends as [`ClaimOutcome::NotRun`].
    Run {
        /// The request.
        request: RequestId,
    },
    /// Answer the request with what an earlier one with the same key got.
    Answer {
        /// The request.
        request: RequestId,
        /// The earlier answer.
        recorded: RecordedAnswer,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// The numbered result.
        code: ResultCode,
        /// Whether the call may have run.
        run_state: RunState,
        /// When the caller should come back.
        retry_after: Option<Duration>,
    },
    /// Pass the request on to the node that its ticket names, as a call to that incarnation.
    Forward {
        /// The request.
        request: RequestId,
        /// The node.
        to: NodeId,
        /// The only run of it that may take the request.
        incarnation: Incarnation,
    },
    /// Read a record.
    Read {
        /// Pairs with [`ClaimEvent::ReadDone`].
        token: ClaimToken,
        /// The store's key.
        key: Arc<str>,
    },
    /// Write a record if it still has this revision; [`StoreNumber::NONE`]: if it does not exist.
    Swap {
        /// Pairs with [`ClaimEvent::SwapDone`].
        token: ClaimToken,
        /// The store's key.
        key: Arc<str>,
        /// The revision it must have.
        expected_revision: StoreNumber,
        /// The new value, JSON.
        value: Bytes,
    },
    /// Read the first page of the keys that begin with `prefix`, in their order.
    List {
        /// Pairs with [`ClaimEvent::ListDone`].
        token: ClaimToken,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// Remove a record past its retention. No answer is needed.
    Delete {
        /// The store's key.
        key: Arc<str>,
    },
    /// Ask a shard's writer to write. Every entry is safe to deliver late or twice.
    AskWriter {
        /// The writer.
        to: NodeId,
        /// Pairs with [`ClaimEvent::WriterAnswered`].
        token: ClaimToken,
        /// What to write.
        entries: Vec<WriterEntry>,
    },
    /// Answer a node that asked.
    AnswerAsked {
        /// The node that asked.
        to: NodeId,
        /// Its token.
        token: ClaimToken,
        /// Results of some or all of its entries.
        results: Vec<WriterResult>,
    },
}
