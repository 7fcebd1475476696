//! The adapter slots of one engine, as known to its owner.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, HeldAdapter};

/// How long an adapter whose drain failed is not drained again.
const DRAIN_RETRY_DELAY: Duration = Duration::from_secs(10);

/// The state of the adapter in a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SlotState {
    /// It serves requests.
    Ready,
    /// Its load was ordered or is in progress.
    Loading,
    /// It serves the requests that use it; no new pin is granted.
    Draining,
    /// Its unload was ordered; no pin is granted.
    Unloading,
}

/// A slot in use.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    pub adapter: AdapterRef,
    pub state: SlotState,
    /// When it became ready, or was first seen if it is not ready yet.
    pub since: Instant,
    /// Only a report requested after this time shows whether it is idle.
    pub idle_report_after: Instant,
    /// When its drain began.
    pub draining_since: Option<Instant>,
    /// Its drain failed; it is not drained again before this time.
    pub no_drain_before: Option<Instant>,
}

impl Slot {
    fn new(adapter: &AdapterRef, state: SlotState, now: Instant) -> Self {
        Self {
            adapter: adapter.clone(),
            state,
            since: now,
            idle_report_after: now,
            draining_since: None,
            no_drain_before: None,
        }
    }
}

/// The changes that a report made to the slots.
#[derive(Debug, Default)]
pub(crate) struct SlotChanges {
    pub became_ready: Vec<AdapterRef>,
    pub became_loading: Vec<AdapterRef>,
    pub vanished: Vec<Slot>,
}

/// The slots in use on one engine, never more than the engine has.
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

    /// Reserves a slot for a load that is about to be ordered.
    pub fn begin_load(&mut self, adapter: &AdapterRef, adapter_slots: u32, now: Instant) {
        assert!(
            self.slots.len() < adapter_slots as usize,
            "a load of {adapter} would oversubscribe the engine's {adapter_slots} slots"
        );
        assert!(self.get(adapter).is_none(), "{adapter} has a slot already");
        let slot = Slot::new(adapter, SlotState::Loading, now);
        self.slots.push(slot);
    }

    /// Marks an adapter as draining, so that no new pin is granted.
    pub fn begin_drain(&mut self, adapter: &AdapterRef, now: Instant) {
        if let Some(slot) = self.get_mut(adapter) {
            slot.state = SlotState::Draining;
            slot.draining_since = Some(now);
        }
    }

    /// Returns an adapter to service after its drain failed.
    pub fn end_drain(&mut self, adapter: &AdapterRef, now: Instant) {
        if let Some(slot) = self.get_mut(adapter) {
            slot.state = SlotState::Ready;
            slot.draining_since = None;
            slot.no_drain_before = Some(now + DRAIN_RETRY_DELAY);
        }
    }

    /// The adapter that is draining; there is at most one.
    pub fn draining(&self) -> Option<&AdapterRef> {
        let draining = self.slots.iter().find(|s| s.state == SlotState::Draining)?;
        Some(&draining.adapter)
    }

    pub fn is_draining(&self) -> bool {
        self.draining().is_some()
    }

    /// Whether the drain in progress has taken longer than `timeout`.
    pub fn has_drain_timed_out(&self, timeout: Duration, now: Instant) -> bool {
        let is_over = |since: Instant| now >= since + timeout;
        let mut slots = self.slots.iter();
        slots.any(|s| s.state == SlotState::Draining && s.draining_since.is_some_and(is_over))
    }

    /// Removes and returns all slots, as after a cold restart.
    pub fn clear(&mut self) -> Vec<Slot> {
        std::mem::take(&mut self.slots)
    }

    /// Marks loads as ready that the report shows as ready. Adds and removes no slot.
    pub fn update_states(&mut self, report: &EngineReport, now: Instant) -> SlotChanges {
        let mut changes = SlotChanges::default();
        for held in &report.adapters {
            let Some(slot) = self.get_mut(&held.adapter) else {
                continue;
            };
            if slot.state == SlotState::Loading && held.state == AdapterState::Ready {
                slot.state = SlotState::Ready;
                slot.since = now;
                slot.idle_report_after = now;
                changes.became_ready.push(held.adapter.clone());
            }
        }
        changes
    }

    /// Replaces the slots by those of the report. Only for a report that reflects every order.
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
                self.add_reported(held, now, &mut changes);
            }
        }
        changes
    }

    /// Returns adapters to service whose unload did not take place.
    fn undo_unloads(&mut self, report: &EngineReport, now: Instant, changes: &mut SlotChanges) {
        for held in &report.adapters {
            let Some(slot) = self.get_mut(&held.adapter) else {
                continue;
            };
            if slot.state == SlotState::Unloading && held.state == AdapterState::Ready {
                slot.state = SlotState::Ready;
                slot.idle_report_after = now;
                changes.became_ready.push(held.adapter.clone());
            }
        }
    }

    fn add_reported(&mut self, held: &HeldAdapter, now: Instant, changes: &mut SlotChanges) {
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
