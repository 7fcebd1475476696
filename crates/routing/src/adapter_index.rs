//! Which upstreams hold which adapters.

use std::collections::HashMap;
use std::time::Instant;

use nutmegsail_base::AdapterRef;
use smallvec::SmallVec;

/// An adapter on an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) upstream: u32,
    pub(crate) is_ready: bool,
}

/// A load that the router asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Want {
    pub(crate) first: Instant,
    pub(crate) last: Instant,
}

/// What is known of one adapter.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterEntry {
    pub(crate) holders: SmallVec<[Holder; 4]>,
    pub(crate) want: Option<Want>,
}

/// Which upstreams hold which adapters. Adapters that no upstream holds take no memory.
#[derive(Debug, Default)]
pub(crate) struct AdapterIndex {
    entries: HashMap<AdapterRef, AdapterEntry>,
    wants: usize,
}

impl AdapterIndex {
    pub(crate) fn holders(&self, adapter: &AdapterRef) -> &[Holder] {
        self.entries
            .get(adapter)
            .map_or(&[], |entry| entry.holders.as_slice())
    }

    pub(crate) fn want(&self, adapter: &AdapterRef) -> Option<Want> {
        self.entries.get(adapter)?.want
    }

    /// Loads that were asked for and are not ready yet.
    pub(crate) fn wants(&self) -> usize {
        self.wants
    }

    pub(crate) fn set_want(&mut self, adapter: &AdapterRef, now: Instant) {
        let entry = self.entries.entry(adapter.clone()).or_default();
        match &mut entry.want {
            Some(want) => want.last = now,
            None => {
                entry.want = Some(Want {
                    first: now,
                    last: now,
                });
                self.wants += 1;
            }
        }
    }

    pub(crate) fn clear_want(&mut self, adapter: &AdapterRef) -> Option<Want> {
        let entry = self.entries.get_mut(adapter)?;
        let want = entry.want.take();
        self.wants -= usize::from(want.is_some());
        self.drop_if_empty(adapter);
        want
    }

    /// Forgets loads that nobody asked for since `before`.
    pub(crate) fn forget_wants(&mut self, before: Instant) {
        for entry in self.entries.values_mut() {
            if entry.want.is_some_and(|want| want.last < before) {
                entry.want = None;
                self.wants -= 1;
            }
        }
        self.entries
            .retain(|_, entry| entry.want.is_some() || !entry.holders.is_empty());
    }

    /// Sets how far `adapter` is on `upstream`; `None` removes it.
    pub(crate) fn set(&mut self, adapter: &AdapterRef, upstream: usize, is_ready: Option<bool>) {
        let upstream = upstream as u32;
        let entry = self.entries.entry(adapter.clone()).or_default();
        entry.holders.retain(|holder| holder.upstream != upstream);
        if let Some(is_ready) = is_ready {
            entry.holders.push(Holder { upstream, is_ready });
        }
        self.drop_if_empty(adapter);
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        const NAME_BYTES: usize = 64;
        let entry = size_of::<AdapterEntry>() + size_of::<AdapterRef>() + NAME_BYTES;
        self.entries.capacity() * entry
    }

    fn drop_if_empty(&mut self, adapter: &AdapterRef) {
        let is_empty = |entry: &AdapterEntry| entry.holders.is_empty() && entry.want.is_none();
        if self.entries.get(adapter).is_some_and(is_empty) {
            self.entries.remove(adapter);
        }
    }
}
