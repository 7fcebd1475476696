//! The owner of one engine: grants pins, sends load orders, and evicts only adapters that are not
//! in use.

use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, EngineReport, NodeId, UpstreamId};
use nutmegsail_upstream::OrderOp;

use self::orders::OutstandingOrder;
use crate::eviction::Eviction;
use crate::ownership::Ownership;
use crate::pin_table::PinTable;
use crate::slot_map::{SlotChanges, SlotMap, SlotState};
mod draining;
mod orders;

use crate::{
    DisownCause, EnginePlan, LoadOutcome, PlacementAction, PlacementNote, PlacementSettings,
    Presence,
};

/// How long a node should wait before it requests a refused pin again.
const PIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// What the handling of one event produced: actions, ended loads, and whether the ownership ended.
#[derive(Debug, Default)]
pub(crate) struct OwnerOutput {
    pub actions: Vec<PlacementAction>,
    pub outcomes: Vec<(AdapterRef, LoadOutcome)>,
    pub disowned: Option<DisownCause>,
}

/// A load that the scheduler permitted and that has not been ordered yet.
#[derive(Debug)]
struct Permit {
    adapter: AdapterRef,
    class: Class,
    since: Instant,
}

#[derive(Debug)]
struct LastReport {
    report: EngineReport,
    taken_at: Instant,
}

/// The state of one engine that this node owns.
#[derive(Debug)]
pub(crate) struct EngineOwner {
    plan: EnginePlan,
    ownership: Ownership,
    slots: SlotMap,
    pins: PinTable,
    last_report: Option<LastReport>,
    /// The engine's `order_seq` according to its answers and reports.
    known_seq: u64,
    /// No order is sent before a report that was requested after this time.
    report_needed_after: Option<Instant>,
    outstanding: Option<OutstandingOrder>,
    permits: Vec<Permit>,
    recalled_at: Option<Instant>,
    /// The adapters of the engine by value, lowest first, as another node's load scheduler sent
    /// them with its last permit.
    victim_order: Vec<AdapterRef>,
}

impl EngineOwner {
    pub fn new(plan: EnginePlan, ownership: Ownership) -> Self {
        Self {
            plan,
            ownership,
            slots: SlotMap::default(),
            pins: PinTable::default(),
            last_report: None,
            known_seq: 0,
            report_needed_after: None,
            outstanding: None,
            permits: Vec::new(),
            recalled_at: None,
            victim_order: Vec::new(),
        }
    }

    pub fn fence(&self) -> u64 {
        self.ownership.fence
    }

    pub fn renew(&mut self, valid_until: Instant) {
        self.ownership.renew(valid_until);
    }

    pub fn apply_plan(&mut self, plan: EnginePlan) {
        self.plan = plan;
    }

    /// Ends the ownership and returns the loads that were permitted or in progress, so that they
    /// can be retried elsewhere.
    pub fn into_unfinished_loads(mut self) -> Vec<AdapterRef> {
        let loading = self.slots.clear();
        let loading = loading
            .into_iter()
            .filter(|slot| slot.state == SlotState::Loading)
            .map(|slot| slot.adapter);
        let permitted = self.permits.into_iter().map(|permit| permit.adapter);
        permitted.chain(loading).collect()
    }

