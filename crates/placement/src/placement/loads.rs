//! Demand, load requests, permits and their outcomes.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterName, AdapterRef, Class, FailureDomain, UpstreamId};

use super::Placement;
use crate::load_scheduler::LoadPermit;
use crate::{
    DemandCount, LoadOutcome, PlacementAction, PlacementMessage, PlacementNote, PlacementPlan,
};

/// How often requests are reported to the load scheduler.
const DEMAND_INTERVAL: Duration = Duration::from_secs(2);
/// How often weight store use is reported to other failure domains.
const STORE_USE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of adapter and class pairs in one message; requests for others are not reported.
const DEMAND_COUNTS: usize = 512;

impl Placement {
    pub(super) fn record_demand(
        &mut self,
        adapter: AdapterRef,
        class: Class,
        weight: f64,
        now: Instant,
    ) {
        self.demand.add(&adapter, class, weight, now);
        let is_scheduler = self.scheduler_node() == Some(&self.settings.node);
        if !is_scheduler && self.unreported_demand.len() < DEMAND_COUNTS {
            *self.unreported_demand.entry((adapter, class)).or_default() += weight;
        }
    }

    /// Reports the requests that this node received to the load scheduler. In a large failure
    /// domain each node receives a small part of the requests, so the message stays small.
    pub(super) fn report_demand(&mut self, now: Instant, actions: &mut Vec<PlacementAction>) {
        let is_recent = |at: Instant| now < at + DEMAND_INTERVAL;
        if self.unreported_demand.is_empty() || self.demand_reported_at.is_some_and(is_recent) {
            return;
        }
        self.demand_reported_at = Some(now);
        let unreported = std::mem::take(&mut self.unreported_demand);
        let Some(to) = self
            .scheduler_node()
            .filter(|to| **to != self.settings.node)
        else {
            return;
        };
        let counts = unreported
            .into_iter()
            .map(|((adapter, class), weight)| DemandCount {
                adapter,
                class,
                requests: weight.round() as u32,
            });
        actions.push(PlacementAction::Send {
            to: to.clone(),
            message: PlacementMessage::Demand {
                counts: counts.collect(),
            },
        });
    }

    /// Reports to the other failure domains how much of the weight store this one uses, so that
    /// they can use the rest. Only the load scheduler does this.
    pub(super) fn report_store_use(&mut self, now: Instant, actions: &mut Vec<PlacementAction>) {
        let is_recent = |at: Instant| now < at + STORE_USE_INTERVAL;
        let Some(store_use) = self.store_use(now) else {
            return;
        };
        if self.store_use_reported_at.is_some_and(is_recent) {
            return;
        }
        self.store_use_reported_at = Some(now);
        let own = &self.settings.failure_domain;
        let domains: BTreeSet<&FailureDomain> = self
            .plan
            .engines
            .iter()
            .map(|engine| &engine.failure_domain)
            .filter(|domain| *domain != own)
            .collect();
        for domain in domains {
            actions.push(PlacementAction::SendToDomain {
                domain: domain.clone(),
                message: PlacementMessage::StoreUse {
                    domain: own.clone(),
                    loads_per_1000_s: (store_use.loads_per_s * 1_000.0).round() as u32,
                    backlog: store_use.backlog,
                    is_passed_on: false,
                },
            });
        }
    }

    /// The adapters on the engine, lowest value first.
    fn ranked_victims(&self, engine: &UpstreamId, now: Instant) -> Vec<AdapterRef> {
        let held = self
            .view
            .last_report(engine)
            .map(|(report, _)| &report.adapters);
        let value = |adapter| self.view.slot_value(adapter, &self.plan, &self.demand, now);
        let mut valued: Vec<(f64, &AdapterRef)> = held
            .into_iter()
            .flatten()
            .map(|held| (value(&held.adapter), &held.adapter))
            .collect();
        valued.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
        valued
            .into_iter()
            .map(|(_, adapter)| adapter.clone())
            .collect()
    }

    /// Requests the load of new versions of adapters in demand before the first request for them.
    /// The old version keeps its slot while it is in demand, so that the callers of neither wait.
    pub(super) fn prepare_new_versions(&mut self, previous: &PlacementPlan, now: Instant) {
        if previous.adapters.is_empty() {
            return;
        }
        let is_new = |adapter: &&AdapterRef| !previous.adapters.contains_key(*adapter);
        let mut newest: HashMap<&AdapterName, &AdapterRef> = HashMap::new();
        for adapter in self.plan.adapters.keys().filter(is_new) {
            let known = newest.entry(&adapter.name).or_insert(adapter);
            *known = (*known).max(adapter);
        }
        let mut successors: Vec<(AdapterRef, AdapterRef)> = self
            .view
            .held_adapters()
            .filter_map(|held| Some((held.clone(), (*newest.get(&held.name)?).clone())))
            .collect();
        successors.sort_unstable();
        for (held, successor) in successors {
            self.demand.inherit(&successor, &held, now);
            let (scheduler, inputs) = self.scheduler_with_inputs(now);
            scheduler.request_background_load(&successor, None, &inputs);
        }
    }

