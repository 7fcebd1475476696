//! The engines of this node's failure domain and the adapters that they report.

use std::collections::{BTreeMap, HashMap};
use std::time::Instant;

use nutmegsail_base::{AdapterRef, AdapterState, EngineReport, ServiceName, UpstreamId};

use crate::owner_choice::rendezvous_score;
use crate::{DemandEstimate, EnginePlan, PlacementPlan};

/// Cost of an engine that has not reported.
const COST_UNKNOWN: f64 = 2_000.0;
/// Cost of an engine on which every adapter is in use.
const COST_BUSY: f64 = 1_000.0;
/// Cost of the engine on which the last attempt of this load failed.
const COST_AVOIDED: f64 = 5_000.0;
/// Weight of the demand that an engine already serves per slot, relative to the demand of the
/// adapter to be evicted.
const BALANCE_WEIGHT: f64 = 0.05;
/// The factor on the value of an adapter that has more replicas than it needs.
const SURPLUS_VALUE_SHARE: f64 = 0.1;

#[derive(Debug)]
pub(crate) struct EngineView {
    plan: EnginePlan,
    report: Option<EngineReport>,
    taken_at: Option<Instant>,
    is_gone: bool,
}

impl EngineView {
    fn accepts_loads(&self) -> bool {
        !self.is_gone && !self.report.as_ref().is_some_and(|report| report.is_leaving)
    }

    fn holds(&self, adapter: &AdapterRef) -> bool {
        let holds = |report: &EngineReport| report.adapters.iter().any(|h| h.adapter == *adapter);
        self.report.as_ref().is_some_and(holds)
    }
}

/// What a report changed: the adapters that the engine lost by a cold restart.
#[derive(Debug, Default)]
pub(crate) struct ReportEffect {
    pub lost_by_restart: Vec<AdapterRef>,
}

/// The load for which an engine is to be chosen.
pub(crate) struct PlacementQuery<'a> {
    pub adapter: &'a AdapterRef,
    pub avoid: Option<&'a UpstreamId>,
    /// The number of loads in flight to an engine.
    pub in_flight_to: &'a dyn Fn(&UpstreamId) -> usize,
}

/// The engine chosen for a load, and the demand of the adapter that has to be evicted there.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct ChosenEngine {
    pub engine: UpstreamId,
    pub displaced_rate_per_s: f64,
}

/// The engines of one failure domain with their reported adapters.
#[derive(Debug, Default)]
pub(crate) struct DomainView {
    engines: BTreeMap<UpstreamId, EngineView>,
    replicas: HashMap<AdapterRef, u32>,
    engines_by_service: BTreeMap<ServiceName, u32>,
    replica_rate_per_s: f64,
}

impl DomainView {
    pub fn new(replica_rate_per_s: f64) -> Self {
        Self {
            replica_rate_per_s,
            ..Self::default()
        }
    }

