//! Index from each adapter to the upstreams that hold it.

use std::collections::HashMap;
use std::time::Instant;

use nutmegsail_base::AdapterRef;
use smallvec::SmallVec;

/// An upstream that holds an adapter or is loading it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Holder {
    pub(crate) upstream: u32,
    pub(crate) is_ready: bool,
}

/// When the router asked placement to load an adapter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct LoadRequest {
    pub(crate) first: Instant,
    pub(crate) last: Instant,
}

/// The holders of one adapter and the pending request to load it.
#[derive(Clone, Debug, Default)]
pub(crate) struct AdapterEntry {
    pub(crate) holders: SmallVec<[Holder; 4]>,
    pub(crate) load_request: Option<LoadRequest>,
}

/// Maps adapters to the upstreams that hold them. An adapter without holders or a pending load has
/// no entry.
#[derive(Debug, Default)]
pub(crate) struct AdapterIndex {
    entries: HashMap<AdapterRef, AdapterEntry>,
    pending_loads: usize,
}

impl AdapterIndex {
    pub(crate) fn holders(&self, adapter: &AdapterRef) -> &[Holder] {
        self.entries
            .get(adapter)
            .map_or(&[], |entry| entry.holders.as_slice())
    }

    pub(crate) fn load_request(&self, adapter: &AdapterRef) -> Option<LoadRequest> {
        self.entries.get(adapter)?.load_request
    }

    /// Number of loads that were requested and have not finished.
    pub(crate) fn pending_loads(&self) -> usize {
        self.pending_loads
    }

    pub(crate) fn record_load_request(&mut self, adapter: &AdapterRef, now: Instant) {
        let entry = self.entries.entry(adapter.clone()).or_default();
        match &mut entry.load_request {
            Some(load_request) => load_request.last = now,
            None => {
                entry.load_request = Some(LoadRequest {
                    first: now,
                    last: now,
                });
                self.pending_loads += 1;
            }
        }
    }

    pub(crate) fn clear_load_request(&mut self, adapter: &AdapterRef) -> Option<LoadRequest> {
        let entry = self.entries.get_mut(adapter)?;
        let load_request = entry.load_request.take();
        self.pending_loads -= usize::from(load_request.is_some());
        self.remove_if_empty(adapter);
        load_request
    }

    /// Removes load requests that were not repeated since `before`.
    pub(crate) fn expire_load_requests(&mut self, before: Instant) {
        for entry in self.entries.values_mut() {
            if entry
                .load_request
                .is_some_and(|load_request| load_request.last < before)
            {
                entry.load_request = None;
                self.pending_loads -= 1;
            }
        }
        self.entries
            .retain(|_, entry| entry.load_request.is_some() || !entry.holders.is_empty());
    }

    /// Records whether `adapter` is ready (`true`) or loading (`false`) on `upstream`; `None`
    /// removes it.
    pub(crate) fn set(&mut self, adapter: &AdapterRef, upstream: usize, is_ready: Option<bool>) {
        let upstream = upstream as u32;
        let entry = self.entries.entry(adapter.clone()).or_default();
        entry.holders.retain(|holder| holder.upstream != upstream);
        if let Some(is_ready) = is_ready {
            entry.holders.push(Holder { upstream, is_ready });
        }
        self.remove_if_empty(adapter);
    }

    pub(crate) fn memory_bytes(&self) -> usize {
        const NAME_BYTES: usize = 64;
        let entry = size_of::<AdapterEntry>() + size_of::<AdapterRef>() + NAME_BYTES;
        self.entries.capacity() * entry
    }

    fn remove_if_empty(&mut self, adapter: &AdapterRef) {
        let is_empty =
            |entry: &AdapterEntry| entry.holders.is_empty() && entry.load_request.is_none();
        if self.entries.get(adapter).is_some_and(is_empty) {
            self.entries.remove(adapter);
        }
    }
}
