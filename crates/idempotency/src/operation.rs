//! Changes to a record, as a claimant asks a shard's writer for them.

use serde::{Deserialize, Serialize};

use crate::{ClaimEntry, ClaimState, Claimant, IdempotencyKey, RequestDigest};

/// What to do with a key's entry. Each operation may be carried out any number of times.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOperation {
    /// Claim the key, unless it is taken.
    Claim,
    /// Record how the claim ended.
    Finish(ClaimState),
    /// Release the claim: the claimant did not run the call and never will.
    ///
    /// Where the claim is not in the record yet, a released entry takes its place. So a claim
    /// that a slow writer or the store carries out later finds itself given up.
    Release,
}

/// One operation on one key, as sent from node to node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterEntry {
    /// The key.
    pub key: IdempotencyKey,
    /// What the call asks for.
    pub digest: RequestDigest,
    /// The claim that this is about.
    pub claimant: Claimant,
    /// What to do.
    pub operation: ClaimOperation,
}

/// What came of an operation. All but [`OperationResult::Failed`] rest on what the store holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum OperationResult {
    /// The store holds the claim: the claimant may dispatch.
    Claimed,
    /// The store holds another claim, or this claim's outcome.
    Existing(ClaimEntry),
    /// The claim was given up before.
    GivenUp,
    /// An outcome or a release is recorded, or has become void.
    Recorded,
    /// The writer could not finish. The operation may have taken effect, or may yet.
    Failed,
}

/// The result of one [`WriterEntry`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WriterResult {
    /// The key.
    pub key: IdempotencyKey,
    /// The claim that the operation was about.
    pub claimant: Claimant,
    /// Whether the operation was to claim.
    pub is_claim: bool,
    /// What came of it.
    pub result: OperationResult,
}

impl WriterEntry {
    /// The entry with its result.
    pub fn with_result(self, result: OperationResult) -> WriterResult {
        WriterResult {
            is_claim: self.is_claim(),
            key: self.key,
            claimant: self.claimant,
            result,
        }
    }

    /// Whether the operation is to claim.
    pub fn is_claim(&self) -> bool {
        matches!(self.operation, ClaimOperation::Claim)
    }

    /// Applies the operation to the key's present entry. Returns the entry to write, if it changes.
    pub(crate) fn apply(&self, present: Option<&ClaimEntry>) -> Applied {
        match &self.operation {
            ClaimOperation::Claim => self.apply_claim(present),
            ClaimOperation::Finish(state) => self.apply_finish(state, present),
            ClaimOperation::Release => self.apply_release(present),
        }
    }

    fn apply_claim(&self, present: Option<&ClaimEntry>) -> Applied {
        let Some(entry) = present else {
            return self.write(ClaimState::Claimed, OperationResult::Claimed);
        };
        if entry.digest != self.digest {
            return Applied::unchanged(OperationResult::Existing(entry.clone()));
        }
        if entry.claimant == self.claimant {
            return Applied::unchanged(match entry.state {
                ClaimState::Claimed => OperationResult::Claimed,
                ClaimState::Released => OperationResult::GivenUp,
                _ => OperationResult::Existing(entry.clone()),
            });
        }
        if self.is_older_than(&entry.claimant) {
            return Applied::unchanged(OperationResult::GivenUp);
        }
        match entry.state {
            ClaimState::Released => self.write(ClaimState::Claimed, OperationResult::Claimed),
            _ => Applied::unchanged(OperationResult::Existing(entry.clone())),
        }
    }

    /// Whether the same incarnation has made a later claim for this key, so that this message is
    /// late: an incarnation makes a second claim only after it gave up the first.
    fn is_older_than(&self, other: &Claimant) -> bool {
        self.claimant.node == other.node
            && self.claimant.incarnation == other.incarnation
            && self.claimant.number < other.number
    }

    fn apply_finish(&self, state: &ClaimState, present: Option<&ClaimEntry>) -> Applied {
        let is_open = present.is_some_and(|entry| {
            entry.claimant == self.claimant && entry.state == ClaimState::Claimed
        });
        if is_open {
            self.write(state.clone(), OperationResult::Recorded)
        } else {
            Applied::unchanged(OperationResult::Recorded)
        }
    }

    fn apply_release(&self, present: Option<&ClaimEntry>) -> Applied {
        let is_due = present.is_none_or(|entry| {
            entry.claimant == self.claimant && entry.state == ClaimState::Claimed
        });
        if is_due {
            self.write(ClaimState::Released, OperationResult::Recorded)
        } else {
            Applied::unchanged(OperationResult::Recorded)
        }
    }

    fn write(&self, state: ClaimState, result: OperationResult) -> Applied {
        let entry = ClaimEntry {
            key: self.key.clone(),
            digest: self.digest,
            claimant: self.claimant.clone(),
            state,
        };
        Applied {
            write: Some(entry),
            result,
        }
    }
}

/// What an operation comes to, once `write` is in the store.
pub(crate) struct Applied {
    /// The key's new entry.
    pub write: Option<ClaimEntry>,
    /// What to tell the claimant.
    pub result: OperationResult,
}

impl Applied {
    fn unchanged(result: OperationResult) -> Self {
        Self {
            write: None,
            result,
        }
    }
}
