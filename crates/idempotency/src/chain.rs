//! What a writer knows of one chain of records.

use std::collections::BTreeMap;

use nutmegsail_base::StoreNumber;

use crate::{ChainPlace, ClaimRecord, IdempotencyKey, RecordError, StoredRecord};

/// A record with the revision that the store gave it; [`StoreNumber::NONE`]: it does not exist yet.
#[derive(Clone, Debug, Default)]
struct Segment {
    record: ClaimRecord,
    revision: StoreNumber,
}

/// A chain as last seen: sealed records, then the one that takes new keys.
///
/// A key may be claimed in the last record only by somebody who knows every record before it.
/// Those are sealed, so their keys are final; the last one is guarded by its revision. The next
/// record is only ever created after the one before it was sealed.
#[derive(Debug)]
pub(crate) struct Chain {
    place: ChainPlace,
    segments: Vec<Segment>,
    segment_of: BTreeMap<IdempotencyKey, usize>,
    next_read: Option<usize>,
}

impl Chain {
    /// A chain of which nothing is known.
    pub fn new(place: ChainPlace) -> Self {
        Self {
            place,
            segments: Vec::new(),
            segment_of: BTreeMap::new(),
            next_read: Some(0),
        }
    }

    /// Where the chain lies.
    pub fn place(&self) -> ChainPlace {
        self.place
    }

    /// The record that must be read before anything is written.
    pub fn next_read(&self) -> Option<usize> {
        self.next_read
    }

    /// Whether the record has been seen.
    pub fn knows(&self, segment: usize) -> bool {
        segment < self.segments.len()
    }

    /// The record that holds `key`, or else the one that takes new keys.
    pub fn segment_for(&self, key: &IdempotencyKey) -> usize {
        let tail = self.segments.len().saturating_sub(1);
        self.segment_of.get(key).copied().unwrap_or(tail)
    }

    /// A record as last seen.
    pub fn record(&self, segment: usize) -> &ClaimRecord {
        &self.segments[segment].record
    }

    /// The revision of a record as last seen.
    pub fn revision(&self, segment: usize) -> StoreNumber {
        self.segments[segment].revision
    }

    /// Asks for a record to be read again: what the store holds is not known.
    pub fn distrust(&mut self, segment: usize) {
        self.next_read = Some(segment);
    }

    /// Takes in a record as the store holds it now.
    pub fn adopt(
        &mut self,
        segment: usize,
        stored: Option<StoredRecord>,
    ) -> Result<(), RecordError> {
        match stored {
            Some(stored) => self.adopt_stored(segment, &stored),
            None => {
                self.adopt_absent(segment);
                Ok(())
            }
        }
    }

    fn adopt_stored(&mut self, segment: usize, stored: &StoredRecord) -> Result<(), RecordError> {
        let record = ClaimRecord::decode(&stored.value)?;
        self.set(segment, record, stored.revision);
        self.find_tail();
        Ok(())
    }

    fn adopt_absent(&mut self, segment: usize) {
        if self
            .segments
            .get(segment)
            .is_some_and(|s| s.revision != StoreNumber::NONE)
        {
            // The record was there and is gone: past its retention. Nothing known still holds.
            self.segments.clear();
            self.segment_of.clear();
        }
        if segment == self.segments.len() {
            self.segments.push(Segment::default());
        }
        self.find_tail();
    }

    /// Takes in a record that this node wrote.
    pub fn committed(&mut self, segment: usize, record: ClaimRecord, revision: StoreNumber) {
        let is_sealed = record.is_sealed;
        self.set(segment, record, revision);
        if is_sealed && segment + 1 == self.segments.len() {
            // Only now may the next record come into being. Revision 0 says "create it"; should
            // somebody else be faster, the conflict shows their record.
            self.segments.push(Segment::default());
        }
        self.find_tail();
    }

    fn set(&mut self, segment: usize, record: ClaimRecord, revision: StoreNumber) {
        debug_assert!(segment <= self.segments.len(), "records are read in order");
        for entry in &record.entries {
            self.segment_of.insert(entry.key.clone(), segment);
        }
        let known = Segment { record, revision };
        match self.segments.get_mut(segment) {
            Some(slot) => *slot = known,
            None => self.segments.push(known),
        }
    }

    fn find_tail(&mut self) {
        let is_tail_known = self
            .segments
            .last()
            .is_some_and(|segment| !segment.record.is_sealed);
        self.next_read = (!is_tail_known).then_some(self.segments.len());
    }
}
