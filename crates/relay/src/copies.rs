//! Selection of engines for further copies of an adapter.

use std::time::Instant;

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

use crate::dispatcher::CROSS_DOMAIN_COST_MS;
use crate::eligibility::Eligibility;
use crate::load_times::RESTORE_TIME_FRACTION;
use crate::{DispatchRequest, Dispatcher, LoadTimes, ModelRef, SoftwareRule, Tracked, VersionRule};

/// Where a further copy of an adapter should be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyScope {
    /// At an engine in this failure domain.
    Domain(FailureDomain),
    /// At any engine.
    Anywhere,
}

impl CopyScope {
    fn includes(&self, domain: &FailureDomain) -> bool {
        match self {
            Self::Domain(wanted) => wanted == domain,
            Self::Anywhere => true,
        }
    }
}

/// An engine that could load an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCandidate {
    /// The engine.
    pub engine: UpstreamId,
    /// Cost in milliseconds of expected wait. Only meaningful for comparing engines.
    pub cost_ms: f64,
    /// Whether the engine dropped the adapter recently and can restore it from host memory.
    pub is_recent: bool,
    /// The engine's share of the loads among engines with about the same cost; 1 for an engine of
    /// usual speed.
    pub weight: f64,
}

impl LoadCandidate {
    /// Rank among engines with about the same cost, the least first, for a hash of the adapter and
    /// the engine. Each engine comes first for a part of the adapters that is proportional to its
    /// weight.
    ///
    /// ```
    /// # use nutmegsail_relay::LoadCandidate;
    /// let engine = |weight| LoadCandidate {
    ///     engine: "i-1".into(),
    ///     cost_ms: 0.0,
    ///     is_recent: false,
    ///     weight,
    /// };
    /// assert!(engine(1.0).rank(7) < engine(1.0).rank(u64::MAX / 2));
    /// assert!(engine(2.0).rank(u64::MAX / 2) < engine(1.0).rank(u64::MAX / 2));
    /// ```
    pub fn rank(&self, hash: u64) -> f64 {
        let uniform = hash as f64 / (u64::MAX as f64 + 1.0);
        -(-uniform).ln_1p() / self.weight
    }
}

/// Deviation from the median pace up to which an engine counts as of usual speed. Learned paces of
/// equal engines differ by less.
const USUAL_PACE_DEVIATION: f64 = 0.2;

/// Weight of an engine in the choice of where an adapter is loaded, for its pace as a multiple of
/// the median. The square, as at a slow engine a prompt also pauses those that run for longer.
fn load_weight(relative_pace: f64) -> f64 {
    match (relative_pace - 1.0).abs() <= USUAL_PACE_DEVIATION {
        true => 1.0,
        false => relative_pace * relative_pace,
    }
}

/// Cost of a load in another failure domain, in milliseconds of expected wait: more than that of
/// one queued load. Most adapters are requested only once or twice, and then their answers stay in
/// this domain.
const REMOTE_LOAD_COST_MS: f64 = 400.0;

/// The same while the weight store is congested, as after a cold start. If domains did not share
/// loads then, each would load the popular adapters itself, and callers would wait for three loads
/// instead of one.
const CONGESTED_REMOTE_LOAD_COST_MS: f64 = 60.0;

/// Base cost of an engine that is not yet loading the adapter, so that one that is comes first.
const NOT_LOADING_COST_MS: f64 = 1_000.0;

/// Queued loads from which an engine gets no more.
const MAX_QUEUED_LOADS: usize = 4;

/// Expected wait for the first event above which a load on another engine is considered, in
/// milliseconds: the shortest latency objective of generation requests.
const LONG_WAIT_MS: f64 = 600.0;

/// Round trip of a load order through the engine's owner, in milliseconds.
const ORDER_ROUND_TRIP_MS: f64 = 15.0;

/// Cost of using the weight store beyond the load time, in milliseconds of wait: its bandwidth is
/// shared by all engines, and a load costs about a third of what a request is worth. An engine that
/// can restore the adapter from host memory is thus preferred while its queue is at most about 500
/// ms longer, which is still in time for most requests.
const STORE_USE_COST_MS: f64 = 240.0;

