//! A fake engine with room for every request and few adapter slots.

use std::collections::BTreeMap;

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, HeldAdapter, Incarnation};

/// What one slot holds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Held {
    pub(crate) is_ready: bool,
    pub(crate) running: u32,
    /// When the last request began, in steps. For the LRU.
    pub(crate) used_at: u64,
}

#[derive(Debug)]
pub(crate) struct SlotEngine {
    pub(crate) slots: usize,
    pub(crate) held: BTreeMap<usize, Held>,
    pub(crate) incarnation: u64,
    pub(crate) order_seq: u64,
}

impl SlotEngine {
    pub(crate) fn new(slots: usize) -> Self {
        Self {
            slots,
            held: BTreeMap::new(),
            incarnation: 1,
            order_seq: 0,
        }
    }

    pub(crate) fn is_ready(&self, adapter: usize) -> bool {
        self.held.get(&adapter).is_some_and(|held| held.is_ready)
    }

    pub(crate) fn begin(&mut self, adapter: usize, step: u64) {
        if let Some(held) = self.held.get_mut(&adapter) {
            held.running += 1;
            held.used_at = step;
        }
    }

    pub(crate) fn end(&mut self, adapter: usize) {
        if let Some(held) = self.held.get_mut(&adapter) {
            held.running = held.running.saturating_sub(1);
        }
    }

    pub(crate) fn loaded(&mut self, adapter: usize, is_complete: bool) {
        if !is_complete {
            self.held.remove(&adapter);
        } else if let Some(held) = self.held.get_mut(&adapter) {
            held.is_ready = true;
        }
    }

    pub(crate) fn restart(&mut self) {
        self.incarnation += 1;
        self.order_seq = 0;
        self.held.clear();
    }

    pub(crate) fn report(&self) -> EngineReport {
        let held = |(adapter, held): (&usize, &Held)| HeldAdapter {
            adapter: adapter_ref(*adapter),
            state: if held.is_ready {
                AdapterState::Ready
            } else {
                AdapterState::Loading
            },
            running: held.running,
        };
        EngineReport {
            incarnation: Incarnation(self.incarnation),
            order_seq: self.order_seq,
            fence: 0,
            adapters: self.held.iter().map(held).collect(),
            adapter_slots: self.slots as u32,
            in_flight: self.held.values().map(|held| held.running).sum(),
            queued: 0,
            batch_slots: 1_000,
            is_leaving: false,
        }
    }
}

pub(crate) fn adapter_ref(adapter: usize) -> AdapterRef {
    AdapterRef::new(format!("adapter-{adapter}"), 1)
}

pub(crate) fn adapter_index(adapter: &AdapterRef) -> usize {
    let number = adapter.name.trim_start_matches("adapter-");
    number.parse().expect("an adapter of the simulation")
}
