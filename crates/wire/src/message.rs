//! The messages between nodes.

use std::sync::Arc;

use derive_more::Display;
use nutmegsail_base::{AdapterRef, Class, NodeId, RequestId, UpstreamId};
use nutmegsail_membership::{DomainSummary, Heartbeat};
use serde::{Deserialize, Serialize};

use crate::Payload;

/// A message between two nodes. Any of them may be lost, come late, twice or out of order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum NodeMessage {
    /// A sign of life within a failure domain.
    Heartbeat(Heartbeat),
    /// A failure domain's account of itself, to another one.
    Summary(DomainSummary),
    /// Asks an engine's owner for a pin.
    PinAsk(PinAsk),
    /// The owner's answer.
    PinAnswer(PinAnswer),
    /// Gives a pin back to the owner.
    PinReturn(PinReturn),
    /// Asks a holder to give a pin back once its requests are over.
    PinRecall(PinRecall),
    /// Between two nodes' placement, about loads.
    Placement(Payload),
    /// Asks for pieces of an operators' text.
    PiecesAsk {
        /// Names the ask in its answer.
        ask_id: u64,
        /// The digests of the pieces.
        digests: Vec<Arc<str>>,
    },
    /// The pieces that the asked node has. Whoever reads them checks their digests.
    PiecesAnswer {
        /// The ask that this answers.
        ask_id: u64,
        /// The pieces, in no order.
        pieces: Vec<Payload>,
    },
    /// Asks for the head record of the text in force.
    HeadAsk {
        /// Names the ask in its answer.
        ask_id: u64,
    },
    /// The head record of the text in force on the asked node.
    HeadAnswer {
        /// The ask that this answers.
        ask_id: u64,
        /// The record as JSON; empty if no text is in force.
        head: Payload,
    },
    /// Asks the writer of a shard to claim calls that run once.
    ClaimAsk {
        /// Names the ask in its answer.
        token: u64,
        /// The claims.
        entries: Payload,
    },
    /// What became of the claims.
    ClaimAnswer {
        /// The ask that this answers.
        token: u64,
        /// A result for each claim.
        results: Payload,
    },
    /// Hands a caller's request to the one node that may run it.
    Forward(Forward),
    /// The answer to a forwarded request.
    ForwardAnswer(ForwardAnswer),
    /// Asks which node and engine hold an answer that a caller wants to resume.
    ResumeAsk {
        /// Names the ask in its answer.
        ask_id: u64,
        /// The answer's handle.
        request: RequestId,
    },
    /// Where an answer can be resumed.
    ResumeAnswer {
        /// The ask that this answers.
        ask_id: u64,
        /// The answer's handle.
        request: RequestId,
        /// What the asked node knows of it; empty if nothing.
        run: Payload,
    },
}

/// Asks an engine's owner for a pin on an adapter.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinAsk {
    /// Names the ask in its answer.
    pub ask_id: u64,
    /// The node that wants the pin; not the sender, if another node passed the ask on.
    pub asker: NodeId,
    /// Where the asker hears answers.
    pub reply_to: Arc<str>,
    /// Whether another node passed the ask on. It is passed on once at most.
    pub is_passed_on: bool,
    /// The engine.
    pub engine: UpstreamId,
    /// Which adapter and version.
    pub adapter: AdapterRef,
    /// The class of the work that waits for it.
    pub class: Class,
}

/// The owner's answer to a [`PinAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinAnswer {
    /// The ask that this answers.
    pub ask_id: u64,
    /// The engine.
    pub engine: UpstreamId,
    /// Which adapter and version.
    pub adapter: AdapterRef,
    /// What the owner decided.
    pub outcome: PinOutcome,
}

/// What an owner decided on a [`PinAsk`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PinOutcome {
    /// The adapter is ready and stays for the pin's life.
    Granted {
        /// How long it lives from the ask's sending, in milliseconds.
        ttl_ms: u32,
    },
    /// The adapter is not there, or the asked node cannot speak for the engine.
    Refused {
        /// When asking again may help, in milliseconds.
        retry_after_ms: u32,
    },
}

/// Gives a pin back before its life is over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinReturn {
    /// The last ask that was granted; a pin of a later ask stays.
    pub ask_id: u64,
    /// The node that held the pin; not the sender, if another node passed the return on.
    pub asker: NodeId,
    /// Whether another node passed the return on.
    pub is_passed_on: bool,
    /// The engine.
    pub engine: UpstreamId,
    /// Which adapter and version.
    pub adapter: AdapterRef,
}

/// Asks the holder of a pin to use it no more and to give it back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PinRecall {
    /// The engine.
    pub engine: UpstreamId,
    /// Which adapter and version.
    pub adapter: AdapterRef,
}

/// A caller's request on its way to the one node that may run it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Forward {
    /// The request.
    pub request: RequestId,
    /// What is left until the caller's deadline, in milliseconds.
    pub deadline_ms: u64,
    /// The caller's or the node's span.
    pub traceparent: Option<String>,
    /// The request itself.
    pub body: Payload,
}

/// The answer to a [`Forward`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ForwardAnswer {
    /// The request.
    pub request: RequestId,
    /// The answer itself.
    pub body: Payload,
}

/// The kind of a message, for counting.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[display(rename_all = "snake_case")]
pub enum MessageKind {
    /// Signs of life.
    Heartbeat,
    /// Accounts of failure domains.
    Summary,
    /// Asks, answers and returns of pins.
    Pin,
    /// Head records and pieces of operators' texts.
    Text,
    /// Claims of calls that run once.
    Claim,
    /// Requests handed on and their answers.
    Forward,
    /// Asks for answers to resume.
    Resume,
}

impl MessageKind {
    /// Every kind.
    pub const ALL: [Self; 7] = [
        Self::Heartbeat,
        Self::Summary,
        Self::Pin,
        Self::Text,
        Self::Claim,
        Self::Forward,
        Self::Resume,
    ];

    pub(crate) fn index(self) -> usize {
        self as usize
    }
}

impl NodeMessage {
    /// The message's kind.
    ///
    /// ```
    /// use nutmegsail_wire::{MessageKind, NodeMessage};
    /// assert_eq!(NodeMessage::HeadAsk { ask_id: 1 }.kind(), MessageKind::Text);
    /// ```
    pub fn kind(&self) -> MessageKind {
        match self {
            Self::Heartbeat(_) => MessageKind::Heartbeat,
            Self::Summary(_) => MessageKind::Summary,
            Self::PinAsk(_)
            | Self::PinAnswer(_)
            | Self::PinReturn(_)
            | Self::PinRecall(_)
            | Self::Placement(_) => MessageKind::Pin,
            Self::PiecesAsk { .. }
            | Self::PiecesAnswer { .. }
            | Self::HeadAsk { .. }
            | Self::HeadAnswer { .. } => MessageKind::Text,
            Self::ClaimAsk { .. } | Self::ClaimAnswer { .. } => MessageKind::Claim,
            Self::Forward(_) | Self::ForwardAnswer(_) => MessageKind::Forward,
            Self::ResumeAsk { .. } | Self::ResumeAnswer { .. } => MessageKind::Resume,
        }
    }
}
