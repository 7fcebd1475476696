//! The owner of one engine: grants pins, orders loads, and evicts only what nobody uses.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, EngineReport, NodeId, UpstreamId};
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};

use crate::eviction::Eviction;
use crate::ownership::Ownership;
use crate::pin_table::PinTable;
use crate::slot_map::{SlotChanges, SlotMap, SlotState};
use crate::{
    DisownCause, EnginePlan, LoadOutcome, OrderId, PlacementAction, PlacementNote,
    PlacementSettings, Presence,
};

/// How soon a refused pin is worth asking for again.
const PIN_RETRY_AFTER: Duration = Duration::from_millis(250);
/// How often the pins of an adapter that is drained are recalled.
const RECALL_INTERVAL: Duration = Duration::from_millis(400);

/// What the owner wants done, gathered over one event.
#[derive(Debug, Default)]
pub(crate) struct OwnerOutput {
    pub actions: Vec<PlacementAction>,
    pub outcomes: Vec<(AdapterRef, LoadOutcome)>,
    pub disowned: Option<DisownCause>,
}

/// A load that the scheduler permitted and that is not ordered yet.
#[derive(Debug)]
struct Permit {
    adapter: AdapterRef,
    class: Class,
    since: Instant,
}

/// The one order that is under way. A second one would rest on an unknown `order_seq`.
#[derive(Debug)]
struct OutstandingOrder {
    id: OrderId,
    op: OrderOp,
    adapter: AdapterRef,
    made_at: Instant,
    expected_seq: u64,
    /// No answer came: it may be carried out until it ends.
    is_unsettled: bool,
}

#[derive(Debug)]
struct SeenReport {
    report: EngineReport,
    taken_at: Instant,
}

/// State of one engine that this node owns.
#[derive(Debug)]
pub(crate) struct EngineOwner {
    plan: EnginePlan,
    ownership: Ownership,
    slots: SlotMap,
    pins: PinTable,
    seen: Option<SeenReport>,
    /// The engine's `order_seq` as far as answers tell.
    known_seq: u64,
    /// Orders wait for a report taken after this time.
    report_needed_after: Option<Instant>,
    outstanding: Option<OutstandingOrder>,
    permits: Vec<Permit>,
    recalled_at: Option<Instant>,
}

impl EngineOwner {
    pub fn new(plan: EnginePlan, ownership: Ownership) -> Self {
        Self {
            plan,
            ownership,
            slots: SlotMap::default(),
            pins: PinTable::default(),
            seen: None,
            known_seq: 0,
            report_needed_after: None,
            outstanding: None,
            permits: Vec::new(),
            recalled_at: None,
        }
    }

    pub fn fence(&self) -> u64 {
        self.ownership.fence
    }

    pub fn renewed(&mut self, valid_until: Instant) {
        self.ownership.renewed(valid_until);
    }

    pub fn replan(&mut self, plan: EnginePlan) {
        self.plan = plan;
    }

    /// Gives up: what was permitted goes elsewhere.
    pub fn into_unfinished(mut self) -> Vec<AdapterRef> {
        let loading = self.slots.clear();
        let loading = loading
            .into_iter()
            .filter(|slot| slot.state == SlotState::Loading)
            .map(|slot| slot.adapter);
        let permitted = self.permits.into_iter().map(|permit| permit.adapter);
        permitted.chain(loading).collect()
    }

    /// Takes a report. One that is older than what is known is ignored.
    pub fn report(
        &mut self,
        report: EngineReport,
        taken_at: Instant,
        settings: &PlacementSettings,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        if self.is_stale(&report, taken_at) {
            return;
        }
        if self.plan.checks_fencing && report.fence > self.ownership.fence {
            out.disowned = Some(DisownCause::Fenced);
            return;
        }
        if self.is_other_incarnation(&report) {
            self.restarted_cold(out);
        }
        self.ownership.saw_no_higher_fence(taken_at);
        if report.fence == self.ownership.fence {
            self.ownership.confirmed(now);
        }
        self.settle(&report, taken_at, settings);
        self.take_over_slots(&report, taken_at, now, out);
        self.seen = Some(SeenReport { report, taken_at });
    }

    fn is_stale(&self, report: &EngineReport, taken_at: Instant) -> bool {
        self.seen.as_ref().is_some_and(|seen| {
            let is_same_run = seen.report.incarnation == report.incarnation;
            taken_at < seen.taken_at || (is_same_run && report.order_seq < seen.report.order_seq)
        })
    }