    /// Requests the adapters that an engine lost by a cold restart to be loaded there again, in
    /// order of demand.
    pub(super) fn request_lost_adapters(
        &mut self,
        engine: &UpstreamId,
        mut lost: Vec<AdapterRef>,
        now: Instant,
    ) {
        let rate = |adapter: &AdapterRef| self.demand.rate_per_s(adapter, now);
        lost.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then_with(|| a.cmp(b)));
        lost.retain(|adapter| rate(adapter) > 0.0);
        for adapter in lost {
            let (scheduler, inputs) = self.scheduler_with_inputs(now);
            scheduler.request_background_load(&adapter, Some(engine.clone()), &inputs);
        }
    }

    pub(super) fn request_load(
        &mut self,
        engine: Option<UpstreamId>,
        adapter: AdapterRef,
        class: Class,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        match self.scheduler_node() {
            Some(node) if *node != self.settings.node => actions.push(PlacementAction::Send {
                to: node.clone(),
                message: PlacementMessage::Want {
                    engine,
                    adapter,
                    class,
                },
            }),
            _ => {
                let (scheduler, inputs) = self.scheduler_with_inputs(now);
                scheduler.request_load(&adapter, class, engine, &inputs);
                self.schedule(now, actions);
            }
        }
    }

    pub(super) fn handle_message(
        &mut self,
        message: PlacementMessage,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        match message {
            PlacementMessage::Want {
                engine,
                adapter,
                class,
            } => {
                let (scheduler, inputs) = self.scheduler_with_inputs(now);
                scheduler.request_load(&adapter, class, engine, &inputs);
                self.schedule(now, actions);
            }
            PlacementMessage::Permit {
                engine,
                adapter,
                class,
                victims,
            } => self.accept_permit(&engine, adapter, class, victims, now, actions),
            PlacementMessage::StoreUse {
                domain,
                loads_per_1000_s,
                backlog,
                is_passed_on,
            } => {
                let message = PlacementMessage::StoreUse {
                    domain: domain.clone(),
                    loads_per_1000_s,
                    backlog,
                    is_passed_on: true,
                };
                match self.scheduler_node() {
                    Some(to) if *to != self.settings.node && !is_passed_on => {
                        let to = to.clone();
                        actions.push(PlacementAction::Send { to, message });
                    }
                    _ => {
                        let loads_per_s = f64::from(loads_per_1000_s) / 1_000.0;
                        self.scheduler
                            .budget
                            .record_peer_use(domain, loads_per_s, backlog, now);
                    }
                }
            }
            PlacementMessage::Demand { counts } => {
                for count in counts {
                    let requests = f64::from(count.requests);
                    self.demand.add(&count.adapter, count.class, requests, now);
                }
            }
            PlacementMessage::Outcome {
                engine,
                adapter,
                outcome,
            } => {
                let (scheduler, inputs) = self.scheduler_with_inputs(now);
                scheduler.record_outcome(&engine, &adapter, outcome, &inputs);
                self.schedule(now, actions);
            }
        }
    }

    /// Sends permits for the loads that the weight store's budget allows.
    pub(super) fn schedule(&mut self, now: Instant, actions: &mut Vec<PlacementAction>) {
        let (scheduler, inputs) = self.scheduler_with_inputs(now);
        let permits = scheduler.next_permits(&inputs);
        for permit in permits {
            self.send_permit(permit, now, actions);
        }
    }

    pub(super) fn send_permit(
        &mut self,
        permit: LoadPermit,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        let LoadPermit {
            engine,
            adapter,
            class,
        } = permit;
        if self.owned.contains_key(&engine) {
            self.accept_permit(&engine, adapter, class, Vec::new(), now, actions);
            return;
        }
        let victims = self.ranked_victims(&engine, now);
        match self.owner_of(&engine, now) {
            Some(node) if *node != self.settings.node => actions.push(PlacementAction::Send {
                to: node.clone(),
                message: PlacementMessage::Permit {
                    engine,
                    adapter,
                    class,
                    victims,
                },
            }),
            _ => self.load_ended(&engine, &adapter, LoadOutcome::NotOwner, now, actions),
        }
    }

    pub(super) fn accept_permit(
        &mut self,
        engine: &UpstreamId,
        adapter: AdapterRef,
        class: Class,
        victims: Vec<AdapterRef>,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        if !self.owned.contains_key(engine) {
            self.load_ended(engine, &adapter, LoadOutcome::NotOwner, now, actions);
            return;
        }
        self.with_owner(engine, now, actions, |owner, _, _| {
            owner.add_permit(adapter, class, victims, now);
        });
    }

    /// Reports how a load ended to the load scheduler, on this node or another one.
    pub(super) fn load_ended(
        &mut self,
        engine: &UpstreamId,
        adapter: &AdapterRef,
        outcome: LoadOutcome,
        now: Instant,
        actions: &mut Vec<PlacementAction>,
    ) {
        if outcome != LoadOutcome::Ready {
            actions.push(PlacementAction::Report(PlacementNote::LoadEnded {
                engine: engine.clone(),
                adapter: adapter.clone(),
                outcome,
            }));
        }
        match self.scheduler_node() {
            Some(node) if *node != self.settings.node => actions.push(PlacementAction::Send {
                to: node.clone(),
                message: PlacementMessage::Outcome {
                    engine: engine.clone(),
                    adapter: adapter.clone(),
                    outcome,
                },
            }),
            _ => {
                let (scheduler, inputs) = self.scheduler_with_inputs(now);
                scheduler.record_outcome(engine, adapter, outcome, &inputs);
            }
        }
    }
}
