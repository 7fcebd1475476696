//! The adapter slots of one engine, as its owner sees them.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, HeldAdapter};

/// How far an adapter is on its way into or out of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// It serves.
    Ready,
    /// A load was ordered or is under way.
    Loading,
    /// An unload was ordered; nobody may start to use it.
    Unloading,
}

/// One slot that is taken.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub adapter: AdapterRef,
    pub state: SlotState,
    /// When it was first seen here.
    pub since: Instant,
    /// A report on it counts only if taken after this time.
    pub idle_proof_after: Instant,
}

/// What a report changed.
#[derive(Debug, Default)]
pub(crate) struct SlotChanges {
    pub became_ready: Vec<AdapterRef>,
    pub became_loading: Vec<AdapterRef>,
    pub vanished: Vec<Slot>,
}

/// The slots of one engine. There are never more than the engine has.
#[derive(Debug, Default)]
pub(crate) struct SlotMap {
    slots: Vec<Slot>,
}

impl SlotMap {
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    pub fn iter(&self) -> impl Iterator<Item = &Slot> {
        self.slots.iter()
    }

    pub fn get(&self, adapter: &AdapterRef) -> Option<&Slot> {
        self.slots.iter().find(|slot| slot.adapter == *adapter)
    }

    pub fn get_mut(&mut self, adapter: &AdapterRef) -> Option<&mut Slot> {
        self.slots.iter_mut().find(|slot| slot.adapter == *adapter)
    }

    pub fn remove(&mut self, adapter: &AdapterRef) -> Option<Slot> {
        let at = self.slots.iter().position(|s| s.adapter == *adapter)?;
        Some(self.slots.swap_remove(at))
    }

    /// Takes a slot for a load that is about to be ordered.
    pub fn begin_load(&mut self, adapter: &AdapterRef, adapter_slots: u32, now: Instant) {
        assert!(
            self.slots.len() < adapter_slots as usize,
            "a load of {adapter} would oversubscribe the engine's {adapter_slots} slots"
        );
        assert!(self.get(adapter).is_none(), "{adapter} has a slot already");
        self.slots.push(Slot {
            adapter: adapter.clone(),
            state: SlotState::Loading,
            since: now,
            idle_proof_after: now,
        });
    }

    /// Empties the map and returns what was in it, as after a cold restart.
    pub fn clear(&mut self) -> Vec<Slot> {
        std::mem::take(&mut self.slots)
    }

    /// Takes over states of slots that both sides know.
    pub fn update_states(&mut self, report: &EngineReport, now: Instant) -> SlotChanges {
        let mut changes = SlotChanges::default();
        for held in &report.adapters {
            let Some(slot) = self.get_mut(&held.adapter) else {
                continue;
            };
            if slot.state == SlotState::Loading && held.state == AdapterState::Ready {
                slot.state = SlotState::Ready;
                slot.since = now;
                slot.idle_proof_after = now;
                changes.became_ready.push(held.adapter.clone());
            }
        }
        changes
    }

    /// Makes the map what the report says. Only for a report that knows of every order.
    pub fn reconcile(&mut self, report: &EngineReport, now: Instant) -> SlotChanges {
        let mut changes = self.update_states(report, now);
        let is_reported = |slot: &Slot| report.adapters.iter().any(|h| h.adapter == slot.adapter);
        self.undo_unloads(report, now, &mut changes);
        changes.vanished = self
            .slots
            .extract_if(.., |slot| !is_reported(slot))
            .collect();
        for held in &report.adapters {
            if self.get(&held.adapter).is_none() {
                self.adopt(held, now, &mut changes);
            }
        }
        changes
    }

    /// An unload that did not happen: the adapter still serves.
    fn undo_unloads(&mut self, report: &EngineReport, now: Instant, changes: &mut SlotChanges) {
        for held in &report.adapters {
            let Some(slot) = self.get_mut(&held.adapter) else {
                continue;
            };
            if slot.state == SlotState::Unloading && held.state == AdapterState::Ready {
                slot.state = SlotState::Ready;
                slot.idle_proof_after = now;
                changes.became_ready.push(held.adapter.clone());
            }
        }
    }

    fn adopt(&mut self, held: &HeldAdapter, now: Instant, changes: &mut SlotChanges) {
        let state = match held.state {
            AdapterState::Ready => SlotState::Ready,
            AdapterState::Loading => SlotState::Loading,
        };
        match state {
            SlotState::Ready => changes.became_ready.push(held.adapter.clone()),
            _ => changes.became_loading.push(held.adapter.clone()),
        }
        self.slots.push(Slot {
            adapter: held.adapter.clone(),
            state,
            since: now,
            idle_proof_after: now,
        });
    }
}