/// Prompt tokens that a running request stands for where engines of different paces are compared for
/// a load. With more, the loads of all nodes gather at the same fast engines and queue there: with 10
/// some 9 of 1,000 first events were late in simulated load, with 30 some 15, with 3 some 6.
const RUNNING_REQUEST_TOKENS: f64 = 3.0;

/// Largest wait on another engine, as a fraction of the present wait, that justifies a load.
const MAX_WAIT_RATIO: f64 = 0.6;

impl Dispatcher {
    /// Whether a request that would wait `expected_ms` on the engines that hold its adapter would
    /// be answered much sooner after a load on another engine.
    ///
    /// Most adapters of a busy engine are held nowhere else. Without a further copy, their requests
    /// queue there for two seconds or more, missing every latency objective, while other engines
    /// are idle.
    pub fn is_sooner_elsewhere(
        &self,
        need: &DispatchRequest<'_>,
        expected_ms: f64,
        now: Instant,
    ) -> bool {
        let Some(model) = need.model else {
            return false;
        };
        if expected_ms < LONG_WAIT_MS {
            return false;
        }
        let scope = &CopyScope::Anywhere;
        let any = VersionRule::ANY;
        let engines = self.load_engines(need.service, model, any, &need.software, scope, now);
        let mut others = engines
            .into_iter()
            .filter(|tracked| tracked.version_of(model, now).is_none());
        let prompt_tokens = need.prompt_tokens as f64;
        others.any(|tracked| {
            let load_ms = self.load_candidate(tracked, model, any, now).cost_ms;
            let prompt_ms = prompt_tokens * tracked.token_ms(now);
            load_ms - NOT_LOADING_COST_MS + prompt_ms < expected_ms * MAX_WAIT_RATIO
        })
    }

    /// Whether an engine of `domain` that accepts requests holds `model`.
    pub fn is_held_in(
        &self,
        domain: &FailureDomain,
        service: &ServiceName,
        model: &ModelRef,
        now: Instant,
    ) -> bool {
        self.upstreams.values().any(|tracked| {
            tracked.upstream.service == *service
                && tracked.upstream.failure_domain == *domain
                && matches!(
                    self.eligibility(tracked, now),
                    Eligibility::Failing | Eligibility::Eligible
                )
                && tracked.version_of(model, now).is_some()
        })
    }

    /// The engines that could load `model`, with their costs.
    ///
    /// Engines without a free adapter slot are left out unless there are no others: they refuse the
    /// load, which costs the waiting request a round trip. In a large fleet most nodes ask an
    /// engine only once in several seconds and know nothing else about its slots.
    ///
    /// Engines that limit their request rate are left out unless there are no others, so that they
    /// don't attract further requests.
    ///
    /// Engines without the base model cannot load an adapter. As they are idle too, they would be
    /// the first choice of every request, and all would wait for an order that cannot be given.
    pub fn load_candidates(
        &self,
        service: &ServiceName,
        model: &ModelRef,
        version: VersionRule,
        software: &SoftwareRule,
        scope: &CopyScope,
        now: Instant,
    ) -> Vec<LoadCandidate> {
        let engines = self.load_engines(service, model, version, software, scope, now);
        let median_token_ms = median_token_ms(&engines, now);
        let engines = engines.into_iter().map(|tracked| {
            let candidate = self.load_candidate(tracked, model, version, now);
            let cost_ms = candidate.cost_ms + usage_cost_ms(tracked, model, now);
            let token_ms = tracked.own_token_ms(now);
            let relative_pace = median_token_ms.zip(token_ms).map(|(all, own)| all / own);
            LoadCandidate {
                cost_ms,
                weight: relative_pace.map_or(1.0, load_weight),
                ..candidate
            }
        });
        engines.collect()
    }

    fn load_engines(
        &self,
        service: &ServiceName,
        model: &ModelRef,
        version: VersionRule,
        software: &SoftwareRule,
        scope: &CopyScope,
        now: Instant,
    ) -> Vec<&Tracked> {
        let can_load = |tracked: &&Tracked| {
            let has_base = tracked.has_base(model, now);
            let held_version = tracked.version_of(model, now);
            tracked.upstream.service == *service
                && software.allows(&tracked.upstream.software)
                && self.eligibility(tracked, now) == Eligibility::Eligible
                && tracked.takes_loads(now)
                && has_base
                && scope.includes(&tracked.upstream.failure_domain)
                && !held_version.is_some_and(|held| version.prefers(held))
                && (tracked.loading(now).len() < MAX_QUEUED_LOADS
                    || tracked.loading(now).contains(&model.digest()))
        };
        let engines: Vec<&Tracked> = self.upstreams.values().filter(can_load).collect();
        let engines = preferred(engines, |tracked| !tracked.is_limited);
        let is_loading = |tracked: &Tracked| tracked.loading(now).contains(&model.digest());
        let has_room = |tracked: &Tracked| tracked.has_room(now) || is_loading(tracked);
        preferred(engines, has_room)
    }

