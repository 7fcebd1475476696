//! Draining: takes an adapter that is always in use out of service, so that it can be evicted.

use std::time::{Duration, Instant};

use nutmegsail_base::AdapterRef;

use super::{EngineOwner, OwnerOutput};
use crate::{PlacementAction, PlacementSettings, Presence};

/// How often the pins of a draining adapter are recalled.
const RECALL_INTERVAL: Duration = Duration::from_millis(400);

impl EngineOwner {
    /// Stops new use of an adapter whose slot another one needs, and recalls its pins.
    ///
    /// Without draining, adapters in constant use would keep every slot: each is used again before
    /// its pins are returned, and a request for another adapter waits until its deadline.
    pub(super) fn start_drain(
        &mut self,
        adapter: &AdapterRef,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.slots.begin_drain(adapter, now);
        self.publish_state(adapter, Presence::Absent, out);
        self.recall(adapter, now, out);
    }

    /// Restarts the timeout of a permit, so that a load that waited long for an eviction still gets
    /// the slot that the eviction frees.
    pub(super) fn extend_permit(&mut self, adapter: &AdapterRef, now: Instant) {
        for permit in self.permits.iter_mut().filter(|p| p.adapter == *adapter) {
            permit.since = now;
        }
    }

    pub(super) fn recall(&mut self, adapter: &AdapterRef, now: Instant, out: &mut OwnerOutput) {
        self.recalled_at = Some(now);
        for to in self.pins.holders(adapter, now) {
            out.actions.push(PlacementAction::RecallPin {
                to: to.clone(),
                engine: self.plan.upstream.clone(),
                adapter: adapter.clone(),
            });
        }
    }

    /// Recalls pins again, since a recall may be lost and expires. Returns the adapter to service
    /// when its requests run for too long or no permitted load needs the slot any more.
    pub(super) fn tick_drain(
        &mut self,
        settings: &PlacementSettings,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let Some(adapter) = self.slots.draining().cloned() else {
            return;
        };
        let is_over = self.slots.has_drain_timed_out(settings.drain_timeout, now);
        if is_over || self.permits.is_empty() {
            self.slots.end_drain(&adapter, now);
            self.publish_state(&adapter, Presence::Ready, out);
        } else if self
            .recalled_at
            .is_none_or(|at| now >= at + RECALL_INTERVAL)
        {
            self.recall(&adapter, now, out);
        }
    }
}
