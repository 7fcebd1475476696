//! Selection of engines for further copies of an adapter.

use std::time::Instant;

use nutmegsail_base::{FailureDomain, ServiceName, UpstreamId};

use crate::dispatcher::OTHER_DOMAIN_MS;
use crate::fitness::Fitness;
use crate::load_times::RECENT_SHARE;
use crate::{Dispatcher, LoadTimes, ModelRef, Need, Tracked, VersionRule};

/// Where a further copy of an adapter should be loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CopyPlace {
    /// At an engine in this failure domain.
    Domain(FailureDomain),
    /// At any engine.
    Anywhere,
}

impl CopyPlace {
    fn includes(&self, domain: &FailureDomain) -> bool {
        match self {
            Self::Domain(wanted) => wanted == domain,
            Self::Anywhere => true,
        }
    }
}

/// An engine that could load an adapter.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlace {
    /// The engine.
    pub engine: UpstreamId,
    /// Cost in milliseconds of expected wait. Only meaningful for comparing engines.
    pub wait_ms: f64,
    /// Whether the engine dropped the adapter recently and can restore it from host memory.
    pub is_recent: bool,
}

/// Cost of a load in another failure domain, in milliseconds of expected wait: more than that of
/// one queued load. Most adapters are requested only once or twice, and then their answers stay in
/// this domain.
const LOAD_ELSEWHERE_MS: f64 = 400.0;

/// The same while the weight store is congested, as after a cold start. If domains did not share
/// loads then, each would load the popular adapters itself, and callers would wait for three loads
/// instead of one.
const CROWDED_ELSEWHERE_MS: f64 = 60.0;

/// Base cost of an engine that is not yet loading the adapter, so that one that is comes first.
const ELSEWHERE_MS: f64 = 1_000.0;

/// Queued loads from which an engine gets no more.
const LOADS_AHEAD_LIMIT: usize = 4;

/// Expected wait for the first event above which a load on another engine is considered, in
/// milliseconds: the shortest latency objective of generation requests.
const LONG_WAIT_MS: f64 = 600.0;

/// Round trip of a load order through the engine's owner, in milliseconds.
const ORDER_MS: f64 = 15.0;

/// Cost of using the weight store beyond the load time, in milliseconds of wait: its bandwidth is
/// shared by all engines, and a load costs about a third of what a request is worth. An engine that
/// can restore the adapter from host memory is thus preferred while its queue is at most about 500
/// ms longer, which is still in time for most requests.
const STORE_USE_MS: f64 = 240.0;

/// Largest wait on another engine, as a fraction of the present wait, that justifies a load.
const SOONER_SHARE: f64 = 0.6;