    fn is_other_incarnation(&self, report: &EngineReport) -> bool {
        self.seen
            .as_ref()
            .is_some_and(|seen| seen.report.incarnation != report.incarnation)
    }

    /// Guards against a map of a former run: requests would be sent to adapters that are gone,
    /// and orders refused one by one. Pins stay: their holders may not know of the restart yet.
    fn restarted_cold(&mut self, out: &mut OwnerOutput) {
        let lost = self.slots.clear();
        out.actions
            .push(PlacementAction::Report(PlacementNote::ColdRestart {
                engine: self.plan.upstream.clone(),
                adapters_lost: lost.len(),
            }));
        for slot in lost {
            if slot.state == SlotState::Loading {
                self.load_ended(&slot.adapter, LoadOutcome::Failed, out);
            }
            self.announce(&slot.adapter, Presence::Absent, out);
        }
        self.ownership.engine_restarted();
        self.outstanding = None;
        self.report_needed_after = None;
        self.known_seq = 0;
    }

    /// Guards against an order whose answer was lost and that is carried out late: until a report
    /// shows that it was, or its time has passed, its slot counts as taken and nothing else is
    /// ordered. A report that may be as old as `report_lag` must be that much younger.
    fn settle(&mut self, report: &EngineReport, taken_at: Instant, settings: &PlacementSettings) {
        let Some(order) = self.outstanding.as_ref().filter(|order| order.is_unsettled) else {
            return;
        };
        let ended = order.made_at + settings.order_valid_for + settings.pin_margin;
        let was_carried_out = report.order_seq > order.expected_seq;
        if was_carried_out || taken_at >= ended + settings.report_lag {
            self.outstanding = None;
        }
    }

    fn take_over_slots(
        &mut self,
        report: &EngineReport,
        taken_at: Instant,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let knows_every_order = self.outstanding.is_none() && report.order_seq >= self.known_seq;
        let answers_need = self.report_needed_after.is_none_or(|need| taken_at >= need);
        let changes = if knows_every_order && answers_need {
            self.known_seq = report.order_seq;
            self.report_needed_after = None;
            self.slots.reconcile(report, now)
        } else {
            self.slots.update_states(report, now)
        };
        self.tell_changes(changes, out);
    }

    fn tell_changes(&mut self, changes: SlotChanges, out: &mut OwnerOutput) {
        for adapter in changes.became_ready {
            self.announce(&adapter, Presence::Ready, out);
            self.load_ended(&adapter, LoadOutcome::Ready, out);
        }
        for adapter in changes.became_loading {
            self.announce(&adapter, Presence::Loading, out);
        }
        for slot in changes.vanished {
            if slot.state == SlotState::Loading {
                self.load_ended(&slot.adapter, LoadOutcome::Failed, out);
            }
            self.announce(&slot.adapter, Presence::Absent, out);
        }
    }

    /// Answers a node that wants to use an adapter. While it is drained, only pins that are held
    /// are renewed: requests may be running under them.
    pub fn pin_asked(
        &mut self,
        from: &NodeId,
        ask_id: u64,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let state = self.slots.get(adapter).map(|slot| slot.state);
        let is_usable = match state {
            Some(SlotState::Ready) => true,
            Some(SlotState::Draining) => self.pins.is_held_by(from, adapter, now),
            Some(SlotState::Loading | SlotState::Unloading) | None => false,
        };
        let (to, engine, adapter) = (from.clone(), self.plan.upstream.clone(), adapter.clone());
        if !is_usable || !self.ownership.may_grant(settings, now) {
            out.actions.push(refuse_pin(to, ask_id, engine, adapter));
            return;
        }
        let honoured_until = now + settings.pin_lease + settings.pin_margin;
        self.pins.grant(from, ask_id, &adapter, honoured_until);
        out.actions.push(PlacementAction::GrantPin {
            to,
            ask_id,
            engine,
            adapter,
            lease: settings.pin_lease,
        });
    }

    pub fn pin_returned(&mut self, from: &NodeId, ask_id: u64, adapter: &AdapterRef, now: Instant) {
        self.pins.returned(from, ask_id, adapter, now);
    }