    /// Applies a report, unless it is older than the last one.
    pub fn apply_report(
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
            self.handle_cold_restart(out);
        }
        self.ownership.record_no_higher_fence(taken_at);
        if report.fence == self.ownership.fence {
            self.ownership.confirm(now);
        }
        self.settle_order(&report, taken_at, settings);
        self.update_slots(&report, taken_at, now, out);
        self.last_report = Some(LastReport { report, taken_at });
    }

    fn is_stale(&self, report: &EngineReport, taken_at: Instant) -> bool {
        self.last_report.as_ref().is_some_and(|last_report| {
            let is_same_run = last_report.report.incarnation == report.incarnation;
            taken_at < last_report.taken_at
                || (is_same_run && report.order_seq < last_report.report.order_seq)
        })
    }

    fn is_other_incarnation(&self, report: &EngineReport) -> bool {
        self.last_report
            .as_ref()
            .is_some_and(|last_report| last_report.report.incarnation != report.incarnation)
    }

    /// Clears the slots after the engine restarted with nothing loaded. Kept, they would have
    /// requests sent to adapters that are not loaded any more, and orders refused one by one. Pins
    /// stay, since their holders may not know of the restart yet.
    fn handle_cold_restart(&mut self, out: &mut OwnerOutput) {
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
            self.publish_state(&slot.adapter, Presence::Absent, out);
        }
        self.ownership.reset_after_restart();
        self.outstanding = None;
        self.report_needed_after = None;
        self.known_seq = 0;
    }

    fn update_slots(
        &mut self,
        report: &EngineReport,
        taken_at: Instant,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        let knows_every_order = self.outstanding.is_none() && report.order_seq >= self.known_seq;
        let is_recent_enough = self.report_needed_after.is_none_or(|need| taken_at >= need);
        let changes = if knows_every_order && is_recent_enough {
            self.known_seq = report.order_seq;
            self.report_needed_after = None;
            self.slots.reconcile(report, now)
        } else {
            self.slots.update_states(report, now)
        };
        self.publish_changes(changes, out);
    }

    fn publish_changes(&mut self, changes: SlotChanges, out: &mut OwnerOutput) {
        for adapter in changes.became_ready {
            self.publish_state(&adapter, Presence::Ready, out);
            self.load_ended(&adapter, LoadOutcome::Ready, out);
        }
        for adapter in changes.became_loading {
            self.publish_state(&adapter, Presence::Loading, out);
        }
        for slot in changes.vanished {
            if slot.state == SlotState::Loading {
                self.load_ended(&slot.adapter, LoadOutcome::Failed, out);
            }
            self.publish_state(&slot.adapter, Presence::Absent, out);
        }
    }

    /// Grants or refuses a pin. While an adapter is draining, only nodes that hold a pin get it
    /// renewed, since their requests may still be running.
    pub fn answer_pin_request(
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

    pub fn release_pin(&mut self, from: &NodeId, ask_id: u64, adapter: &AdapterRef, now: Instant) {
        self.pins.release(from, ask_id, adapter, now);
    }

    /// Adds the scheduler's permission to load an adapter.
    pub fn add_permit(
        &mut self,
        adapter: AdapterRef,
        class: Class,
        victims: Vec<AdapterRef>,
        now: Instant,
    ) {
        self.victim_order = victims;
        match self.permits.iter_mut().find(|p| p.adapter == adapter) {
            Some(permit) => permit.class = permit.class.or_more_urgent(class),
            None => self.permits.push(Permit {
                adapter,
                class,
                since: now,
            }),
        }
    }

    /// Expires pins, unanswered orders, and permits for which no adapter could be evicted in time.
    pub fn tick(&mut self, settings: &PlacementSettings, now: Instant, out: &mut OwnerOutput) {
        self.pins.expire(now);
        let slots = &self.slots;
        self.pins
            .forget_absent(|adapter| slots.get(adapter).is_some());
        let timeout = settings.order_valid_for + settings.pin_margin;
        let is_overdue =
            |order: &mut OutstandingOrder| !order.is_unsettled && now > order.made_at + timeout;
        if let Some(order) = self.outstanding.take_if(is_overdue) {
            self.mark_order_unsettled(order, out);
        }
        self.tick_drain(settings, now, out);
        let drain = self.slots.is_draining();
        let has_timed_out =
            |permit: &mut Permit| !drain && now > permit.since + settings.victim_search_timeout;
        for permit in self.permits.extract_if(.., has_timed_out) {
            out.outcomes.push((permit.adapter, LoadOutcome::NoVictim));
        }
    }

    /// Sends the next order if one is due. `value` gives the value of an adapter's slot.
    pub fn advance(
        &mut self,
        settings: &PlacementSettings,
        value: &dyn Fn(&AdapterRef) -> f64,
        next_order: &mut u64,
        now: Instant,
        out: &mut OwnerOutput,
    ) {
        self.drop_settled_permits(out);
        let is_informed = self.last_report.is_some() && self.report_needed_after.is_none();
        if self.outstanding.is_some() || !is_informed || !self.ownership.may_order(settings, now) {
            return;
        }
        if let Some(adapter) = self.adapter_for_fence_order() {
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
        let order = &self.victim_order;
        let ranked = |adapter: &AdapterRef| match order.iter().position(|a| a == adapter) {
            Some(rank) => 1.0 + rank as f64,
            None if order.is_empty() => value(adapter),
            None => 1.0 + order.len() as f64,
        };
        if let Some(victim) = eviction.victim(&adapter, class, &ranked) {
            self.extend_permit(&adapter, now);
            self.order_unload(&victim, settings, next_order, now, out);
        } else if now >= since + settings.drain_after && !self.slots.is_draining() {
            let in_use = eviction.victim_in_use(&adapter, class, &ranked);
            if let Some(victim) = in_use {
                self.start_drain(&victim, now, out);
            }
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

    /// An adapter that the engine holds, while the engine has not seen the fencing token of this
    /// owner.
    ///
    /// Ordering the load of an adapter that is already loaded only raises the fencing token. An
    /// owner of a full engine needs this: only an order raises the token, and nothing is evicted
    /// before it is raised.
    fn adapter_for_fence_order(&self) -> Option<AdapterRef> {
        if !self.plan.checks_fencing || self.ownership.is_confirmed() {
            return None;
        }
        self.slots.iter().next().map(|slot| slot.adapter.clone())
    }

    fn adapter_slots(&self) -> u32 {
        let reported = self
            .last_report
            .as_ref()
            .map_or(0, |s| s.report.adapter_slots);
        reported.min(self.plan.adapter_slots)
    }

    fn eviction<'a>(&'a self, settings: &'a PlacementSettings, now: Instant) -> Eviction<'a> {
        let last_report = self.last_report.as_ref();
        Eviction {
            slots: &self.slots,
            pins: &self.pins,
            ownership: &self.ownership,
            report: last_report.map(|last_report| (&last_report.report, last_report.taken_at)),
            settings,
            now,
        }
    }

    fn publish_state(&self, adapter: &AdapterRef, state: Presence, out: &mut OwnerOutput) {
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
