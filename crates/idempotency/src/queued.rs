//! Operations in a shard writer's queue.

use std::time::Instant;

use nutmegsail_base::NodeId;

use crate::{ClaimToken, OperationResult, WriterEntry, WriterResult};

/// Where to send an operation's result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// This node itself.
    Local,
    /// Another node, which requested the operation.
    Node {
        /// The node.
        node: NodeId,
        /// The token of its request.
        token: ClaimToken,
    },
}

/// An operation in a shard writer's queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedOperation {
    /// The operation.
    pub entry: WriterEntry,
    /// Where to send the result.
    pub reply_to: ReplyTo,
    /// When the operation is due. It is carried out earlier if its record is written before then.
    pub due: Instant,
    /// When the operation fails if it is still queued; `None` for outcomes and releases.
    pub expires: Option<Instant>,
}

impl QueuedOperation {
    /// Combines the operation's result with its destination.
    pub fn reply(self, result: OperationResult) -> Reply {
        Reply {
            to: self.reply_to,
            result: self.entry.with_result(result),
        }
    }
}

/// A result and its destination.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Where to send the result.
    pub to: ReplyTo,
    /// The result.
    pub result: WriterResult,
}
