//! What the traffic thread of one node and the control thread of another tell each other.

use nutmegsail_base::UpstreamId;
use nutmegsail_quota::QuotaMessage;
use nutmegsail_relay::{LimitTold, SlotAnswer, SlotAsk};
use serde::{Deserialize, Serialize};

/// Tells the asks of one node for slots apart.
pub(crate) type SlotAskId = u64;

/// A message about the slots of a plain upstream, or turns at one that names a limit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum SlotMessage {
    /// To the node that hands them out.
    Ask {
        id: SlotAskId,
        upstream: UpstreamId,
        ask: SlotAsk,
        /// What the sender knows of the upstream's limit.
        limit: Option<LimitTold>,
    },
    /// Its answer; one that follows [`SlotAnswer::Queued`] has the same id.
    Answer {
        id: SlotAskId,
        upstream: UpstreamId,
        answer: SlotAnswer,
    },
    /// The request has ended, or waits no more.
    Release {
        id: SlotAskId,
        upstream: UpstreamId,
        /// How long it was at the upstream, if it was answered.
        took_ms: Option<u32>,
    },
}

/// A message from or to a traffic thread.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) enum TrafficMessage {
    /// About teams' quotas.
    Quota(QuotaMessage),
    /// About slots of plain upstreams.
    Slots(SlotMessage),
}
