//! The owner of one engine: grants pins, orders loads, and evicts only what nobody uses.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, EngineReport, NodeId, UpstreamId};
use nutmegsail_upstream::{OrderAnswer, OrderError, OrderOp};

use crate::ownership::Ownership;
use crate::pin_table::PinTable;
use crate::slot_map::{SlotChanges, SlotMap, SlotState};
use crate::{
    DisownCause, EnginePlan, LoadOutcome, OrderId, PlacementAction, PlacementNote,
    PlacementSettings, Presence,
};

/// How soon a refused pin is worth asking for again.
const PIN_RETRY_AFTER: Duration = Duration::from_millis(250);

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
        if self.plan.checks_fencing {
            if report.fence > self.ownership.fence {
                out.disowned = Some(DisownCause::Fenced);
                return;
            }
            self.ownership.saw_no_higher_fence(taken_at);
            if report.fence == self.ownership.fence {
                self.ownership.confirmed(now);
            }
        }
        if self.is_other_incarnation(&report) {
            self.restarted_cold(out);
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

    /// Answers a node that wants to use an adapter.
    pub fn pin_asked(
        &mut self,
        from: &NodeId,
        ask_id: u64,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let is_ready = self
            .slots
            .get(adapter)
            .is_some_and(|slot| slot.state == SlotState::Ready);
        let (to, engine, adapter) = (from.clone(), self.plan.upstream.clone(), adapter.clone());
        if !is_ready || !self.ownership.may_grant(settings, now) {
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
        let is_spent = |permit: &mut Permit| now > permit.since + settings.victim_patience;
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
        let Some((adapter, class)) = self.next_permit() else {
            return;
        };
        if self.slots.len() < self.adapter_slots() as usize {
            self.permits.retain(|permit| permit.adapter != adapter);
            self.order_load(&adapter, settings, next_order, now, out);
        } else if let Some(victim) = self.victim(&adapter, class, settings, value, now) {
            self.order_unload(&victim, settings, next_order, now, out);
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

    fn next_permit(&self) -> Option<(AdapterRef, Class)> {
        let first = self.permits.iter().min_by_key(|p| (p.class, p.since))?;
        Some((first.adapter.clone(), first.class))
    }

    fn adapter_slots(&self) -> u32 {
        let reported = self.seen.as_ref().map_or(0, |s| s.report.adapter_slots);
        reported.min(self.plan.adapter_slots)
    }

    /// The adapter that is worth least among those that nobody uses. Another version of the
    /// adapter that is to be loaded comes last: it serves until the new one is ready.
    fn victim(
        &self,
        wanted: &AdapterRef,
        class: Class,
        settings: &PlacementSettings,
        value: &dyn Fn(&AdapterRef) -> f64,
        now: Instant,
    ) -> Option<AdapterRef> {
        let residency = match class {
            Class::Urgent => settings.min_residency / 2,
            Class::Routine => settings.min_residency,
        };
        self.slots
            .iter()
            .filter(|slot| now >= slot.since + residency)
            .filter(|slot| self.is_evictable(&slot.adapter, settings, now))
            .map(|slot| {
                (
                    slot.adapter.name == wanted.name,
                    value(&slot.adapter),
                    &slot.adapter,
                )
            })
            .min_by(|a, b| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)).then(a.2.cmp(b.2)))
            .map(|(_, _, adapter)| adapter.clone())
    }

    /// Whether nobody can be using the adapter.
    ///
    /// Guards against evicting an adapter that serves a request, which shows as an answer cut
    /// short. Holds since no node may send without a pin; a node whose pin lapsed may have
    /// requests in flight, which the engine's report, asked for after the lapse, would show as
    /// running or queued; and pins of a former owner have lapsed when the quiet time is over.
    fn is_evictable(
        &self,
        adapter: &AdapterRef,
        settings: &PlacementSettings,
        now: Instant,
    ) -> bool {
        let (Some(seen), Some(slot)) = (&self.seen, self.slots.get(adapter)) else {
            return false;
        };
        let is_quiet_over = |until: Instant| now >= until;
        if slot.state != SlotState::Ready
            || self.pins.is_pinned(adapter, now)
            || !self
                .ownership
                .quiet_until(settings)
                .is_some_and(is_quiet_over)
        {
            return false;
        }
        let history = self.pins.history(adapter);
        let proof_after = history.free_since.max(Some(slot.idle_proof_after));
        let is_recent = proof_after.is_none_or(|at| seen.taken_at >= at + settings.report_lag);
        let may_be_queued = history.has_lapsed && seen.report.queued > 0;
        is_recent && !may_be_queued && running_on(&seen.report, adapter) == Some(0)
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
        assert!(
            !self.pins.is_pinned(adapter, now),
            "{adapter} is pinned and must not be evicted"
        );
        let quiet_until = self.ownership.quiet_until(settings);
        assert!(
            quiet_until.is_some_and(|until| now >= until),
            "{adapter} must not be evicted before a former owner's pins have lapsed"
        );
        let running = self
            .seen
            .as_ref()
            .and_then(|s| running_on(&s.report, adapter));
        assert_eq!(
            running,
            Some(0),
            "{adapter} serves requests and must not be evicted"
        );
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

fn running_on(report: &EngineReport, adapter: &AdapterRef) -> Option<u32> {
    let held = report
        .adapters
        .iter()
        .find(|held| held.adapter == *adapter)?;
    Some(held.running)
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
