//! The pins that this node holds on engines, which may be owned by any node.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, UpstreamId};

/// How long a recall is in effect unless it is repeated.
const RECALL_TTL: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinUse {
    /// Yes, if the request is sent before `until`.
    Held {
        /// When the pin expires for this node.
        until: Instant,
    },
    /// Not yet: request the pin from the engine's owner.
    Ask,
    /// Not yet: a pin request is not answered yet, or the owner refused or recalled the pin a short
    /// time ago.
    Wait,
}

/// An action for the node to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PinCacheAction {
    /// Request the pin, or its renewal, from the engine's owner.
    Ask {
        /// The number of the pin request.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// Return the pin to the engine's owner.
    Return {
        /// The number of the last pin request that was granted.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
}

/// Settings of the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinCacheSettings {
    /// How much earlier a pin expires for this node than for the owner.
    pub margin: Duration,
    /// How long an unused pin is kept.
    pub idle_return: Duration,
    /// How long an unanswered pin request is waited for before it is repeated.
    pub request_timeout: Duration,
}

impl Default for PinCacheSettings {
    fn default() -> Self {
        Self {
            margin: Duration::from_secs(1),
            idle_return: Duration::from_secs(1),
            request_timeout: Duration::from_millis(500),
        }
    }
}

#[derive(Debug)]
struct PendingPinRequest {
    ask_id: u64,
    requested_at: Instant,
}

#[derive(Debug)]
struct CachedPin {
    /// When the pin expires for this node: never later than the owner's lease minus the margin.
    until: Option<Instant>,
    renew_at: Option<Instant>,
    granted_id: u64,
    pending: Option<PendingPinRequest>,
    wait_until: Option<Instant>,
    /// A recall is in effect until this time: no new request is sent.
    recalled_until: Option<Instant>,
    in_use: u32,
    last_used: Instant,
}

impl CachedPin {
    fn new(now: Instant) -> Self {
        Self {
            until: None,
            renew_at: None,
            granted_id: 0,
            pending: None,
            wait_until: None,
            recalled_until: None,
            in_use: 0,
            last_used: now,
        }
    }

    fn is_recalled(&self, now: Instant) -> bool {
        self.recalled_until.is_some_and(|until| now < until)
    }

    fn held_until(&self, now: Instant) -> Option<Instant> {
        self.until.filter(|until| *until > now)
    }
}

/// The pins that this node holds, with the number of requests that use each.
///
/// ```
/// use std::time::{Duration, Instant};
/// use nutmegsail_base::{AdapterRef, UpstreamId};
/// use nutmegsail_placement::{PinCache, PinUse};
///
/// let (engine, adapter) = (UpstreamId::from("10.0.0.1:80"), AdapterRef::new("notes", 1));
/// let mut pins = PinCache::default();
/// let now = Instant::now();
/// assert_eq!(pins.may_send(&engine, &adapter, now), PinUse::Ask);
/// let ask_id = pins.ask(&engine, &adapter, now);
/// assert_eq!(pins.may_send(&engine, &adapter, now), PinUse::Wait);
/// pins.granted(&engine, &adapter, ask_id, Duration::from_secs(10));
/// let until = now + Duration::from_secs(9);
/// assert_eq!(pins.may_send(&engine, &adapter, now), PinUse::Held { until });
/// assert!(pins.begin(&engine, &adapter, now));
/// ```
#[derive(Debug, Default)]
pub struct PinCache {
    settings: PinCacheSettings,
    pins: HashMap<UpstreamId, HashMap<AdapterRef, CachedPin>>,
    last_ask_id: u64,
}

