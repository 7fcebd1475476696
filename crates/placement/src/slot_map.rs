//! The adapter slots of one engine, as its owner sees them.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, HeldAdapter};

/// How long an adapter that could not be drained is left alone.
const DRAIN_PAUSE: Duration = Duration::from_secs(10);

/// How far an adapter is on its way into or out of its slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// It serves.
    Ready,
    /// A load was ordered or is under way.
    Loading,
    /// It serves what runs; nobody may start to use it.
    Draining,
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
    /// Since when it is drained.
    pub draining_since: Option<Instant>,
    /// It ran too long to be drained and is left alone until then.
    pub no_drain_before: Option<Instant>,
}

impl Slot {
    fn new(adapter: &AdapterRef, state: SlotState, now: Instant) -> Self {
        Self {
            adapter: adapter.clone(),
            state,
            since: now,
            idle_proof_after: now,
            draining_since: None,
            no_drain_before: None,
        }
    }
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
        let slot = Slot::new(adapter, SlotState::Loading, now);
        self.slots.push(slot);
    }

    /// Stops new use of an adapter.
    pub fn begin_drain(&mut self, adapter: &AdapterRef, now: Instant) {
        if let Some(slot) = self.get_mut(adapter) {
            slot.state = SlotState::Draining;
            slot.draining_since = Some(now);
        }
    }

    /// Puts an adapter back into service that could not be drained.
    pub fn end_drain(&mut self, adapter: &AdapterRef, now: Instant) {
        if let Some(slot) = self.get_mut(adapter) {
            slot.state = SlotState::Ready;
            slot.draining_since = None;
            slot.no_drain_before = Some(now + DRAIN_PAUSE);
        }
    }

    /// The adapter that is drained; one at a time.
    pub fn draining(&self) -> Option<&AdapterRef> {
        let draining = self.slots.iter().find(|s| s.state == SlotState::Draining)?;
        Some(&draining.adapter)
    }

    pub fn is_draining(&self) -> bool {
        self.draining().is_some()
    }

    /// Whether the drain under way has taken longer than `patience`.
    pub fn drain_is_over(&self, patience: Duration, now: Instant) -> bool {
        let is_over = |since: Instant| now >= since + patience;
        let mut slots = self.slots.iter();
        slots.any(|s| s.state == SlotState::Draining && s.draining_since.is_some_and(is_over))
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
        self.slots.push(Slot::new(&held.adapter, state, now));
    }
}
