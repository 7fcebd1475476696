//! The stored claim for one key.

use derive_more::Display;
use nutmegsail_base::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::{IdempotencyKey, RecordedAnswer, RequestDigest};

/// Identifies one claim, uniquely over all nodes and incarnations.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{node}/{incarnation}/{number}")]
pub struct Claimant {
    /// The node that made the claim and may dispatch the call.
    pub node: NodeId,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// The claim's sequence number within that incarnation.
    pub number: u64,
}

/// The state of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// Only the claimant may dispatch the call, now and later.
    Claimed,
    /// The upstream answered.
    Answered(RecordedAnswer),
    /// The call was sent and its outcome is unknown.
    Unknown,
    /// The claimant did not run the call and never will, so the key may be claimed again.
    Released,
}

/// The stored claim for one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// The digest of the call.
    pub digest: RequestDigest,
    /// The claim that holds the key.
    pub claimant: Claimant,
    /// The state of that claim.
    pub state: ClaimState,
}
