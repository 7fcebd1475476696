//! Messages between the traffic thread of one node and the control thread of another.

use nutmegsail_base::{NodeId, ServiceName, UpstreamId};
use nutmegsail_quota::QuotaMessage;
use nutmegsail_relay::{
    LimitUpdate, OriginRecord, PeerAnswer, PromptAnswer, PromptAsk, SlotAnswer, SlotEnd,
    SlotRequest, StreamKey, StreamOrigin,
};
use serde::{Deserialize, Serialize};

/// Identifies a slot request of one node.
pub(crate) type SlotAskId = u64;

/// A message about slots of plain upstreams or permits of rate-limited upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// Sent to the node that issues the slots.
    Ask {
        id: SlotAskId,
        upstream: UpstreamId,
        ask: SlotRequest,
        /// What the sender knows of the upstream's rate limit.
        limit: Option<LimitUpdate>,
    },
    /// The answer to an `Ask`; one that follows [`SlotAnswer::Queued`] has the same id.
    Answer {
        id: SlotAskId,
        upstream: UpstreamId,
        answer: SlotAnswer,
    },
    /// The request has ended, or no longer waits for a slot.
    Release {
        id: SlotAskId,
        upstream: UpstreamId,
        /// How long the request was at the upstream in milliseconds, if it was answered.
        took_ms: Option<u32>,
    },
    /// The request has ended at a brittle upstream, other than with its answer.
    End {
        id: SlotAskId,
        upstream: UpstreamId,
        end: SlotEnd,
    },
    /// The sender still holds these slots of a brittle upstream, whichever node has granted them.
    Renew {
        upstream: UpstreamId,
        ids: Vec<SlotAskId>,
    },
}

/// A message about requests that a node forwards because it cannot reach their upstreams.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum ForwardMessage {
    /// Asks which of these services the receiver reaches, and how many requests it accepts.
    Ask(Vec<ServiceName>),
    /// The answer to an `Ask`.
    Answer(PeerAnswer),
    /// This node waits for answers to requests that it has forwarded to the receiver.
    Waiting(NodeId),
}

/// A stream that a node keeps for another one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct KeptStream {
    pub(crate) key: StreamKey,
    pub(crate) origin: StreamOrigin,
    /// Whether the keeper writes it to the store, as the list there does not say where it began.
    pub(crate) is_written: bool,
}

/// A message about where streams began.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum StreamMessage {
    /// Streams that began at the sender, for the receiver to keep.
    Began(Vec<KeptStream>),
    /// Asks what the receiver knows of a stream.
    Ask(StreamKey),
    /// The answer to an `Ask`.
    Answer {
        key: StreamKey,
        record: OriginRecord,
    },
}

/// Identifies a prompt that one node sends to an engine.
pub(crate) type PromptId = u64;

/// A message about the pacing of prompts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum PromptMessage {
    /// A prompt was sent without asking.
    Sent {
        id: PromptId,
        upstream: UpstreamId,
        ask: PromptAsk,
    },
    /// Asks the granting node whether a prompt may be sent. Repeated while the request is queued,
    /// so that it does not wait for a node that is gone.
    Ask {
        id: PromptId,
        upstream: UpstreamId,
        ask: PromptAsk,
    },
    /// The answer to an `Ask`; one that follows [`PromptAnswer::Queued`] has the same id.
    Answer {
        id: PromptId,
        upstream: UpstreamId,
        answer: PromptAnswer,
        /// The engine's pace in prompt tokens per second.
        pace: u32,
        /// Age of the last sample of the pace in milliseconds, if there was one.
        pace_age_ms: Option<u32>,
    },
    /// The gate of the engine is active: nodes ask before they send.
    Paced { upstream: UpstreamId },
    /// The first event has come, `took_ms` after the prompt was sent.
    FirstEvent {
        id: PromptId,
        upstream: UpstreamId,
        took_ms: u32,
    },
    /// A pause between two events was longer than the route's longest.
    Pause {
        id: PromptId,
        upstream: UpstreamId,
        pause_ms: u32,
    },
    /// The request has ended, or is no longer to be sent to the engine.
    End {
        id: PromptId,
        upstream: UpstreamId,
        /// The usual time between two of its events without prefill, in milliseconds, if it had
        /// enough events.
        spacing_ms: Option<u32>,
    },
}

/// A message from or to a traffic thread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum TrafficMessage {
    /// About teams' quotas.
    Quota(QuotaMessage),
    /// About slots and rate permits.
    Slots(SlotMessage),
    /// About forwarded requests.
    Forward(ForwardMessage),
    /// About where streams began.
    Streams(StreamMessage),
    /// About the pacing of prompts.
    Prompts(PromptMessage),
}

impl TrafficMessage {
    /// The kind of message, as metrics name it.
    pub(crate) fn kind(&self) -> &'static str {
        match self {
            Self::Quota(_) => "quota",
            Self::Slots(_) => "slots",
            Self::Forward(_) => "forward",
            Self::Streams(_) => "streams",
            Self::Prompts(_) => "prompts",
        }
    }
}
