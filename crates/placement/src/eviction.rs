//! Decides which adapters of an engine may be evicted, and which of them should be.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, EngineReport};

use crate::PlacementSettings;
use crate::ownership::Ownership;
use crate::pin_table::PinTable;
use crate::slot_map::{Slot, SlotMap, SlotState};

/// What the owner of an engine knows about it at `now`.
pub(crate) struct Eviction<'a> {
    pub slots: &'a SlotMap,
    pub pins: &'a PinTable,
    pub ownership: &'a Ownership,
    /// The last report and the time at which it was requested.
    pub report: Option<(&'a EngineReport, Instant)>,
    pub settings: &'a PlacementSettings,
    pub now: Instant,
}

impl Eviction<'_> {
    /// The adapter to evict: the one of lowest value among those not in use. Another version of the
    /// wanted adapter comes last, since it serves until the new version is ready.
    pub fn victim(
        &self,
        wanted: &AdapterRef,
        class: Class,
        value: &dyn Fn(&AdapterRef) -> f64,
    ) -> Option<AdapterRef> {
        let evictable = self
            .slots_past_residency(class)
            .filter(|slot| self.is_evictable(slot));
        lowest_value(
            evictable.map(|slot| (slot.adapter.name == wanted.name, value(&slot.adapter), slot)),
        )
    }

    /// The adapter to drain if every one is in use: the one of lowest value times one plus its
    /// running requests.
    pub fn victim_in_use(
        &self,
        wanted: &AdapterRef,
        class: Class,
        value: &dyn Fn(&AdapterRef) -> f64,
    ) -> Option<AdapterRef> {
        if !self.previous_pins_have_expired() {
            return None;
        }
        let ready = self
            .slots_past_residency(class)
            .filter(|slot| slot.state == SlotState::Ready)
            .filter(|slot| slot.no_drain_before.is_none_or(|at| self.now >= at));
        lowest_value(ready.map(|slot| {
            let running = self.running_on(&slot.adapter).unwrap_or(0);
            let cost = value(&slot.adapter) * f64::from(1 + running);
            (slot.adapter.name == wanted.name, cost, slot)
        }))
    }

    /// The slots whose adapter has been there for the minimum residency, or half of it for an
    /// urgent load, so that it could serve the requests for which it was loaded. Without the
    /// minimum, two adapters in demand would replace each other in one slot at every request.
    fn slots_past_residency(&self, class: Class) -> impl Iterator<Item = &Slot> {
        let residency = match class {
            Class::Urgent => self.settings.min_residency / 2,
            Class::Routine => self.settings.min_residency,
        };
        self.slots
            .iter()
            .filter(move |slot| self.now >= slot.since + residency)
    }

    /// Whether no request can be using the adapter.
    ///
    /// Evicting an adapter in use would cut off a caller's answer. Three rules exclude it. No node
    /// sends a request without a pin. If a pin expired, its holder may still have requests in
    /// flight, so the engine's report, requested after the expiry, must show none running or
    /// queued. Pins granted by previous owners have expired before this owner evicts anything.
    fn is_evictable(&self, slot: &Slot) -> bool {
        let Some((report, taken_at)) = self.report else {
            return false;
        };
        let is_in_service = matches!(slot.state, SlotState::Ready | SlotState::Draining);
        let is_pinned = self.pins.is_pinned(&slot.adapter, self.now);
        if !is_in_service || is_pinned || !self.previous_pins_have_expired() {
            return false;
        }
        let history = self.pins.history(&slot.adapter);
        let report_needed_from = history.free_since.max(Some(slot.idle_report_after));
        let is_recent =
            report_needed_from.is_none_or(|at| taken_at >= at + self.settings.report_lag);
        let may_be_queued = history.has_expired && report.queued > 0;
        is_recent && !may_be_queued && self.running_on(&slot.adapter) == Some(0)
    }

    /// Panics rather than evict an adapter that may be in use.
    pub fn assert_evictable(&self, adapter: &AdapterRef) {
        assert!(
            !self.pins.is_pinned(adapter, self.now),
            "{adapter} is pinned and must not be evicted"
        );
        assert!(
            self.previous_pins_have_expired(),
            "{adapter} must not be evicted before a previous owner's pins have expired"
        );
        assert_eq!(
            self.running_on(adapter),
            Some(0),
            "{adapter} serves requests and must not be evicted"
        );
    }

    fn previous_pins_have_expired(&self) -> bool {
        let evictions_allowed_from = self.ownership.evictions_allowed_from(self.settings);
        evictions_allowed_from.is_some_and(|until| self.now >= until)
    }

    fn running_on(&self, adapter: &AdapterRef) -> Option<u32> {
        let (report, _) = self.report?;
        let held = report
            .adapters
            .iter()
            .find(|held| held.adapter == *adapter)?;
        Some(held.running)
    }
}

fn lowest_value<'a>(ranked: impl Iterator<Item = (bool, f64, &'a Slot)>) -> Option<AdapterRef> {
    ranked
        .min_by(|a, b| {
            let by_value = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
            by_value.then_with(|| a.2.adapter.cmp(&b.2.adapter))
        })
        .map(|(_, _, slot)| slot.adapter.clone())
}
