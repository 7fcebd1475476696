//! The upstreams that recently received each prompt prefix.

use std::num::NonZeroUsize;

use lru::LruCache;

/// An LRU map from the hash of a prompt prefix to the upstream that it was last sent to.
#[derive(Debug)]
pub(crate) struct PrefixTable {
    entries: LruCache<u64, u32>,
}

impl PrefixTable {
    pub(crate) fn new(capacity: usize) -> Self {
        let capacity = NonZeroUsize::new(capacity).unwrap_or(NonZeroUsize::MIN);
        Self {
            entries: LruCache::new(capacity),
        }
    }

    pub(crate) fn upstream_of(&self, prefix: u64) -> Option<usize> {
        self.entries.peek(&prefix).map(|index| *index as usize)
    }

    pub(crate) fn remember(&mut self, prefix: u64, upstream: usize) {
        self.entries.put(prefix, upstream as u32);
    }

    /// An upper bound: the table allocates its full capacity when it is created.
    pub(crate) fn memory_bytes(&self) -> usize {
        const BYTES_PER_ENTRY: usize = 64;
        self.entries.cap().get() * BYTES_PER_ENTRY
    }
}
