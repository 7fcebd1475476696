//! Handles events and returns actions.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Instant;

use nutmegsail_base::{AdapterRef, Class, EngineReport, NodeId, UpstreamId};

mod loads;
mod owning;

use crate::claims::Claims;
use crate::domain_view::DomainView;
use crate::engine_owner::{EngineOwner, OwnerOutput, refuse_pin};
use crate::load_scheduler::{LoadScheduler, SchedulerInputs};
use crate::{
    DemandEstimate, DisownCause, PlacementAction, PlacementEvent, PlacementPlan, PlacementSettings,
    StoreUse, first_choice,
};

/// The key for which [`first_choice`] among the live nodes gives the failure domain's load
/// scheduler.
const SCHEDULER_KEY: &str = "nutmegsail/load-scheduler";

/// Placement on one node: owns some engines, and schedules the loads of its failure domain if it is
/// the node chosen for that.
///
/// ```
/// use std::time::Instant;
/// use nutmegsail_placement::{Placement, PlacementEvent, PlacementSettings};
///
/// let mut placement = Placement::new(PlacementSettings::new("node-1", "negril-hall"));
/// let mut actions = Vec::new();
/// placement.handle(PlacementEvent::Tick, Instant::now(), &mut actions);
/// assert!(actions.is_empty());
/// ```
#[derive(Debug)]
pub struct Placement {
    settings: PlacementSettings,
    plan: Arc<PlacementPlan>,
    nodes: Vec<NodeId>,
    /// The failure domain's load scheduler, chosen again when the live nodes change.
    scheduler_node: Option<NodeId>,
    view: DomainView,
    demand: DemandEstimate,
    claims: Claims,
    scheduler: LoadScheduler,
    owned: BTreeMap<UpstreamId, EngineOwner>,
    next_order: u64,
    /// Requests that have not been reported to the load scheduler yet.
    unreported_demand: BTreeMap<(AdapterRef, Class), f64>,
    demand_reported_at: Option<Instant>,
    store_use_reported_at: Option<Instant>,
}

impl Placement {
    /// Creates a placement without a configuration that owns no engine.
    pub fn new(settings: PlacementSettings) -> Self {
        let demand = DemandEstimate::new(
            settings.demand_capacity,
            settings.demand_half_life,
            settings.short_half_life,
            settings.urgent_weight,
        );
        Self {
            plan: Arc::default(),
            nodes: Vec::new(),
            scheduler_node: None,
            view: DomainView::new(settings.replica_rate_per_s),
            demand,
            claims: Claims::default(),
            scheduler: LoadScheduler::new(&settings),
            owned: BTreeMap::new(),
            next_order: 0,
            unreported_demand: BTreeMap::new(),
            demand_reported_at: None,
            store_use_reported_at: None,
            settings,
        }
    }

    /// Handles an event that happened at `now` and appends the resulting actions to `actions`.
    pub fn handle(
        &mut self,
        event: PlacementEvent,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        match event {
            PlacementEvent::Plan(plan) => self.set_plan(plan, now, actions),
            PlacementEvent::LiveNodes { nodes } => self.set_live_nodes(nodes, now),
            PlacementEvent::OwnershipGranted {
                engine,
                fence,
                valid_until,
            } => self.ownership_granted(&engine, fence, valid_until, now, actions),
            PlacementEvent::OwnershipLost { engine } => {
                self.claims.defer(&engine, self.settings.claim_retry, now);
                self.disown(&engine, DisownCause::Lost, now, actions);
            }
            PlacementEvent::ClaimUnanswered { engine } => {
                self.claim_unanswered(&engine, now, actions);
            }
            PlacementEvent::Report {
                engine,
                report,
                taken_at,
            } => self.report(&engine, report, taken_at, now, actions),
            PlacementEvent::EngineGone { engine } => self.engine_gone(&engine, now, actions),
            PlacementEvent::Demand {
                adapter,
                class,
                weight,
            } => self.record_demand(adapter, class, weight, now),
            PlacementEvent::WantAdapter {
                engine,
                adapter,
                class,
            } => self.request_load(engine, adapter, class, now, actions),
            PlacementEvent::PinAsked {
                from,
                ask_id,
                engine,
                adapter,
                class,
            } => self.answer_pin_request(&from, ask_id, engine, adapter, class, now, actions),
            PlacementEvent::PinReturned {
                from,
                ask_id,
                engine,
                adapter,
            } => {
                if let Some(owner) = self.owned.get_mut(&engine) {
                    owner.release_pin(&from, ask_id, &adapter, now);
                }
            }
            PlacementEvent::OrderAnswered {
                engine,
                order,
                result,
            } => self.with_owner(&engine, now, actions, |owner, _, out| {
                owner.order_answered(order, result, now, out);
            }),
            PlacementEvent::StoreUse {
                domain,
                loads_per_s,
                backlog,
            } => self
                .scheduler
                .budget
                .record_peer_use(domain, loads_per_s, backlog, now),
            PlacementEvent::Received { message, .. } => self.handle_message(message, now, actions),
            PlacementEvent::Tick => self.tick(now, actions),
        }
    }

    /// The engines that this node owns, with their fencing tokens.
    pub fn owned_engines(&self) -> impl Iterator<Item = (&UpstreamId, u64)> {
        self.owned
            .iter()
            .map(|(engine, owner)| (engine, owner.fence()))
    }

    /// The node from which to request pins on an engine of this failure domain. During a handover
    /// between two live nodes, this is the node that releases the engine.
    pub fn owner_of(&self, engine: &UpstreamId, now: Instant) -> Option<&NodeId> {
        self.claims
            .owner_of(engine, self.settings.handover_delay, now)
    }

