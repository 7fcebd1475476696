//! Plans which base models the engines of a service should hold.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use nutmegsail_base::{FailureDomain, UpstreamId};
use xxhash_rust::xxh3::xxh3_64;

use crate::{CopySource, EngineSpec, LocalWeights, ModelSpec};

/// Work above which a model is in demand, in engines. A single request of 100 ms in the last
/// half-minute exceeds it, because every requested model should be held somewhere.
const MIN_DEMAND: f64 = 0.000_1;

/// Work per holder of a model, as a fraction of an engine, above which another engine loads the
/// model. Above it, a burst makes queues grow within a second.
const OVERLOAD_THRESHOLD: f64 = 0.5;

/// Work per remaining holder up to which an engine may unload a model. It is well below
/// [`OVERLOAD_THRESHOLD`], so that the model is not loaded again at once.
const UNLOAD_THRESHOLD: f64 = 0.3;

/// Work above which a model should be held in two failure domains, as a fraction of an engine.
/// Otherwise several requests per second would wait for a load when its only engine ends.
const TWO_DOMAINS_THRESHOLD: f64 = 0.1;

/// How many times the demand of another model a model needs to replace that model on its last
/// engine, where not all models fit. With a lower ratio two models could keep replacing each other,
/// and each load costs as much as several answers.
const REPLACE_RATIO: f64 = 3.0;

/// Adapters that must fit into an engine in addition to its base models.
const MIN_ADAPTERS: u32 = 4;

/// A base model on an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HostedModel {
    /// The model.
    pub name: Arc<str>,
    /// Number of its adapters there, including those being loaded.
    pub adapters: usize,
}

/// An engine as input of the plan.
#[derive(Clone, Debug)]
pub struct ModelHost<'a> {
    /// The engine.
    pub id: &'a UpstreamId,
    /// Its failure domain.
    pub failure_domain: &'a FailureDomain,
    /// Base models that it holds or loads, without those being unloaded.
    pub models: Vec<HostedModel>,
    /// Whether it can be ordered to load and unload base models now.
    pub can_change: bool,
    /// Whether it is loading or unloading a base model.
    pub is_changing: bool,
    /// Whether it counts towards the limit of loads from the weight store, because of a load that
    /// is in progress or ended a moment ago.
    pub uses_store: bool,
    /// Fraction of its slots in use. A base model is only unloaded once its requests have ended.
    pub busy_share: f64,
    /// Copies of weights in host memory or on local disk.
    pub local_weights: &'a LocalWeights,
}

/// A change of the base models that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ModelChange {
    /// The engine.
    pub engine: UpstreamId,
    /// Base models to unload.
    pub unload: Vec<Arc<str>>,
    /// The base model to load.
    pub load: Arc<str>,
}

/// Why a model needs another engine, ordered by urgency, the most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Reason {
    /// It is in demand and no engine holds it.
    NotHeld,
    /// Its holders have too much work.
    Overloaded,
    /// All its holders are in one failure domain.
    SingleDomain,
}

/// Plans the changes needed for every model in demand to be held by enough engines.
///
/// Every owner plans for all engines of the service and carries out the changes of its own engines.
/// Owners with the same information arrive at the same plan, and the selected engine stays the same
/// until its change shows in that information, so owners don't need to coordinate.
///
/// Models in demand that no engine holds come first, then those whose holders have too much work,
/// then those held in a single failure domain. An engine only unloads models that are not in
/// demand, or whose other holders have little work. Where not all models fit, a model may replace
/// another with a third of its demand. Among the possible engines, those with a local copy of the
/// weights are preferred, because loads from the weight store are limited.
///
/// ```
/// use nutmegsail_relay::{EngineSpec, HostedModel, LocalWeights, ModelHost, ModelPlan, ModelSpec};
/// let spec = EngineSpec {
///     adapter_slots: 8,
///     weights_mb: 50_000.0,
///     models: vec![ModelSpec::of("llama", 40_000.0), ModelSpec::of("mistral", 40_000.0)],
///     ..EngineSpec::default()
/// };
/// let (one, two, domain) = ("e-1".into(), "e-2".into(), "a".into());
/// let local_weights = LocalWeights::default();
/// let host = |id| ModelHost {
///     id,
///     failure_domain: &domain,
///     models: vec![HostedModel { name: "llama".into(), adapters: 0 }],
///     can_change: true,
///     is_changing: false,
///     uses_store: false,
///     busy_share: 0.0,
///     local_weights: &local_weights,
/// };
/// let work = |model: &str| if model == "mistral" { 0.02 } else { 0.2 };
/// let plan = ModelPlan::new(&spec, vec![host(&one), host(&two)], work).changes(4);
/// assert_eq!(plan.len(), 1, "one engine loads it, the other keeps the model in demand");
/// assert_eq!(&*plan[0].load, "mistral");
/// assert_eq!(&*plan[0].unload[0], "llama");
/// ```
#[derive(Debug)]
pub struct ModelPlan<'a> {
    spec: &'a EngineSpec,
    hosts: Vec<ModelHost<'a>>,
    /// Work for each model, in engines.
    work: HashMap<&'a str, f64>,
    /// Number of engines that hold each model. Counting them for each query made a plan for 300
    /// engines and 100 models take milliseconds, and plans are made ten times a second.
    holder_counts: HashMap<Arc<str>, usize>,
}

