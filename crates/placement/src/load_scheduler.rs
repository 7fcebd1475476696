//! Decides which adapter a failure domain loads next, and on which engine.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use nutmegsail_base::{AdapterRef, Class, UpstreamId};
use xxhash_rust::xxh3::xxh3_64;

use crate::domain_view::{ChosenEngine, DomainView, PlacementQuery};
use crate::pending_load::{LoadPriority, PendingLoad};
use crate::store_budget::StoreBudget;
use crate::{DemandEstimate, LoadOutcome, PlacementPlan, PlacementSettings, StoreUse};

/// How often adapters for which no request waits are considered for loading.
const PREFETCH_INTERVAL: Duration = Duration::from_secs(1);
/// The number of adapters with the highest demand that are considered for prefetch.
const PREFETCH_CANDIDATES: usize = 64;
/// How long a pending load without waiting requests is kept.
const BACKGROUND_TTL: Duration = Duration::from_secs(120);
/// The number of retries after which a load is dropped until it is requested again.
const MAX_ATTEMPTS: u32 = 6;

/// The assumed duration of a load before one has been observed.
const INITIAL_LOAD_ESTIMATE: Duration = Duration::from_secs(1);
/// The factor by which the shortest load time grows with each load, so that it adapts when loads
/// become slower.
const FASTEST_LOAD_GROWTH: f64 = 1.02;
/// Every so many loads the one that has waited longest goes first, so that none starves.
const OLDEST_FIRST_EVERY: u64 = 8;
/// The factor by which the limit of loads in flight exceeds the average that the rate needs.
const IN_FLIGHT_MARGIN: f64 = 1.25;

#[derive(Debug)]
struct LoadInFlight {
    adapter: AdapterRef,
    engine: UpstreamId,
    priority: LoadPriority,
    since: Instant,
    attempts: u32,
}

/// A load that may be ordered now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct LoadPermit {
    pub engine: UpstreamId,
    pub adapter: AdapterRef,
    pub class: Class,
}

/// State that the scheduler reads but does not own.
#[derive(Clone, Copy)]
pub(crate) struct SchedulerInputs<'a> {
    pub settings: &'a PlacementSettings,
    pub plan: &'a PlacementPlan,
    pub view: &'a DomainView,
    pub demand: &'a DemandEstimate,
    pub now: Instant,
}

/// The pending loads and the loads in flight of one failure domain. If this state is lost, loads
/// are delayed but nothing goes wrong.
#[derive(Debug)]
pub(crate) struct LoadScheduler {
    pub budget: StoreBudget,
    pending_loads: HashMap<AdapterRef, PendingLoad>,
    in_flight: Vec<LoadInFlight>,
    /// The shortest recent time from a permit to the observed end of its load.
    fastest_load: Duration,
    permits: u64,
    urgent_in_a_row: u32,
    prefetched_at: Option<Instant>,
}

impl LoadScheduler {
    pub fn new(settings: &PlacementSettings) -> Self {
        Self {
            budget: StoreBudget::new(settings),
            pending_loads: HashMap::new(),
            in_flight: Vec::new(),
            fastest_load: INITIAL_LOAD_ESTIMATE,
            permits: 0,
            urgent_in_a_row: 0,
            prefetched_at: None,
        }
    }

    /// Records that a request of `class` waits for an adapter.
    pub fn request_load(
        &mut self,
        adapter: &AdapterRef,
        class: Class,
        engine: Option<UpstreamId>,
        inputs: &SchedulerInputs<'_>,
    ) {
        self.add(adapter, LoadPriority::of(class), 1.0, engine, inputs);
    }

    /// Records that an adapter should be loaded although no request waits for it yet.
    pub fn request_background_load(
        &mut self,
        adapter: &AdapterRef,
        engine: Option<UpstreamId>,
        inputs: &SchedulerInputs<'_>,
    ) {
        let rate_per_s = inputs.demand.rate_per_s(adapter, inputs.now);
        self.add(
            adapter,
            LoadPriority::Background,
            rate_per_s,
            engine,
            inputs,
        );
    }