    /// The weight store use to report to other failure domains, on the load scheduler's node;
    /// `None` on other nodes.
    pub fn store_use(&self, now: Instant) -> Option<StoreUse> {
        let is_scheduler = self.scheduler_node() == Some(&self.settings.node);
        is_scheduler.then(|| self.scheduler.store_use(now))
    }

    fn scheduler_node(&self) -> Option<&NodeId> {
        self.scheduler_node.as_ref()
    }

    fn set_plan(
        &mut self,
        plan: Arc<PlacementPlan>,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let previous = std::mem::replace(&mut self.plan, plan);
        let plan = Arc::clone(&self.plan);
        let own_domain = &self.settings.failure_domain;
        let own_engines = || {
            let is_own = |engine: &&crate::EnginePlan| engine.failure_domain == *own_domain;
            plan.engines.iter().filter(is_own)
        };
        self.view.apply_plan(own_engines());
        self.scheduler.budget.apply_plan(&plan);
        for engine in own_engines() {
            if let Some(owner) = self.owned.get_mut(&engine.upstream) {
                owner.apply_plan(engine.clone());
            }
        }
        self.choose_owners(now);
        let removed = |engine: &&UpstreamId| self.view.plan_of(engine).is_none();
        let removed: Vec<UpstreamId> = self.owned.keys().filter(removed).cloned().collect();
        for engine in removed {
            actions.push(PlacementAction::Release {
                engine: engine.clone(),
            });
            self.disown(&engine, DisownCause::EngineGone, now, actions);
        }
        self.prepare_new_versions(&previous, now);
        self.schedule(now, actions);
    }

    fn set_live_nodes(&mut self, nodes: Vec<NodeId>, now: Instant) {
        self.scheduler_node = first_choice(SCHEDULER_KEY, &nodes).cloned();
        self.nodes = nodes;
        self.choose_owners(now);
    }

    fn report(
        &mut self,
        engine: &UpstreamId,
        report: EngineReport,
        taken_at: Instant,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let is_leaving = report.is_leaving;
        let effect = self.view.record_report(engine, &report, taken_at);
        self.request_lost_adapters(engine, effect.lost_by_restart, now);
        if is_leaving {
            let (scheduler, inputs) = self.scheduler_with_inputs(now);
            scheduler.engine_gone(engine, &inputs);
        }
        self.with_owner(engine, now, actions, |owner, settings, out| {
            owner.apply_report(report, taken_at, settings, now, out);
        });
        self.schedule(now, actions);
    }

    fn engine_gone(
        &mut self,
        engine: &UpstreamId,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        self.view.record_gone(engine);
        let (scheduler, inputs) = self.scheduler_with_inputs(now);
        scheduler.engine_gone(engine, &inputs);
        self.schedule(now, actions);
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    fn answer_pin_request(
        &mut self,
        from: &NodeId,
        ask_id: u64,
        engine: UpstreamId,
        adapter: AdapterRef,
        class: Class,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let Some(owner) = self.owned.get_mut(&engine) else {
            actions.push(refuse_pin(from.clone(), ask_id, engine, adapter));
            return;
        };
        let mut out = OwnerOutput::default();
        owner.answer_pin_request(from, ask_id, &adapter, &self.settings, now, &mut out);
        actions.append(&mut out.actions);
        if !self.view.is_held_by(&engine, &adapter) {
            self.request_load(Some(engine), adapter, class, now, actions);
        }
    }

    fn tick(&mut self, now: Instant, actions: &mut Vec<PlacementAction>) {
        self.tick_claims(now, actions);
        let engines: Vec<UpstreamId> = self.owned.keys().cloned().collect();
        for engine in engines {
            self.with_owner(&engine, now, actions, |owner, settings, out| {
                owner.tick(settings, now, out);
            });
        }
        self.report_demand(now, actions);
        self.report_store_use(now, actions);
        let (scheduler, inputs) = self.scheduler_with_inputs(now);
        scheduler.tick(&inputs);
        self.schedule(now, actions);
    }

    /// Runs `step` on the owner of an engine, sends the order that is due after it, and handles the
    /// outcomes.
    fn with_owner(
        &mut self,
        engine: &UpstreamId,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
        step: impl FnOnce(&mut EngineOwner, &PlacementSettings, &mut OwnerOutput),
    ) {
        let Some(owner) = self.owned.get_mut(engine) else {
            return;
        };
        let mut out = OwnerOutput::default();
        step(owner, &self.settings, &mut out);
        let (view, plan, demand) = (&self.view, &self.plan, &self.demand);
        let value = |adapter: &AdapterRef| view.slot_value(adapter, plan, demand, now);
        if out.disowned.is_none() {
            owner.advance(&self.settings, &value, &mut self.next_order, now, &mut out);
        }
        actions.append(&mut out.actions);
        for (adapter, outcome) in out.outcomes {
            self.load_ended(engine, &adapter, outcome, now, actions);
        }
        if let Some(cause) = out.disowned {
            self.handle_fenced(engine, cause, now, actions);
        }
    }

    fn scheduler_with_inputs(&mut self, now: Instant) -> (&mut LoadScheduler, SchedulerInputs<'_>) {
        let inputs = SchedulerInputs {
            settings: &self.settings,
            plan: &self.plan,
            view: &self.view,
            demand: &self.demand,
            now,
        };
        (&mut self.scheduler, inputs)
    }
}