impl<'a> ModelPlan<'a> {
    /// Creates a plan for `hosts`. `work` gives the engine time per second that the requests for a
    /// model take.
    pub fn new(
        spec: &'a EngineSpec,
        hosts: Vec<ModelHost<'a>>,
        work: impl Fn(&str) -> f64,
    ) -> Self {
        let work = spec.models.iter().map(|model| {
            let name = &*model.name;
            (name, work(name))
        });
        Self {
            spec,
            work: work.collect(),
            holder_counts: count_holders(&hosts),
            hosts,
        }
    }

    /// The changes to make now. `store_loads` limits the loads from the weight store, including
    /// those in progress.
    pub fn changes(mut self, store_loads: usize) -> Vec<ModelChange> {
        let loads_in_progress = self.hosts.iter().filter(|host| host.uses_store).count();
        let mut remaining_loads = store_loads.saturating_sub(loads_in_progress);
        let mut changes = Vec::new();
        while let Some(change) = self.next_change(remaining_loads > 0) {
            if self.source(&change) == CopySource::Store {
                remaining_loads = remaining_loads.saturating_sub(1);
            }
            self.apply(&change);
            changes.push(change);
        }
        self.assert_plan_is_safe(&changes);
        changes
    }

    fn next_change(&self, may_use_store: bool) -> Option<ModelChange> {
        let mut unmet: Vec<(Reason, &ModelSpec)> = self
            .spec
            .models
            .iter()
            .filter_map(|model| Some((self.reason_to_load(model)?, model)))
            .collect();
        let load = |model: &ModelSpec| self.work_per_holder(&model.name, 0);
        unmet.sort_by(|(reason_a, a), (reason_b, b)| {
            let by_load = load(b).total_cmp(&load(a));
            reason_a.cmp(reason_b).then(by_load)
        });
        let mut unmet = unmet.into_iter();
        unmet
            .find_map(|(reason, model)| self.place(model, reason, may_use_store))
            .or_else(|| self.load_into_empty(may_use_store))
    }

    fn reason_to_load(&self, model: &ModelSpec) -> Option<Reason> {
        let work = self.work_of(&model.name);
        let holders = self.holder_count(&model.name);
        if holders == 0 {
            return (work > MIN_DEMAND).then_some(Reason::NotHeld);
        }
        if work / holders as f64 > OVERLOAD_THRESHOLD {
            return Some(Reason::Overloaded);
        }
        let is_single_domain = || are_in_one_domain(self.holders(&model.name));
        (work > TWO_DOMAINS_THRESHOLD && is_single_domain()).then_some(Reason::SingleDomain)
    }

    /// Whether a model that should be held in two failure domains would remain in only one without
    /// `host`.
    fn needs_domain_of(&self, host: &ModelHost<'_>, name: &str) -> bool {
        let others = self.holders(name).filter(|holder| holder.id != host.id);
        self.work_of(name) > TWO_DOMAINS_THRESHOLD && are_in_one_domain(others)
    }

