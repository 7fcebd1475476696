//! The pins that an owner has granted on one engine.

use std::collections::HashMap;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, NodeId};

#[derive(Debug)]
struct GrantedPin {
    node: NodeId,
    ask_id: u64,
    /// The end of the lease and the margin.
    honoured_until: Instant,
}

#[derive(Debug, Default)]
struct AdapterPins {
    granted: Vec<GrantedPin>,
    /// Since when nobody holds a pin, if anybody ever did.
    free_since: Option<Instant>,
    /// Whether a pin lapsed rather than being given back since the adapter was last seen idle.
    has_lapsed: bool,
}

/// How an adapter became free of pins.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PinHistory {
    /// Since when nobody holds a pin; none if nobody ever did.
    pub free_since: Option<Instant>,
    /// Whether a holder let its pin lapse: it may have requests that it could not tell of.
    pub has_lapsed: bool,
}

/// Pins granted on one engine.
#[derive(Debug, Default)]
pub(crate) struct PinTable {
    adapters: HashMap<AdapterRef, AdapterPins>,
}

impl PinTable {
    /// Grants or renews the pin of `node`; it is honoured until `honoured_until`.
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

    /// Takes a pin back, unless the node has asked for it again since: a return that arrives late
    /// must not end the pin that was granted after it.
    pub fn returned(&mut self, node: &NodeId, ask_id: u64, adapter: &AdapterRef, now: Instant) {
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

    /// Drops pins whose lease and margin have passed.
    pub fn expire(&mut self, now: Instant) {
        for pins in self.adapters.values_mut() {
            let lapsed_at = pins
                .granted
                .iter()
                .map(|pin| pin.honoured_until)
                .filter(|until| *until <= now)
                .max();
            if lapsed_at.is_some() {
                pins.granted.retain(|pin| pin.honoured_until > now);
                pins.free_since = pins.free_since.max(lapsed_at);
                pins.has_lapsed = true;
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

    /// How the adapter became free. Call [`PinTable::expire`] first.
    pub fn history(&self, adapter: &AdapterRef) -> PinHistory {
        self.adapters
            .get(adapter)
            .map_or_else(PinHistory::default, |pins| PinHistory {
                free_since: pins.free_since,
                has_lapsed: pins.has_lapsed,
            })
    }

    /// Forgets unpinned adapters that `is_held` does not know, so the table is bounded by slots.
    pub fn forget_absent(&mut self, is_held: impl Fn(&AdapterRef) -> bool) {
        self.adapters
            .retain(|adapter, pins| !pins.granted.is_empty() || is_held(adapter));
    }
}
