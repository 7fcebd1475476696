//! The events that [`crate::Claims`] handles and the actions that it returns.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use derive_more::Display;
use nutmegsail_base::{Incarnation, NodeId, RequestId, ResultCode, RunState, StoreNumber};
use serde::{Deserialize, Serialize};

use crate::{
    ClaimOutcome, IdempotencyKey, RecordedAnswer, RequestDigest, WriterEntry, WriterResult,
};

/// Matches a request to the store or to another node with its answer.
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

/// A stored value and its revision.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredRecord {
    /// The value.
    pub value: Bytes,
    /// The store's revision of the value; never [`StoreNumber::NONE`].
    pub revision: StoreNumber,
}

/// A store read failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StoreFault;

/// Why a compare-and-swap failed, or may have failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapFault {
    /// The record has another revision; nothing was written.
    Conflict {
        /// The current record; `None` if it does not exist or the store did not return it.
        current: Option<StoredRecord>,
    },
    /// The write did not take effect and never will.
    NotDone,
    /// The write may have taken effect, or may take effect later if the record still has the
    /// expected revision.
    Ambiguous,
}

/// A node that the membership considers live.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LiveNode {
    /// The node.
    pub node: NodeId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
}

/// The result of forwarding a call to the node that its ticket names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ForwardResult {
    /// The node returned the call's answer, from this attempt or an earlier one.
    Answered(RecordedAnswer),
    /// The node refused the call.
    Refused {
        /// The result code.
        code: ResultCode,
        /// Whether the call may have run, according to the node.
        run_state: RunState,
    },
    /// No connection could be made, so nothing was sent.
    NotSent,
    /// The call was sent, but no answer came.
    NoAnswer,
}

/// An event for [`crate::Claims::handle`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// A once-only call has arrived and could be dispatched immediately.
    Begin {
        /// The request; each attempt has its own.
        request: RequestId,
        /// The caller's key.
        key: IdempotencyKey,
        /// The digest of the call.
        digest: RequestDigest,
    },
    /// A request that was allowed to run is about to be sent to an upstream.
    ///
    /// Occurs again when an upstream did not run the request and it is sent to another one.
    Dispatched {
        /// The request.
        request: RequestId,
    },
    /// A request that was allowed to run has ended.
    Finished {
        /// The request.
        request: RequestId,
        /// How it ended.
        outcome: ClaimOutcome,
    },
    /// The result of [`ClaimAction::Read`].
    ReadDone {
        /// The token of the action.
        token: ClaimToken,
        /// The record, `None` if it does not exist.
        result: Result<Option<StoredRecord>, StoreFault>,
    },
    /// The result of [`ClaimAction::Swap`].
    SwapDone {
        /// The token of the action.
        token: ClaimToken,
        /// The record's new revision if the write succeeded.
        result: Result<StoreNumber, SwapFault>,
    },
    /// The result of [`ClaimAction::List`].
    ListDone {
        /// The token of the action.
        token: ClaimToken,
        /// The first page of keys, sorted.
        result: Result<Vec<Arc<str>>, StoreFault>,
    },
    /// Another node has selected this one as a shard's writer and sends operations.
    WriterAsked {
        /// The requesting node.
        from: NodeId,
        /// The token of its request.
        token: ClaimToken,
        /// The operations to carry out.
        entries: Vec<WriterEntry>,
    },
    /// A shard's writer answered some or all operations of [`ClaimAction::AskWriter`].
    WriterAnswered {
        /// The token of the request.
        token: ClaimToken,
        /// The results; more may follow with the same token.
        results: Vec<WriterResult>,
    },
    /// A request to a shard's writer was not delivered, or may not have been.
    WriterUnreachable {
        /// The token of the request.
        token: ClaimToken,
    },
    /// The nodes that may be a shard's writer: the entry VMs of all failure domains on the VM list,
    /// including this one. Until this event arrives, the live nodes are used.
    WriterCandidates {
        /// Every entry VM.
        nodes: Vec<NodeId>,
    },
    /// The nodes that the membership considers live, including this one. Nodes of other failure
    /// domains may be left out.
    LiveNodes {
        /// Every live node.
        nodes: Vec<LiveNode>,
    },
    /// The result of [`ClaimAction::Forward`].
    Forwarded {
        /// The request.
        request: RequestId,
        /// The result.
        result: ForwardResult,
    },
    /// The operators' configuration text has changed.
    Limits {
        /// How old a key may be.
        retention: Duration,
        /// How far a clock may be off the true time.
        skew: Duration,
    },
    /// The store is unreachable.
    StoreDown,
    /// The store is reachable again.
    StoreUp,
    /// Time has passed. Due at [`crate::Claims::next_wake`].
    Tick,
}

/// An action that the node is to perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Dispatch the request now, once. No other request for its key will ever run, unless this one
    /// ends as [`ClaimOutcome::NotRun`].
    Run {
        /// The request.
        request: RequestId,
    },
    /// Answer the request with the recorded answer of an earlier one with the same key.
    Answer {
        /// The request.
        request: RequestId,
        /// The recorded answer.
        recorded: RecordedAnswer,
    },
    /// Refuse the request.
    Refuse {
        /// The request.
        request: RequestId,
        /// The result code.
        code: ResultCode,
        /// Whether the call may have run.
        run_state: RunState,
        /// How long the caller should wait before it tries again.
        retry_after: Option<Duration>,
    },
    /// Forward the request to the node incarnation that its ticket names.
    Forward {
        /// The request.
        request: RequestId,
        /// The node.
        to: NodeId,
        /// The only incarnation of the node that may run the request.
        incarnation: Incarnation,
    },
    /// Read a record.
    Read {
        /// The token for [`ClaimEvent::ReadDone`].
        token: ClaimToken,
        /// The store's key.
        key: Arc<str>,
    },
    /// Write a record by compare-and-swap.
    Swap {
        /// The token for [`ClaimEvent::SwapDone`].
        token: ClaimToken,
        /// The store's key.
        key: Arc<str>,
        /// The revision that the record must have; [`StoreNumber::NONE`] if it must not exist.
        expected_revision: StoreNumber,
        /// The new value, as JSON.
        value: Bytes,
    },
    /// List the first page of the keys that begin with `prefix`, sorted.
    List {
        /// The token for [`ClaimEvent::ListDone`].
        token: ClaimToken,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// Delete a record past its retention. No event is expected in return.
    Delete {
        /// The store's key.
        key: Arc<str>,
    },
    /// Send operations to a shard's writer. They may be delivered late or more than once.
    AskWriter {
        /// The writer.
        to: NodeId,
        /// The token for [`ClaimEvent::WriterAnswered`].
        token: ClaimToken,
        /// The operations to carry out.
        entries: Vec<WriterEntry>,
    },
    /// Send results to a node whose operations arrived with [`ClaimEvent::WriterAsked`].
    AnswerAsked {
        /// The requesting node.
        to: NodeId,
        /// The token of its request.
        token: ClaimToken,
        /// Results of some or all of its operations.
        results: Vec<WriterResult>,
    },
}