    /// Replaces the engines by those of the new plan and keeps the reports of the ones that remain.
    pub fn apply_plan<'a>(&mut self, engines: impl Iterator<Item = &'a EnginePlan>) {
        let mut previous = std::mem::take(&mut self.engines);
        self.engines_by_service.clear();
        for plan in engines {
            *self
                .engines_by_service
                .entry(plan.service.clone())
                .or_default() += 1;
            let mut view = previous
                .remove(&plan.upstream)
                .unwrap_or_else(|| EngineView {
                    plan: plan.clone(),
                    report: None,
                    taken_at: None,
                    is_gone: false,
                });
            view.plan = plan.clone();
            self.engines.insert(plan.upstream.clone(), view);
        }
        for view in previous.into_values() {
            remove_replicas(&mut self.replicas, view.report.as_ref());
        }
    }

    pub fn plans(&self) -> impl Iterator<Item = &EnginePlan> {
        self.engines.values().map(|view| &view.plan)
    }

    pub fn plan_of(&self, engine: &UpstreamId) -> Option<&EnginePlan> {
        self.engines.get(engine).map(|view| &view.plan)
    }

    /// The adapters held by at least one engine that is not leaving.
    pub fn held_adapters(&self) -> impl Iterator<Item = &AdapterRef> {
        self.replicas.keys()
    }

    /// The fencing token in the last report of the engine.
    pub fn seen_fence(&self, engine: &UpstreamId) -> u64 {
        let report = self
            .engines
            .get(engine)
            .and_then(|view| view.report.as_ref());
        report.map_or(0, |report| report.fence)
    }

    /// The last report and the time at which it was requested.
    pub fn last_report(&self, engine: &UpstreamId) -> Option<(&EngineReport, Instant)> {
        let view = self.engines.get(engine)?;
        Some((view.report.as_ref()?, view.taken_at?))
    }

    /// Records a report, unless a newer one is known.
    pub fn record_report(
        &mut self,
        engine: &UpstreamId,
        report: &EngineReport,
        taken_at: Instant,
    ) -> ReportEffect {
        let mut effect = ReportEffect::default();
        let Some(view) = self.engines.get_mut(engine) else {
            return effect;
        };
        if view.taken_at.is_some_and(|known| taken_at < known) {
            return effect;
        }
        let is_restarted = |known: &EngineReport| known.incarnation != report.incarnation;
        if let Some(known) = view.report.as_ref().filter(|known| is_restarted(known)) {
            effect.lost_by_restart = known.adapters.iter().map(|h| h.adapter.clone()).collect();
        }
        remove_replicas(&mut self.replicas, view.report.as_ref());
        add_replicas(&mut self.replicas, report);
        view.report = Some(report.clone());
        view.taken_at = Some(taken_at);
        view.is_gone = false;
        effect
    }

    pub fn record_gone(&mut self, engine: &UpstreamId) {
        if let Some(view) = self.engines.get_mut(engine) {
            remove_replicas(&mut self.replicas, view.report.as_ref());
            view.report = None;
            view.is_gone = true;
        }
    }

    pub fn is_held_by(&self, engine: &UpstreamId, adapter: &AdapterRef) -> bool {
        self.engines
            .get(engine)
            .is_some_and(|view| view.holds(adapter))
    }

    pub fn accepts_loads(&self, engine: &UpstreamId) -> bool {
        self.engines
            .get(engine)
            .is_some_and(EngineView::accepts_loads)
    }

    /// The number of engines that hold the adapter, ready or loading, without those that are
    /// leaving.
    pub fn replicas(&self, adapter: &AdapterRef) -> u32 {
        self.replicas.get(adapter).copied().unwrap_or(0)
    }

    /// The number of engines that should hold an adapter with this request rate.
    pub fn replicas_for(&self, service: &ServiceName, rate_per_s: f64) -> u32 {
        let engines = self.engines_by_service.get(service).copied().unwrap_or(0);
        let wanted = (rate_per_s / self.replica_rate_per_s).ceil() as u32;
        wanted.clamp(1, engines.max(1))
    }

    /// The value of one replica of an adapter: the request rate that other engines would have to
    /// serve without it.
    pub fn slot_value(
        &self,
        adapter: &AdapterRef,
        plan: &PlacementPlan,
        demand: &DemandEstimate,
        now: Instant,
    ) -> f64 {
        let Some(service) = plan.adapters.get(adapter) else {
            return 0.0;
        };
        let rate = demand.rate_per_s(adapter, now);
        let replicas = self.replicas(adapter).max(1);
        let share = rate / f64::from(replicas);
        if replicas > self.replicas_for(service, rate) {
            share * SURPLUS_VALUE_SHARE
        } else {
            share
        }
    }

    /// Chooses the engine on which the load evicts the least demand. Equal costs are decided by
    /// rendezvous hashing on the adapter.
    pub fn choose_engine(
        &self,
        query: &PlacementQuery<'_>,
        plan: &PlacementPlan,
        demand: &DemandEstimate,
        now: Instant,
    ) -> Option<ChosenEngine> {
        let service = plan.adapters.get(query.adapter)?;
        let is_candidate = |view: &&EngineView| {
            view.plan.service == *service && view.accepts_loads() && !view.holds(query.adapter)
        };
        let key = query.adapter.name.as_str();
        self.engines
            .values()
            .filter(is_candidate)
            .map(|view| {
                let (cost, displaced) = self.cost(view, query, plan, demand, now);
                let rank = rendezvous_score(key, &view.plan.upstream);
                (cost, rank, displaced, &view.plan.upstream)
            })
            .min_by(|a, b| a.0.total_cmp(&b.0).then(b.1.cmp(&a.1)))
            .map(|(_, _, displaced_rate_per_s, engine)| ChosenEngine {
                engine: engine.clone(),
                displaced_rate_per_s,
            })
    }

    fn cost(
        &self,
        view: &EngineView,
        query: &PlacementQuery<'_>,
        plan: &PlacementPlan,
        demand: &DemandEstimate,
        now: Instant,
    ) -> (f64, f64) {
        let in_flight = (query.in_flight_to)(&view.plan.upstream);
        let is_avoided = query.avoid == Some(&view.plan.upstream);
        let avoided = if is_avoided { COST_AVOIDED } else { 0.0 };
        let Some(report) = &view.report else {
            return (COST_UNKNOWN + avoided + in_flight as f64, 0.0);
        };
        let value = |adapter: &AdapterRef| self.slot_value(adapter, plan, demand, now);
        let slots = report.adapter_slots.min(view.plan.adapter_slots) as usize;
        let carried: f64 = report.adapters.iter().map(|h| value(&h.adapter)).sum();
        let balance = BALANCE_WEIGHT * carried / slots.max(1) as f64;
        let free = slots.saturating_sub(report.adapters.len());
        if in_flight < free {
            return (avoided + balance, 0.0);
        }
        let is_idle =
            |state: AdapterState, running: u32| state == AdapterState::Ready && running == 0;
        let mut idle: Vec<f64> = report
            .adapters
            .iter()
            .filter(|held| is_idle(held.state, held.running))
            .map(|held| value(&held.adapter))
            .collect();
        idle.sort_unstable_by(f64::total_cmp);
        match idle.get(in_flight - free) {
            Some(displaced) => (avoided + balance + displaced, *displaced),
            None => (avoided + balance + COST_BUSY, f64::INFINITY),
        }
    }
}

/// Adds what an engine holds to the replica counts. A leaving engine serves no new request, so its
/// replicas don't count: otherwise the adapter would not be loaded elsewhere, and its requests
/// would wait until their deadlines.
fn add_replicas(replicas: &mut HashMap<AdapterRef, u32>, report: &EngineReport) {
    if report.is_leaving {
        return;
    }
    for held in &report.adapters {
        *replicas.entry(held.adapter.clone()).or_default() += 1;
    }
}

fn remove_replicas(replicas: &mut HashMap<AdapterRef, u32>, report: Option<&EngineReport>) {
    let counted = report.filter(|report| !report.is_leaving);
    for held in counted.into_iter().flat_map(|report| &report.adapters) {
        let Some(count) = replicas.get_mut(&held.adapter) else {
            continue;
        };
        *count -= 1;
        if *count == 0 {
            replicas.remove(&held.adapter);
        }
    }
}