    fn add(
        &mut self,
        adapter: &AdapterRef,
        priority: LoadPriority,
        weight: f64,
        engine: Option<UpstreamId>,
        inputs: &SchedulerInputs<'_>,
    ) {
        if self.has_enough_replicas(adapter, engine.as_ref(), inputs) {
            return;
        }
        if let Some(pending) = self.pending_loads.get_mut(adapter) {
            pending.priority = pending.priority.min(priority);
            pending.engine = engine.or(pending.engine.take());
            pending.weight += weight;
            pending.last_at = inputs.now;
            return;
        }
        if self.pending_loads.len() >= inputs.settings.pending_load_capacity
            && !self.drop_lowest_priority(priority)
        {
            return;
        }
        let pending = PendingLoad {
            priority,
            engine,
            weight,
            first_at: inputs.now,
            last_at: inputs.now,
            attempts: 0,
            not_before: None,
            avoid: None,
        };
        self.pending_loads.insert(adapter.clone(), pending);
    }

    /// Whether the adapter is unknown, or has as many replicas, loaded or in flight, as its demand
    /// needs.
    fn has_enough_replicas(
        &self,
        adapter: &AdapterRef,
        engine: Option<&UpstreamId>,
        inputs: &SchedulerInputs<'_>,
    ) -> bool {
        let Some(service) = inputs.plan.adapters.get(adapter) else {
            return true;
        };
        if engine.is_some_and(|engine| inputs.view.is_held_by(engine, adapter)) {
            return true;
        }
        let under_way = |load: &&LoadInFlight| {
            load.adapter == *adapter && !inputs.view.is_held_by(&load.engine, adapter)
        };
        let under_way = self.in_flight.iter().filter(under_way).count() as u32;
        let rate = inputs.demand.rate_per_s(adapter, inputs.now);
        inputs.view.replicas(adapter) + under_way >= inputs.view.replicas_for(service, rate)
    }

    /// Drops the most recent pending load of the lowest priority, if that is below `priority`.
    fn drop_lowest_priority(&mut self, priority: LoadPriority) -> bool {
        let last = self
            .pending_loads
            .iter()
            .filter(|(_, pending)| pending.priority > priority)
            .max_by_key(|(adapter, pending)| {
                (pending.priority, pending.first_at, (*adapter).clone())
            })
            .map(|(adapter, _)| adapter.clone());
        last.is_some_and(|adapter| self.pending_loads.remove(&adapter).is_some())
    }

    /// Records how a permitted load ended.
    pub fn record_outcome(
        &mut self,
        engine: &UpstreamId,
        adapter: &AdapterRef,
        outcome: LoadOutcome,
        inputs: &SchedulerInputs<'_>,
    ) {
        let is_this = |load: &LoadInFlight| load.engine == *engine && load.adapter == *adapter;
        let Some(at) = self.in_flight.iter().position(is_this) else {
            return;
        };
        let load = self.in_flight.swap_remove(at);
        match outcome {
            LoadOutcome::Ready => {
                self.budget.record_success();
                let took = inputs.now.saturating_duration_since(load.since);
                self.fastest_load = took.min(self.fastest_load.mul_f64(FASTEST_LOAD_GROWTH));
            }
            LoadOutcome::StoreRefused => {
                self.budget
                    .record_refusal(jitter(adapter, load.attempts), inputs.now);
                self.retry(load, inputs);
            }
            LoadOutcome::Failed | LoadOutcome::NoVictim | LoadOutcome::NotOwner => {
                self.retry(load, inputs);
            }
        }
    }

    /// The engine left: retries its loads elsewhere.
    pub fn engine_gone(&mut self, engine: &UpstreamId, inputs: &SchedulerInputs<'_>) {
        let is_there = |load: &mut LoadInFlight| load.engine == *engine;
        let lost: Vec<LoadInFlight> = self.in_flight.extract_if(.., is_there).collect();
        for load in lost {
            self.retry(load, inputs);
        }
        for pending in self.pending_loads.values_mut() {
            pending.engine.take_if(|wanted| wanted == engine);
        }
    }

    fn retry(&mut self, load: LoadInFlight, inputs: &SchedulerInputs<'_>) {
        let attempts = load.attempts + 1;
        if attempts > MAX_ATTEMPTS {
            return;
        }
        let doubled = inputs.settings.first_backoff * 2u32.saturating_pow(attempts - 1);
        let wait = doubled.min(inputs.settings.longest_backoff);
        let wait = wait.mul_f64(0.5 + jitter(&load.adapter, attempts) / 2.0);
        let (priority, now) = (load.priority, inputs.now);
        let pending = self
            .pending_loads
            .entry(load.adapter)
            .or_insert_with(|| PendingLoad {
                priority,
                engine: None,
                weight: 1.0,
                first_at: load.since,
                last_at: now,
                attempts: 0,
                not_before: None,
                avoid: None,
            });
        pending.priority = pending.priority.min(priority);
        pending.attempts = attempts;
        pending.not_before = Some(now + wait);
        pending.avoid = Some(load.engine);
        pending.engine = None;
    }