    /// The change that loads `model` into another engine.
    fn place(&self, model: &ModelSpec, reason: Reason, may_use_store: bool) -> Option<ModelChange> {
        let domains: HashSet<&FailureDomain> = self
            .holders(&model.name)
            .map(|host| host.failure_domain)
            .collect();
        let changes = self.hosts.iter().filter_map(|host| {
            let is_new_domain = !domains.contains(host.failure_domain);
            if !self.can_load(host, model) || (reason == Reason::SingleDomain && !is_new_domain) {
                return None;
            }
            let unload = self.models_to_unload(host, model, reason)?;
            let source = host.local_weights.source_of(&model.name);
            if source == CopySource::Store && !may_use_store {
                return None;
            }
            let unloads_demanded = unload.iter().any(|name| self.is_in_demand(name));
            // Rounded to quarters of the slots: with finer steps, owners with slightly different
            // information would select different engines.
            let busy_quarters = (host.busy_share * 4.0) as u32;
            let hash = xxh3_64(format!("{} {}", model.name, host.id).as_bytes());
            let rank = (
                unloads_demanded,
                self.is_last_holder(host),
                source,
                !is_new_domain,
                busy_quarters,
                hash,
            );
            Some((rank, host, unload))
        });
        let (_, host, unload) = changes.min_by(|(a, ..), (b, ..)| a.cmp(b))?;
        Some(ModelChange {
            engine: host.id.clone(),
            unload,
            load: Arc::clone(&model.name),
        })
    }

    /// An engine without models loads the one with the most work per holder, even if its holders
    /// are not overloaded, because it serves no requests otherwise.
    fn load_into_empty(&self, may_use_store: bool) -> Option<ModelChange> {
        let is_empty = |host: &&ModelHost<'_>| host.models.is_empty();
        let empty = self.hosts.iter().filter(is_empty);
        empty
            .filter_map(|host| {
                let is_loadable = |model: &&ModelSpec| {
                    may_use_store || host.local_weights.source_of(&model.name) != CopySource::Store
                };
                let models = self.spec.models.iter().filter(is_loadable);
                let fitting = models.filter(|model| self.can_load(host, model));
                // Of equal models the first one: if there is no demand yet, the configured order
                // puts the busiest first.
                let most_work = fitting.rev().max_by(|a, b| {
                    let work = |model: &ModelSpec| self.work_per_holder(&model.name, 1);
                    work(a).total_cmp(&work(b))
                })?;
                Some(ModelChange {
                    engine: host.id.clone(),
                    unload: Vec::new(),
                    load: Arc::clone(&most_work.name),
                })
            })
            .min_by(|a, b| a.engine.cmp(&b.engine))
    }

    fn can_load(&self, host: &ModelHost<'_>, model: &ModelSpec) -> bool {
        host.can_change
            && !host.is_changing
            && host.models.iter().all(|held| held.name != model.name)
    }

    /// The models that `host` has to unload to make room for `model`; `None` if it must keep one of
    /// them.
    fn models_to_unload(
        &self,
        host: &ModelHost<'_>,
        model: &ModelSpec,
        reason: Reason,
    ) -> Option<Vec<Arc<str>>> {
        let mut kept: Vec<&HostedModel> = host.models.iter().collect();
        kept.sort_by(|a, b| {
            let work = |held: &HostedModel| self.work_of(&held.name);
            work(b).total_cmp(&work(a))
        });
        let mut unload = Vec::new();
        while !self.fits(&kept, model) {
            let least_demanded = kept.pop()?;
            if !self.may_unload(host, &least_demanded.name, model, reason) {
                return None;
            }
            unload.push(Arc::clone(&least_demanded.name));
        }
        Some(unload)
    }

    fn fits(&self, held: &[&HostedModel], more: &ModelSpec) -> bool {
        let specs = held.iter().filter_map(|held| self.spec.model(&held.name));
        let weights_mb: f64 = specs.clone().map(|spec| spec.weights_mb).sum();
        let adapter_mb = specs
            .map(|spec| spec.adapter_mb)
            .fold(more.adapter_mb, f64::max);
        let adapters: usize = held.iter().map(|held| held.adapters).sum();
        let min_adapters = self.spec.adapter_slots.min(MIN_ADAPTERS) as usize;
        let adapters_mb = adapters.max(min_adapters) as f64 * adapter_mb;
        weights_mb + more.weights_mb + adapters_mb <= self.spec.weights_mb
    }

