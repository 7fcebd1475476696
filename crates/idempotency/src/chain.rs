//! A writer's cached copy of one chain of records.

use std::collections::BTreeMap;

use nutmegsail_base::StoreNumber;

use crate::{ChainPlace, ClaimRecord, IdempotencyKey, RecordError, StoredRecord};

/// A record and its store revision, which is [`StoreNumber::NONE`] if it does not exist yet.
#[derive(Clone, Debug, Default)]
struct KnownRecord {
    record: ClaimRecord,
    revision: StoreNumber,
}

/// A chain as last read: sealed records, followed by one open record that takes new keys.
///
/// A node may claim a key in the open record only if it has read all records before it, since the
/// key may be in one of them. Sealed records take no new keys, so a cached copy shows all of their
/// keys. The open record is protected by its revision. A record is created only after the one
/// before it was sealed.
#[derive(Debug)]
pub(crate) struct Chain {
    place: ChainPlace,
    records: Vec<KnownRecord>,
    index_by_key: BTreeMap<IdempotencyKey, usize>,
    next_read: Option<usize>,
}

impl Chain {
    /// A chain of which no record has been read.
    pub fn new(place: ChainPlace) -> Self {
        Self {
            place,
            records: Vec::new(),
            index_by_key: BTreeMap::new(),
            next_read: Some(0),
        }
    }

    /// The chain's shard and bucket.
    pub fn place(&self) -> ChainPlace {
        self.place
    }

    /// The record to read before the chain can be written; `None` if the cached copy is complete.
    pub fn next_read(&self) -> Option<usize> {
        self.next_read
    }

    /// Whether the record is cached.
    pub fn is_known(&self, record_index: usize) -> bool {
        record_index < self.records.len()
    }

    /// The index of the record that holds `key`, or else of the open record.
    pub fn record_index_for(&self, key: &IdempotencyKey) -> usize {
        let tail = self.records.len().saturating_sub(1);
        self.index_by_key.get(key).copied().unwrap_or(tail)
    }

    /// A record as last read or written.
    pub fn record(&self, record_index: usize) -> &ClaimRecord {
        &self.records[record_index].record
    }

    /// The revision of a record as last read or written.
    pub fn revision(&self, record_index: usize) -> StoreNumber {
        self.records[record_index].revision
    }

    /// Marks a record to be read again, because the store may hold another version.
    pub fn mark_stale(&mut self, record_index: usize) {
        self.next_read = Some(record_index);
    }

    /// Replaces a cached record by what the store returned.
    pub fn update(
        &mut self,
        record_index: usize,
        stored: Option<StoredRecord>,
    ) -> Result<(), RecordError> {
        match stored {
            Some(stored) => self.update_stored(record_index, &stored),
            None => {
                self.update_absent(record_index);
                Ok(())
            }
        }
    }

    fn update_stored(
        &mut self,
        record_index: usize,
        stored: &StoredRecord,
    ) -> Result<(), RecordError> {
        let record = ClaimRecord::decode(&stored.value)?;
        self.set(record_index, record, stored.revision);
        self.update_next_read();
        Ok(())
    }

    fn update_absent(&mut self, record_index: usize) {
        if self
            .records
            .get(record_index)
            .is_some_and(|s| s.revision != StoreNumber::NONE)
        {
            // The record existed and was removed after its retention, so the whole cached copy is
            // out of date.
            self.records.clear();
            self.index_by_key.clear();
        }
        if record_index == self.records.len() {
            self.records.push(KnownRecord::default());
        }
        self.update_next_read();
    }

    /// Replaces a cached record by what this node has written.
    pub fn update_written(
        &mut self,
        record_index: usize,
        record: ClaimRecord,
        revision: StoreNumber,
    ) {
        let is_sealed = record.is_sealed;
        self.set(record_index, record, revision);
        if is_sealed && record_index + 1 == self.records.len() {
            // The next record may be created only once this one is sealed. It is written with
            // revision 0, which means that it must not exist; if another node created it first,
            // the write conflicts and returns that node's record.
            self.records.push(KnownRecord::default());
        }
        self.update_next_read();
    }

    fn set(&mut self, record_index: usize, record: ClaimRecord, revision: StoreNumber) {
        debug_assert!(
            record_index <= self.records.len(),
            "records are read in order"
        );
        for entry in &record.entries {
            self.index_by_key.insert(entry.key.clone(), record_index);
        }
        let known = KnownRecord { record, revision };
        match self.records.get_mut(record_index) {
            Some(slot) => *slot = known,
            None => self.records.push(known),
        }
    }

    fn update_next_read(&mut self) {
        let is_tail_known = self
            .records
            .last()
            .is_some_and(|known| !known.record.is_sealed);
        self.next_read = (!is_tail_known).then_some(self.records.len());
    }
}