impl Dispatcher {
    /// Whether a request that would wait `expected_ms` on the engines that hold its adapter would
    /// be answered much sooner after a load on another engine.
    ///
    /// Most adapters of a busy engine are held nowhere else. Without a further copy, their requests
    /// queue there for two seconds or more, missing every latency objective, while other engines
    /// are idle.
    pub fn is_sooner_elsewhere(&self, need: &Need<'_>, expected_ms: f64, now: Instant) -> bool {
        let Some(model) = need.model else {
            return false;
        };
        if expected_ms < LONG_WAIT_MS {
            return false;
        }
        let place = &CopyPlace::Anywhere;
        let engines = self.engines_to_load(need.service, model, VersionRule::ANY, place, now);
        let holds = |id: &UpstreamId| {
            let tracked = self.tracked(id);
            tracked.is_some_and(|tracked| tracked.version_of(model, now).is_some())
        };
        let others = engines.iter().filter(|place| !holds(&place.engine));
        let least_ms = others.map(|place| place.wait_ms);
        let least_ms = least_ms.fold(f64::INFINITY, f64::min);
        let prompt_ms = self.reading_ms(need.prompt_tokens);
        least_ms - ELSEWHERE_MS + prompt_ms < expected_ms * SOONER_SHARE
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
                && matches!(self.fitness(tracked, now), Fitness::Failing | Fitness::Fit)
                && tracked.version_of(model, now).is_some()
        })
    }

    /// The engines that could load `model`, with their costs.
    ///
    /// Engines without a free adapter slot are left out unless there are no others: they refuse the
    /// load, which costs the waiting request a round trip. In a large fleet most nodes ask an
    /// engine only once in several seconds and have no other news of its slots.
    ///
    /// Engines that limit their request rate are left out unless there are no others, so that they
    /// don't attract further requests.
    ///
    /// Engines without the base model cannot load an adapter. As they are idle too, they would be
    /// the first choice of every request, and all would wait for an order that cannot be given.
    pub fn engines_to_load(
        &self,
        service: &ServiceName,
        model: &ModelRef,
        version: VersionRule,
        place: &CopyPlace,
        now: Instant,
    ) -> Vec<LoadPlace> {
        let takes = |tracked: &&Tracked| {
            let has_base = tracked.has_base(model, now);
            let has_it = tracked.version_of(model, now);
            tracked.upstream.service == *service
                && self.fitness(tracked, now) == Fitness::Fit
                && tracked.takes_loads(now)
                && has_base
                && place.includes(&tracked.upstream.failure_domain)
                && !has_it.is_some_and(|held| version.prefers(held))
                && (tracked.coming(now).len() < LOADS_AHEAD_LIMIT
                    || tracked.coming(now).contains(&model.digest()))
        };
        let engines: Vec<&Tracked> = self.upstreams.values().filter(takes).collect();
        let engines = preferred(engines, |tracked| !tracked.is_limited);
        let is_coming = |tracked: &Tracked| tracked.coming(now).contains(&model.digest());
        let has_room = |tracked: &Tracked| tracked.has_room(now) || is_coming(tracked);
        preferred(engines, has_room)
            .into_iter()
            .map(|tracked| self.load_place(tracked, model, version, now))
            .collect()
    }

    fn load_place(
        &self,
        tracked: &Tracked,
        model: &ModelRef,
        version: VersionRule,
        now: Instant,
    ) -> LoadPlace {
        let is_recent = tracked.held_lately(model, version);
        let place = |wait_ms| LoadPlace {
            engine: tracked.upstream.id.clone(),
            wait_ms,
            is_recent,
        };
        // An engine that is already loading the adapter has it soonest and at no further cost.
        if tracked.coming(now).contains(&model.digest()) {
            return place(0.0);
        }
        let queue_ms = ELSEWHERE_MS + tracked.expected_first_event_ms(0, now);
        let is_here = self.is_here(tracked);
        if is_recent {
            // Loads from host memory skip the queue of loads from the weight store.
            let domain_ms = if is_here { 0.0 } else { OTHER_DOMAIN_MS };
            return place(queue_ms + self.load_ms * RECENT_SHARE + ORDER_MS + domain_ms);
        }
        let coming_ms = tracked.coming(now).len() as f64 * self.load_ms;
        let load_ms = self.load_ms + ORDER_MS + STORE_USE_MS + self.load_elsewhere_ms(is_here);
        place(queue_ms + coming_ms + load_ms)
    }

    fn is_here(&self, tracked: &Tracked) -> bool {
        tracked.upstream.failure_domain == self.failure_domain
    }

    fn load_elsewhere_ms(&self, is_here: bool) -> f64 {
        match (is_here, self.are_loads_quick) {
            (true, _) => 0.0,
            (false, true) => LOAD_ELSEWHERE_MS,
            (false, false) => CROWDED_ELSEWHERE_MS,
        }
    }

    /// Updates the expected load times.
    pub fn set_load_times(&mut self, times: &LoadTimes) {
        self.are_loads_quick = times.are_quick();
        self.load_ms = times.usual(0.0).as_secs_f64() * 1_000.0;
    }
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