    /// Whether `host` may unload the model `name` in favor of `model`.
    fn may_unload(
        &self,
        host: &ModelHost<'_>,
        name: &str,
        model: &ModelSpec,
        reason: Reason,
    ) -> bool {
        let work = self.work_of(name);
        if work <= MIN_DEMAND {
            return true;
        }
        let others = self.holder_count(name).saturating_sub(1);
        if others > 0 {
            let has_little_work = work / others as f64 <= UNLOAD_THRESHOLD;
            return match reason {
                Reason::NotHeld => true,
                Reason::Overloaded => has_little_work,
                // If it remained in one failure domain only, it would take the engine back for the
                // same reason.
                Reason::SingleDomain => has_little_work && !self.needs_domain_of(host, name),
            };
        }
        reason == Reason::NotHeld && self.work_of(&model.name) > work * REPLACE_RATIO
    }

    /// Whether `host` is the last holder of a model in demand. While its base models change, it
    /// cannot load adapters of that model.
    fn is_last_holder(&self, host: &ModelHost<'_>) -> bool {
        let mut held = host.models.iter();
        held.any(|held| self.is_in_demand(&held.name) && self.holder_count(&held.name) == 1)
    }

    fn apply(&mut self, change: &ModelChange) {
        let mut hosts = self.hosts.iter_mut();
        if let Some(host) = hosts.find(|host| *host.id == change.engine) {
            host.models
                .retain(|held| !change.unload.contains(&held.name));
            host.models.push(HostedModel {
                name: Arc::clone(&change.load),
                adapters: 0,
            });
            host.is_changing = true;
        }
        self.holder_counts = count_holders(&self.hosts);
    }

    fn source(&self, change: &ModelChange) -> CopySource {
        let mut hosts = self.hosts.iter();
        let host = hosts.find(|host| *host.id == change.engine);
        host.map_or(CopySource::Store, |host| {
            host.local_weights.source_of(&change.load)
        })
    }

    fn holders(&self, name: &str) -> impl Iterator<Item = &ModelHost<'a>> {
        let holds = move |host: &&ModelHost<'_>| host.models.iter().any(|held| &*held.name == name);
        self.hosts.iter().filter(holds)
    }

    fn holder_count(&self, name: &str) -> usize {
        self.holder_counts.get(name).copied().unwrap_or(0)
    }

    fn work_of(&self, name: &str) -> f64 {
        self.work.get(name).copied().unwrap_or(0.0)
    }

    fn is_in_demand(&self, name: &str) -> bool {
        self.work_of(name) > MIN_DEMAND
    }

    fn work_per_holder(&self, name: &str, more: usize) -> f64 {
        let holders = self.holder_count(name) + more;
        self.work_of(name) / holders.max(1) as f64
    }

    /// Checks that no engine is ordered to hold more than fits, which would crash it with all its
    /// requests, and that no model in demand loses its last engine to one with less demand.
    fn assert_plan_is_safe(&self, changes: &[ModelChange]) {
        for change in changes {
            let mut hosts = self.hosts.iter();
            let host = hosts.find(|host| *host.id == change.engine);
            let models = host.iter().flat_map(|host| &host.models);
            let specs = models.filter_map(|held| self.spec.model(&held.name));
            let weights_mb: f64 = specs.map(|spec| spec.weights_mb).sum();
            assert!(
                weights_mb <= self.spec.weights_mb,
                "{} would hold {weights_mb} MB of weights",
                change.engine
            );
            for name in &change.unload {
                let is_replaced = self.work_of(&change.load) > self.work_of(name) * REPLACE_RATIO;
                assert!(
                    !self.is_in_demand(name) || self.holders(name).next().is_some() || is_replaced,
                    "{name} is in demand and would be held by no engine"
                );
            }
        }
    }
}

fn are_in_one_domain<'a, 'b: 'a>(mut hosts: impl Iterator<Item = &'a ModelHost<'b>>) -> bool {
    let first = hosts.next().map(|host| host.failure_domain);
    hosts.all(|host| Some(host.failure_domain) == first)
}

fn count_holders(hosts: &[ModelHost<'_>]) -> HashMap<Arc<str>, usize> {
    let mut counts = HashMap::new();
    for hosted in hosts.iter().flat_map(|host| &host.models) {
        *counts.entry(Arc::clone(&hosted.name)).or_default() += 1;
    }
    counts
}
