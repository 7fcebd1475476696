//! What a record says about one key.

use derive_more::Display;
use nutmegsail_base::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::{IdempotencyKey, RecordedAnswer, RequestDigest};

/// One claim, unique over all nodes, incarnations and time.
#[derive(Clone, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[display("{node}/{incarnation}/{number}")]
pub struct Claimant {
    /// The node that may dispatch the call.
    pub node: NodeId,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// The number of the claim, counted by that incarnation.
    pub number: u64,
}

/// How a claim stands.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimState {
    /// The claimant, and nobody else ever, may dispatch the call.
    Claimed,
    /// The upstream answered.
    Answered(RecordedAnswer),
    /// The call was sent and its outcome is unknown.
    Unknown,
    /// The claimant certainly did not run the call and never will; the key may be claimed anew.
    Released,
}

/// What a record says about one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEntry {
    /// The caller's key.
    pub key: IdempotencyKey,
    /// What the call asks for.
    pub digest: RequestDigest,
    /// Who claimed it.
    pub claimant: Claimant,
    /// How the claim stands.
    pub state: ClaimState,
}
