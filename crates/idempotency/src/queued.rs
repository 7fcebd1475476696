//! Operations that wait for their write.

use std::time::Instant;

use nutmegsail_base::NodeId;

use crate::{ClaimToken, OperationResult, WriterEntry, WriterResult};

/// Who gets an operation's result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ReplyTo {
    /// This node itself.
    Own,
    /// A node that asked.
    Node {
        /// The node.
        node: NodeId,
        /// The token of its question.
        token: ClaimToken,
    },
}

/// An operation in a writer's queue.
#[derive(Clone, Debug)]
pub(crate) struct QueuedOperation {
    /// What to write.
    pub entry: WriterEntry,
    /// Who gets the result.
    pub reply_to: ReplyTo,
    /// When it wants to be written; it goes along earlier if its record is written anyway.
    pub due: Instant,
    /// When it fails. Outcomes and releases never do.
    pub expires: Option<Instant>,
}

impl QueuedOperation {
    /// The result for whoever asked.
    pub fn reply(self, result: OperationResult) -> Reply {
        Reply {
            to: self.reply_to,
            result: self.entry.with_result(result),
        }
    }
}

/// A result on its way back.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    /// Who gets it.
    pub to: ReplyTo,
    /// The result.
    pub result: WriterResult,
}
