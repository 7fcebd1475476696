//! This node's pins on engines that other nodes, or this one, own.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, UpstreamId};

/// How long a recall holds without being repeated.
const RECALL_TTL: Duration = Duration::from_secs(1);

/// Whether a request may be sent to an adapter on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PinUse {
    /// Yes, if the bytes go out before `until`.
    Held {
        /// When the pin lapses for this node.
        until: Instant,
    },
    /// Not yet: ask the engine's owner.
    Ask,
    /// Not yet: an answer is due, or the owner said to come back later.
    Wait,
}

/// What the node does for the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PinCacheAction {
    /// Ask the engine's owner for the pin, anew or to renew it.
    Ask {
        /// The number of the ask.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
    /// Give the pin back to the engine's owner.
    Return {
        /// The last ask that was granted.
        ask_id: u64,
        /// The engine.
        engine: UpstreamId,
        /// The adapter.
        adapter: AdapterRef,
    },
}

/// How the cache behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PinCacheSettings {
    /// By how much this node's view of a lease is shorter than the owner's.
    pub margin: Duration,
    /// How long an unused pin is kept.
    pub idle_return: Duration,
    /// After this time an ask without an answer is made again.
    pub ask_timeout: Duration,
}

impl Default for PinCacheSettings {
    fn default() -> Self {
        Self {
            margin: Duration::from_secs(1),
            idle_return: Duration::from_secs(1),
            ask_timeout: Duration::from_millis(500),
        }
    }
}

#[derive(Debug)]
struct PendingAsk {
    ask_id: u64,
    asked_at: Instant,
}

#[derive(Debug)]
struct CachedPin {
    /// Until when requests may be sent; never later than the owner's lease less the margin.
    until: Option<Instant>,
    renew_at: Option<Instant>,
    granted_ask: u64,
    pending: Option<PendingAsk>,
    wait_until: Option<Instant>,
    /// The owner wants the pin back; nothing new is sent until then.
    recalled_until: Option<Instant>,
    in_use: u32,
    last_used: Instant,
}

impl CachedPin {
    fn new(now: Instant) -> Self {
        Self {
            until: None,
            renew_at: None,
            granted_ask: 0,
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

/// Pins that this node holds, with the requests that use them.
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
    last_ask: u64,
}

impl PinCache {
    /// A cache without pins.
    pub fn new(settings: PinCacheSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Whether a request may be sent now. [`PinCache::begin`] then counts it.
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
        let is_due = |ask: &PendingAsk| now < ask.asked_at + self.settings.ask_timeout;
        if pin.pending.as_ref().is_some_and(is_due) || pin.wait_until.is_some_and(|at| now < at) {
            return PinUse::Wait;
        }
        PinUse::Ask
    }

    /// Notes that the owner is asked now; the returned number goes with the message.
    ///
    /// A lease counts from here, before the message leaves: however long the answer takes, the
    /// pin lapses for this node before it lapses for the owner.
    pub fn ask(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) -> u64 {
        self.last_ask += 1;
        let ask_id = self.last_ask;
        let pins = self.pins.entry(engine.clone()).or_default();
        let pin = pins
            .entry(adapter.clone())
            .or_insert_with(|| CachedPin::new(now));
        pin.pending = Some(PendingAsk {
            ask_id,
            asked_at: now,
        });
        ask_id
    }

    /// Takes a grant. One that answers an ask given up since is dropped: the owner's pin lapses.
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
        let Some(ask) = pin.pending.take_if(|ask| ask.ask_id == ask_id) else {
            return;
        };
        pin.until = Some(ask.asked_at + lease.saturating_sub(margin));
        pin.renew_at = Some(ask.asked_at + lease / 2);
        pin.granted_ask = ask_id;
        pin.wait_until = None;
    }

    /// Takes a refusal: the adapter is not there, or is about to go.
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
        if pin.pending.take_if(|ask| ask.ask_id == ask_id).is_some() {
            pin.wait_until = Some(now + retry_after);
        }
    }

    /// The owner wants the pin back: nothing new is sent under it for a while, and
    /// [`PinCache::tick`] returns it once its requests are over.
    pub fn recalled(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) {
        if let Some(pin) = self.pin_mut(engine, adapter) {
            pin.recalled_until = Some(now + RECALL_TTL);
        }
    }

    /// Counts a request that is sent now. False: the pin has lapsed since it was checked, and
    /// nothing may be sent.
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

    /// Counts a request as over, whatever became of it.
    pub fn returned(&mut self, engine: &UpstreamId, adapter: &AdapterRef, now: Instant) {
        if let Some(pin) = self.pin_mut(engine, adapter) {
            assert!(pin.in_use > 0, "a request ended that never began");
            pin.in_use -= 1;
            pin.last_used = now;
        }
    }

    /// How many requests use the adapter on the engine.
    pub fn in_use(&self, engine: &UpstreamId, adapter: &AdapterRef) -> u32 {
        self.pin(engine, adapter).map_or(0, |pin| pin.in_use)
    }

    /// How many pins are known.
    pub fn len(&self) -> usize {
        self.pins.values().map(HashMap::len).sum()
    }

    /// Whether no pin is known.
    pub fn is_empty(&self) -> bool {
        self.pins.is_empty()
    }

    /// A pin given back on a recall is remembered as long as the recall holds: asked for again at
    /// once, it would be granted if the ask overtook the return.
    ///
    /// Renews pins in use, gives idle ones back and forgets lapsed ones. Call it several times a
    /// second; asks and returns of one call to one owner go into one message.
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

    /// Gives back every pin that no request uses, as a node does before it leaves.
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

/// An ask that is under way keeps the pin known: its grant would otherwise arrive after the
/// return, and the owner would hold a pin that nobody gives back.
fn is_finished(pin: &CachedPin, settings: &PinCacheSettings, now: Instant) -> bool {
    let is_asking = pin
        .pending
        .as_ref()
        .is_some_and(|ask| now < ask.asked_at + settings.ask_timeout);
    let is_waiting = pin.wait_until.is_some_and(|at| now < at);
    let is_idle = now >= pin.last_used + settings.idle_return;
    pin.in_use == 0 && !is_asking && !is_waiting && (is_idle || pin.is_recalled(now))
}

/// A request in flight keeps its pin alive, also one whose pin has lapsed meanwhile.
fn needs_renewal(pin: &CachedPin, settings: &PinCacheSettings, now: Instant) -> bool {
    let is_asking = pin
        .pending
        .as_ref()
        .is_some_and(|ask| now < ask.asked_at + settings.ask_timeout);
    let is_waiting = pin.wait_until.is_some_and(|at| now < at);
    !is_asking && !is_waiting && pin.renew_at.is_some_and(|at| now >= at)
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
            ask_id: pin.granted_ask,
            engine: engine.clone(),
            adapter: adapter.clone(),
        });
    }
}