    fn load_candidate(
        &self,
        tracked: &Tracked,
        model: &ModelRef,
        version: VersionRule,
        now: Instant,
    ) -> LoadCandidate {
        let is_recent = tracked.dropped_recently(model, version);
        let candidate = |cost_ms| LoadCandidate {
            engine: tracked.upstream.id.clone(),
            cost_ms,
            is_recent,
            weight: 1.0,
        };
        // An engine that is already loading the adapter has it soonest and at no further cost.
        if tracked.loading(now).contains(&model.digest()) {
            return candidate(0.0);
        }
        let queue_ms = NOT_LOADING_COST_MS + tracked.expected_first_event_ms(0, now);
        let is_own_domain = self.is_own_domain(tracked);
        if is_recent {
            // Loads from host memory skip the queue of loads from the weight store.
            let domain_cost_ms = if is_own_domain {
                0.0
            } else {
                CROSS_DOMAIN_COST_MS
            };
            return candidate(
                queue_ms
                    + self.load_ms * RESTORE_TIME_FRACTION
                    + ORDER_ROUND_TRIP_MS
                    + domain_cost_ms,
            );
        }
        let queued_loads_ms = tracked.loading(now).len() as f64 * self.load_ms;
        let load_ms = self.load_ms
            + ORDER_ROUND_TRIP_MS
            + STORE_USE_COST_MS
            + self.remote_load_cost_ms(is_own_domain);
        candidate(queue_ms + queued_loads_ms + load_ms)
    }

    fn is_own_domain(&self, tracked: &Tracked) -> bool {
        tracked.upstream.failure_domain == self.failure_domain
    }

    fn remote_load_cost_ms(&self, is_own_domain: bool) -> f64 {
        match (is_own_domain, self.are_loads_quick) {
            (true, _) => 0.0,
            (false, true) => REMOTE_LOAD_COST_MS,
            (false, false) => CONGESTED_REMOTE_LOAD_COST_MS,
        }
    }

    /// Updates the expected load times.
    pub fn set_load_times(&mut self, times: &LoadTimes) {
        self.are_loads_quick = times.are_uncongested();
        self.load_ms = times.expected(0.0).as_secs_f64() * 1_000.0;
    }
}

/// Cost of the present use of an engine for the requests that a loaded adapter will get, in
/// milliseconds, by the engine's own pace; zero if that is unknown or the engine is already loading
/// the adapter.
///
/// Most loads find all engines with short queues, so that the expected wait alone would spread
/// adapters evenly over engines of all paces.
fn usage_cost_ms(tracked: &Tracked, model: &ModelRef, now: Instant) -> f64 {
    if tracked.loading(now).contains(&model.digest()) {
        return 0.0;
    }
    let request_ms = tracked.own_token_ms(now).unwrap_or(0.0) * RUNNING_REQUEST_TOKENS;
    f64::from(tracked.running(now)) * request_ms
}

/// The median time per prompt token of the engines whose pace is known.
fn median_token_ms(engines: &[&Tracked], now: Instant) -> Option<f64> {
    let known = engines
        .iter()
        .filter_map(|tracked| tracked.own_token_ms(now));
    let mut known: Vec<f64> = known.collect();
    let middle = known.len().checked_sub(1)? / 2;
    let (_, median, _) = known.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

/// The engines for which `is_preferred` holds, or all if there are none.
fn preferred(engines: Vec<&Tracked>, is_preferred: impl Fn(&Tracked) -> bool) -> Vec<&Tracked> {
    match engines.iter().any(|tracked| is_preferred(tracked)) {
        true => engines
            .into_iter()
            .filter(|tracked| is_preferred(tracked))
            .collect(),
        false => engines,
    }
}