    /// Drops pending loads that are not requested again, and retries loads whose end was not
    /// observed in time.
    pub fn tick(&mut self, inputs: &SchedulerInputs<'_>) {
        let (settings, now) = (inputs.settings, inputs.now);
        self.pending_loads.retain(|_, pending| {
            let ttl = match pending.priority {
                LoadPriority::Background => BACKGROUND_TTL,
                LoadPriority::Urgent | LoadPriority::Routine => settings.pending_load_ttl,
            };
            now < pending.last_at + ttl || pending.not_before.is_some_and(|at| now < at)
        });
        let is_overdue = |load: &mut LoadInFlight| now >= load.since + settings.load_timeout;
        let overdue: Vec<LoadInFlight> = self.in_flight.extract_if(.., is_overdue).collect();
        for load in overdue {
            self.retry(load, inputs);
        }
    }

    /// The loads to order now, in order of priority.
    pub fn next_permits(&mut self, inputs: &SchedulerInputs<'_>) -> Vec<LoadPermit> {
        let mut permits = Vec::new();
        while let Some(permit) = self.next_permit(inputs) {
            permits.push(permit);
        }
        permits
    }

    fn next_permit(&mut self, inputs: &SchedulerInputs<'_>) -> Option<LoadPermit> {
        if !self.budget.allows(Class::Urgent, inputs.now) {
            return None;
        }
        let routine_allowed = self.may_load(Class::Routine, inputs);
        let urgent_allowed = self.may_load(Class::Urgent, inputs);
        let is_routine_turn = self.urgent_in_a_row + 1 >= inputs.settings.routine_every;
        // When it is the turn of a routine load, it needs only as much budget as an urgent one:
        // otherwise urgent loads would use up the budget before it suffices for a routine load.
        let first = if is_routine_turn && urgent_allowed {
            self.best_pending(|priority| priority == LoadPriority::Routine, inputs)
        } else {
            None
        };
        let best = first
            .or_else(|| {
                self.best_pending(
                    |priority| urgent_allowed && priority == LoadPriority::Urgent,
                    inputs,
                )
            })
            .or_else(|| self.best_pending(|_| routine_allowed, inputs));
        match best {
            Some((adapter, chosen)) => Some(self.permit(&adapter, chosen, inputs)),
            None => self.prefetch(inputs),
        }
    }

    /// Whether the store budget and the limit of loads in flight allow a load of this class. An
    /// urgent load does not wait for a routine one to end.
    fn may_load(&mut self, class: Class, inputs: &SchedulerInputs<'_>) -> bool {
        if self.budget.is_store_refusing() {
            // While the store refuses loads, a single load tests whether it accepts them again.
            return self.in_flight.is_empty() && self.budget.allows(class, inputs.now);
        }
        let limit = self.in_flight_limit(inputs);
        let counts =
            |load: &&LoadInFlight| class == Class::Routine || load.priority.class() == class;
        let in_flight = self.in_flight.iter().filter(counts).count();
        in_flight < limit && self.budget.allows(class, inputs.now)
    }

    /// The number of loads in flight that the rate needs: the rate times the time until the end of
    /// a load is observed. With one at a time the store would be idle while reports lag. The
    /// shortest recent time counts, so that loads that slow each other down don't raise the limit.
    fn in_flight_limit(&self, inputs: &SchedulerInputs<'_>) -> usize {
        let needed = self.budget.rate_per_s(inputs.now) * self.fastest_load.as_secs_f64();
        let at_full_speed = inputs.plan.loads_at_full_speed.max(1) as usize;
        at_full_speed.max((needed * IN_FLIGHT_MARGIN).ceil() as usize)
    }

    fn best_pending(
        &self,
        is_eligible: impl Fn(LoadPriority) -> bool,
        inputs: &SchedulerInputs<'_>,
    ) -> Option<(AdapterRef, ChosenEngine)> {
        let now = inputs.now;
        let is_oldest_turn = (self.permits + 1).is_multiple_of(OLDEST_FIRST_EVERY);
        let is_due = |pending: &PendingLoad| pending.not_before.is_none_or(|at| now >= at);
        let (adapter, pending) = self
            .pending_loads
            .iter()
            .filter(|(_, pending)| is_eligible(pending.priority) && is_due(pending))
            .max_by(|a, b| {
                let by_priority = b.1.priority.cmp(&a.1.priority);
                let by_age = b.1.first_at.cmp(&a.1.first_at);
                let by_score = a.1.score(now).total_cmp(&b.1.score(now));
                let by_turn = if is_oldest_turn { by_age } else { by_score };
                by_priority.then(by_turn).then_with(|| b.0.cmp(a.0))
            })?;
        let chosen = self.choose_for(adapter, pending, inputs)?;
        Some((adapter.clone(), chosen))
    }

