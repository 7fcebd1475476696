//! Operations on claims, which a claimant sends to a shard's writer.

use serde::{Deserialize, Serialize};

use crate::{ClaimEntry, ClaimState, Claimant, IdempotencyKey, RequestDigest};

/// What to do with a key's entry. All operations are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOperation {
    /// Claim the key, unless another claim holds it.
    Claim,
    /// Record how the claim ended.
    Finish(ClaimState),
    /// Release the claim: the claimant did not run the call and never will.
    ///
    /// If the claim is not in the record yet, a released entry is written. When a slow writer or
    /// the store then carries out the claim, it finds that the claim was given up.
    Release,
}

/// One operation on one key. It is sent between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterEntry {
    /// The key.
    pub key: IdempotencyKey,
    /// The digest of the call.
    pub digest: RequestDigest,
    /// The claim that the operation is for.
    pub claimant: Claimant,
    /// What to do.
    pub operation: ClaimOperation,
}

/// The result of an operation. All results except [`OperationResult::Failed`] reflect stored state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationResult {
    /// The store holds the claim, so the claimant may dispatch the call.
    Claimed,
    /// The store holds another claim for the key, or this claim's outcome.
    Existing(ClaimEntry),
    /// The claim was given up earlier.
    GivenUp,
    /// An outcome or a release is recorded, or no longer applies.
    Recorded,
    /// The writer could not complete the operation, which may have taken effect or may do so later.
    Failed,
}

/// The result of one [`WriterEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterResult {
    /// The key.
    pub key: IdempotencyKey,
    /// The claim that the operation was for.
    pub claimant: Claimant,
    /// Whether the operation was [`ClaimOperation::Claim`].
    pub is_claim: bool,
    /// The result.
    pub result: OperationResult,
}

impl WriterEntry {
    /// Combines the operation with its result.
    pub fn with_result(self, result: OperationResult) -> WriterResult {
        WriterResult {
            is_claim: self.is_claim(),
            key: self.key,
            claimant: self.claimant,
            result,
        }
    }

    /// Whether the operation is [`ClaimOperation::Claim`].
    pub fn is_claim(&self) -> bool {
        matches!(self.operation, ClaimOperation::Claim)
    }

    /// Applies the operation to the key's current entry.
    pub(crate) fn apply(&self, present: Option<&ClaimEntry>) -> OperationEffect {
        match &self.operation {
            ClaimOperation::Claim => self.apply_claim(present),
            ClaimOperation::Finish(state) => self.apply_finish(state, present),
            ClaimOperation::Release => self.apply_release(present),
        }
    }

    fn apply_claim(&self, present: Option<&ClaimEntry>) -> OperationEffect {
        let Some(entry) = present else {
            return self.write(ClaimState::Claimed, OperationResult::Claimed);
        };
        if entry.digest != self.digest {
            return OperationEffect::unchanged(OperationResult::Existing(entry.clone()));
        }
        if entry.claimant == self.claimant {
            return OperationEffect::unchanged(match entry.state {
                ClaimState::Claimed => OperationResult::Claimed,
                ClaimState::Released => OperationResult::GivenUp,
                _ => OperationResult::Existing(entry.clone()),
            });
        }
        if self.is_older_than(&entry.claimant) {
            return OperationEffect::unchanged(OperationResult::GivenUp);
        }
        match entry.state {
            ClaimState::Released => self.write(ClaimState::Claimed, OperationResult::Claimed),
            _ => OperationEffect::unchanged(OperationResult::Existing(entry.clone())),
        }
    }

    /// Whether the same incarnation has made a later claim for this key. This operation then
    /// arrived late, since an incarnation makes a second claim only after it gave up the first.
    fn is_older_than(&self, other: &Claimant) -> bool {
        self.claimant.node == other.node
            && self.claimant.incarnation == other.incarnation
            && self.claimant.number < other.number
    }

    fn apply_finish(&self, state: &ClaimState, present: Option<&ClaimEntry>) -> OperationEffect {
        let is_open = present.is_some_and(|entry| {
            entry.claimant == self.claimant && entry.state == ClaimState::Claimed
        });
        if is_open {
            self.write(state.clone(), OperationResult::Recorded)
        } else {
            OperationEffect::unchanged(OperationResult::Recorded)
        }
    }

    fn apply_release(&self, present: Option<&ClaimEntry>) -> OperationEffect {
        let may_release = present.is_none_or(|entry| {
            entry.claimant == self.claimant && entry.state == ClaimState::Claimed
        });
        if may_release {
            self.write(ClaimState::Released, OperationResult::Recorded)
        } else {
            OperationEffect::unchanged(OperationResult::Recorded)
        }
    }

    fn write(&self, state: ClaimState, result: OperationResult) -> OperationEffect {
        let entry = ClaimEntry {
            key: self.key.clone(),
            digest: self.digest,
            claimant: self.claimant.clone(),
            state,
        };
        OperationEffect {
            write: Some(entry),
            result,
        }
    }
}

/// The effect of an operation. The result is valid once `write` is in the store.
pub(crate) struct OperationEffect {
    /// The key's new entry; `None` if it does not change.
    pub write: Option<ClaimEntry>,
    /// The result for the claimant.
    pub result: OperationResult,
}

impl OperationEffect {
    fn unchanged(result: OperationResult) -> Self {
        Self {
            write: None,
            result,
        }
    }
}
