//! A group of operations that is written together.

use bytes::Bytes;

use crate::queued::{QueuedOperation, Reply};
use crate::{ClaimRecord, ClaimSettings, OperationResult};

/// About the size of a stored claim without its answer, in bytes.
const CLAIM_BYTES: usize = 230;

/// A record on its way into the store, with what becomes of each operation once it is there.
#[derive(Debug)]
pub(crate) struct Commit {
    /// The record's number in its chain.
    pub segment: usize,
    /// The record as it will be.
    pub record: ClaimRecord,
    /// The operations with their results.
    pub operations: Vec<(QueuedOperation, OperationResult)>,
}

impl Commit {
    /// Whether the record takes no more keys.
    pub fn is_full(&self, settings: &ClaimSettings) -> bool {
        self.record.entries.len() >= (settings.record_bytes / CLAIM_BYTES).max(1)
    }

    /// Applies an operation.
    pub fn add(&mut self, operation: QueuedOperation) {
        let applied = operation
            .entry
            .apply(self.record.find(&operation.entry.key));
        if let Some(entry) = applied.write {
            self.record.put(entry);
        }
        self.operations.push((operation, applied.result));
    }

    /// The value to write; a record that is full is sealed with it.
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

/// The results for those who asked.
pub(crate) fn replies_of(
    operations: Vec<(QueuedOperation, OperationResult)>,
) -> impl Iterator<Item = Reply> {
    operations
        .into_iter()
        .map(|(operation, result)| operation.reply(result))
}
