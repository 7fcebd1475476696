//! What may be evicted from an engine, and what should be.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, EngineReport};

use crate::PlacementSettings;
use crate::ownership::Ownership;
use crate::pin_table::PinTable;
use crate::slot_map::{Slot, SlotMap, SlotState};

/// An owner's knowledge of one engine at one time.
pub(crate) struct Eviction<'a> {
    pub slots: &'a SlotMap,
    pub pins: &'a PinTable,
    pub ownership: &'a Ownership,
    /// The last report and when it was asked for.
    pub report: Option<(&'a EngineReport, Instant)>,
    pub settings: &'a PlacementSettings,
    pub now: Instant,
}

impl Eviction<'_> {
    /// The adapter that is worth least among those that nobody uses. Another version of the
    /// wanted adapter comes last: it serves until the new one is ready.
    pub fn victim(
        &self,
        wanted: &AdapterRef,
        class: Class,
        value: &dyn Fn(&AdapterRef) -> f64,
    ) -> Option<AdapterRef> {
        let evictable = self
            .settled_slots(class)
            .filter(|slot| self.is_evictable(slot));
        least(evictable.map(|slot| (slot.adapter.name == wanted.name, value(&slot.adapter), slot)))
    }

    /// The adapter to stop using, if each is in use: the one that is worth least, with those that
    /// run many requests coming later.
    pub fn victim_in_use(
        &self,
        wanted: &AdapterRef,
        class: Class,
        value: &dyn Fn(&AdapterRef) -> f64,
    ) -> Option<AdapterRef> {
        if !self.is_quiet_over() {
            return None;
        }
        let ready = self
            .settled_slots(class)
            .filter(|slot| slot.state == SlotState::Ready)
            .filter(|slot| slot.no_drain_before.is_none_or(|at| self.now >= at));
        least(ready.map(|slot| {
            let running = self.running_on(&slot.adapter).unwrap_or(0);
            let cost = value(&slot.adapter) * f64::from(1 + running);
            (slot.adapter.name == wanted.name, cost, slot)
        }))
    }

    /// Slots whose adapter has had time to serve the requests that it was loaded for. Without it
    /// two adapters in demand would swap in one slot at each request.
    fn settled_slots(&self, class: Class) -> impl Iterator<Item = &Slot> {
        let residency = match class {
            Class::Urgent => self.settings.min_residency / 2,
            Class::Routine => self.settings.min_residency,
        };
        self.slots
            .iter()
            .filter(move |slot| self.now >= slot.since + residency)
    }

    /// Whether nobody can be using the adapter.
    ///
    /// Guards against evicting an adapter that serves a request, which shows as an answer cut
    /// short. Holds since no node may send without a pin; a node whose pin lapsed may have
    /// requests in flight, which the engine's report, asked for after the lapse, would show as
    /// running or queued; and pins of a former owner have lapsed when the quiet time is over.
    fn is_evictable(&self, slot: &Slot) -> bool {
        let Some((report, taken_at)) = self.report else {
            return false;
        };
        let is_in_service = matches!(slot.state, SlotState::Ready | SlotState::Draining);
        let is_pinned = self.pins.is_pinned(&slot.adapter, self.now);
        if !is_in_service || is_pinned || !self.is_quiet_over() {
            return false;
        }
        let history = self.pins.history(&slot.adapter);
        let proof_after = history.free_since.max(Some(slot.idle_proof_after));
        let is_recent = proof_after.is_none_or(|at| taken_at >= at + self.settings.report_lag);
        let may_be_queued = history.has_lapsed && report.queued > 0;
        is_recent && !may_be_queued && self.running_on(&slot.adapter) == Some(0)
    }

    /// Ends the process rather than evict an adapter that may be in use.
    pub fn assert_evictable(&self, adapter: &AdapterRef) {
        assert!(
            !self.pins.is_pinned(adapter, self.now),
            "{adapter} is pinned and must not be evicted"
        );
        assert!(
            self.is_quiet_over(),
            "{adapter} must not be evicted before a former owner's pins have lapsed"
        );
        assert_eq!(
            self.running_on(adapter),
            Some(0),
            "{adapter} serves requests and must not be evicted"
        );
    }

    fn is_quiet_over(&self) -> bool {
        let quiet_until = self.ownership.quiet_until(self.settings);
        quiet_until.is_some_and(|until| self.now >= until)
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

fn least<'a>(ranked: impl Iterator<Item = (bool, f64, &'a Slot)>) -> Option<AdapterRef> {
    ranked
        .min_by(|a, b| {
            let by_value = a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
            by_value.then_with(|| a.2.adapter.cmp(&b.2.adapter))
        })
        .map(|(_, _, slot)| slot.adapter.clone())
}
