//! Requests that wait for a pin, and the pins that this node holds.

#[cfg(test)]
mod tests;

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, AdapterState, Class, EngineReport, UpstreamId};
use nutmegsail_placement::{PinCache, PinCacheAction, PinUse};
use nutmegsail_wire::{PinAnswer, PinOutcome, PinRecall};

use crate::loader_message::TakePin;
use crate::pin_hold::PinHold;

/// How long a request waits for a pin before it is routed anew.
const PIN_WAIT: Duration = Duration::from_secs(2);

struct Waiter {
    request: TakePin,
    since: Instant,
}

impl Waiter {
    /// Hands the pin over. The request may have gone, even after the pin was put into its channel;
    /// the pin is dropped with the channel then, and so given back. Were the request told and left
    /// to make the hold itself, such a pin would stay in use for ever and its adapter in its slot.
    fn serve(self) {
        let TakePin {
            engine,
            adapter,
            loader,
            held,
            ..
        } = self.request;
        drop(held.send(PinHold::new(engine, adapter, loader)));
    }
}

/// Requests that wait for a pin, and the pins that this node holds.
#[derive(Default)]
pub(crate) struct PinDesk {
    pins: PinCache,
    waiters: HashMap<(UpstreamId, AdapterRef), Vec<Waiter>>,
    /// Adapters that each engine's last report shows as ready.
    ready: HashMap<UpstreamId, HashSet<AdapterRef>>,
}

impl PinDesk {
    /// Lets a request use a pin: at once, or once its owner grants it. Returns the number of an ask
    /// that has to be sent to the owner.
    pub(crate) fn take(&mut self, request: TakePin, now: Instant) -> Option<u64> {
        let (engine, adapter) = (request.engine.clone(), request.adapter.clone());
        let waiter = Waiter {
            request,
            since: now,
        };
        let pin_use = self.pins.may_send(&engine, &adapter, now);
        if matches!(pin_use, PinUse::Held { .. }) && self.pins.begin(&engine, &adapter, now) {
            waiter.serve();
            return None;
        }
        let ask_id = (pin_use == PinUse::Ask).then(|| self.pins.ask(&engine, &adapter, now));
        let waiters = self.waiters.entry((engine, adapter)).or_default();
        waiters.push(waiter);
        ask_id
    }

    /// A request no longer uses its pin.
    pub(crate) fn returned(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) {
        self.pins.returned(engine, adapter, now);
    }

    /// The owner wants a pin back.
    pub(crate) fn recalled(&mut self, recall: &PinRecall, now: Instant) {
        self.pins.recalled(&recall.engine, &recall.adapter, now);
    }

    /// The owner answered an ask.
    pub(crate) fn answered(&mut self, answer: PinAnswer, now: Instant) {
        let PinAnswer {
            ask_id,
            engine,
            adapter,
            outcome,
        } = answer;
        match outcome {
            PinOutcome::Granted { ttl_ms } => {
                let lease = Duration::from_millis(u64::from(ttl_ms));
                self.pins.granted(&engine, &adapter, ask_id, lease);
                self.serve_waiters(engine, adapter, now);
            }
            PinOutcome::Refused { retry_after_ms } => {
                let retry_after = Duration::from_millis(u64::from(retry_after_ms));
                self.pins
                    .refused(&engine, &adapter, ask_id, retry_after, now);
                // While an engine changes hands nobody can grant a pin on what it still holds.
                // Turned away at once, its requests would use up their attempts within
                // milliseconds; so they wait for the new owner, up to `PIN_WAIT`.
                if !self.is_ready(&engine, &adapter) {
                    self.waiters.remove(&(engine, adapter));
                }
            }
        }
    }

    /// An engine's report came in.
    pub(crate) fn reported(&mut self, engine: &UpstreamId, report: &EngineReport) {
        let held = report.adapters.iter();
        let ready = held.filter(|held| held.state == AdapterState::Ready);
        let ready = ready.map(|held| held.adapter.clone()).collect();
        self.ready.insert(engine.clone(), ready);
    }

    /// An engine cannot be reached any more.
    pub(crate) fn engine_gone(&mut self, engine: &UpstreamId) {
        self.ready.remove(engine);
    }

    /// The class of the most urgent request that waits for a pin.
    pub(crate) fn class_of(&self, engine: &UpstreamId, adapter: &AdapterRef) -> Class {
        let key = (engine.clone(), adapter.clone());
        let waiting = self.waiters.get(&key).into_iter().flatten();
        let most_urgent = waiting.map(|waiter| waiter.request.class).min();
        most_urgent.unwrap_or_default()
    }

    /// Renews pins, gives idle ones back, asks again, and turns away who has waited too long.
    pub(crate) fn tick(&mut self, now: Instant) -> Vec<PinCacheAction> {
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| now.saturating_duration_since(waiter.since) < PIN_WAIT);
        }
        self.waiters.retain(|_, waiters| !waiters.is_empty());
        let mut actions = Vec::new();
        self.pins.tick(now, &mut actions);
        for (engine, adapter) in self.waiters.keys() {
            if self.pins.may_send(engine, adapter, now) == PinUse::Ask {
                actions.push(PinCacheAction::Ask {
                    ask_id: self.pins.ask(engine, adapter, now),
                    engine: engine.clone(),
                    adapter: adapter.clone(),
                });
            }
        }
        actions
    }

    fn is_ready(&self, engine: &UpstreamId, adapter: &AdapterRef) -> bool {
        let ready = self.ready.get(engine);
        ready.is_some_and(|ready| ready.contains(adapter))
    }

    fn serve_waiters(&mut self, engine: UpstreamId, adapter: AdapterRef, now: Instant) {
        let key = (engine, adapter);
        let Some(waiters) = self.waiters.remove(&key) else {
            return;
        };
        let (engine, adapter) = key;
        for waiter in waiters {
            if self.pins.begin(&engine, &adapter, now) {
                waiter.serve();
            }
        }
    }
}