    fn choose_for(
        &self,
        adapter: &AdapterRef,
        pending: &PendingLoad,
        inputs: &SchedulerInputs<'_>,
    ) -> Option<ChosenEngine> {
        if let Some(engine) = &pending.engine
            && inputs.view.accepts_loads(engine)
            && !inputs.view.is_held_by(engine, adapter)
        {
            return Some(ChosenEngine {
                engine: engine.clone(),
                displaced_rate_per_s: 0.0,
            });
        }
        self.choose_engine(adapter, pending.avoid.as_ref(), inputs)
    }

    fn choose_engine(
        &self,
        adapter: &AdapterRef,
        avoid: Option<&UpstreamId>,
        inputs: &SchedulerInputs<'_>,
    ) -> Option<ChosenEngine> {
        let in_flight_to = |engine: &UpstreamId| {
            let is_new = |load: &&LoadInFlight| {
                load.engine == *engine && !inputs.view.is_held_by(engine, &load.adapter)
            };
            self.in_flight.iter().filter(is_new).count()
        };
        let query = PlacementQuery {
            adapter,
            avoid,
            in_flight_to: &in_flight_to,
        };
        inputs
            .view
            .choose_engine(&query, inputs.plan, inputs.demand, inputs.now)
    }

    fn permit(
        &mut self,
        adapter: &AdapterRef,
        chosen: ChosenEngine,
        inputs: &SchedulerInputs<'_>,
    ) -> LoadPermit {
        let pending = self.pending_loads.remove(adapter);
        let priority = pending
            .as_ref()
            .map_or(LoadPriority::Background, |w| w.priority);
        let class = priority.class();
        self.urgent_in_a_row = match class {
            Class::Urgent => self.urgent_in_a_row + 1,
            Class::Routine => 0,
        };
        self.permits += 1;
        self.budget.record_load(inputs.now);
        self.in_flight.push(LoadInFlight {
            adapter: adapter.clone(),
            engine: chosen.engine.clone(),
            priority,
            since: inputs.now,
            attempts: pending.map_or(0, |w| w.attempts),
        });
        LoadPermit {
            engine: chosen.engine,
            adapter: adapter.clone(),
            class,
        }
    }

    /// Permits the load of an adapter in demand that has too few replicas, while the weight store
    /// is idle.
    ///
    /// Its demand must clearly exceed that of the adapter to be evicted; otherwise two adapters
    /// could replace each other in one slot.
    fn prefetch(&mut self, inputs: &SchedulerInputs<'_>) -> Option<LoadPermit> {
        let (settings, now) = (inputs.settings, inputs.now);
        let is_recent = |at: Instant| now < at + PREFETCH_INTERVAL;
        if self.prefetched_at.is_some_and(is_recent)
            || !self.in_flight.is_empty()
            || !self.budget.is_idle(now)
        {
            return None;
        }
        self.prefetched_at = Some(now);
        for (adapter, rate) in inputs.demand.top(PREFETCH_CANDIDATES, now) {
            let is_pending = self.pending_loads.contains_key(&adapter);
            if is_pending || self.has_enough_replicas(&adapter, None, inputs) {
                continue;
            }
            let Some(chosen) = self.choose_engine(&adapter, None, inputs) else {
                continue;
            };
            let gain = rate / f64::from(inputs.view.replicas(&adapter) + 1);
            if gain > chosen.displaced_rate_per_s * settings.prefetch_advantage {
                return Some(self.permit(&adapter, chosen, inputs));
            }
        }
        None
    }

    /// This failure domain's use of the weight store, to be sent to the other ones.
    pub fn store_use(&self, now: Instant) -> StoreUse {
        StoreUse {
            loads_per_s: self.budget.recent_loads_per_s(now),
            backlog: self.pending_loads.len() as u32,
        }
    }
}

/// A number from 0 to 1 that differs between adapters and attempts, so that retries don't coincide.
fn jitter(adapter: &AdapterRef, attempts: u32) -> f64 {
    let hash = xxh3_64(format!("{adapter}/{attempts}").as_bytes());
    (hash >> 11) as f64 / (1u64 << 53) as f64
}