    /// Takes the engine's answer to an order.
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
            Ok(answer) => self.order_taken(&order, answer, now, out),
            Err(OrderError::Ambiguous) => self.order_unsettled(order, out),
            Err(OrderError::Fenced) => out.disowned = Some(DisownCause::Fenced),
            Err(refusal) => self.order_refused(&order, &refusal, now, out),
        }
    }

    fn order_taken(
        &mut self,
        order: &OutstandingOrder,
        answer: OrderAnswer,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.ownership.confirmed(now);
        match answer {
            OrderAnswer::Accepted => self.known_seq = self.known_seq.max(order.expected_seq + 1),
            OrderAnswer::AlreadyDone => self.report_needed_after = Some(now),
        }
        if order.op == OrderOp::Unload {
            self.slots.remove(&order.adapter);
            self.announce(&order.adapter, Presence::Absent, out);
        }
    }

    fn order_unsettled(&mut self, mut order: OutstandingOrder, out: &mut OwnerOutput) {
        out.actions
            .push(PlacementAction::Report(PlacementNote::OrderUnsettled {
                engine: self.plan.upstream.clone(),
                adapter: order.adapter.clone(),
            }));
        order.is_unsettled = true;
        self.outstanding = Some(order);
    }

    fn order_refused(
        &mut self,
        order: &OutstandingOrder,
        refusal: &OrderError,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.report_needed_after = Some(now);
        match order.op {
            OrderOp::Unload => self.keep_slot(&order.adapter, now, out),
            OrderOp::Load => self.drop_load(order, refusal, now, out),
        }
    }

    fn keep_slot(&mut self, adapter: &AdapterRef, now: Instant, out: &mut OwnerOutput) {
        let Some(slot) = self.slots.get_mut(adapter) else {
            return;
        };
        slot.state = SlotState::Ready;
        slot.idle_proof_after = now;
        self.announce(adapter, Presence::Ready, out);
    }

    fn drop_load(
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
        self.announce(&order.adapter, Presence::Absent, out);
        match refusal {
            OrderError::StoreRefused => {
                self.load_ended(&order.adapter, LoadOutcome::StoreRefused, out);
            }
            OrderError::Unreachable => self.load_ended(&order.adapter, LoadOutcome::Failed, out),
            _ => self.permit_again(order, now),
        }
    }

    /// The load goes first among what waits: its share of the weight store's rate is spent.
    fn permit_again(&mut self, order: &OutstandingOrder, now: Instant) {
        self.permits.push(Permit {
            adapter: order.adapter.clone(),
            class: Class::Urgent,
            since: now,
        });
    }

    /// Takes the scheduler's permission to load an adapter.
    pub fn permitted(&mut self, adapter: AdapterRef, class: Class, now: Instant) {
        match self.permits.iter_mut().find(|p| p.adapter == adapter) {
            Some(permit) => permit.class = permit.class.or_more_urgent(class),
            None => self.permits.push(Permit {
                adapter,
                class,
                since: now,
            }),
        }
    }

    /// Ends what has run out: pins, unanswered orders, permits that found no victim.
    pub fn tick(&mut self, settings: &PlacementSettings, now: Instant, out: &mut OwnerOutput) {
        self.pins.expire(now);
        let slots = &self.slots;
        self.pins
            .forget_absent(|adapter| slots.get(adapter).is_some());
        let patience = settings.order_valid_for + settings.pin_margin;
        let is_overdue =
            |order: &mut OutstandingOrder| !order.is_unsettled && now > order.made_at + patience;
        if let Some(order) = self.outstanding.take_if(is_overdue) {
            self.order_unsettled(order, out);
        }
        self.tick_drain(settings, now, out);
        let drain = self.slots.is_draining();
        let is_spent =
            |permit: &mut Permit| !drain && now > permit.since + settings.victim_patience;
        for permit in self.permits.extract_if(.., is_spent) {
            out.outcomes.push((permit.adapter, LoadOutcome::NoVictim));
        }
    }

    /// Orders the next step, if there is one. `value` says what an adapter's slot is worth.
    pub fn advance(
        &mut self,
        settings: &PlacementSettings,
        value: &dyn Fn(&AdapterRef) -> f64,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.drop_settled_permits(out);
        let is_informed = self.seen.is_some() && self.report_needed_after.is_none();
        if self.outstanding.is_some() || !is_informed || !self.ownership.may_order(settings, now) {
            return;
        }
        if let Some(adapter) = self.fence_raiser() {
            self.order(OrderOp::Load, &adapter, settings, next_order, now, out);
            return;
        }
        let Some(permit) = self.permits.iter().min_by_key(|p| (p.class, p.since)) else {
            return;
        };
        let (adapter, class, since) = (permit.adapter.clone(), permit.class, permit.since);
        if self.slots.len() < self.adapter_slots() as usize {
            self.permits.retain(|permit| permit.adapter != adapter);
            self.order_load(&adapter, settings, next_order, now, out);
            return;
        }
        let eviction = self.eviction(settings, now);
        if let Some(victim) = eviction.victim(&adapter, class, value) {
            self.extend_permit(&adapter, now);
            self.order_unload(&victim, settings, next_order, now, out);
        } else if now >= since + settings.drain_after && !self.slots.is_draining() {
            let in_use = eviction.victim_in_use(&adapter, class, value);
            if let Some(victim) = in_use {
                self.drain(&victim, now, out);
            }
        }
    }

    /// Stops new use of an adapter that is in use all the time, so that it can be evicted.
    ///
    /// Guards against adapters that hold every slot for ever: each is used again before its pins
    /// come back, and a request for another adapter waits until its deadline.
    fn drain(&mut self, adapter: &AdapterRef, now: Instant, out: &mut OwnerOutput) {
        self.slots.begin_drain(adapter, now);
        self.announce(adapter, Presence::Absent, out);
        self.recall(adapter, now, out);
    }

    /// The load that an eviction makes room for gets the slot, also if it waited long for it.
    fn extend_permit(&mut self, adapter: &AdapterRef, now: Instant) {
        for permit in self.permits.iter_mut().filter(|p| p.adapter == *adapter) {
            permit.since = now;
        }
    }

    fn recall(&mut self, adapter: &AdapterRef, now: Instant, out: &mut OwnerOutput) {
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
    fn tick_drain(&mut self, settings: &PlacementSettings, now: Instant, out: &mut OwnerOutput) {
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

    fn drop_settled_permits(&mut self, out: &mut OwnerOutput) {
        let slots = &self.slots;
        let is_held = |permit: &mut Permit| {
            let state = slots.get(&permit.adapter).map(|slot| slot.state);
            matches!(state, Some(SlotState::Ready | SlotState::Loading))
        };
        for permit in self.permits.extract_if(.., is_held) {
            let state = slots.get(&permit.adapter).map(|slot| slot.state);
            if state == Some(SlotState::Ready) {
                out.outcomes.push((permit.adapter, LoadOutcome::Ready));
            }
        }
    }

    /// An adapter that the engine holds, as long as the engine has not seen this owner's fence.
    ///
    /// A load of what is held changes nothing but the fence. Without it an owner of a full engine
    /// would wait for ever: only an order raises the fence, and before that nothing is evicted.
    fn fence_raiser(&self) -> Option<AdapterRef> {
        if !self.plan.checks_fencing || self.ownership.is_confirmed() {
            return None;
        }
        self.slots.iter().next().map(|slot| slot.adapter.clone())
    }

    fn adapter_slots(&self) -> u32 {
        let reported = self.seen.as_ref().map_or(0, |s| s.report.adapter_slots);
        reported.min(self.plan.adapter_slots)
    }

    fn eviction<'a>(&'a self, settings: &'a PlacementSettings, now: Instant) -> Eviction<'a> {
        let seen = self.seen.as_ref();
        Eviction {
            slots: &self.slots,
            pins: &self.pins,
            ownership: &self.ownership,
            report: seen.map(|seen| (&seen.report, seen.taken_at)),
            settings,
            now,
        }
    }

    fn order_load(
        &mut self,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.slots.begin_load(adapter, self.adapter_slots(), now);
        self.announce(adapter, Presence::Loading, out);
        self.order(OrderOp::Load, adapter, settings, next_order, now, out);
    }

    fn order_unload(
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
        self.announce(adapter, Presence::Absent, out);
        self.order(OrderOp::Unload, adapter, settings, next_order, now, out);
    }

    fn order(
        &mut self,
        op: OrderOp,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let Some(seen) = &self.seen else { return };
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
            incarnation: seen.report.incarnation,
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

    fn announce(&self, adapter: &AdapterRef, state: Presence, out: &mut OwnerOutput) {
        out.actions.push(PlacementAction::AdapterState {
            engine: self.plan.upstream.clone(),
            adapter: adapter.clone(),
            state,
        });
    }

    fn load_ended(&self, adapter: &AdapterRef, outcome: LoadOutcome, out: &mut OwnerOutput) {
        out.outcomes.push((adapter.clone(), outcome));
    }
}

pub(crate) fn refuse_pin(
    to: NodeId,
    ask_id: u64,
    engine: UpstreamId,
    adapter: AdapterRef,
) -> PlacementAction {
    PlacementAction::RefusePin {
        to,
        ask_id,
        engine,
        adapter,
        retry_after: PIN_RETRY_AFTER,
    }
}
