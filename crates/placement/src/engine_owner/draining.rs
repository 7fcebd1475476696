//! Taking an adapter out of service that is in use all the time.

use std::time::{Duration, Instant};

use nutmegsail_base::AdapterRef;

use super::{EngineOwner, OwnerOutput};
use crate::{PlacementAction, PlacementSettings, Presence};

/// How often the pins of an adapter that is drained are recalled.
const RECALL_INTERVAL: Duration = Duration::from_millis(400);

impl EngineOwner {
    /// Stops new use of an adapter that is in use all the time, so that it can be evicted.
    ///
    /// Guards against adapters that hold every slot for ever: each is used again before its pins
    /// come back, and a request for another adapter waits until its deadline.
    pub(super) fn drain(&mut self, adapter: &AdapterRef, now: Instant, out: &mut OwnerOutput) {
        self.slots.begin_drain(adapter, now);
        self.announce(adapter, Presence::Absent, out);
        self.recall(adapter, now, out);
    }

    /// The load that an eviction makes room for gets the slot, also if it waited long for it.
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

    /// Recalls pins again, since a recall may be lost and ends by itself; gives up on an adapter
    /// whose requests run too long.
    pub(super) fn tick_drain(
        &mut self,
        settings: &PlacementSettings,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let Some(adapter) = self.slots.draining().cloned() else {
            return;
        };
        let is_over = self.slots.drain_is_over(settings.drain_patience, now);
        if is_over || self.permits.is_empty() {
            self.slots.end_drain(&adapter, now);
            self.announce(&adapter, Presence::Ready, out);
        } else if self
            .recalled_at
            .is_none_or(|at| now >= at + RECALL_INTERVAL)
        {
            self.recall(&adapter, now, out);
        }
    }
}
