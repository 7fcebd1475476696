//! A simulated engine: slots, orders, requests.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, HeldAdapter, Incarnation};
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};

/// An order as it arrives at the engine.
#[derive(Clone, Debug)]
pub struct ArrivingOrder {
    pub op: OrderOp,
    pub adapter: AdapterRef,
    pub fence: u64,
    pub expected_seq: u64,
    pub incarnation: Incarnation,
    pub valid_until: Instant,
}

/// A simulated engine. It obeys every valid order, even one that evicts an adapter in use, and
/// counts such evictions: the owner alone has to prevent them.
#[derive(Debug)]
pub struct SimulatedEngine {
    pub checks_fencing: bool,
    pub adapter_slots: u32,
    pub incarnation: u64,
    pub order_seq: u64,
    pub fence: u64,
    pub is_leaving: bool,
    pub held: Vec<HeldAdapter>,
    pub evictions: u32,
    pub evicted_in_use: u32,
    pub oversubscribed: u32,
    history: VecDeque<(Instant, EngineReport)>,
}

impl SimulatedEngine {
    pub fn new(checks_fencing: bool, adapter_slots: u32) -> Self {
        Self {
            checks_fencing,
            adapter_slots,
            incarnation: 1,
            order_seq: 0,
            fence: 0,
            is_leaving: false,
            held: Vec::new(),
            evictions: 0,
            evicted_in_use: 0,
            oversubscribed: 0,
            history: VecDeque::new(),
        }
    }

    pub fn order(
        &mut self,
        order: &ArrivingOrder,
        now: Instant,
    ) -> Result<OrderAnswer, OrderError> {
        if self.checks_fencing {
            if order.fence < self.fence {
                return Err(OrderError::Fenced);
            }
            self.fence = order.fence;
        }
        let is_stale = order.incarnation.0 != self.incarnation
            || order.expected_seq != self.order_seq
            || now > order.valid_until;
        if is_stale {
            return Err(OrderError::Stale);
        }
        let at = self.held.iter().position(|h| h.adapter == order.adapter);
        match (order.op, at) {
            (OrderOp::Load, Some(_)) | (OrderOp::Unload, None) => {
                return Ok(OrderAnswer::AlreadyDone);
            }
            (OrderOp::Load, None) if self.held.len() >= self.adapter_slots as usize => {
                self.oversubscribed += 1;
                return Err(OrderError::NoSlot);
            }
            (OrderOp::Load, None) => self.held.push(HeldAdapter {
                adapter: order.adapter.clone(),
                state: AdapterState::Loading,
                running: 0,
            }),
            (OrderOp::Unload, Some(at)) => {
                self.evictions += 1;
                self.evicted_in_use += u32::from(self.held[at].running > 0);
                self.held.remove(at);
            }
        }
        self.order_seq += 1;
        Ok(OrderAnswer::Accepted)
    }

    /// Ends a load: the adapter is ready, or the load failed half-way.
    pub fn load_done(&mut self, adapter: &AdapterRef, failed: bool) {
        if let Some(at) = self.held.iter().position(|h| h.adapter == *adapter) {
            if failed {
                self.held.remove(at);
            } else {
                self.held[at].state = AdapterState::Ready;
            }
        }
    }

    /// Starts a request. Returns false if the adapter is not ready; the request is refused then.
    pub fn start(&mut self, adapter: &AdapterRef) -> bool {
        let ready = self
            .held
            .iter_mut()
            .find(|h| h.adapter == *adapter && h.state == AdapterState::Ready);
        ready.map(|held| held.running += 1).is_some()
    }

    pub fn end(&mut self, adapter: &AdapterRef) {
        if let Some(held) = self.held.iter_mut().find(|h| h.adapter == *adapter) {
            held.running = held.running.saturating_sub(1);
        }
    }

    pub fn restart(&mut self) {
        self.incarnation += 1;
        self.order_seq = 0;
        self.fence = 0;
        self.held.clear();
        self.history.clear();
    }

    /// Keeps a snapshot of the report, for reports that lag.
    pub fn snapshot(&mut self, now: Instant) {
        let report = self.report();
        self.history.push_back((now, report));
        while self.history.len() > 20 {
            self.history.pop_front();
        }
    }

    pub fn report(&self) -> EngineReport {
        EngineReport {
            incarnation: Incarnation(self.incarnation),
            order_seq: self.order_seq,
            fence: self.fence,
            adapters: self.held.clone(),
            adapter_slots: self.adapter_slots,
            in_flight: self.held.iter().map(|h| h.running).sum(),
            queued: 0,
            batch_slots: 32,
            is_leaving: self.is_leaving,
        }
    }

    /// The newest snapshot that is at least `lag` old, or the present state if there is none.
    pub fn lagging_report(&self, lag: Duration, now: Instant) -> EngineReport {
        let is_old = |(at, _): &&(Instant, EngineReport)| *at + lag <= now;
        let old = self.history.iter().rev().find(is_old);
        old.map_or_else(|| self.report(), |(_, report)| report.clone())
    }
}
