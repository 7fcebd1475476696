//! A group of operations that one store write carries out.

use bytes::Bytes;

use crate::queued::{QueuedOperation, Reply};
use crate::{ClaimRecord, ClaimSettings, OperationResult};

/// The approximate size of a stored claim without its answer.
const CLAIM_BYTES: usize = 230;

/// The new version of a record, and the result that each operation has once it is written.
#[derive(Debug)]
pub(crate) struct Commit {
    /// The record's index in its chain.
    pub record_index: usize,
    /// The record with the operations applied.
    pub record: ClaimRecord,
    /// The operations and their results.
    pub operations: Vec<(QueuedOperation, OperationResult)>,
}

impl Commit {
    /// Whether the record has no space for more keys.
    pub fn is_full(&self, settings: &ClaimSettings) -> bool {
        self.record.entries.len() >= (settings.record_bytes / CLAIM_BYTES).max(1)
    }

    /// Applies an operation to the record.
    pub fn add(&mut self, operation: QueuedOperation) {
        let applied = operation
            .entry
            .apply(self.record.find(&operation.entry.key));
        if let Some(entry) = applied.write {
            self.record.put(entry);
        }
        self.operations.push((operation, applied.result));
    }

    /// Returns the encoded record to write, and seals the record if it is full.
    pub fn seal_if_full(&mut self, settings: &ClaimSettings) -> Bytes {
        let value = self.record.encode();
        if self.record.is_sealed
            || !(self.is_full(settings) || value.len() >= settings.record_bytes)
        {
            return value;
        }
        self.record.is_sealed = true;
        self.record.encode()
    }
}

/// The replies to the requesters of the operations.
pub(crate) fn into_replies(
    operations: Vec<(QueuedOperation, OperationResult)>,
) -> impl Iterator<Item = Reply> {
    operations
        .into_iter()
        .map(|(operation, result)| operation.reply(result))
}