impl PinCache {
    /// An empty cache.
    pub fn new(settings: PinCacheSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether a request may be sent now. [`PinCache::begin`] must be called when it is sent.
    pub fn may_send(&self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) -> PinUse {
        let Some(pin) = self.pin(engine, adapter) else {
            return PinUse::Ask;
        };
        if pin.is_recalled(now) {
            return PinUse::Wait;
        }
        if let Some(until) = pin.held_until(now) {
            return PinUse::Held { until };
        }
        let is_due = |request: &PendingPinRequest| {
            now < request.requested_at + self.settings.request_timeout
        };
        if pin.pending.as_ref().is_some_and(is_due) || pin.wait_until.is_some_and(|at| now < at) {
            return PinUse::Wait;
        }
        PinUse::Ask
    }

    /// Records that the pin is requested from the owner now; the returned number goes into the
    /// message.
    ///
    /// The lease counts from this call, before the message is sent: however long the answer takes,
    /// the pin expires for this node before it expires for the owner.
    pub fn ask(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) -> u64 {
        self.last_ask_id += 1;
        let ask_id = self.last_ask_id;
        let pins = self.pins.entry(engine.clone()).or_default();
        let pin = pins
            .entry(adapter.clone())
            .or_insert_with(|| CachedPin::new(now));
        pin.pending = Some(PendingPinRequest {
            ask_id,
            requested_at: now,
        });
        ask_id
    }

    /// Records a grant. A grant for a pin request that has been repeated since is ignored; the pin
    /// then expires at the owner.
    pub fn granted(
        &mut self,
        engine: &UpstreamId,
        adapter: &AdapterRef,
        ask_id: u64,
        lease: Duration,
    ) {
        let margin = self.settings.margin;
        let Some(pin) = self.pin_mut(engine, adapter) else {
            return;
        };
        let Some(request) = pin.pending.take_if(|request| request.ask_id == ask_id) else {
            return;
        };
        pin.until = Some(request.requested_at + lease.saturating_sub(margin));
        pin.renew_at = Some(request.requested_at + lease / 2);
        pin.granted_id = ask_id;
        pin.wait_until = None;
    }

    /// Records a refusal: the adapter is not loaded, is about to be unloaded, or its owner may not
    /// grant pins now.
    pub fn refused(
        &mut self,
        engine: &UpstreamId,
        adapter: &AdapterRef,
        ask_id: u64,
        retry_after: Duration,
        now: Instant,
    ) {
        let Some(pin) = self.pin_mut(engine, adapter) else {
            return;
        };
        if pin
            .pending
            .take_if(|request| request.ask_id == ask_id)
            .is_some()
        {
            pin.wait_until = Some(now + retry_after);
        }
    }

    /// Records a recall: no new request is sent under the pin for a while, and [`PinCache::tick`]
    /// returns it when its requests have ended.
    pub fn recalled(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) {
        if let Some(pin) = self.pin_mut(engine, adapter) {
            pin.recalled_until = Some(now + RECALL_TTL);
        }
    }

    /// Counts a request that is sent now. Returns false if the pin has expired or was recalled
    /// since it was checked; the request must not be sent then.
    #[must_use]
    pub fn begin(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) -> bool {
        let Some(pin) = self.pin_mut(engine, adapter) else {
            return false;
        };
        if pin.held_until(now).is_none() || pin.is_recalled(now) {
            return false;
        }
        pin.in_use += 1;
        pin.last_used = now;
        true
    }

    /// Records that a request has ended, successfully or not.
    pub fn returned(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) {
        if let Some(pin) = self.pin_mut(engine, adapter) {
            assert!(pin.in_use > 0, "a request ended that never began");
            pin.in_use -= 1;
            pin.last_used = now;
        }
    }

    /// The number of requests in flight to the adapter on the engine.
    pub fn in_use(&self, engine: &UpstreamId, adapter: &AdapterRef) -> u32 {
        self.pin(engine, adapter).map_or(0, |pin| pin.in_use)
    }

    /// The number of pins known, held or requested.
    pub fn len(&self) -> usize {
        self.pins.values().map(HashMap::len).sum()
    }

    /// Whether no pin is held or requested.
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// Renews pins in use, returns idle ones and forgets expired ones. To be called several times a
    /// second; the pin requests and returns of one call that go to one owner are sent in one
    /// message.
    ///
    /// A pin that was returned after a recall stays known as long as the recall is in effect:
    /// otherwise it could be requested again at once, and that request could overtake the return
    /// and be granted.
    pub fn tick(&mut self, now: Instant, actions: &mut Vec<PinCacheAction>) {
        let settings = self.settings;
        let mut renew = Vec::new();
        for (engine, pins) in &mut self.pins {
            pins.retain(|adapter, pin| {
                if is_finished(pin, &settings, now) {
                    push_return(actions, engine, adapter, pin, now);
                    pin.until = None;
                    pin.renew_at = None;
                    return pin.is_recalled(now);
                }
                if needs_renewal(pin, &settings, now) {
                    renew.push((engine.clone(), adapter.clone()));
                }
                true
            });
        }
        self.pins.retain(|_, pins| !pins.is_empty());
        for (engine, adapter) in renew {
            let ask_id = self.ask(&engine, &adapter, now);
            actions.push(PinCacheAction::Ask {
                ask_id,
                engine,
                adapter,
            });
        }
    }

    /// Returns every pin that no request uses, as a node does before it leaves.
    pub fn return_idle(&mut self, now: Instant, actions: &mut Vec<PinCacheAction>) {
        for (engine, pins) in &mut self.pins {
            pins.retain(|adapter, pin| {
                if pin.in_use == 0 {
                    push_return(actions, engine, adapter, pin, now);
                }
                pin.in_use > 0
            });
        }
        self.pins.retain(|_, pins| !pins.is_empty());
    }

    fn pin(&self, engine: &UpstreamId, adapter: &AdapterRef) -> Option<&CachedPin> {
        self.pins.get(engine)?.get(adapter)
    }

    fn pin_mut(&mut self, engine: &UpstreamId, adapter: &AdapterRef) -> Option<&mut CachedPin> {
        self.pins.get_mut(engine)?.get_mut(adapter)
    }
}

/// Whether the pin can be returned. A pin with an unanswered request is not: the grant would arrive
/// after the return, and the owner would keep a pin that is never returned.
fn is_finished(pin: &CachedPin, settings: &PinCacheSettings, now: Instant) -> bool {
    let is_requested = pin
        .pending
        .as_ref()
        .is_some_and(|request| now < request.requested_at + settings.request_timeout);
    let is_waiting = pin.wait_until.is_some_and(|at| now < at);
    let is_idle = now >= pin.last_used + settings.idle_return;
    pin.in_use == 0 && !is_requested && !is_waiting && (is_idle || pin.is_recalled(now))
}

/// Whether the pin is due for renewal. While it has requests in flight, it is renewed even after it
/// has expired.
fn needs_renewal(pin: &CachedPin, settings: &PinCacheSettings, now: Instant) -> bool {
    let is_requested = pin
        .pending
        .as_ref()
        .is_some_and(|request| now < request.requested_at + settings.request_timeout);
    let is_waiting = pin.wait_until.is_some_and(|at| now < at);
    !is_requested && !is_waiting && pin.renew_at.is_some_and(|at| now >= at)
}

fn push_return(
    actions: &mut Vec<PinCacheAction>,
    engine: &UpstreamId,
    adapter: &AdapterRef,
    pin: &CachedPin,
    now: Instant,
) {
    if pin.held_until(now).is_some() {
        actions.push(PinCacheAction::Return {
            ask_id: pin.granted_id,
            engine: engine.clone(),
            adapter: adapter.clone(),
        });
    }
}
