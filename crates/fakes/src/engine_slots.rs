//! The adapter slots of the engine stand-in and the orders that change them.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use nutmegsail_base::{AdapterRef, AdapterState, HeldAdapter, Incarnation};
use nutmegsail_upstream::{LoadOrder, OrderAnswer, OrderError, OrderOp};

use crate::FakeWeightStore;

/// The share of a load's work after which a failing one fails.
const FAILS_AFTER_SHARE: f64 = 0.5;

#[derive(Debug)]
struct Slot {
    adapter: AdapterRef,
    load: Option<Load>,
}

#[derive(Debug)]
struct Load {
    id: u64,
    will_fail: bool,
}

/// What an order meets besides the slots.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OrderConditions {
    pub(crate) incarnation: Incarnation,
    pub(crate) checks_fencing: bool,
    pub(crate) store_refuses: bool,
    pub(crate) load_will_fail: bool,
    /// Runs that use the order's adapter.
    pub(crate) running: usize,
    pub(crate) now: Instant,
    pub(crate) wall: SystemTime,
}

#[derive(Debug)]
pub(crate) struct AdapterSlots {
    size: usize,
    slots: Vec<Slot>,
    store: Arc<FakeWeightStore>,
    order_seq: u64,
    fence: u64,
}

impl AdapterSlots {
    pub(crate) fn new(size: usize, store: Arc<FakeWeightStore>) -> Self {
        Self {
            size,
            slots: Vec::new(),
            store,
            order_seq: 0,
            fence: 0,
        }
    }

    /// Orders accepted so far.
    pub(crate) fn order_seq(&self) -> u64 {
        self.order_seq
    }

    /// The highest fencing number seen.
    pub(crate) fn fence(&self) -> u64 {
        self.fence
    }

    /// The weight store, for the next incarnation.
    pub(crate) fn store(&self) -> Arc<FakeWeightStore> {
        Arc::clone(&self.store)
    }

    pub(crate) fn is_ready(&self, adapter: &AdapterRef) -> bool {
        self.slots
            .iter()
            .any(|slot| slot.adapter == *adapter && slot.load.is_none())
    }

    pub(crate) fn is_loading(&self) -> bool {
        self.slots.iter().any(|slot| slot.load.is_some())
    }

    pub(crate) fn preload(&mut self, adapter: AdapterRef) {
        self.slots.push(Slot {
            adapter,
            load: None,
        });
    }

    /// Ends the loads that are due. A failed one frees its slot.
    pub(crate) fn settle(&mut self, now: Instant) {
        let store = &self.store;
        self.slots.retain_mut(|slot| {
            let is_done = |load: &Load| store.is_done(load.id, now);
            let Some(load) = slot.load.take_if(|load| is_done(load)) else {
                return true;
            };
            !load.will_fail
        });
    }

    /// Gives every load up, as a restart does.
    pub(crate) fn cancel_loads(&self, now: Instant) {
        for load in self.slots.iter().filter_map(|slot| slot.load.as_ref()) {
            self.store.cancel(load.id, now);
        }
    }

    pub(crate) fn take_order(
        &mut self,
        order: &LoadOrder,
        met: &OrderConditions,
    ) -> Result<OrderAnswer, OrderError> {
        let valid_until = SystemTime::UNIX_EPOCH + Duration::from_millis(order.valid_until_unix_ms);
        if order.incarnation != met.incarnation || met.wall > valid_until {
            return Err(OrderError::Stale);
        }
        if met.checks_fencing {
            if order.fence < self.fence {
                return Err(OrderError::Fenced);
            }
            self.fence = order.fence;
        }
        let is_held = self.slots.iter().any(|slot| slot.adapter == order.adapter);
        if is_held == (order.op == OrderOp::Load) {
            return Ok(OrderAnswer::AlreadyDone);
        }
        if order.expected_seq != self.order_seq {
            return Err(OrderError::Stale);
        }
        match order.op {
            OrderOp::Load => self.load(order.adapter.clone(), met)?,
            OrderOp::Unload => self.unload(&order.adapter, met)?,
        }
        self.order_seq += 1;
        Ok(OrderAnswer::Accepted)
    }

    fn load(&mut self, adapter: AdapterRef, met: &OrderConditions) -> Result<(), OrderError> {
        if self.slots.len() >= self.size {
            return Err(OrderError::NoSlot);
        }
        if met.store_refuses {
            return Err(OrderError::StoreRefused);
        }
        let will_fail = met.load_will_fail;
        let share = if will_fail { FAILS_AFTER_SHARE } else { 1.0 };
        let id = self.store.begin(share, met.now);
        let id = id.ok_or(OrderError::StoreRefused)?;
        let load = Some(Load { id, will_fail });
        self.slots.push(Slot { adapter, load });
        Ok(())
    }

    fn unload(&mut self, adapter: &AdapterRef, met: &OrderConditions) -> Result<(), OrderError> {
        if met.running > 0 {
            return Err(OrderError::InUse);
        }
        let store = &self.store;
        self.slots.retain(|slot| {
            let goes = slot.adapter == *adapter;
            if let Some(load) = slot.load.as_ref().filter(|_| goes) {
                store.cancel(load.id, met.now);
            }
            !goes
        });
        Ok(())
    }

    /// What the slots hold, with the runs that `running` counts.
    pub(crate) fn held(&self, running: impl Fn(&AdapterRef) -> u32) -> Vec<HeldAdapter> {
        let held = |slot: &Slot| HeldAdapter {
            adapter: slot.adapter.clone(),
            state: match slot.load {
                Some(_) => AdapterState::Loading,
                None => AdapterState::Ready,
            },
            running: running(&slot.adapter),
        };
        self.slots.iter().map(held).collect()
    }
}
