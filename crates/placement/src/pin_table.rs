//! The pins that the owner of an engine has granted.

use std::collections::HashMap;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, NodeId};

#[derive(Debug)]
struct GrantedPin {
    node: NodeId,
    ask_id: u64,
    /// When the lease and the margin end.
    honoured_until: Instant,
}

#[derive(Debug, Default)]
struct AdapterPins {
    granted: Vec<GrantedPin>,
    /// When the last pin ended; `None` if there has been none.
    free_since: Option<Instant>,
    /// Whether a pin expired instead of being returned.
    has_expired: bool,
}

/// How the last pins of an adapter ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PinHistory {
    /// When the last pin ended; `None` if there has been none.
    pub free_since: Option<Instant>,
    /// Whether a pin expired: its holder may still have requests in flight.
    pub has_expired: bool,
}

/// The pins granted on one engine.
#[derive(Debug, Default)]
pub(crate) struct PinTable {
    adapters: HashMap<AdapterRef, AdapterPins>,
}

impl PinTable {
    /// Grants or renews the pin of `node`, valid until `honoured_until`.
    pub fn grant(
        &mut self,
        node: &NodeId,
        ask_id: u64,
        adapter: &AdapterRef,
        honoured_until: Instant,
    ) {
        let pins = self.adapters.entry(adapter.clone()).or_default();
        match pins.granted.iter_mut().find(|pin| pin.node == *node) {
            Some(pin) => {
                pin.ask_id = pin.ask_id.max(ask_id);
                pin.honoured_until = pin.honoured_until.max(honoured_until);
            }
            None => pins.granted.push(GrantedPin {
                node: node.clone(),
                ask_id,
                honoured_until,
            }),
        }
    }

    /// Ends a pin that was returned, unless the node has requested it again since: a return that
    /// arrives late must not end a pin granted after it.
    pub fn release(&mut self, node: &NodeId, ask_id: u64, adapter: &AdapterRef, now: Instant) {
        let Some(pins) = self.adapters.get_mut(adapter) else {
            return;
        };
        let before = pins.granted.len();
        pins.granted
            .retain(|pin| pin.node != *node || pin.ask_id > ask_id);
        if pins.granted.len() < before && pins.granted.is_empty() {
            pins.free_since = pins.free_since.max(Some(now));
        }
    }

    /// Ends pins whose lease and margin have passed.
    pub fn expire(&mut self, now: Instant) {
        for pins in self.adapters.values_mut() {
            let expired_at = pins
                .granted
                .iter()
                .map(|pin| pin.honoured_until)
                .filter(|until| *until <= now)
                .max();
            if expired_at.is_some() {
                pins.granted.retain(|pin| pin.honoured_until > now);
                pins.free_since = pins.free_since.max(expired_at);
                pins.has_expired = true;
            }
        }
    }

    /// Whether any node holds a pin at `now`.
    pub fn is_pinned(&self, adapter: &AdapterRef, now: Instant) -> bool {
        let is_honoured = |pins: &AdapterPins| pins.granted.iter().any(|p| p.honoured_until > now);
        self.adapters.get(adapter).is_some_and(is_honoured)
    }

    /// Whether `node` holds a pin at `now`.
    pub fn is_held_by(&self, node: &NodeId, adapter: &AdapterRef, now: Instant) -> bool {
        self.holders(adapter, now).any(|holder| holder == node)
    }

    /// The nodes that hold a pin at `now`.
    pub fn holders(&self, adapter: &AdapterRef, now: Instant) -> impl Iterator<Item = &NodeId> {
        let pins = self.adapters.get(adapter);
        pins.into_iter()
            .flat_map(|pins| &pins.granted)
            .filter(move |pin| pin.honoured_until > now)
            .map(|pin| &pin.node)
    }

    /// How the last pins of the adapter ended. Call [`PinTable::expire`] first.
    pub fn history(&self, adapter: &AdapterRef) -> PinHistory {
        self.adapters
            .get(adapter)
            .map_or_else(PinHistory::default, |pins| PinHistory {
                free_since: pins.free_since,
                has_expired: pins.has_expired,
            })
    }

    /// Forgets adapters without pins that are not loaded, so that the number of slots bounds the
    /// table.
    pub fn forget_absent(&mut self, is_held: impl Fn(&AdapterRef) -> bool) {
        self.adapters
            .retain(|adapter, pins| !pins.granted.is_empty() || is_held(adapter));
    }
}
