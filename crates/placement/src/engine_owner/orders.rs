//! Orders to one engine and the handling of their answers. At most one order is outstanding.

use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, EngineReport};
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};

use super::{EngineOwner, OwnerOutput, Permit};
use crate::slot_map::SlotState;
use crate::{
    DisownCause, LoadOutcome, OrderId, PlacementAction, PlacementNote, PlacementSettings, Presence,
};

/// The order that is outstanding. A second one could not know which `order_seq` to expect.
#[derive(Debug)]
pub(super) struct OutstandingOrder {
    pub(super) id: OrderId,
    pub(super) op: OrderOp,
    pub(super) adapter: AdapterRef,
    pub(super) made_at: Instant,
    pub(super) expected_seq: u64,
    /// No answer arrived: the engine may still carry it out until it expires.
    pub(super) is_unsettled: bool,
}

impl EngineOwner {
    /// Clears an unanswered order once a report shows that it was carried out or that it can't be
    /// any more. Until then its slot counts as taken and no other order is sent, since the engine
    /// may still carry it out. A report can be `report_lag` older than its request, so one that
    /// shows no effect counts only if it was requested that much after the expiry.
    pub(super) fn settle_order(
        &mut self,
        report: &EngineReport,
        taken_at: Instant,
        settings: &PlacementSettings,
    ) {
        let Some(order) = self.outstanding.as_ref().filter(|order| order.is_unsettled) else {
            return;
        };
        let ended = order.made_at + settings.order_valid_for + settings.pin_margin;
        let was_carried_out = report.order_seq > order.expected_seq;
        if was_carried_out || taken_at >= ended + settings.report_lag {
            self.outstanding = None;
        }
    }

    /// Handles the engine's answer to the outstanding order.
    pub fn order_answered(
        &mut self,
        id: OrderId,
        result: Result<OrderAnswer, OrderError>,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let Some(order) = self.outstanding.take_if(|order| order.id == id) else {
            return;
        };
        match result {
            Ok(answer) => self.handle_order_accepted(&order, answer, now, out),
            Err(OrderError::Ambiguous) => self.mark_order_unsettled(order, out),
            Err(OrderError::Fenced) => out.disowned = Some(DisownCause::Fenced),
            Err(refusal) => self.handle_order_refused(&order, &refusal, now, out),
        }
    }

    pub(super) fn handle_order_accepted(
        &mut self,
        order: &OutstandingOrder,
        answer: OrderAnswer,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.ownership.confirm(now);
        match answer {
            OrderAnswer::Accepted => self.known_seq = self.known_seq.max(order.expected_seq + 1),
            OrderAnswer::AlreadyDone => self.report_needed_after = Some(now),
        }
        if order.op == OrderOp::Unload {
            self.slots.remove(&order.adapter);
            self.publish_state(&order.adapter, Presence::Absent, out);
        }
    }

    pub(super) fn mark_order_unsettled(
        &mut self,
        mut order: OutstandingOrder,
        out: &mut OwnerOutput,
    ) {
        out.actions
            .push(PlacementAction::Report(PlacementNote::OrderUnsettled {
                engine: self.plan.upstream.clone(),
                adapter: order.adapter.clone(),
            }));
        order.is_unsettled = true;
        self.outstanding = Some(order);
    }

    pub(super) fn handle_order_refused(
        &mut self,
        order: &OutstandingOrder,
        refusal: &OrderError,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.report_needed_after = Some(now);
        match order.op {
            OrderOp::Unload => self.return_to_service(&order.adapter, now, out),
            OrderOp::Load => self.abandon_load(order, refusal, now, out),
        }
    }

    pub(super) fn return_to_service(
        &mut self,
        adapter: &AdapterRef,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let Some(slot) = self.slots.get_mut(adapter) else {
            return;
        };
        slot.state = SlotState::Ready;
        slot.idle_report_after = now;
        self.publish_state(adapter, Presence::Ready, out);
    }

    pub(super) fn abandon_load(
        &mut self,
        order: &OutstandingOrder,
        refusal: &OrderError,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let is_loading = |s: &crate::slot_map::Slot| s.state == SlotState::Loading;
        if !self.slots.get(&order.adapter).is_some_and(is_loading) {
            return;
        }
        self.slots.remove(&order.adapter);
        self.publish_state(&order.adapter, Presence::Absent, out);
        match refusal {
            OrderError::StoreRefused => {
                self.load_ended(&order.adapter, LoadOutcome::StoreRefused, out);
            }
            OrderError::Unreachable => self.load_ended(&order.adapter, LoadOutcome::Failed, out),
            _ => self.requeue_permit(order, now),
        }
    }

    /// Permits the load again, ahead of the other permits: its share of the weight store's rate is
    /// already spent.
    pub(super) fn requeue_permit(&mut self, order: &OutstandingOrder, now: Instant) {
        self.permits.push(Permit {
            adapter: order.adapter.clone(),
            class: Class::Urgent,
            since: now,
        });
    }

    pub(super) fn order_load(
        &mut self,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.slots.begin_load(adapter, self.adapter_slots(), now);
        self.publish_state(adapter, Presence::Loading, out);
        self.order(OrderOp::Load, adapter, settings, next_order, now, out);
    }

    pub(super) fn order_unload(
        &mut self,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.eviction(settings, now).assert_evictable(adapter);
        if let Some(slot) = self.slots.get_mut(adapter) {
            slot.state = SlotState::Unloading;
        }
        self.publish_state(adapter, Presence::Absent, out);
        self.order(OrderOp::Unload, adapter, settings, next_order, now, out);
    }

    pub(super) fn order(
        &mut self,
        op: OrderOp,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let Some(last_report) = &self.last_report else {
            return;
        };
        assert!(self.outstanding.is_none(), "one order at a time");
        *next_order += 1;
        let id = OrderId(*next_order);
        let expected_seq = self.known_seq;
        out.actions.push(PlacementAction::Order {
            engine: self.plan.upstream.clone(),
            order: id,
            op,
            adapter: adapter.clone(),
            fence: self.ownership.fence,
            expected_seq,
            incarnation: last_report.report.incarnation,
            made_at: now,
            valid_for: settings.order_valid_for,
        });
        self.outstanding = Some(OutstandingOrder {
            id,
            op,
            adapter: adapter.clone(),
            made_at: now,
            expected_seq,
            is_unsettled: false,
        });
    }
}
